"""Rate limits announced by servers, enforced by all daemons without a message per request.

Time is divided into slots of one second. A server's limit yields a number of permits per
slot. A hash of server, slot and daemon assigns each permit to one daemon: all daemons
compute the same assignment, so the total stays within the limit for any number of
daemons. An unused permit stays valid for one more slot, so that a daemon with few
requests a second can use it. Daemons that temporarily disagree on the list of daemons
still agree on most permits.

Limits are broadcast to all daemons, since most send to a limited server only rarely.
"""

import math
from collections.abc import Callable, Mapping, Sequence
from dataclasses import dataclass, field
from typing import NamedTuple

from loguru import logger

from fireflyhitch_model.hashing import hash_text
from fireflyhitch_model.ids import BackendServerId, ProcessId
from fireflyhitch_routing.broadcast_window import BroadcastWindow

SLOT_SECONDS = 1.0
# Requests a second to a server with a limit of 0, to detect when it accepts work again.
MIN_RATE = 0.1
# Reports in one message.
MAX_REPORTS = 64
# Counted from the server's last response.
EXPIRY_SECONDS = 600.0
# Limits kept, the most recently announced ones.
MAX_LIMITS = 4096
# Odd, with set bits spread over the word: a product's upper bits depend on all bits.
MULTIPLIER = 0x9E3779B97F4A7C15
MASK = 0xFFFFFFFFFFFFFFFF


def parse_rate(text: str | None) -> float | None:
    """Parse a limit in requests a second; an invalid text means no limit."""
    if text is None:
        return None
    try:
        rate = float(text)
    except ValueError:
        return None
    return rate if math.isfinite(rate) and rate >= 0 else None


class LimitReport(NamedTuple):
    """A daemon's report on the limit of a server process.

    :param rate: requests a second; ``None`` if there is no limit any more.
    :param age: seconds since the server announced it.
    """

    rate: float | None
    age: float


LimitReports = Mapping[ProcessId, LimitReport]


@dataclass(slots=True)
class _Limit:
    """An announced limit and this daemon's permits.

    :param rate: requests a second; ``None`` if there is no limit any more.
    :param at: monotonic seconds at which the server last announced it.
    :param slot: the slot that ``permits`` are for.
    :param used: used permits of the slot; they stay used when the limit changes.
    :param carried_over: unused permits of the previous slot.
    """

    rate: float | None
    at: float
    server: BackendServerId | None = None
    broadcast: BroadcastWindow = field(default_factory=BroadcastWindow)
    slot: int = -1
    permits: int = 0
    used: int = 0
    carried_over: int = 0

    @property
    def left(self) -> int:
        """Return how many permits of the slot are left."""
        return max(self.permits - self.used, 0)

    def count(self) -> int:
        """Return how many requests may be sent now."""
        return self.left + self.carried_over

    def use_permit(self) -> None:
        """Use the permit that expires first."""
        if self.carried_over:
            self.carried_over -= 1
        else:
            self.used += 1


class ServerLimits:
    """The limits that servers have announced, and this daemon's permits."""

    def __init__(
        self,
        daemon_id: str,
        list_daemons: Callable[[], Sequence[str]],
        wall_clock: Callable[[], float],
    ) -> None:
        """Create a table without limits.

        :param daemon_id: this daemon.
        :param list_daemons: returns all daemons that may send, this one included.
        :param wall_clock: returns seconds since 1970, agreed among the daemons.
        """
        self._daemon_id = daemon_id
        self._list_daemons = list_daemons
        self._wall_clock = wall_clock
        self._limits: dict[ProcessId, _Limit] = {}
        self._limited: set[ProcessId] = set()
        self._hashes: dict[str, int] = {}

    def record_response(
        self,
        process: ProcessId,
        server: BackendServerId,
        rate: float | None,
        sent: float,
        now: float,
    ) -> None:
        """Apply the limit in a server's response.

        :param rate: requests a second; ``None`` if the response has no limit.
        :param sent: monotonic seconds at which the request was sent; a response without
            a limit to a request sent before the limit was announced does not end it.
        """
        limit = self._limits.get(process)
        if limit is None:
            if rate is None:
                return
            limit = self._add(process)
        elif rate is None and (limit.rate is None or sent < limit.at):
            return
        limit.server = server
        self._set(process, limit, rate, now, now)
        limit.broadcast.mark_local(now)

    def apply_reports(self, reports: LimitReports, now: float) -> None:
        """Merge the reports of another daemon; the latest announcement wins."""
        for process, report in reports.items():
            limit = self._limits.get(process)
            at = now - report.age
            if limit is None:
                limit = self._add(process)
            if at > limit.at:
                self._set(process, limit, report.rate, at, now)

    def build_reports(
        self, now: float, *, include_received: bool
    ) -> dict[ProcessId, LimitReport]:
        """Return reports on recent announcements, the latest first.

        :param include_received: whether to include those received from other daemons.
        """
        self._drop_expired(now)
        due = [
            (process, limit)
            for process, limit in self._limits.items()
            if limit.broadcast.is_due(now, include_received=include_received)
        ]
        due.sort(key=lambda row: row[1].at, reverse=True)
        return {
            process: LimitReport(limit.rate, round(now - limit.at, 2))
            for process, limit in due[:MAX_REPORTS]
        }

    @property
    def has_limits(self) -> bool:
        """Return whether any server has a limit."""
        return bool(self._limited)

    def may_send(self, process: ProcessId) -> bool:
        """Return whether this daemon has a permit for a server."""
        if process not in self._limited:
            return True
        limit = self._limits[process]
        self._advance_slot(process, limit)
        return limit.count() > 0

    def record_sent(self, process: ProcessId) -> None:
        """Use a permit."""
        limit = self._limits.get(process)
        if limit is not None and limit.count() > 0:
            limit.use_permit()

    def find_local_rate(self, process: ProcessId) -> float:
        """Return the requests a second that this daemon may send to a server."""
        limit = self._limits.get(process)
        if limit is None or limit.rate is None:
            return math.inf
        return max(limit.rate, MIN_RATE) / max(len(self._list_daemons()), 1)

    def _add(self, process: ProcessId) -> _Limit:
        if len(self._limits) >= MAX_LIMITS:
            oldest = min(self._limits, key=lambda one: self._limits[one].at)
            self._drop(oldest)
        added = _Limit(None, float('-inf'))
        self._limits[process] = added
        return added

    def _drop_expired(self, now: float) -> None:
        """Drop limits that servers have not announced for a long time.

        Limits of servers missing from the instance list are kept: a server may be
        missing only because the store was unavailable.
        """
        expired = [
            process
            for process, limit in self._limits.items()
            if now - limit.at > EXPIRY_SECONDS
        ]
        for process in expired:
            self._drop(process)

    def _drop(self, process: ProcessId) -> None:
        del self._limits[process]
        self._limited.discard(process)

    def _set(
        self,
        process: ProcessId,
        limit: _Limit,
        rate: float | None,
        at: float,
        now: float,
    ) -> None:
        changed = rate != limit.rate
        if changed:
            logger.bind(
                server=limit.server, process=process, limit=rate, was=limit.rate
            ).info('server limit')
        if rate is None:
            self._limited.discard(process)
        else:
            self._limited.add(process)
        limit.rate = rate
        limit.at = at
        limit.broadcast.changed_at = now
        if changed and limit.slot >= 0:
            limit.permits = self._count_permits(process, limit, limit.slot)
            limit.carried_over = min(limit.carried_over, limit.permits)

    def _advance_slot(self, process: ProcessId, limit: _Limit) -> None:
        slot = int(self._wall_clock() // SLOT_SECONDS)
        if slot == limit.slot:
            return
        limit.carried_over = limit.left if slot == limit.slot + 1 else 0
        limit.slot = slot
        limit.used = 0
        limit.permits = self._count_permits(process, limit, slot)

    def _count_permits(self, process: ProcessId, limit: _Limit, slot: int) -> int:
        """Return how many of a slot's permits are this daemon's."""
        rate = max(limit.rate or 0, MIN_RATE) * SLOT_SECONDS
        permits = math.floor((slot + 1) * rate) - math.floor(slot * rate)
        if not permits:
            return 0
        daemons = self._list_daemons()
        each, remainder = divmod(permits, max(len(daemons), 1))
        key = hash_text(f'{process}/{slot}')
        return each + (remainder > 0 and self._rank_daemon(daemons, key) < remainder)

    def _rank_daemon(self, daemons: Sequence[str], key: int) -> int:
        """Return how many daemons rank before this one in a slot."""
        local_hash = _mix(self._hash_daemon(self._daemon_id), key)
        return sum(
            _mix(self._hash_daemon(daemon), key) < local_hash
            for daemon in daemons
            if daemon != self._daemon_id
        )

    def _hash_daemon(self, daemon: str) -> int:
        daemon_hash = self._hashes.get(daemon)
        if daemon_hash is None:
            daemon_hash = hash_text(daemon)
            self._hashes[daemon] = daemon_hash
        return daemon_hash


def _mix(daemon_hash: int, key: int) -> int:
    return (daemon_hash ^ key) * MULTIPLIER & MASK
