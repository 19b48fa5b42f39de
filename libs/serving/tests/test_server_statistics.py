"""Tests of what daemons learn together of servers that are slow, hang or fail."""

import heapq
import random
from statistics import median_high
from typing import NamedTuple

from simulated_arrivals import simulate_arrivals
from test_placement import find_affinity_servers, make_server

from fireflyhitch_model.ids import DeploymentId, FailureDomainId
from fireflyhitch_serving.messages import PromptPart
from fireflyhitch_serving.placement import Locality, PromptRequest, place_prompt
from fireflyhitch_serving.server_statistics import (
    AnswerCounts,
    ServerStatistics,
    compute_relative_latency,
    find_lateness,
    find_slowness,
    is_failing,
)
from fireflyhitch_serving.servers import InFlight, ServerRecord, ServerRegistry

HERE = FailureDomainId('gent')
USUAL_RATE = 0.1
ENGINES = 20
DAEMONS = 60
SLOW_ENGINES = 4
SLOWNESS = 4.0
NEWS_SECONDS = 0.5
PROMPTS_PER_SECOND = 60
PLAYED_SECONDS = 12
SLOW_FROM = 2.0
SECONDS_PER_TOKEN = 1 / 60_000
TARGET_SECONDS = 0.5
TOPICS = 200
Parts = tuple[PromptPart, ...]


def see(answers: int, failed: int) -> AnswerCounts:
    """Return answers, some of which failed and the others came in time."""
    return AnswerCounts(answers, failed, answers)


class TestFailing:
    def test_a_server_that_hangs_is_known_by_what_all_have_seen(self) -> None:
        """Guards against each of many daemons that has to find it out by itself."""
        evidence = ServerStatistics()
        evidence.record_response(0, failed=True, relative_latency=4)
        assert not is_failing(evidence.sum_all(0), USUAL_RATE)
        for number in range(8):
            evidence.update_peer(f'd{number}', see(1, 1), 0)
        assert is_failing(evidence.sum_all(0.1), USUAL_RATE)

    def test_it_is_tried_again_once_that_was_a_while_ago(self) -> None:
        """Guards against a server that is well again and gets nothing for good."""
        evidence = ServerStatistics()
        for second in range(10):
            evidence.record_response(second / 10, failed=True, relative_latency=4)
        assert is_failing(evidence.sum_all(1), USUAL_RATE)
        assert not is_failing(evidence.sum_all(6), USUAL_RATE)

    def test_failures_that_all_servers_have_leave_out_none(self) -> None:
        """Guards against good servers left out by chance, one after the other."""
        rng = random.Random(6)  # noqa: S311
        evidence = ServerStatistics()
        left_out = 0
        for number in range(3000):
            now = number / 4
            failed = rng.random() < 0.14
            evidence.record_response(now, failed=failed, relative_latency=1)
            left_out += is_failing(evidence.sum_all(now), 0.14)
        assert left_out < 30

    def test_a_peer_that_is_silent_tells_nothing(self) -> None:
        evidence = ServerStatistics()
        evidence.update_peer('d1', see(20, 20), 0)
        assert not evidence.sum_all(3).answers


class TestJudging:
    def test_a_failing_server_is_marked_in_the_book(self) -> None:
        book = ServerRegistry()
        for number in range(3):
            book.put(make_server(f's{number}', HERE, 12).server)
        bad, *good = book.all().values()
        for record in good:
            record.evidence.update_peer('d1', see(10, 1), 0)
        bad.evidence.update_peer('d1', see(10, 9), 0)
        book.evaluate(DeploymentId(bad.server.service), 0.1)
        assert bad.failing
        assert not any(record.failing for record in good)


class Sent(NamedTuple):
    """A prompt that an engine reads, and its time as a multiple of what was expected."""

    daemon: int
    tokens: int
    relative_latency: float


class Fleet:
    """Daemons that each see a small part of what engines do; some engines turn slow."""

    def __init__(self, *, shares: bool) -> None:
        self.views = [
            [make_server(f'e{number}', HERE, 48) for number in range(ENGINES)]
            for _ in range(DAEMONS)
        ]
        self._shares = shares
        self._free_at = [0.0 for _ in range(ENGINES)]
        self._ends: list[tuple[float, int, Sent]] = []
        self._waiting = [0 for _ in range(ENGINES)]

    def send(self, daemon: int, parts: Parts, now: float) -> float:
        """Have a daemon place a prompt; return the seconds to its first token."""
        view = self.views[daemon]
        tokens = sum(part.tokens for part in parts)
        need = PromptRequest(tokens, parts, TARGET_SECONDS, SECONDS_PER_TOKEN)
        agreed = find_affinity_servers(need, view)
        placement = place_prompt(need, view, Locality(HERE), now, agreed)
        assert placement is not None
        engine = view.index(placement.record)
        pace = SECONDS_PER_TOKEN
        if engine < SLOW_ENGINES and now > SLOW_FROM:
            pace *= SLOWNESS
        end = max(now, self._free_at[engine]) + tokens * pace
        self._free_at[engine] = end
        placement.record.prompt_tokens += tokens
        self._waiting[engine] += tokens
        expected = (placement.queued_tokens + tokens) * SECONDS_PER_TOKEN
        relative_latency = compute_relative_latency(end - now, expected)
        sent = Sent(daemon, tokens, relative_latency)
        heapq.heappush(self._ends, (end, engine, sent))
        return end - now

    def complete_until(self, now: float) -> None:
        """Note the prompts that were read by then."""
        while self._ends and self._ends[0][0] <= now:
            end, engine, sent = heapq.heappop(self._ends)
            record = self.views[sent.daemon][engine]
            record.prompt_tokens -= sent.tokens
            self._waiting[engine] -= sent.tokens
            record.evidence.record_response(
                end, failed=False, relative_latency=sent.relative_latency
            )

    def exchange_state(self, now: float) -> None:
        """Let each daemon hear of the others' work, and what they have seen."""
        for engine in range(ENGINES):
            records = [view[engine] for view in self.views]
            seen = [record.evidence.read_local(now) for record in records]
            total = AnswerCounts()
            for counts in seen:
                total = total.add(counts)
            for record, own in zip(records, seen, strict=True):
                self._tell(record, engine, total.subtract(own), now)
        for view in self.views:
            late = [find_lateness(seen.evidence.sum_all(now)) for seen in view]
            usual = median_high(late)
            for found, judged in zip(late, view, strict=True):
                judged.slowness = find_slowness(found, usual)

    def _tell(
        self, record: ServerRecord, engine: int, others: AnswerCounts, now: float
    ) -> None:
        waiting = self._waiting[engine] - record.prompt_tokens
        record.update_peer('others', InFlight(0, waiting), now)
        if self._shares:
            record.evidence.update_peer('others', others, now)


def play(*, shares: bool) -> float:
    """Return the part of first tokens in time while some engines are slow."""
    rng = random.Random(7)  # noqa: S311
    fleet = Fleet(shares=shares)
    asked = 0
    in_time = 0
    moments = simulate_arrivals(
        fleet,
        rng,
        arrivals_per_second=PROMPTS_PER_SECOND,
        exchange_seconds=NEWS_SECONDS,
        seconds=PLAYED_SECONDS,
    )
    for now in moments:
        topic = PromptPart(f'p{rng.randrange(TOPICS)}', 2_000)
        own = PromptPart(f'o{now}', rng.randrange(500, 8_000))
        seconds = fleet.send(rng.randrange(DAEMONS), (topic, own), now)
        if now > SLOW_FROM:
            asked += 1
            in_time += seconds <= TARGET_SECONDS
    return in_time / asked


class TestSlowEngines:
    def test_callers_are_kept_from_engines_that_others_found_slow(self) -> None:
        """Guards against late first tokens at engines that only some know to be slow."""
        together = play(shares=True)
        alone = play(shares=False)
        assert together >= 0.9
        assert together >= alone + 0.02
