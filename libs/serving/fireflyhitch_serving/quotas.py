"""Enforces customers' quotas across all daemons without a call per request.

Every daemon keeps a replica of each customer's token bucket. The bucket fills at the
customer's rate, and each daemon reports what it took to the others several times a
second. So a customer connected to only a few daemons gets its whole quota, and a prompt
larger than one daemon's share of the burst is admitted. Concurrent takes that have not
been exchanged yet stay within the platform's tolerance: the longer propagation takes
and the higher a customer's demand, the less of its bucket is granted at once
(``quota_parts.find_admission_probability``). Less urgent requests are refused first.

Partitioned daemons each keep to the fraction of the quota that the reachable daemons
represent, so the sum over all groups stays within the quota.
"""

import math
import random
from collections.abc import Callable

from cachetools import LRUCache

from fireflyhitch_model.ids import CustomerId
from fireflyhitch_model.records import immutable
from fireflyhitch_routing.return_times import ReturnSchedule
from fireflyhitch_serving.catalog import Customer, Quota
from fireflyhitch_serving.quota_buckets import Bucket, PeerDemand
from fireflyhitch_serving.quota_parts import (
    QuotaState,
    find_admission_probability,
    find_delay,
    find_floor,
)

# Peer processes with a recorded total, least recently used evicted first; an evicted
# one is handled as new. Several times the maximum number of daemons.
MAX_PROCESSES = 4096
# The platform counts a limit over any window of some seconds, as rate x window + burst.
# This fraction of the burst accrues over the window instead of being available at once;
# the sum in any window is the same. Customers slightly above their rate for a long time
# are then within their limit and not refused (``TestSustainedDemand``).
SUSTAINED_FRACTION = 0.5
# A process without reports for this long, or for this many exchange rounds, was
# partitioned or frozen; a few lost messages in a row are not a partition yet.
GAP_SECONDS = 2.0
GAP_ROUNDS = 3.0
# Fraction of the tolerance above limits that daemons use: the maximum, its reduction
# per second of propagation, and the minimum. With these, five times a limit requested
# at 75 daemons with 0.7 s propagation stays within the tolerance (``TestManyDaemons``).
MAX_SLACK_FRACTION = 0.75
SLACK_PER_SECOND = 0.5
MIN_SLACK_FRACTION = 0.3


@immutable
class QuotaReport:
    """One process's state of a customer's quota.

    :param taken: units taken since its start, less those refunded.
    :param demand: units requested of it per second.
    :param left: units that it estimates are left for all daemons.
    """

    taken: float
    demand: float
    left: float


@immutable
class UnitDemand:
    """The units per second that a customer requests.

    :param own: at this daemon.
    :param total: of all daemons.
    """

    own: float
    total: float


@immutable
class _ReportedTotal:
    taken: float
    updated_at: float


@immutable
class QuotaSlack:
    """What the platform tolerates above limits, as far as the daemons use it.

    :param units: over all daemons, on top of a customer's burst.
    :param rate_fraction: fraction of a customer's rate, on top of it.
    :param window: seconds over which limits are counted; 0 if unknown.
    """

    units: float = 0
    rate_fraction: float = 0
    window: float = 0


def find_slack_fraction(propagation_seconds: float) -> float:
    """Return the fraction of the tolerance above limits that the daemons may use.

    Requests within a limit come in bursts, and each refusal delays a response, so the
    tolerance is used. The rest covers what daemons take before they receive each
    other's reports.

    :param propagation_seconds: until all daemons have received a report.
    """
    return max(
        MIN_SLACK_FRACTION, MAX_SLACK_FRACTION - SLACK_PER_SECOND * propagation_seconds
    )


def _find_no_quota(_: CustomerId) -> None:
    """Return no quota: buckets then get it from their first local request."""


class Quotas:
    """This daemon's replicas of all customers' token buckets."""

    def __init__(
        self,
        slack: QuotaSlack,
        started: float = 0,
        random_float: Callable[[], float] = random.random,
        find_quota: Callable[[CustomerId], Quota | None] = _find_no_quota,
    ) -> None:
        """Create an empty set; buckets are created on demand.

        :param started: monotonic seconds since which customers could accrue units.
        :param random_float: returns numbers from 0 to 1.
        :param find_quota: returns the quota in the active configuration. It lets
            buckets that only peers have reported on fill too; otherwise customers whose
            requests seldom reach this daemon were refused while most of their quota was
            left.
        """
        self._random_float = random_float
        self._find_quota = find_quota
        self.slack = slack
        self._started = started
        self._buckets: dict[CustomerId, Bucket] = {}
        self._reported_totals: LRUCache[str, dict[CustomerId, _ReportedTotal]] = (
            LRUCache(MAX_PROCESSES)
        )
        self._quota_fraction = 1.0
        self._propagation_seconds = 0.0

    def update_daemon_counts(
        self, daemons: int, reachable: int, propagation_seconds: float = 0
    ) -> None:
        """Set the number of daemons.

        :param daemons: all daemons, this one included.
        :param reachable: those that are reachable, this one included.
        :param propagation_seconds: until all daemons have received a report.
        """
        self._propagation_seconds = propagation_seconds
        self._quota_fraction = min(1.0, max(reachable, 1) / max(daemons, 1))

    def build_reports(self, now: float) -> dict[CustomerId, QuotaReport]:
        """Return this daemon's reports for its peers."""
        for replica in self._buckets.values():
            self._refill(replica, now)
            replica.drop_stale_peers(now)
        return {
            name: QuotaReport(bucket.taken, bucket.demand.read(now), bucket.left)
            for name, bucket in self._buckets.items()
            if bucket.taken
        }

    def build_domain_reports(self, now: float) -> dict[CustomerId, QuotaReport]:
        """Return the reports of this failure domain for the other ones.

        ``taken`` is the sum of what this process took and what its same-domain peers
        reported. It only grows, like a process's own total; a daemon that takes over as
        relay counts as another process. Receivers subtract only what was taken after a
        process's first report, so buckets from which nothing was taken yet are reported
        too.
        """
        for replica in self._buckets.values():
            self._refill(replica, now)
        return {
            name: QuotaReport(
                bucket.taken + bucket.domain_peers_taken,
                bucket.sum_demand(now, same_domain=True),
                bucket.left,
            )
            for name, bucket in self._buckets.items()
        }

    def sum_demand(self, now: float) -> float:
        """Return the units requested of all daemons per second, within the limits.

        Demand above a limit is refused and needs no servers.
        """
        return sum(
            min(bucket.sum_demand(now), self._find_max_rate(bucket))
            for bucket in self._buckets.values()
        )

    def find_demand(self, customer: CustomerId, now: float) -> UnitDemand:
        """Return what a customer requests, at this daemon and of all."""
        bucket = self._buckets.get(customer)
        if bucket is None:
            return UnitDemand(0, 0)
        return UnitDemand(bucket.demand.read(now), bucket.sum_demand(now))

    def _find_max_rate(self, bucket: Bucket) -> float:
        if bucket.quota is None or not bucket.quota.rate:
            return math.inf
        return self._find_rate(bucket.quota)

    def apply_report(
        self,
        process: str,
        customer: CustomerId,
        report: QuotaReport,
        now: float,
        *,
        same_domain: bool = False,
    ) -> None:
        """Apply a peer process's report.

        Units taken before the first report are already in its ``left``. The same holds
        for a process that was partitioned: it kept to its own fraction of the quota
        meanwhile, and subtracting all of that at once would refuse requests for
        seconds.

        :param same_domain: whether the process is in this failure domain, so that
            this daemon may have to report its takes to other failure domains.
        """
        totals = self._reported_totals.setdefault(process, {})
        before = totals.get(customer)
        if before is not None and now - before.updated_at > self._find_max_gap():
            before = None
        totals[customer] = _ReportedTotal(report.taken, now)
        bucket = self._buckets.get(customer)
        if bucket is None:
            bucket = self._make_bucket(report.left, now)
            self._buckets[customer] = bucket
            before = totals[customer]
        # The bucket may be older than the first configuration, and the quota may have
        # changed since.
        bucket.quota = self._find_quota(customer) or bucket.quota
        bucket.peers[process] = PeerDemand(report.demand, now, same_domain)
        # Refill first: units accrued until now must not offset what is subtracted now.
        self._refill(bucket, now)
        if before is None:
            bucket.left = min(bucket.left, report.left)
        else:
            bucket.left -= report.taken - before.taken
            bucket.domain_peers_taken += same_domain * (report.taken - before.taken)

    def _find_max_gap(self) -> float:
        return max(GAP_SECONDS, GAP_ROUNDS * self._propagation_seconds)

    def forget_process(self, process: str) -> None:
        """Remove a process that another one has replaced."""
        self._reported_totals.pop(process, None)
        for bucket in self._buckets.values():
            bucket.peers.pop(process, None)

    def reset_peer_baselines(self) -> None:
        """Treat every process's next report as its first."""
        self._reported_totals.clear()

    def count_processes(self) -> int:
        """Return the number of peer processes with a recorded total."""
        return len(self._reported_totals)

    def count_peers(self, customer: CustomerId) -> int:
        """Return the number of peers with recorded demand of a customer."""
        return len(self._buckets[customer].peers)

    def take(
        self, customer: Customer, units: float, now: float, priority: int = 0
    ) -> float | None:
        """Take units from a customer's quota.

        :param priority: of the request's route; 0 is the most urgent.
        :returns: seconds until they may be available; ``None`` if they were taken.
        """
        quota = customer.quota
        if not quota.rate:
            return None
        bucket = self._get_bucket(customer.name, quota, now)
        bucket.demand.add(units, now)
        level = bucket.mix.find_level(priority, units, now)
        bucket.mix.add(level, units, now)
        self._refill(bucket, now)
        state = self._read_state(bucket, quota, now)
        parts = bucket.mix.split(level, now)
        floor = find_floor(state, parts)
        # A request larger than the capacity takes a full bucket into debt.
        needed = min(units + floor, state.capacity)
        probability = find_admission_probability(state, parts, floor)
        if bucket.left < needed or (
            probability < 1 and self._random_float() >= probability
        ):
            own_rate = state.rate * bucket.find_own_fraction(now)
            delay = find_delay(state, floor)
            return bucket.returns.reserve(units, own_rate, now, delay)
        bucket.left -= units
        bucket.taken += units
        return None

    def describe(
        self, customer: Customer, now: float, priority: int = 0
    ) -> dict[str, float]:
        """Return the state behind a refusal, for the log.

        ``reserved`` is what a request of the priority has to leave in the bucket.
        """
        bucket = self._buckets[customer.name]
        state = self._read_state(bucket, customer.quota, now)
        floor = find_floor(state, bucket.mix.split(priority, now))
        return {
            'left': round(bucket.left),
            'rate': customer.quota.rate,
            'burst': customer.quota.burst,
            'demand': round(bucket.demand.read(now)),
            'part': round(self._quota_fraction, 2),
            'priority': priority,
            'reserved': round(floor),
        }

    def refund(self, customer: Customer, units: float) -> None:
        """Return the units of a request that did not run."""
        bucket = self._buckets.get(customer.name)
        if bucket is not None:
            bucket.left += units
            bucket.taken -= units

    def _read_state(self, bucket: Bucket, quota: Quota, now: float) -> QuotaState:
        return QuotaState(
            bucket.left,
            self._find_capacity(quota),
            self._find_rate(quota),
            bucket.sum_demand(now),
            self._propagation_seconds,
        )

    def _refill(self, bucket: Bucket, now: float) -> None:
        if bucket.quota is not None:
            accrued = (now - bucket.updated_at) * self._find_rate(bucket.quota)
            bucket.left = min(self._find_capacity(bucket.quota), bucket.left + accrued)
        bucket.updated_at = now

    def _find_rate(self, quota: Quota) -> float:
        rate = quota.rate * (1 + self.slack.rate_fraction)
        if self.slack.window:
            rate += (
                SUSTAINED_FRACTION
                * (quota.burst + self.slack.units)
                / self.slack.window
            )
        return self._quota_fraction * rate

    def _find_capacity(self, quota: Quota) -> float:
        burst_fraction = 1 - SUSTAINED_FRACTION if self.slack.window else 1
        return self._quota_fraction * burst_fraction * (quota.burst + self.slack.units)

    def _get_bucket(self, name: CustomerId, quota: Quota, now: float) -> Bucket:
        bucket = self._buckets.get(name)
        if bucket is None:
            # A new bucket starts without the tolerance above the burst: all daemons may
            # be killed at once when a customer has just used up its quota, and what
            # they grant before and after must stay within one window's tolerance.
            accrued = (now - self._started) * self._find_rate(quota)
            capacity = self._find_capacity(quota)
            left = min(capacity, self._quota_fraction * quota.burst + accrued)
            bucket = self._make_bucket(left, now)
            self._buckets[name] = bucket
        bucket.quota = quota
        return bucket

    def _make_bucket(self, left: float, now: float) -> Bucket:
        return Bucket(left, now, ReturnSchedule(self._random_float))
