"""Keeps brittle servers from turning requests away: servers that fall over if they do.

A brittle server has slots and almost no queue. When callers want more than it can run,
each daemon that sends what looks possible by its own state sends too much, since news of
the others' requests is older than most requests take. So the slots are divided among the
daemons, which all compute the same division. Beyond its share a daemon sends only to a
server that is at most half busy, and so rarely that all daemons together would not fell
it if each of these requests were turned away; more often only if it is nearly idle.
"""

from collections.abc import Callable, Iterable, Sequence
from dataclasses import dataclass

from cachetools import LRUCache

from fireflyhitch_model.clock import Clock
from fireflyhitch_model.ids import DeploymentId, ProcessId
from fireflyhitch_routing.announcements import MAX_ANNOUNCEMENTS, Announcements
from fireflyhitch_routing.permits import PermitAccounts, PermitAllocator, SlotRules
from fireflyhitch_serving.servers import ServerRecord, ServerRegistry

# Permits for requests beyond a share are dealt in short turns: a server that has just
# returned looks idle to all daemons at once.
TURN_SECONDS = 0.25
SLOT_RULES = SlotRules(TURN_SECONDS, carries_over=True)
# Shares follow changes of servers and daemons with this delay.
SHARES_SECONDS = 0.25
# Beyond its share a daemon uses a server of which no more than this fraction is used,
# at a rate that keeps all daemons together within the same fraction.
SPARE_FRACTION = 0.5
# A server of which no more than this fraction is used counts as nearly idle.
IDLE_FRACTION = 0.25
# A server that has turned a request away gets no more than it was running for at least
# this long; longer if the daemons together would otherwise be turned away too often.
MIN_PAUSE_SECONDS = 1.0
# The daemons with a share of a server may be turned away in a second this fraction of
# what it bears, and so may the others.
USED_FRACTION = 0.25
# Requests that a server which bears no rejection may turn away in a second.
MIN_TOLERATED_RATE = 0.1
# Weight of the newest response in the mean time of a service's responses.
NEWEST_WEIGHT = 0.1
ASSUMED_SECONDS = 0.2


@dataclass(slots=True)
class _Pause:
    """What a server that has turned a request away may get.

    :param requests: in flight from this daemon.
    :param until: monotonic seconds.
    :param spare_until: the same for requests beyond this daemon's share.
    """

    requests: int
    until: float
    spare_until: float


class BrittleServers:
    """Which servers are brittle, and what this daemon may send to them.

    It answers load above the servers' capacity, or spread unevenly over the daemons.
    """

    def __init__(
        self,
        clock: Clock,
        daemon: str,
        list_daemons: Callable[[], Sequence[str]],
        wall_clock: Callable[[], float],
        servers: ServerRegistry,
    ) -> None:
        """Create a table without brittle servers.

        :param daemon: this daemon.
        :param list_daemons: returns all daemons that may send, this one included; none
            while they are unknown.
        :param wall_clock: returns seconds since 1970, agreed among the daemons.
        """
        self.announcements = Announcements('brittle server', _ignore_change)
        self._clock = clock
        self._daemon = daemon
        self._list_daemons = list_daemons
        self._servers = servers
        self._permits = PermitAllocator(daemon, list_daemons, wall_clock, SLOT_RULES)
        self._accounts = PermitAccounts(MAX_ANNOUNCEMENTS)
        self._shares: LRUCache[ProcessId, int] = LRUCache(MAX_ANNOUNCEMENTS)
        self._shares_at: dict[DeploymentId, float] = {}
        self._pauses: LRUCache[ProcessId, _Pause] = LRUCache(MAX_ANNOUNCEMENTS)
        self._sent_at: LRUCache[ProcessId, float] = LRUCache(MAX_ANNOUNCEMENTS)
        self._seconds: dict[DeploymentId, float] = {}

    def is_brittle(self, record: ServerRecord) -> bool:
        """Return whether a server says that it is brittle."""
        return self.announcements.find(record.process) is not None

    def may_send(self, record: ServerRecord) -> bool:
        """Return whether this daemon may send a request to a server now."""
        if not self.is_brittle(record):
            return True
        now = self._clock.monotonic()
        pause = self._pauses.get(record.process)
        if pause is not None and now < pause.until:
            if record.requests >= pause.requests:
                return False
        if record.requests < self._find_share(record):
            return True
        if pause is not None and now < pause.spare_until:
            return False
        return self._may_send_spare(record, now)

    def record_sent(self, record: ServerRecord) -> None:
        """Record that a request is sent to a server."""
        if not self.is_brittle(record):
            return
        self._sent_at[record.process] = self._clock.monotonic()
        account = self._accounts.find(record.process)
        if account.count() and record.requests > self._find_share(record):
            account.use_permit()

    def record_turned_away(self, record: ServerRecord) -> None:
        """Record that a server had no room for a request, which is not in flight now."""
        if not self.is_brittle(record):
            return
        now = self._clock.monotonic()
        daemons = len(self._list_daemons())
        holders = min(daemons, record.server.slots)
        self._pauses[record.process] = _Pause(
            record.requests,
            now + self._find_pause(record, holders),
            now + self._find_pause(record, daemons),
        )

    def record_finished(self, service: DeploymentId, seconds: float) -> None:
        """Record the time in which a server of a service has run a request."""
        mean = self._seconds.get(service, seconds)
        self._seconds[service] = mean + (seconds - mean) * NEWEST_WEIGHT

    def find_local_rate(self, record: ServerRecord) -> float:
        """Return the requests a second that this daemon may send to a server.

        :returns: infinity if the server is not brittle.
        """
        if not self.is_brittle(record):
            return float('inf')
        share = self._find_share(record)
        if share:
            return share / self._find_seconds(record)
        return self._permits.find_local_rate(self._find_spare_rate(record))

    def find_seconds_to_change(self, records: Iterable[ServerRecord]) -> float:
        """Return the seconds until servers may get requests that they may not get now.

        :returns: infinity if none is brittle.
        """
        brittle = [record for record in records if self.is_brittle(record)]
        if not brittle:
            return float('inf')
        now = self._clock.monotonic()
        daemons = len(self._list_daemons())
        times = [now + self._permits.find_seconds_to_next_slot()]
        for record in brittle:
            pause = self._pauses.get(record.process)
            if pause is not None:
                times.extend((pause.until, pause.spare_until))
            sent_at = self._sent_at.get(record.process)
            if sent_at is not None:
                times.append(sent_at + self._find_pause(record, daemons))
        return min(at for at in times if at > now) - now

    def _may_send_spare(self, record: ServerRecord, now: float) -> bool:
        used = record.total(now).requests
        slots = record.server.slots
        if used + 1 > slots * SPARE_FRACTION:
            return False
        if used > slots * IDLE_FRACTION:
            pause = self._find_pause(record, len(self._list_daemons()))
            if now - self._sent_at.get(record.process, float('-inf')) < pause:
                return False
        account = self._accounts.find(record.process)
        self._permits.advance(account, record.process, self._find_spare_rate(record))
        return account.count() > 0

    def _find_spare_rate(self, record: ServerRecord) -> float:
        """Return the requests a second that all daemons may send beyond their shares."""
        return record.server.slots * SPARE_FRACTION / self._find_seconds(record)

    def _find_pause(self, record: ServerRecord, daemons: int) -> float:
        """Return after how many seconds each of some daemons may be turned away again."""
        limit = self.announcements.find(record.process) or 0
        rate = max(limit * USED_FRACTION, MIN_TOLERATED_RATE)
        return max(daemons / rate, MIN_PAUSE_SECONDS)

    def _find_seconds(self, record: ServerRecord) -> float:
        return self._seconds.get(record.server.service, ASSUMED_SECONDS)

    def _find_share(self, record: ServerRecord) -> int:
        service = record.server.service
        now = self._clock.monotonic()
        if now - self._shares_at.get(service, float('-inf')) > SHARES_SECONDS:
            self._shares_at[service] = now
            self._update_shares(service)
        return self._shares.get(record.process, 0)

    def _update_shares(self, service: DeploymentId) -> None:
        records = sorted(
            self._servers.find_by_service(service),
            key=lambda record: record.server.server_id,
        )
        daemons = sorted(self._list_daemons())
        slots = [record.server.slots for record in records]
        shares = [0 for _ in records]
        if self._daemon in daemons:
            position = daemons.index(self._daemon)
            shares = divide_slots(slots, len(daemons), position)
        processes = (record.process for record in records)
        self._shares.update(zip(processes, shares, strict=True))


def divide_slots(slots: Sequence[int], daemons: int, position: int) -> list[int]:
    """Return how many slots of each server are one daemon's.

    All slots in a row are dealt to the daemons in turn, so the daemons have equally many
    in total, plus or minus one.

    :param slots: number of slots of each server.
    :param position: of the daemon among all of them.
    """
    shares: list[int] = []
    offset = 0
    for count in slots:
        before = _count_dealt(offset, daemons, position)
        offset += count
        shares.append(_count_dealt(offset, daemons, position) - before)
    return shares


def _count_dealt(slots: int, daemons: int, position: int) -> int:
    """Return how many of the first slots of the row are a daemon's."""
    return (slots - position + daemons - 1) // daemons


def _ignore_change(process: ProcessId, limit: float | None) -> None:
    """Ignore a change: the table is read when a request is placed."""
