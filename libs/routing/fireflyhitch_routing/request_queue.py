"""The order in which a service's requests wait for its servers, and for how long.

Servers get what they run well, and the rest waits at the daemon, where it can be
ordered and refused. This answers load above the servers' capacity that lasts for up to
some seconds; what lasts longer is shed before it gets here.
"""

from bisect import bisect_left, insort
from collections import Counter
from collections.abc import Callable, Hashable, Iterable
from dataclasses import dataclass, field
from heapq import heappop, heappush
from itertools import count
from typing import NamedTuple

from fireflyhitch_model.ids import CustomerId
from fireflyhitch_model.records import immutable

# Waiting requests of one service.
MAX_WAITING = 512
# Latest useful starts within one step of this length count as equal.
EQUAL_START_SECONDS = 0.1
# A request is refused if even this part of the expected wait is too long: work times
# vary, and what could be served is not refused for a somewhat high estimate.
FIRM_FRACTION = 0.75


@immutable
class StartRate:
    """How fast waiting requests are expected to start.

    :param delay: seconds until servers take the first one.
    :param interval: seconds between two starts of this daemon's requests.
    """

    delay: float
    interval: float

    def estimate_wait(self, place: int) -> float:
        """Return the expected wait of a request.

        :param place: number of requests that start before it.
        """
        return self.delay + (place + 1) * self.interval


@dataclass(slots=True, eq=False)
class WaitingRequest:
    """A request that waits for a server; all times are monotonic seconds.

    :param urgency: 0 is the most urgent.
    :param in_time_until: latest start that meets the latency target.
    :param latest_start: latest useful start.
    :param expires_at: when it is removed at the latest.
    :param need: equal for requests that the same servers may get; if there is no place
        for one of them, there is none for the others.
    :param may_be_refused: whether it is refused if its expected wait is too long.
    """

    urgency: int
    customer: CustomerId
    in_time_until: float
    latest_start: float
    expires_at: float
    need: Hashable
    may_be_refused: bool = True


class _Group(NamedTuple):
    urgency: int
    is_late: bool
    start_step: int


class _Rank(NamedTuple):
    group: _Group
    turn: int
    number: int


@dataclass(slots=True)
class _Turns:
    """The turns given in a group, which stay given while the group is in use."""

    by_customer: Counter[CustomerId] = field(default_factory=Counter)
    members: int = 0


class RequestQueue:
    """The waiting requests of one service, in the order in which they start.

    The most urgent come first; of these, those that can still meet their target, and
    then those with the earliest latest start. Among equals, customers take turns.
    """

    def __init__(self) -> None:
        """Create an empty queue."""
        self._order: list[_Rank] = []
        self._requests: dict[_Rank, WaitingRequest] = {}
        self._ranks: dict[WaitingRequest, _Rank] = {}
        self._turns: dict[_Group, _Turns] = {}
        self._needs: Counter[Hashable] = Counter()
        self._late: list[tuple[float, int, WaitingRequest]] = []
        self._expiring: list[tuple[float, int, WaitingRequest]] = []
        self._numbers = count()

    def __len__(self) -> int:
        """Return the number of waiting requests."""
        return len(self._order)

    def __contains__(self, request: WaitingRequest) -> bool:
        """Return whether a request waits here."""
        return request in self._ranks

    def add(self, request: WaitingRequest, now: float) -> WaitingRequest | None:
        """Add a request.

        :returns: the last one in the order, which is removed if there are too many.
        """
        number = next(self._numbers)
        heappush(self._expiring, (request.expires_at, number, request))
        is_late = request.in_time_until < now
        if not is_late:
            heappush(self._late, (request.in_time_until, number, request))
        self._insert(request, number, is_late=is_late)
        self._needs[request.need] += 1
        if len(self) <= MAX_WAITING:
            return None
        last = self._requests[self._order[-1]]
        self.remove(last)
        return last

    def remove(self, request: WaitingRequest) -> bool:
        """Remove a request; return whether it was here."""
        if request not in self._ranks:
            return False
        self._delete(request)
        self._needs[request.need] -= 1
        if not self._needs[request.need]:
            self._needs.pop(request.need)
        if not self._order:
            self._late.clear()
            self._expiring.clear()
        return True

    def advance(self, now: float) -> list[WaitingRequest]:
        """Move back what can no longer meet its target, and remove what has expired.

        :returns: the removed requests.
        """
        while self._late and self._late[0][0] < now:
            request = heappop(self._late)[-1]
            rank = self._ranks.get(request)
            if rank is not None:
                self._delete(request)
                self._insert(request, rank.number, is_late=True)
        expired: list[WaitingRequest] = []
        while self._expiring and self._expiring[0][0] <= now:
            request = heappop(self._expiring)[-1]
            if self.remove(request):
                expired.append(request)
        return expired

    def find_next_expiry(self) -> float:
        """Return when the next request may expire; infinity if none waits."""
        return self._expiring[0][0] if self._expiring else float('inf')

    def list_in_order(self) -> list[WaitingRequest]:
        """Return all waiting requests, the next one to start first."""
        return [self._requests[rank] for rank in self._order]

    def start_next(self, try_start: Callable[[WaitingRequest], bool]) -> bool:
        """Start the first request in the order that can start.

        Of requests with the same need, only the first is tried.

        :param try_start: starts a request; returns whether there was a place for it.
        :returns: whether one was started. It is no longer here then.
        """
        blocked: set[Hashable] = set()
        for request in self.list_in_order():
            if request.need in blocked:
                continue
            if try_start(request):
                self.remove(request)
                return True
            blocked.add(request.need)
            if len(blocked) == len(self._needs):
                break
        return False

    def count_before(self, request: WaitingRequest) -> int:
        """Return how many requests with the same need start before a waiting one."""
        rank = self._ranks[request]
        if len(self._needs) == 1:
            return bisect_left(self._order, rank)
        before = self._order[: bisect_left(self._order, rank)]
        return sum(self._requests[other].need == request.need for other in before)

    def _insert(self, request: WaitingRequest, number: int, *, is_late: bool) -> None:
        step = int(request.latest_start // EQUAL_START_SECONDS)
        group = _Group(request.urgency, is_late, step)
        turns = self._turns.setdefault(group, _Turns())
        rank = _Rank(group, turns.by_customer[request.customer], number)
        turns.by_customer[request.customer] += 1
        turns.members += 1
        insort(self._order, rank)
        self._requests[rank] = request
        self._ranks[request] = rank

    def _delete(self, request: WaitingRequest) -> None:
        rank = self._ranks.pop(request)
        self._requests.pop(rank)
        self._order.pop(bisect_left(self._order, rank))
        turns = self._turns[rank.group]
        turns.members -= 1
        if not turns.members:
            self._turns.pop(rank.group)


def starts_too_late(
    request: WaitingRequest, place: int, rate: StartRate | None, now: float
) -> bool:
    """Return whether a request is expected to start too late to be useful.

    Only a part of the expected wait counts (``FIRM_FRACTION``), since it is an estimate.

    :param rate: ``None`` if it is unknown.
    """
    if rate is None or not request.may_be_refused:
        return False
    return now + rate.estimate_wait(place) * FIRM_FRACTION > request.latest_start


def find_late_starts(
    requests: Iterable[WaitingRequest],
    find_rate: Callable[[WaitingRequest], StartRate | None],
    now: float,
) -> list[WaitingRequest]:
    """Return the requests that are expected to start too late to be useful.

    :param requests: in the order in which they start.
    """
    places: Counter[Hashable] = Counter()
    late: list[WaitingRequest] = []
    for request in requests:
        if starts_too_late(request, places[request.need], find_rate(request), now):
            late.append(request)
        else:
            places[request.need] += 1
    return late
