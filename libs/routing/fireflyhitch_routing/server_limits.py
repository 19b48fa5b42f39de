"""Rate limits announced by servers, enforced by all daemons together by permits.

Limits are broadcast to all daemons, since most send to a limited server only rarely.
"""

import math
from collections.abc import Callable, Mapping, Sequence
from dataclasses import dataclass, field
from typing import NamedTuple

from loguru import logger

from fireflyhitch_model.ids import BackendServerId, ProcessId
from fireflyhitch_routing.broadcast_window import BroadcastWindow
from fireflyhitch_routing.permits import PermitAccount, PermitAllocator, SlotRules

SLOT_RULES = SlotRules(seconds=1, carries_over=True)
# Requests a second to a server with a limit of 0, to detect when it accepts work again.
MIN_RATE = 0.1
# Reports in one message.
MAX_REPORTS = 64
# Counted from the server's last response.
EXPIRY_SECONDS = 600.0
# Limits kept, the most recently announced ones.
MAX_LIMITS = 4096


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
    """

    rate: float | None
    at: float
    server: BackendServerId | None = None
    broadcast: BroadcastWindow = field(default_factory=BroadcastWindow)
    account: PermitAccount = field(default_factory=PermitAccount)

    @property
    def effective_rate(self) -> float:
        """Return the requests a second that may be sent."""
        return max(self.rate or 0, MIN_RATE)


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
        self._allocator = PermitAllocator(
            daemon_id, list_daemons, wall_clock, SLOT_RULES
        )
        self._limits: dict[ProcessId, _Limit] = {}
        self._limited: set[ProcessId] = set()

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
        self._allocator.advance(limit.account, process, limit.effective_rate)
        return limit.account.count() > 0

    def record_sent(self, process: ProcessId) -> None:
        """Use a permit."""
        limit = self._limits.get(process)
        if limit is not None and limit.account.count() > 0:
            limit.account.use_permit()

    def find_local_rate(self, process: ProcessId) -> float:
        """Return the requests a second that this daemon may send to a server."""
        limit = self._limits.get(process)
        if limit is None or limit.rate is None:
            return math.inf
        return self._allocator.find_local_rate(limit.effective_rate)

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
        if changed:
            self._allocator.update_rate(limit.account, process, limit.effective_rate)
