"""Elects the hub that merges the state of a failure domain with many daemons.

If all daemons of a failure domain sent their state to each other, each would send and
read dozens of messages a second, and still see the others' work most of a second late.
So each sends its state to two daemons, and the first of these, the hub, broadcasts the
merged state. The second receives the same and takes over as soon as the first is
unresponsive.
"""

from collections.abc import Mapping

from fireflyhitch_model.clock import Clock
from fireflyhitch_serving.peers import GroupMember, PeerRegistry
from fireflyhitch_serving.summaries import DomainSummary

# The hub and its successor.
RECIPIENTS = 2
# While the hub and its successor are unresponsive, more daemons receive the state,
# until one of them is the hub.
MAX_RECIPIENTS = 8
# Three intervals between a hub's messages.
UNRESPONSIVE_SECONDS = 0.75
# A hub that has just started waits for the others' state; longer if there is another
# hub, whose followers would otherwise switch to a hub with less state.
START_DELAY_SECONDS = 0.3
TAKE_OVER_SECONDS = 1.0
# Delay between successive candidates, so that the others hear from the first in time.
CANDIDATE_DELAY_SECONDS = 0.25
# A hub's summary is used for this long.
MAX_SUMMARY_AGE_SECONDS = 1.5


class HubTracker:
    """Tracks the hub of this daemon's failure domain."""

    def __init__(self, peers: PeerRegistry, clock: Clock) -> None:
        """Create a tracker that has received no summary."""
        self._peers = peers
        self._clock = clock
        self._started = clock.monotonic()
        self._summary: DomainSummary | None = None
        self._received_at = float('-inf')
        self._wall_clock_offset = 0.0
        self._last_received: dict[str, float] = {}

    def receive(self, summary: DomainSummary) -> bool:
        """Store a hub's summary; return whether it is the newest of the hub to follow.

        If two hubs have not yet received each other's messages, the first by rank is
        followed.
        """
        now = self._clock.monotonic()
        self._last_received[summary.relay] = now
        current_summary = self._summary
        if (
            current_summary is not None
            and now - self._received_at < UNRESPONSIVE_SECONDS
        ):
            if not self._precedes(summary, current_summary):
                return False
        self._summary = summary
        self._received_at = now
        self._wall_clock_offset = summary.wall - self._peers.read_local_wall_clock()
        return True

    def _precedes(self, summary: DomainSummary, current_summary: DomainSummary) -> bool:
        if summary.process == current_summary.process:
            return summary.sequence > current_summary.sequence
        ranked = self._rank_daemons()
        return _find_position(ranked, summary.relay) <= _find_position(
            ranked, current_summary.relay
        )

    def current(self) -> DomainSummary | None:
        """Return the hub's last summary, unless it is too old."""
        if self._clock.monotonic() - self._received_at > MAX_SUMMARY_AGE_SECONDS:
            return None
        return self._summary

    def find_members(self) -> dict[str, GroupMember]:
        """Return the same-domain daemons whose state the hub receives."""
        summary = self.current()
        if summary is None:
            return {}
        return {
            name: GroupMember(summary.domain, member.hears_store, member.stopping)
            for name, member in summary.members.items()
            if name != self._peers.own
        }

    def find_wall_clock(self) -> float | None:
        """Return the wall clock that the hub and its members agree on."""
        if self.current() is None:
            return None
        return self._peers.read_local_wall_clock() + self._wall_clock_offset

    def is_hub(self) -> bool:
        """Return whether this daemon is the hub."""
        now = self._clock.monotonic()
        ranked = self._rank_daemons()
        position = _find_position(ranked, self._peers.own)
        running = now - self._started
        if position >= MAX_RECIPIENTS or running < START_DELAY_SECONDS:
            return False
        before = set(ranked[:position])
        if self._has_responsive_hub(before, now):
            return False
        if self._has_responsive_hub(set(ranked) - before, now):
            return running >= TAKE_OVER_SECONDS
        # Each further candidate waits a little longer, so that it hears from the one
        # before it.
        silence = now - max((*self._last_received.values(), self._started))
        return (
            not position
            or silence >= UNRESPONSIVE_SECONDS + CANDIDATE_DELAY_SECONDS * position
        )

    def find_recipients(self) -> list[str]:
        """Return the daemons to which this one sends its state."""
        own = self._peers.own
        ranked = [daemon for daemon in self._rank_daemons() if daemon != own]
        silence = self._clock.monotonic() - max(self._received_at, self._started)
        if self.is_hub():
            return self._filter_responsive(ranked)[:RECIPIENTS]
        if silence < UNRESPONSIVE_SECONDS and self._summary is not None:
            hub = self._summary.relay
            others = [name for name in self._filter_responsive(ranked) if name != hub]
            return [hub, *others[: RECIPIENTS - 1]]
        doublings = int(silence // UNRESPONSIVE_SECONDS)
        return ranked[: min(RECIPIENTS * 2**doublings, MAX_RECIPIENTS)]

    def _filter_responsive(self, ranked: list[str]) -> list[str]:
        members = self._peers.responsive_members()
        return [daemon for daemon in ranked if daemon in members]

    def _has_responsive_hub(self, hubs: set[str], now: float) -> bool:
        own = self._peers.own
        return any(
            now - received_at < UNRESPONSIVE_SECONDS
            for hub, received_at in self._last_received.items()
            if hub in hubs and hub != own
        )

    def _rank_daemons(self) -> list[str]:
        """Rank the failure domain's daemons; those that are stopping come last."""
        members = self._peers.responsive_members()
        local = {self._peers.own, *self._peers.listed_local()}
        ranked = self._peers.rank('relay', local)
        return sorted(ranked, key=lambda daemon: _is_stopping(members, daemon))


def _is_stopping(members: Mapping[str, GroupMember], daemon: str) -> bool:
    member = members.get(daemon)
    return member is not None and member.stopping


def _find_position(ranked: list[str], daemon: str) -> int:
    return ranked.index(daemon) if daemon in ranked else len(ranked)
