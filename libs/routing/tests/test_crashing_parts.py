"""Tests of which parts of prompts are held back."""

import random
from collections import Counter
from dataclasses import dataclass, field
from itertools import count

import pytest

from fireflyhitch_model.identity import find_part_position, identify_parts
from fireflyhitch_model.ids import ContentId, DeploymentId, ProcessId
from fireflyhitch_routing.crashes import CrashTracker, ServerCrash
from fireflyhitch_routing.crashing_parts import CERTAIN_CRASHES
from fireflyhitch_routing.quarantine import Quarantine

SERVICE = DeploymentId('engines')


def identify(*part_ids: str) -> tuple[ContentId, ...]:
    """Return ids of the parts of a prompt."""
    return identify_parts(SERVICE, part_ids)


class Records:
    """Crash records of one daemon, with a second between crashes."""

    def __init__(self) -> None:
        self.tracker = CrashTracker()
        self.quarantine = Quarantine(self.tracker)
        self.now = 100.0
        self._numbers = count(1)

    def crash(self, *part_ids: str, request: str = '', began: float = 0.1) -> None:
        """Crash a server under a request, by default one like no other."""
        number = next(self._numbers)
        contents = (ContentId(request or f'request-{number}'), *identify(*part_ids))
        for content in contents:
            crash = ServerCrash(self.now, self.now - began)
            self.tracker.record_crash(content, ProcessId(number), crash, self.now)
        self.now += 1
        self.quarantine.review(self.now, 0)

    def respond(self, *part_ids: str) -> None:
        """Answer a request."""
        for part in identify(*part_ids):
            self.tracker.record_response(part, self.now)

    def find_held(self, *part_ids: str) -> list[str]:
        """Return which parts of a prompt are held."""
        parts = zip(part_ids, identify(*part_ids), strict=True)
        held = self.quarantine.held()
        return [part_id for part_id, part in parts if part in held]


class TestParts:
    def test_a_part_is_known_by_service_position_and_id(self) -> None:
        first, second = identify('x', 'x')
        assert first != second
        assert identify_parts(DeploymentId('other'), ['x'])[0] != first
        assert find_part_position(second) == 1
        assert find_part_position(ContentId('0f12ab')) is None

    def test_a_part_of_different_requests_is_held_and_an_answered_one_is_not(
        self,
    ) -> None:
        records = Records()
        records.respond('shared')
        for number in range(3):
            assert not records.find_held('shared', 'bad')
            records.crash('shared', 'bad', f'topic-{number}')
        assert records.find_held('shared', 'bad', 'topic-0') == ['bad']

    def test_a_first_part_is_held_and_the_parts_behind_it_are_not(self) -> None:
        records = Records()
        for number in range(3):
            records.respond('shared', f'topic-{number}')
            records.crash('bad', f'topic-{number}')
        assert records.find_held('bad', 'topic-0') == ['bad']

    def test_of_parts_without_an_answer_the_later_one_is_held(self) -> None:
        records = Records()
        for _ in range(CERTAIN_CRASHES):
            assert not records.find_held('shared', 'bad')
            records.crash('shared', 'bad')
        for _ in range(3):
            records.crash('shared', 'other-1')
        assert records.find_held('shared', 'bad') == ['bad']

    def test_two_bad_parts_at_once_do_not_hold_the_part_before_them(self) -> None:
        records = Records()
        for _ in range(CERTAIN_CRASHES):
            records.crash('shared', 'bad')
            records.crash('shared', 'worse')
        assert records.find_held('shared', 'bad') == ['bad']
        assert records.find_held('shared', 'worse') == ['worse']

    def test_retries_of_one_request_hold_none_of_its_parts(self) -> None:
        records = Records()
        for _ in range(8):
            records.crash('shared', 'topic', request='same')
        assert not records.find_held('shared', 'topic')
        assert ContentId('same') in records.quarantine.held()

    def test_five_crashes_under_two_requests_are_enough(self) -> None:
        records = Records()
        records.respond('shared')
        for request in ('one', 'one', 'one', 'two'):
            records.crash('shared', 'bad', request=request)
            assert not records.find_held('bad')
        records.crash('shared', 'bad', request='two')
        assert records.find_held('shared', 'bad') == ['bad']

    def test_servers_that_crash_at_one_moment_hold_no_part(self) -> None:
        # A failure domain loses power.
        records = Records()
        for _ in range(4):
            records.crash('shared', 'topic', began=60)
        assert not records.find_held('shared', 'topic')


@dataclass(slots=True)
class Run:
    """A request at a server.

    :param begins: when its response begins.
    :param ends: when its response is complete.
    """

    content: ContentId
    parts: tuple[str, ...]
    server: int
    sent: float
    begins: float
    ends: float


@dataclass(slots=True)
class Traffic:
    """Prompts at six servers, of which each one that crashes is back after two seconds.

    :param bad: a part that crashes servers.
    :param crashes_per_second: crashes without a cause in a request.
    :ivar arrived: times at which requests with the bad part reached servers.
    :ivar crashed: times at which they crashed one.
    """

    seed: int
    bad: str = ''
    crashes_per_second: float = 0
    records: Records = field(default_factory=Records)
    runs: list[Run] = field(default_factory=list)
    arrived: list[float] = field(default_factory=list)
    crashed: list[float] = field(default_factory=list)
    up_at: Counter[int] = field(default_factory=Counter)
    processes: Counter[int] = field(default_factory=Counter)
    sends: Counter[ContentId] = field(default_factory=Counter)
    numbers: count = field(default_factory=count)  # type: ignore[type-arg]
    rng: random.Random = field(init=False)

    def __post_init__(self) -> None:
        """Begin without requests."""
        self.rng = random.Random(self.seed)  # noqa: S311

    def play(self, seconds: float, bad_per_second: float = 0) -> None:
        """Send 20 sound requests a second, and some with the bad part."""
        records = self.records
        until = records.now + seconds
        while records.now < until:
            records.now += 0.02
            if self.rng.random() < 0.4:
                self._ask('', f'topic-{int(300 * self.rng.random() ** 2)}')
            if self.rng.random() < 0.02 * bad_per_second:
                self._ask('', self.bad)
            if self.rng.random() < 0.02 * self.crashes_per_second:
                self._crash(self.rng.randrange(6))
            self._advance()
            records.quarantine.review(records.now, 0.5)

    def _ask(self, request: str, *parts: str) -> None:
        """Send a request to a server that is up; a retry has its request's name."""
        records = self.records
        shared = (
            (f'shared-{self.rng.randrange(3)}', *parts) if len(parts) < 2 else parts
        )
        content = ContentId(request or f'request-{next(self.numbers)}')
        held = records.quarantine.held()
        if content in held or any(part in held for part in identify(*shared)):
            return
        up = [server for server in range(6) if self.up_at[server] <= records.now]
        if not up:
            return
        if self.bad in shared:
            self.arrived.append(records.now)
        begins = records.now + self.rng.uniform(0.05, 0.3)
        ends = begins + self.rng.uniform(0.5, 2)
        run = Run(content, shared, self.rng.choice(up), records.now, begins, ends)
        self.runs.append(run)

    def _advance(self) -> None:
        now = self.records.now
        for run in list(self.runs):
            if run not in self.runs or run.begins > now:
                continue
            if self.bad in run.parts:
                self.crashed.append(now)
                self._crash(run.server)
            elif run.begins <= now - 0.3:
                self.records.respond(*run.parts)
            if run.ends <= now and run in self.runs:
                self.runs.remove(run)

    def _crash(self, server: int) -> None:
        now = self.records.now
        if self.up_at[server] > now:
            return
        self.up_at[server] = now + 2  # type: ignore[assignment]
        self.processes[server] += 1
        process = ProcessId(server + 6 * self.processes[server])
        lost = [run for run in self.runs if run.server == server]
        self.runs = [run for run in self.runs if run.server != server]
        for run in lost:
            begun = run.begins < now and self.bad not in run.parts
            suspects = () if begun else identify(*run.parts)
            for suspect in (run.content, *suspects):
                crash = ServerCrash(now, run.sent)
                self.records.tracker.record_crash(suspect, process, crash, now)
        for run in lost:
            # A route's attempts, and as many of the caller's next try.
            self.sends[run.content] += 1
            if self.sends[run.content] < 4:
                self._ask(run.content, *run.parts)


class TestTraffic:
    @pytest.mark.parametrize('seed', range(10))
    @pytest.mark.parametrize('crashes_per_second', [0.3, 1, 3])
    def test_no_part_is_held_for_crashes_of_another_cause(
        self, seed: int, crashes_per_second: float
    ) -> None:
        traffic = Traffic(seed, crashes_per_second=crashes_per_second)
        traffic.play(60)
        assert not list(filter(is_part, traffic.records.quarantine.held()))

    @pytest.mark.parametrize('seed', range(10))
    @pytest.mark.parametrize('crashes_per_second', [0, 0.3])
    def test_a_bad_part_alone_is_held_before_it_crashes_many_servers(
        self, seed: int, crashes_per_second: float
    ) -> None:
        traffic = Traffic(seed, 'bad', crashes_per_second)
        traffic.play(10)
        traffic.play(40, bad_per_second=2)
        held = list(filter(is_part, traffic.records.quarantine.held()))
        assert held == [identify('', 'bad')[1]]
        since = traffic.crashed[min(CERTAIN_CRASHES, len(traffic.crashed)) - 1] + 3
        assert sum(at > since for at in traffic.arrived) <= 3


def is_part(content: ContentId) -> bool:
    """Return whether an id is that of a part."""
    return find_part_position(content) is not None
