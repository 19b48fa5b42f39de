"""The registry of other daemons: which are listed and responsive, and their last state."""

from collections.abc import Callable, Collection, Iterable, Mapping
from dataclasses import dataclass
from statistics import median

from loguru import logger

from fireflyhitch_model.clock import Clock
from fireflyhitch_model.hashing import rank_by_hash
from fireflyhitch_model.ids import FailureDomainId
from fireflyhitch_model.records import immutable
from fireflyhitch_serving.connections import Address
from fireflyhitch_serving.peer_state import PeerState

# Interval between messages, so the maximum age of a peer's state; engines take 0.2 s
# for a long prompt.
SEND_SECONDS = 0.1
# With more daemons each sends less often, to its own failure domain first. Messages
# are some hundred bytes to 2 kB long; the slowest instances' links carry 600 kB a
# second.
MAX_REMOTE_PER_SECOND = 40.0
# A peer is unresponsive after this long without a message: it has stopped or is cut
# off.
UNRESPONSIVE_SECONDS = 1.2
# The same in propagation times, which grow with the number of daemons.
UNRESPONSIVE_INTERVALS = 2.5
# Five consecutive messages; lossy links drop a few percent.
SUSPECT_SECONDS = 0.5
SUSPECT_INTERVALS = 2.5
# Interval at which each daemon sends to the hub of its failure domain, if there is one.
HUB_INTERVAL_SECONDS = 0.25
MAX_DATAGRAM_BYTES = 60_000
# With more daemons than this, the state of other failure domains comes as summaries
# (``summaries``): each other-domain daemon could be sent to only every half second or
# later, and 75 of them every 1.9 s.
MAX_DIRECT_PEERS = 20
# Time in which a summary reaches any daemon from any other: one interval of its own
# messages, of its hub and of the other domain's hub.
SUMMARY_PROPAGATION_SECONDS = 0.7
# Instances whose links have at least this fraction of the fastest link's rate rank
# equal.
MIN_LINK_FRACTION = 0.5


@immutable
class GroupMember:
    """Another daemon of the group, from its own state or the hub's.

    :param hears_store: whether the store answers it, by its last calls.
    :param stopping: whether it is about to stop.
    """

    failure_domain: FailureDomainId
    hears_store: bool = True
    stopping: bool = False


@dataclass(slots=True)
class _Received:
    state: PeerState
    received_at: float
    wall_clock_offset: float

    def as_member(self) -> GroupMember:
        """Return the properties on which duties depend."""
        state = self.state
        return GroupMember(state.failure_domain, state.hears_store, state.stopping)


class PeerRegistry:
    """The last state of each daemon, and values derived from all of them."""

    def __init__(
        self,
        own: str,
        domain: FailureDomainId,
        clock: Clock,
        wall: Callable[[], float],
    ) -> None:
        """Create a registry without any state."""
        self._own = own
        self._domain = domain
        self._clock = clock
        self._wall_clock = wall
        self._received: dict[str, _Received] = {}
        self._registered: dict[str, Address] = {}
        self._domains: dict[str, FailureDomainId] = {}
        self._links: dict[str, float] = {}
        self.own_state: PeerState | None = None
        # Supplied by the hub tracker: the hub's members, and the wall clock of the hub.
        self.hub_members: Callable[[], Mapping[str, GroupMember]] = dict
        self.find_hub_wall_clock: Callable[[], float | None] = _find_no_hub_wall_clock

    @property
    def own(self) -> str:
        """Return this daemon's name."""
        return self._own

    @property
    def own_domain(self) -> FailureDomainId:
        """Return the failure domain that this daemon is in."""
        return self._domain

    def register(
        self,
        daemon: str,
        address: Address | None,
        domain: FailureDomainId | None = None,
    ) -> None:
        """Register a daemon that the store lists, or remove one it no longer lists.

        :param domain: its failure domain, if the listing includes it.
        """
        if address is None:
            self._registered.pop(daemon, None)
            self._received.pop(daemon, None)
            self._domains.pop(daemon, None)
            self._links.pop(daemon, None)
            return
        self._registered[daemon] = address
        if domain is not None:
            self._domains[daemon] = domain

    def set_link_rate(self, daemon: str, megabits: float) -> None:
        """Set the rate of a daemon's link, in megabits per second."""
        self._links[daemon] = megabits

    def rank(self, duty: str, daemons: Iterable[str]) -> list[str]:
        """Rank daemons for a shared duty: by hash, those with fast links first.

        A relay sends some hundred kB a second. On an instance with a slow link, this
        delayed its callers' first tokens in proportion to the link's utilization.
        """
        ranked = rank_by_hash(duty, daemons)
        fast = self.filter_fast_links(ranked)
        return [*fast, *(daemon for daemon in ranked if daemon not in fast)]

    def filter_fast_links(self, daemons: Collection[str]) -> list[str]:
        """Return the daemons whose links are not much slower than the fastest one."""
        best = max((self._links.get(daemon, 0) for daemon in daemons), default=0)
        return [
            daemon
            for daemon in daemons
            if self._links.get(daemon, 0) >= best * MIN_LINK_FRACTION
        ]

    def list_all(self) -> list[str]:
        """Return the daemons that the store lists, and this one."""
        return list(self._registered.keys() | {self._own})

    def listed(self) -> dict[str, Address]:
        """Return the daemons that the store lists."""
        return dict(self._registered)

    def add_sender(self, daemon: str, address: Address) -> None:
        """Add a sender that the last listing of the store lacks, to answer it."""
        self._registered.setdefault(daemon, address)

    def receive(self, state: PeerState) -> bool:
        """Store a state; return whether it is new."""
        known = self._received.get(state.daemon)
        if known is not None and known.state.process == state.process:
            if state.sequence <= known.state.sequence:
                return False
        now = self._clock.monotonic()
        if known is None or now - known.received_at > self._unresponsive_seconds():
            logger.bind(peer=state.daemon, process=state.process).info('peer heard')
        self._received[state.daemon] = _Received(
            state, now, state.wall - self._wall_clock()
        )
        self._domains[state.daemon] = state.failure_domain
        return True

    def uses_summaries(self) -> bool:
        """Return whether there are too many daemons for each to send to all others."""
        return len(self._registered) > MAX_DIRECT_PEERS

    def is_remote(self, daemon: str) -> bool:
        """Return whether a daemon is known to be in another failure domain."""
        return self._domains.get(daemon, self._domain) != self._domain

    def group_remote(self) -> dict[FailureDomainId, list[str]]:
        """Return the listed daemons of other failure domains."""
        groups: dict[FailureDomainId, list[str]] = {}
        for daemon in self._registered:
            if self.is_remote(daemon):
                groups.setdefault(self._domains[daemon], []).append(daemon)
        return groups

    def responsive_local_states(self) -> dict[str, PeerState]:
        """Return the states of the responsive daemons in this failure domain."""
        return {
            daemon: state
            for daemon, state in self.responsive_states().items()
            if state.failure_domain == self._domain
        }

    def listed_local(self) -> list[str]:
        """Return the listed daemons of this failure domain."""
        return [daemon for daemon in self._registered if not self.is_remote(daemon)]

    def responsive_members(self) -> dict[str, GroupMember]:
        """Return the responsive daemons that share duties with this one."""
        return self._find_members(self._unresponsive_seconds())

    def unsuspected_members(self) -> dict[str, GroupMember]:
        """Return the members that have not missed several consecutive messages."""
        interval = (
            HUB_INTERVAL_SECONDS
            if self.uses_summaries()
            else self.propagation_seconds()
        )
        return self._find_members(max(SUSPECT_SECONDS, SUSPECT_INTERVALS * interval))

    def _find_members(self, seconds: float) -> dict[str, GroupMember]:
        since = self._clock.monotonic() - seconds
        direct = {
            daemon: entry.as_member()
            for daemon, entry in self._received.items()
            if entry.received_at >= since
        }
        if not self.uses_summaries():
            return direct
        local = {
            daemon: member
            for daemon, member in direct.items()
            if member.failure_domain == self._domain
        }
        return {**self.hub_members(), **local}

    def propagation_seconds(self) -> float:
        """Return how long each daemon's state takes to reach all others."""
        if self.uses_summaries():
            return SUMMARY_PROPAGATION_SECONDS
        return max(SEND_SECONDS, len(self._registered) / MAX_REMOTE_PER_SECOND)

    def _unresponsive_seconds(self) -> float:
        return max(
            UNRESPONSIVE_SECONDS, UNRESPONSIVE_INTERVALS * self.propagation_seconds()
        )

    def monotonic(self) -> float:
        """Return the time of the registry's clock."""
        return self._clock.monotonic()

    def split_by_domain(self) -> tuple[list[Address], list[Address]]:
        """Return the addresses to send to: in this failure domain, and in others.

        A daemon of unknown failure domain counts as local.
        """
        local: list[Address] = []
        remote: list[Address] = []
        for daemon, address in self._registered.items():
            if daemon != self._own:
                (remote if self.is_remote(daemon) else local).append(address)
        return local, remote

    def find_address(self, daemon: str) -> Address | None:
        """Return a daemon's address."""
        return self._registered.get(daemon)

    def responsive_states(self) -> dict[str, PeerState]:
        """Return the states of the responsive daemons."""
        return {
            daemon: entry.state for daemon, entry in self._find_responsive().items()
        }

    def _find_responsive(self) -> dict[str, _Received]:
        now = self._clock.monotonic()
        max_age = self._unresponsive_seconds()
        return {
            daemon: entry
            for daemon, entry in self._received.items()
            if now - entry.received_at <= max_age
        }

    def find_unresponsive_domains(self) -> frozenset[FailureDomainId]:
        """Return the failure domains in which all listed daemons are unresponsive.

        A failure domain that is cut off is found half a second after the cut, from
        messages that are sent anyway; requests to its servers would each have to time
        out first. It is only a suspicion, as the domain's only daemon may have stopped,
        so its servers rank behind the others but are not excluded. A daemon that
        receives no messages is itself cut off, and suspects nothing.
        """
        now = self._clock.monotonic()
        newest: dict[FailureDomainId, float] = {}
        for daemon, entry in self._received.items():
            if daemon in self._registered:
                domain = entry.state.failure_domain
                newest[domain] = max(newest.get(domain, 0), entry.received_at)
        unresponsive = frozenset(
            domain
            for domain, received_at in newest.items()
            if domain != self._domain and now - received_at > SUSPECT_SECONDS
        )
        return unresponsive if len(unresponsive) < len(newest) else frozenset()

    def count_daemons(self) -> int:
        """Return the number of daemons, this one and unresponsive ones included."""
        return len(
            self._registered.keys() | self.responsive_states().keys() | {self._own}
        )

    def read_local_wall_clock(self) -> float:
        """Return the wall clock of this instance alone."""
        return self._wall_clock()

    def wall(self) -> float:
        """Return the wall clock that most daemons agree on.

        A clock that is wrong on one instance is outvoted by the peers'.
        """
        hub_wall_clock = self.find_hub_wall_clock()
        if hub_wall_clock is not None:
            return hub_wall_clock
        offsets = [
            entry.wall_clock_offset for entry in self._find_responsive().values()
        ]
        return self._wall_clock() + median([0.0, *offsets])


def _find_no_hub_wall_clock() -> None:
    """Return ``None``, as no hub tracker is attached."""
