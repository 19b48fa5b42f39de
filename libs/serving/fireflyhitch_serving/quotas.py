"""Customers' limits, held as a sum over all daemons without a call for each request.

Every daemon keeps the same account of each customer: it fills at the customer's rate,
and what any daemon takes from it is told to the others some times a second. So a
customer whose connections lie at few daemons gets its whole limit, and a prompt that
is larger than any daemon's part of a burst is admitted. What daemons take at the same
moment without knowing of each other is within what the platform tolerates: the longer
news take, and the more a customer asks for, the less of its account is given away at
once (``_find_chance``).

Daemons that do not hear each other go on with the part of the limit that their number
stands for, so the sum over all groups holds.
"""

import math
import random
from collections.abc import Callable
from dataclasses import dataclass, field

from cachetools import LRUCache

from fireflyhitch_model.ids import CustomerId
from fireflyhitch_model.records import immutable
from fireflyhitch_serving.catalog import Customer, Quota
from fireflyhitch_serving.demand import DEMAND_SECONDS, DemandMeter

# Peers' processes remembered, those heard last; one that was forgotten counts as heard
# for the first time. Several times the daemons there may be.
MOST_PROCESSES = 4096
# The platform counts a limit over any window of some seconds, as rate x window + burst.
# This part of the burst fills anew over the window instead of being there at once; the
# sum in any window stays the same. Customers that ask a little more than their rate for
# long are within their limit so, and are not refused (``TestLongDemand``).
SUSTAINED_PART = 0.5
# A process that was not heard for this long, or for so many turns of news, was cut off
# or frozen; some messages lost in a row are not yet a cut.
GAP_SECONDS = 2.0
GAP_TURNS = 3.0
# Of what is tolerated above limits: with news within 0.1 s, less for each second that
# they take, and at least. Five times a limit at 75 daemons, with news after 0.7 s,
# stays within what is tolerated by these (``TestManyDaemons``).
MOST_SLACK_PART = 0.75
SLACK_PER_SECOND = 0.5
LEAST_SLACK_PART = 0.3


@immutable
class QuotaReport:
    """What a process tells of a customer.

    :param taken: units that it has taken since its start, less what came back.
    :param demand: units a second that are asked of it.
    :param left: units that it thinks are left for all daemons.
    """

    taken: float
    demand: float
    left: float


@immutable
class _PeerDemand:
    rate: float
    at: float
    near: bool


@immutable
class _Told:
    taken: float
    at: float


@dataclass(slots=True)
class _Account:
    left: float
    at: float
    quota: Quota | None = None
    taken: float = 0
    relayed: float = 0
    demand: DemandMeter = field(default_factory=DemandMeter)
    peers: dict[str, _PeerDemand] = field(default_factory=dict)

    def drop_silent(self, now: float) -> None:
        """Forget what peers that are not heard any more were asked for."""
        self.peers = {
            process: peer
            for process, peer in self.peers.items()
            if now - peer.at < DEMAND_SECONDS
        }

    def sum_demand(self, now: float, *, near: bool = False) -> float:
        """Return units a second that are asked of all daemons.

        :param near: only of those of the own failure domain.
        """
        told = (
            peer.rate
            for peer in self.peers.values()
            if now - peer.at < DEMAND_SECONDS and (peer.near or not near)
        )
        return self.demand.read(now) + sum(told)


@immutable
class QuotaSlack:
    """What the platform tolerates above limits, as far as the daemons use it.

    :param units: over all daemons, on top of a customer's burst.
    :param rate_fraction: of a customer's rate, on top of it.
    :param window: seconds over which limits are counted; 0 if that is not known.
    """

    units: float = 0
    rate_fraction: float = 0
    window: float = 0


def find_slack_fraction(news_seconds: float) -> float:
    """Return the part of what is tolerated above limits that the daemons may use.

    Callers within a limit come in bursts, and each refusal makes an answer late. The
    rest covers what daemons take before they hear of each other.

    :param news_seconds: in which what one has taken is known to all.
    """
    return max(LEAST_SLACK_PART, MOST_SLACK_PART - SLACK_PER_SECOND * news_seconds)


def _find_no_quota(_: CustomerId) -> None:
    """Return no quota: accounts then learn it from their first own request."""


class Quotas:
    """This daemon's account of all customers."""

    def __init__(
        self,
        slack: QuotaSlack,
        started: float = 0,
        draw: Callable[[], float] = random.random,
        find_quota: Callable[[CustomerId], Quota | None] = _find_no_quota,
    ) -> None:
        """Make accounts on demand.

        :param started: monotonic seconds since which customers could save up units.
        :param draw: returns numbers from 0 to 1.
        :param find_quota: by the configuration in force. An account that only peers
            have spoken of fills as well: without it, customers whose requests seldom
            come here were refused while most of their limit was left.
        """
        self._draw = draw
        self._find_quota = find_quota
        self.slack = slack
        self._started = started
        self._accounts: dict[CustomerId, _Account] = {}
        self._told: LRUCache[str, dict[CustomerId, _Told]] = LRUCache(MOST_PROCESSES)
        self._part = 1.0
        self._news_seconds = 0.0

    def update_daemon_counts(
        self, daemons: int, heard: int, news_seconds: float = 0
    ) -> None:
        """Take in how many daemons there are.

        :param daemons: this one included, heard or not.
        :param heard: of them, this one included.
        :param news_seconds: in which what one has taken is known to all.
        """
        self._news_seconds = news_seconds
        self._part = min(1.0, max(heard, 1) / max(daemons, 1))

    def build_reports(self, now: float) -> dict[CustomerId, QuotaReport]:
        """Return what this daemon tells its peers."""
        for known in self._accounts.values():
            self._refill(known, now)
            known.drop_silent(now)
        return {
            name: QuotaReport(account.taken, account.demand.read(now), account.left)
            for name, account in self._accounts.items()
            if account.taken
        }

    def build_domain_reports(self, now: float) -> dict[CustomerId, QuotaReport]:
        """Return what this daemon tells other failure domains for its own.

        ``taken`` is what this process has taken and seen its neighbours take: like
        theirs it grows, and a daemon that relays next counts as another process.
        Accounts of which nothing was taken are told too, so that what is taken next is
        not the first that others hear of it.
        """
        for known in self._accounts.values():
            self._refill(known, now)
        return {
            name: QuotaReport(
                account.taken + account.relayed,
                account.sum_demand(now, near=True),
                account.left,
            )
            for name, account in self._accounts.items()
        }

    def sum_demand(self, now: float) -> float:
        """Return units a second that customers ask of all daemons within their limits.

        What lies beyond a limit is refused and needs no servers.
        """
        return sum(
            min(account.sum_demand(now), self._find_most_rate(account))
            for account in self._accounts.values()
        )

    def _find_most_rate(self, account: _Account) -> float:
        if account.quota is None or not account.quota.rate:
            return math.inf
        return self._find_rate(account.quota)

    def apply_report(
        self,
        process: str,
        customer: CustomerId,
        note: QuotaReport,
        now: float,
        *,
        near: bool = False,
    ) -> None:
        """Take in what a peer's process tells.

        :param near: whether this daemon may have to tell it to other failure domains.

        What it took before it was first heard is in what it thinks is left. So it is
        for one that was cut off: it kept to its own part of the limit meanwhile, and
        taking all of that from this account at once would refuse callers for seconds.
        """
        told = self._told.setdefault(process, {})
        before = told.get(customer)
        if before is not None and now - before.at > self._find_gap():
            before = None
        told[customer] = _Told(note.taken, now)
        account = self._accounts.get(customer)
        if account is None:
            account = _Account(note.left, now)
            self._accounts[customer] = account
            before = told[customer]
        # It may be new, from before the first configuration, or have changed since.
        account.quota = self._find_quota(customer) or account.quota
        account.peers[process] = _PeerDemand(note.demand, now, near)
        # What was saved up until now must not make up for what is taken now.
        self._refill(account, now)
        if before is None:
            account.left = min(account.left, note.left)
        else:
            account.left -= note.taken - before.taken
            account.relayed += near * (note.taken - before.taken)

    def _find_gap(self) -> float:
        return max(GAP_SECONDS, GAP_TURNS * self._news_seconds)

    def forget_process(self, process: str) -> None:
        """Drop a process whose place another has taken."""
        self._told.pop(process, None)
        for account in self._accounts.values():
            account.peers.pop(process, None)

    def reset_peer_baselines(self) -> None:
        """Take all processes as heard for the first time when they are heard next."""
        self._told.clear()

    def count_processes(self) -> int:
        """Return how many peers' processes are remembered."""
        return len(self._told)

    def count_peers(self, customer: CustomerId) -> int:
        """Return how many peers' demand of a customer is remembered."""
        return len(self._accounts[customer].peers)

    def take(self, customer: Customer, units: float, now: float) -> float | None:
        """Take units from a customer's limit.

        :returns: seconds until they may be there; ``None`` if they were taken.
        """
        quota = customer.quota
        if not quota.rate:
            return None
        account = self._find(customer.name, quota, now)
        account.demand.add(units, now)
        self._refill(account, now)
        most = self._find_most(quota)
        # A request larger than what can be saved up runs into debt from a full one.
        needed = min(units, most)
        rate = self._find_rate(quota)
        if account.left < needed:
            return (needed - account.left) / rate
        chance = self._find_chance(account, rate, now)
        if chance < 1 and self._draw() >= chance:
            return self._news_seconds
        account.left -= units
        account.taken += units
        return None

    def describe(self, customer: Customer, now: float) -> dict[str, float]:
        """Return what an account's refusal rests on, for the log."""
        account = self._accounts[customer.name]
        return {
            'left': round(account.left),
            'rate': customer.quota.rate,
            'burst': customer.quota.burst,
            'demand': round(account.demand.read(now)),
            'part': round(self._part, 2),
        }

    def refund(self, customer: Customer, units: float) -> None:
        """Give back what was taken for a request that did not run."""
        account = self._accounts.get(customer.name)
        if account is not None:
            account.left += units
            account.taken -= units

    def _find_chance(self, account: _Account, rate: float, now: float) -> float:
        """Return the part of a customer's requests that is admitted now.

        What other daemons take is known only some tenths of a second later. With 75 of
        them, a customer that asks for several times its limit would be admitted at
        each, until all have heard of all (``TestManyDaemons``). So no more is admitted
        than the account holds until then.
        """
        asked = account.sum_demand(now) * self._news_seconds
        if not asked:
            return 1
        return (account.left + rate * self._news_seconds) / asked

    def _refill(self, account: _Account, now: float) -> None:
        if account.quota is not None:
            saved = (now - account.at) * self._find_rate(account.quota)
            account.left = min(self._find_most(account.quota), account.left + saved)
        account.at = now

    def _find_rate(self, quota: Quota) -> float:
        rate = quota.rate * (1 + self.slack.rate_fraction)
        if self.slack.window:
            rate += (
                SUSTAINED_PART * (quota.burst + self.slack.units) / self.slack.window
            )
        return self._part * rate

    def _find_most(self, quota: Quota) -> float:
        kept = 1 - SUSTAINED_PART if self.slack.window else 1
        return self._part * kept * (quota.burst + self.slack.units)

    def _find(self, name: CustomerId, quota: Quota, now: float) -> _Account:
        found = self._accounts.get(name)
        if found is None:
            # Without what is tolerated above a burst: all daemons may be killed at
            # once when a customer has just used up its limit, and what they take
            # before and after must stay within one window's tolerance.
            saved = (now - self._started) * self._find_rate(quota)
            most = self._find_most(quota)
            found = _Account(min(most, self._part * quota.burst + saved), now)
            self._accounts[name] = found
        found.quota = quota
        return found
