"""Limits the requests that all daemons together send to cold servers.

A server that has just started crashes under a rate that a warm one serves easily, and to
each daemon it looks like the least busy one. Nobody can count what the others send at
that moment, so the rate is divided by permits.
"""

import math
from collections.abc import Callable, Iterable, Sequence

from loguru import logger

from fireflyhitch_model.clock import Clock
from fireflyhitch_model.ids import DeploymentId
from fireflyhitch_model.records import immutable
from fireflyhitch_routing.permits import (
    PermitAccount,
    PermitAccounts,
    PermitAllocator,
    SlotRules,
)
from fireflyhitch_serving.catalog import ColdStart
from fireflyhitch_serving.servers import ServerRecord

# Without carrying over, the requests within any second come from the permits of at most
# one slot more than a second has.
SLOT_RULES = SlotRules(seconds=0.5, carries_over=False)
# Fraction of the platform's bound that is used. The rest covers daemons that disagree on
# who is there, or that learn late that a server is cold.
USED_FRACTION = 0.75
MAX_ACCOUNTS = 4096


@immutable
class ColdBounds:
    """The platform's bound on the requests that a cold server gets within a second.

    :param factor: multiple of the service's rate.
    :param slack: additional requests.
    """

    factor: float = 1
    slack: float = 0


def make_cold_permits(
    daemon_id: str,
    list_daemons: Callable[[], Sequence[str]],
    wall_clock: Callable[[], float],
) -> PermitAllocator:
    """Create the allocator of a daemon's permits for cold servers.

    :param list_daemons: returns all daemons that may send, this one included; none while
        they are unknown.
    :param wall_clock: returns seconds since 1970, agreed among the daemons.
    """
    return PermitAllocator(daemon_id, list_daemons, wall_clock, SLOT_RULES)


class ColdServers:
    """Which servers are cold, and this daemon's permits for them."""

    def __init__(
        self,
        clock: Clock,
        permits: PermitAllocator,
        find_cold_start: Callable[[DeploymentId], ColdStart | None],
    ) -> None:
        """Create a table without cold servers.

        :param find_cold_start: returns how servers of a service start, if the
            configuration says so.
        """
        self.bounds = ColdBounds()
        self._clock = clock
        self._permits = permits
        self._find_cold_start = find_cold_start
        self._accounts = PermitAccounts(MAX_ACCOUNTS)
        self._last_end = float('-inf')

    @property
    def has_cold(self) -> bool:
        """Return whether any server may be cold."""
        return self._clock.monotonic() < self._last_end

    def record_listed(self, record: ServerRecord) -> None:
        """Apply a server's entry."""
        if record.server.cold_seconds > 0:
            self._mark(record, record.server.cold_seconds, 'listed')

    def record_unreachable(self, record: ServerRecord) -> None:
        """Record that a server refused a connection: if it is back, it has restarted.

        Its entry tells so only with its next heartbeat.
        """
        self._mark_started(record, 'unreachable')

    def record_return(self, records: Iterable[ServerRecord]) -> None:
        """Record that servers may be used again after an evacuation.

        They had no requests meanwhile, and their caches may be gone.
        """
        for record in records:
            self._mark_started(record, 'evacuation over')

    def may_send(self, record: ServerRecord) -> bool:
        """Return whether this daemon may send a request to a server now."""
        account = self._find_account(record)
        return account is None or account.count() > 0

    def record_sent(self, record: ServerRecord) -> None:
        """Use a permit if the server is cold."""
        account = self._find_account(record)
        if account is not None and account.count():
            account.use_permit()

    def find_local_rate(self, record: ServerRecord) -> float:
        """Return the requests a second that this daemon may send to a server."""
        rate = self._find_rate(record)
        return math.inf if rate is None else self._permits.find_local_rate(rate)

    def find_seconds_until_warm(self, record: ServerRecord) -> float:
        """Return the seconds until a server is warm."""
        return max(record.cold_until - self._clock.monotonic(), 0)

    def find_seconds_to_next_permits(self) -> float:
        """Return the seconds until permits are issued; infinity if none is cold."""
        return self._permits.find_seconds_to_next_slot() if self.has_cold else math.inf

    def _mark_started(self, record: ServerRecord, reason: str) -> None:
        cold_start = self._find_cold_start(record.server.service)
        if cold_start is not None:
            self._mark(record, cold_start.seconds, reason)

    def _mark(self, record: ServerRecord, seconds: float, reason: str) -> None:
        """Keep the latest end of all that is known."""
        now = self._clock.monotonic()
        if not record.is_cold(now):
            logger.bind(
                server=record.server.server_id, seconds=seconds, reason=reason
            ).info('server is cold')
        record.cold_until = max(record.cold_until, now + seconds)
        self._last_end = max(self._last_end, record.cold_until)

    def _find_account(self, record: ServerRecord) -> PermitAccount | None:
        """Return the permits for a cold server, ``None`` if none are needed."""
        rate = self._find_rate(record)
        if rate is None:
            return None
        account = self._accounts.find(record.process)
        self._permits.advance(account, record.process, rate)
        return account

    def _find_rate(self, record: ServerRecord) -> float | None:
        """Return the requests a second that a server tolerates; ``None`` if warm."""
        if not record.is_cold(self._clock.monotonic()):
            return None
        cold_start = self._find_cold_start(record.server.service)
        if cold_start is None:
            return None
        rate = cold_start.requests_per_second
        within_second = self.bounds.factor * rate + self.bounds.slack
        bound = USED_FRACTION * within_second / (1 + SLOT_RULES.seconds)
        return min(rate, bound)
