"""Limits that servers name, kept by all daemons together without a message a request.

Time is cut into slots of a second. A server's limit gives each slot a number of turns, and
each turn belongs to one daemon, by a hash of server, slot and daemon: all work out the
same, and the sum holds however many daemons there are. A turn that its daemon has no use
for is kept for one slot more, so that a daemon with a few requests a second uses it.
Daemons that disagree for a while on who there is agree on most turns all the same.

What servers name is told to all: most daemons ask a limited server seldom.
"""

import math
from collections.abc import Callable, Mapping, Sequence
from dataclasses import dataclass, field
from typing import NamedTuple

from loguru import logger

from fireflyhitch_model.hashing import hash_text
from fireflyhitch_model.ids import BackendServerId, ProcessId
from fireflyhitch_routing.telling import Telling

SLOT_SECONDS = 1.0
# A server that takes nothing now is asked so often, to learn when it does again.
LEAST_RATE = 0.1
# In one message.
MOST_TOLD = 64
# From the last answer of a server on.
KEPT_SECONDS = 600.0
# Limits remembered, those that were named last.
MOST_KNOWN = 4096
# Odd, with bits set all over, so that a product's upper bits depend on all bits.
MULTIPLIER = 0x9E3779B97F4A7C15
MASK = 0xFFFFFFFFFFFFFFFF


def parse_rate(text: str | None) -> float | None:
    """Read requests a second; what cannot be read names no limit."""
    if text is None:
        return None
    try:
        rate = float(text)
    except ValueError:
        return None
    return rate if math.isfinite(rate) and rate >= 0 else None


class LimitReport(NamedTuple):
    """What a daemon tells of a server's process.

    :param rate: requests a second; ``None`` if it names none any more.
    :param age: seconds since it said so.
    """

    rate: float | None
    age: float


LimitReports = Mapping[ProcessId, LimitReport]


@dataclass(slots=True)
class _Limit:
    """A limit that was named.

    :param at: monotonic seconds at which the server last said so.
    :param slot: that ``turns`` were counted for.
    :param used: of these; they stay used when the server names another limit.
    :param kept: turns of the slot before.
    """

    rate: float | None
    at: float
    server: BackendServerId | None = None
    telling: Telling = field(default_factory=Telling)
    slot: int = -1
    turns: int = 0
    used: int = 0
    kept: int = 0

    @property
    def left(self) -> int:
        """Return how many of the slot's turns are left."""
        return max(self.turns - self.used, 0)

    def count(self) -> int:
        """Return how many requests may be sent now."""
        return self.left + self.kept

    def take(self) -> None:
        """Use the turn that ends first."""
        if self.kept:
            self.kept -= 1
        else:
            self.used += 1


class ServerLimits:
    """The limits that servers have named, and this daemon's turns."""

    def __init__(
        self,
        own: str,
        list_daemons: Callable[[], Sequence[str]],
        wall: Callable[[], float],
    ) -> None:
        """Make limits of which none was named.

        :param list_daemons: all that may send, this one included.
        :param wall: seconds since 1970 that the daemons agree on.
        """
        self._own = own
        self._list_daemons = list_daemons
        self._wall = wall
        self._limits: dict[ProcessId, _Limit] = {}
        self._named: set[ProcessId] = set()
        self._hashes: dict[str, int] = {}

    def record_response(
        self,
        process: ProcessId,
        server: BackendServerId,
        rate: float | None,
        sent: float,
        now: float,
    ) -> None:
        """Take in what a server's answer says.

        :param rate: requests a second that it names; ``None`` if it names none.
        :param sent: monotonic seconds at which the request was sent; one that was on its
            way before the limit was named does not end it.
        """
        known = self._limits.get(process)
        if known is None:
            if rate is None:
                return
            known = self._add(process)
        elif rate is None and (known.rate is None or sent < known.at):
            return
        known.server = server
        self._set(process, known, rate, now, now)
        known.telling.note_own(now)

    def take(self, notes: LimitReports, now: float) -> None:
        """Take in what another daemon tells; the last that the server said holds."""
        for process, note in notes.items():
            known = self._limits.get(process)
            at = now - note.age
            if known is None:
                known = self._add(process)
            if at > known.at:
                self._set(process, known, note.rate, at, now)

    def tell(self, now: float, *, heard: bool) -> dict[ProcessId, LimitReport]:
        """Return what servers said to this daemon lately.

        :param heard: whether also what they said to others.
        """
        self._forget_old(now)
        fresh = [
            (process, limit)
            for process, limit in self._limits.items()
            if limit.telling.is_due(now, heard=heard)
        ]
        fresh.sort(key=lambda row: row[1].at, reverse=True)
        return {
            process: LimitReport(limit.rate, round(now - limit.at, 2))
            for process, limit in fresh[:MOST_TOLD]
        }

    @property
    def has_limits(self) -> bool:
        """Tell whether there is a server that names a limit."""
        return bool(self._named)

    def may_send(self, process: ProcessId) -> bool:
        """Tell whether this daemon has a turn at a server."""
        if process not in self._named:
            return True
        limit = self._limits[process]
        self._turn_slot(process, limit)
        return limit.count() > 0

    def record_sent(self, process: ProcessId) -> None:
        """Use a turn."""
        limit = self._limits.get(process)
        if limit is not None and limit.count() > 0:
            limit.take()

    def find_local_rate(self, process: ProcessId) -> float:
        """Return the requests a second that this daemon may send to a server."""
        limit = self._limits.get(process)
        if limit is None or limit.rate is None:
            return math.inf
        return max(limit.rate, LEAST_RATE) / max(len(self._list_daemons()), 1)

    def _add(self, process: ProcessId) -> _Limit:
        if len(self._limits) >= MOST_KNOWN:
            oldest = min(self._limits, key=lambda one: self._limits[one].at)
            self._forget(oldest)
        added = _Limit(None, float('-inf'))
        self._limits[process] = added
        return added

    def _forget_old(self, now: float) -> None:
        """Drop servers that are gone, as far as can be told.

        One that is listed no more may only have lost its entry while the store was away.
        """
        old = [
            process
            for process, limit in self._limits.items()
            if now - limit.at > KEPT_SECONDS
        ]
        for process in old:
            self._forget(process)

    def _forget(self, process: ProcessId) -> None:
        del self._limits[process]
        self._named.discard(process)

    def _set(
        self,
        process: ProcessId,
        known: _Limit,
        rate: float | None,
        at: float,
        now: float,
    ) -> None:
        changed = rate != known.rate
        if changed:
            logger.bind(
                server=known.server, process=process, limit=rate, was=known.rate
            ).info('server limit')
        if rate is None:
            self._named.discard(process)
        else:
            self._named.add(process)
        known.rate = rate
        known.at = at
        known.telling.changed_at = now
        if changed and known.slot >= 0:
            known.turns = self._count_turns(process, known, known.slot)
            known.kept = min(known.kept, known.turns)

    def _turn_slot(self, process: ProcessId, limit: _Limit) -> None:
        slot = int(self._wall() // SLOT_SECONDS)
        if slot == limit.slot:
            return
        limit.kept = limit.left if slot == limit.slot + 1 else 0
        limit.slot = slot
        limit.used = 0
        limit.turns = self._count_turns(process, limit, slot)

    def _count_turns(self, process: ProcessId, limit: _Limit, slot: int) -> int:
        """Return how many of a slot's turns are this daemon's."""
        rate = max(limit.rate or 0, LEAST_RATE) * SLOT_SECONDS
        turns = math.floor((slot + 1) * rate) - math.floor(slot * rate)
        if not turns:
            return 0
        daemons = self._list_daemons()
        each, rest = divmod(turns, max(len(daemons), 1))
        key = hash_text(f'{process}/{slot}')
        return each + (rest > 0 and self._find_place(daemons, key) < rest)

    def _find_place(self, daemons: Sequence[str], key: int) -> int:
        """Return how many daemons come before this one in a slot."""
        own = _mix(self._find_hash(self._own), key)
        return sum(
            _mix(self._find_hash(daemon), key) < own
            for daemon in daemons
            if daemon != self._own
        )

    def _find_hash(self, daemon: str) -> int:
        found = self._hashes.get(daemon)
        if found is None:
            found = hash_text(daemon)
            self._hashes[daemon] = found
        return found


def _mix(daemon: int, key: int) -> int:
    return (daemon ^ key) * MULTIPLIER & MASK
