"""What is known of the other daemons: who is listed, who is heard, and what they tell."""

from collections.abc import Callable, Iterable, Mapping
from dataclasses import dataclass
from statistics import median

from loguru import logger

from fireflyhitch_model.clock import Clock
from fireflyhitch_model.hashing import rank_by_hash
from fireflyhitch_model.ids import FailureDomainId
from fireflyhitch_model.records import immutable
from fireflyhitch_serving.connections import Address
from fireflyhitch_serving.peer_state import PeerState

# A peer's view of a server is this old at most; engines take 0.2 s for a long prompt.
SEND_SECONDS = 0.1
# With more daemons each tells less often, those of the own failure domain first. They
# have some hundred bytes to 2 kB, and the slowest instances' links carry 600 kB a second.
MOST_FAR_PER_SECOND = 40.0
# A peer that is not heard for this long is not there, or is cut off.
SILENT_SECONDS = 1.2
# The same in turns of messages, for far daemons among many.
SILENT_TURNS = 2.5
# Five messages in a row; lossy links lose some in a hundred.
SUSPECT_SECONDS = 0.5
SUSPECT_TURNS = 2.5
# Where a hub joins the news of a failure domain, each daemon tells it so often.
HUB_SECONDS = 0.25
MOST_DATAGRAM_BYTES = 60_000
# With more daemons than this, the state of other failure domains comes by their
# summaries (``summaries``): each far daemon could be told only every half second or
# later, and 75 of them every 1.9 s.
MOST_DIRECT = 20
# In which a summary has come from any daemon to any other: a turn of its news, and one
# each of its own hub and of the other's.
SUMMARY_TURN_SECONDS = 0.7
# An instance is as able as the best if its link carries at least this part.
ABLE_PART = 0.5


@immutable
class GroupMember:
    """Another daemon of the group, by its own news or by the hub's.

    :param hears_store: whether the store answers it, as far as it has asked.
    :param stopping: whether it is about to go.
    """

    failure_domain: FailureDomainId
    hears_store: bool = True
    stopping: bool = False


@dataclass(slots=True)
class _Heard:
    news: PeerState
    at: float
    wall_ahead: float

    def as_member(self) -> GroupMember:
        """Return what duties depend on."""
        news = self.news
        return GroupMember(news.failure_domain, news.hears_store, news.stopping)


class PeerRegistry:
    """The last news of each daemon, and what follows from all of them."""

    def __init__(
        self,
        own: str,
        domain: FailureDomainId,
        clock: Clock,
        wall: Callable[[], float],
    ) -> None:
        """Make a book that has heard nobody."""
        self._own = own
        self._domain = domain
        self._clock = clock
        self._wall = wall
        self._heard: dict[str, _Heard] = {}
        self._registered: dict[str, Address] = {}
        self._domains: dict[str, FailureDomainId] = {}
        self._links: dict[str, float] = {}
        self.own_news: PeerState | None = None
        # By the hub, where there is one: its neighbours, and the time of day there.
        self.hub_members: Callable[[], Mapping[str, GroupMember]] = dict
        self.find_hub_wall: Callable[[], float | None] = _know_nothing

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
        """Take in that the store lists a daemon, or lists it no more.

        :param domain: its failure domain, as far as the list tells.
        """
        if address is None:
            self._registered.pop(daemon, None)
            self._heard.pop(daemon, None)
            self._domains.pop(daemon, None)
            self._links.pop(daemon, None)
            return
        self._registered[daemon] = address
        if domain is not None:
            self._domains[daemon] = domain

    def set_link_rate(self, daemon: str, megabits: float) -> None:
        """Take in what a daemon's link carries, in a second."""
        self._links[daemon] = megabits

    def rank(self, duty: str, daemons: Iterable[str]) -> list[str]:
        """Order daemons for a duty towards the others: by hash, the able ones first.

        A relay sends some hundred kB a second. On an instance whose link carries little
        its callers' first tokens came later by as much as the link was full.
        """
        ranked = rank_by_hash(duty, daemons)
        best = max(self._links.get(daemon, 0) for daemon in ranked)
        return sorted(
            ranked, key=lambda daemon: self._links.get(daemon, 0) < best * ABLE_PART
        )

    def list_all(self) -> list[str]:
        """Return the daemons that the store lists, and this one."""
        return list(self._registered.keys() | {self._own})

    def listed(self) -> dict[str, Address]:
        """Return the daemons that the store lists."""
        return dict(self._registered)

    def note_sender(self, daemon: str, address: Address) -> None:
        """Answer a daemon that was heard before the store's list was read again."""
        self._registered.setdefault(daemon, address)

    def take(self, news: PeerState) -> bool:
        """Take in a message; tell whether it is news."""
        known = self._heard.get(news.daemon)
        if known is not None and known.news.process == news.process:
            if news.sequence <= known.news.sequence:
                return False
        now = self._clock.monotonic()
        if known is None or now - known.at > self._silent_seconds():
            logger.bind(peer=news.daemon, process=news.process).info('peer heard')
        self._heard[news.daemon] = _Heard(news, now, news.wall - self._wall())
        self._domains[news.daemon] = news.failure_domain
        return True

    def uses_summaries(self) -> bool:
        """Tell whether there are too many daemons for each to tell all others."""
        return len(self._registered) > MOST_DIRECT

    def is_far(self, daemon: str) -> bool:
        """Tell whether a daemon is known to be in another failure domain."""
        return self._domains.get(daemon, self._domain) != self._domain

    def group_far(self) -> dict[FailureDomainId, list[str]]:
        """Return the listed daemons of other failure domains."""
        groups: dict[FailureDomainId, list[str]] = {}
        for daemon in self._registered:
            if self.is_far(daemon):
                groups.setdefault(self._domains[daemon], []).append(daemon)
        return groups

    def heard_near(self) -> dict[str, PeerState]:
        """Return the news of those of the own failure domain that are heard now."""
        return {
            daemon: news
            for daemon, news in self.heard().items()
            if news.failure_domain == self._domain
        }

    def listed_near(self) -> list[str]:
        """Return the listed daemons of the own failure domain."""
        return [daemon for daemon in self._registered if not self.is_far(daemon)]

    def heard_group(self) -> dict[str, GroupMember]:
        """Return those that share duties with this daemon and are heard now."""
        return self._find_members(self._silent_seconds())

    def unsuspected_members(self) -> dict[str, GroupMember]:
        """Return those of them that have not missed some messages in a row."""
        turn = HUB_SECONDS if self.uses_summaries() else self.propagation_seconds()
        return self._find_members(max(SUSPECT_SECONDS, SUSPECT_TURNS * turn))

    def _find_members(self, seconds: float) -> dict[str, GroupMember]:
        since = self._clock.monotonic() - seconds
        direct = {
            daemon: heard.as_member()
            for daemon, heard in self._heard.items()
            if heard.at >= since
        }
        if not self.uses_summaries():
            return direct
        near = {
            daemon: member
            for daemon, member in direct.items()
            if member.failure_domain == self._domain
        }
        return {**self.hub_members(), **near}

    def propagation_seconds(self) -> float:
        """Return how long it takes until each daemon's state is known to all others."""
        if self.uses_summaries():
            return SUMMARY_TURN_SECONDS
        return max(SEND_SECONDS, len(self._registered) / MOST_FAR_PER_SECOND)

    def _silent_seconds(self) -> float:
        return max(SILENT_SECONDS, SILENT_TURNS * self.propagation_seconds())

    def monotonic(self) -> float:
        """Return the book's clock."""
        return self._clock.monotonic()

    def part_by_domain(self) -> tuple[list[Address], list[Address]]:
        """Return where to send to: in the own failure domain, and elsewhere.

        A daemon of which nothing is known counts as near.
        """
        near: list[Address] = []
        far: list[Address] = []
        for daemon, address in self._registered.items():
            if daemon != self._own:
                (far if self.is_far(daemon) else near).append(address)
        return near, far

    def find_address(self, daemon: str) -> Address | None:
        """Return where a daemon is."""
        return self._registered.get(daemon)

    def heard(self) -> dict[str, PeerState]:
        """Return the news of those that are heard now."""
        return {daemon: heard.news for daemon, heard in self._heard_now().items()}

    def _heard_now(self) -> dict[str, _Heard]:
        now = self._clock.monotonic()
        silent = self._silent_seconds()
        return {
            daemon: heard
            for daemon, heard in self._heard.items()
            if now - heard.at <= silent
        }

    def find_unresponsive_domains(self) -> frozenset[FailureDomainId]:
        """Return the failure domains that all listed daemons have gone silent in.

        A failure domain that is cut off shows here half a second after the cut, by
        messages that come anyway; requests to its servers would each wait for a time
        limit first. It is a guess, as where a domain's only daemon has ended, so its
        servers are put behind the others but not left out. A daemon that hears
        nobody is itself cut off, and guesses nothing.
        """
        now = self._clock.monotonic()
        newest: dict[FailureDomainId, float] = {}
        for daemon, heard in self._heard.items():
            if daemon in self._registered:
                domain = heard.news.failure_domain
                newest[domain] = max(newest.get(domain, 0), heard.at)
        silent = frozenset(
            domain
            for domain, at in newest.items()
            if domain != self._domain and now - at > SUSPECT_SECONDS
        )
        return silent if len(silent) < len(newest) else frozenset()

    def count_daemons(self) -> int:
        """Return how many daemons there are, this one included, heard or not."""
        return len(self._registered.keys() | self.heard().keys() | {self._own})

    def read_own_wall(self) -> float:
        """Return the time of day by this instance alone."""
        return self._wall()

    def wall(self) -> float:
        """Return the time of day that most daemons agree on.

        A clock that was set wrong by itself is outvoted by the peers'.
        """
        told = self.find_hub_wall()
        if told is not None:
            return told
        ahead = [heard.wall_ahead for heard in self._heard_now().values()]
        return self._wall() + median([0.0, *ahead])


def _know_nothing() -> None:
    """Return the time of a hub that there is none of."""
