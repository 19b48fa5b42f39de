"""Who joins a failure domain's news, where there are many daemons.

Daemons of one failure domain that all told each other would each send and read dozens
of messages a second, and still be told of each other's work most of a second late. So
each tells two of them, and the first of these tells all what they have together. The
second has heard the same, and goes on in its place as soon as the first is silent.
"""

from collections.abc import Mapping

from fireflyhitch_model.clock import Clock
from fireflyhitch_serving.peers import GroupMember, PeerRegistry
from fireflyhitch_serving.summaries import DomainSummary

# Those who are told: the hub, and who takes its place.
TOLD = 2
# With the hub and its successor gone, more are told, until one of them is a hub.
MOST_TOLD = 8
# Three messages of a hub in a row.
SILENT_SECONDS = 0.75
# A hub that has just started waits for the others' news; longer if there is another,
# which would be followed by one that knows less.
FIRST_SECONDS = 0.3
TAKE_OVER_SECONDS = 1.0
# Between the next candidates, so that one of them is heard by the others.
TURN_SECONDS = 0.25
# What a hub told holds so long.
KEPT_SECONDS = 1.5


class HubTracker:
    """The hub of the own failure domain, as this daemon hears it."""

    def __init__(self, peers: PeerRegistry, clock: Clock) -> None:
        """Make a daemon that has heard no hub."""
        self._peers = peers
        self._clock = clock
        self._started = clock.monotonic()
        self._summary: DomainSummary | None = None
        self._at = float('-inf')
        self._wall_ahead = 0.0
        self._heard: dict[str, float] = {}

    def take(self, summary: DomainSummary) -> bool:
        """Take in a hub's message; tell whether it is the newest of the one to follow.

        Of two hubs that do not hear of each other yet, the first by rank is followed.
        """
        now = self._clock.monotonic()
        self._heard[summary.relay] = now
        known = self._summary
        if known is not None and now - self._at < SILENT_SECONDS:
            if not self._goes_before(summary, known):
                return False
        self._summary = summary
        self._at = now
        self._wall_ahead = summary.wall - self._peers.read_own_wall()
        return True

    def _goes_before(self, summary: DomainSummary, known: DomainSummary) -> bool:
        if summary.process == known.process:
            return summary.sequence > known.sequence
        ranked = self._rank()
        return _find_place(ranked, summary.relay) <= _find_place(ranked, known.relay)

    def current(self) -> DomainSummary | None:
        """Return what the hub told last, if that is not too old."""
        if self._clock.monotonic() - self._at > KEPT_SECONDS:
            return None
        return self._summary

    def find_members(self) -> dict[str, GroupMember]:
        """Return the neighbours that the hub hears."""
        summary = self.current()
        if summary is None:
            return {}
        return {
            name: GroupMember(summary.domain, told.hears_store, told.stopping)
            for name, told in summary.members.items()
            if name != self._peers.own
        }

    def find_wall(self) -> float | None:
        """Return the time of day that the hub and its neighbours agree on."""
        if self.current() is None:
            return None
        return self._peers.read_own_wall() + self._wall_ahead

    def acts(self) -> bool:
        """Tell whether this daemon is the hub."""
        now = self._clock.monotonic()
        ranked = self._rank()
        place = _find_place(ranked, self._peers.own)
        running = now - self._started
        if place >= MOST_TOLD or running < FIRST_SECONDS:
            return False
        before = set(ranked[:place])
        if self._hears_one(before, now):
            return False
        if self._hears_one(set(ranked) - before, now):
            return running >= TAKE_OVER_SECONDS
        # The next candidates wait a little longer each: the first of them is heard then.
        silence = now - max((*self._heard.values(), self._started))
        return not place or silence >= SILENT_SECONDS + TURN_SECONDS * place

    def find_told(self) -> list[str]:
        """Return the daemons that are told this one's news."""
        own = self._peers.own
        ranked = [daemon for daemon in self._rank() if daemon != own]
        silence = self._clock.monotonic() - max(self._at, self._started)
        if self.acts():
            return self._find_living(ranked)[:TOLD]
        if silence < SILENT_SECONDS and self._summary is not None:
            hub = self._summary.relay
            others = [found for found in self._find_living(ranked) if found != hub]
            return [hub, *others[: TOLD - 1]]
        doublings = int(silence // SILENT_SECONDS)
        return ranked[: min(TOLD * 2**doublings, MOST_TOLD)]

    def _find_living(self, ranked: list[str]) -> list[str]:
        members = self._peers.heard_group()
        return [daemon for daemon in ranked if daemon in members]

    def _hears_one(self, hubs: set[str], now: float) -> bool:
        own = self._peers.own
        return any(
            now - at < SILENT_SECONDS
            for hub, at in self._heard.items()
            if hub in hubs and hub != own
        )

    def _rank(self) -> list[str]:
        """Order the failure domain's daemons, those that are about to go last."""
        members = self._peers.heard_group()
        near = {self._peers.own, *self._peers.listed_near()}
        ranked = self._peers.rank('relay', near)
        return sorted(ranked, key=lambda daemon: _is_stopping(members, daemon))


def _is_stopping(members: Mapping[str, GroupMember], daemon: str) -> bool:
    member = members.get(daemon)
    return member is not None and member.stopping


def _find_place(ranked: list[str], daemon: str) -> int:
    return ranked.index(daemon) if daemon in ranked else len(ranked)
