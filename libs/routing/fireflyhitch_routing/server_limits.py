"""Rate limits announced by servers, enforced by all daemons together by permits.

Limits are broadcast to all daemons, since most send to a limited server only rarely.
"""

import math
from collections.abc import Callable, Sequence

from fireflyhitch_model.ids import BackendServerId, ProcessId
from fireflyhitch_routing.announcements import (
    MAX_ANNOUNCEMENTS,
    Announcements,
    Report,
    Reports,
)
from fireflyhitch_routing.permits import PermitAccounts, PermitAllocator, SlotRules

SLOT_RULES = SlotRules(seconds=1, carries_over=True)
# Requests a second to a server with a limit of 0, to detect when it accepts work again.
MIN_RATE = 0.1

# A daemon's report on the requests a second that a server accepts.
LimitReport = Report


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
        self.announcements = Announcements('server limit', self._update_rate)
        self._accounts = PermitAccounts(MAX_ANNOUNCEMENTS)

    def record_response(
        self,
        process: ProcessId,
        server: BackendServerId,
        rate: float | None,
        sent: float,
        now: float,
    ) -> None:
        """Apply the limit in a server's response; see ``Announcements``."""
        self.announcements.record_response(process, server, rate, sent, now)

    def apply_reports(self, reports: Reports, now: float) -> None:
        """Merge the reports of another daemon; the latest announcement wins."""
        self.announcements.apply_reports(reports, now)

    def build_reports(
        self, now: float, *, include_received: bool
    ) -> dict[ProcessId, Report]:
        """Return reports on recent announcements, the latest first."""
        return self.announcements.build_reports(now, include_received=include_received)

    @property
    def has_limits(self) -> bool:
        """Return whether any server has a limit."""
        return self.announcements.has_any

    def may_send(self, process: ProcessId) -> bool:
        """Return whether this daemon has a permit for a server."""
        rate = self._find_rate(process)
        if rate is None:
            return True
        account = self._accounts.find(process)
        self._allocator.advance(account, process, rate)
        return account.count() > 0

    def record_sent(self, process: ProcessId) -> None:
        """Use a permit."""
        self._accounts.use_permit(process)

    def find_local_rate(self, process: ProcessId) -> float:
        """Return the requests a second that this daemon may send to a server."""
        rate = self._find_rate(process)
        return math.inf if rate is None else self._allocator.find_local_rate(rate)

    def find_seconds_to_next_permits(self) -> float:
        """Return the seconds until permits are issued; infinity without limits."""
        if not self.has_limits:
            return math.inf
        return self._allocator.find_seconds_to_next_slot()

    def _find_rate(self, process: ProcessId) -> float | None:
        """Return the requests a second that all daemons may send to a server."""
        rate = self.announcements.find(process)
        return None if rate is None else max(rate, MIN_RATE)

    def _update_rate(self, process: ProcessId, rate: float | None) -> None:
        account = self._accounts.find(process)
        self._allocator.update_rate(account, process, max(rate or 0, MIN_RATE))
