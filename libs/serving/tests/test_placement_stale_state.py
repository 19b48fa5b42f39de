"""A play of many daemons that hear of each other's work late."""

import heapq
import random
from collections.abc import Callable

from simulated_arrivals import simulate_arrivals
from test_placement import by_time, make_server

from fireflyhitch_model.ids import FailureDomainId
from fireflyhitch_serving.messages import PromptPart
from fireflyhitch_serving.placement import PromptRequest
from fireflyhitch_serving.servers import InFlight, ServerRecord

HERE = FailureDomainId('gent')
ENGINES = 24
DAEMONS = 16
PROMPTS_PER_SECOND = 110
PLAYED_SECONDS = 8
NEWS_SECONDS = 0.7
SECONDS_PER_TOKEN = 1 / 60_000
TARGET_SECONDS = 1.0
TOPICS = 160
Choose = Callable[[PromptRequest, list[ServerRecord], float], ServerRecord]


def by_least_wait(
    need: PromptRequest, records: list[ServerRecord], now: float
) -> ServerRecord:
    """Choose the engine with the least expected wait of all."""

    def find_wait(record: ServerRecord) -> int:
        shared = need.parts[0]
        known = shared.part_id in record.parts
        return record.total(now).prompt_tokens - known * shared.tokens

    return min(records, key=find_wait)


class Fleet:
    """Engines, and what each daemon believes of them."""

    def __init__(self) -> None:
        self.views = [
            [make_server(f'e{number}', HERE, 48) for number in range(ENGINES)]
            for _ in range(DAEMONS)
        ]
        self.read_again = 0
        self._cached: list[set[str]] = [set() for _ in range(ENGINES)]
        self._free_at = [0.0 for _ in range(ENGINES)]
        self._waiting = [0 for _ in range(ENGINES)]
        self._ends: list[tuple[float, int, int, int]] = []
        self._untold: list[tuple[int, str]] = []

    def send(
        self, daemon: int, need: PromptRequest, choose: Choose, now: float
    ) -> float:
        """Have a daemon place a prompt; return the seconds to its first token."""
        view = self.views[daemon]
        record = choose(need, view, now)
        engine = view.index(record)
        shared = need.parts[0]
        fresh = need.tokens
        if shared.part_id in self._cached[engine]:
            fresh -= shared.tokens
        elif any(shared.part_id in cached for cached in self._cached):
            self.read_again += shared.tokens
        self._cached[engine].add(shared.part_id)
        end = max(now, self._free_at[engine]) + fresh * SECONDS_PER_TOKEN
        self._free_at[engine] = end
        record.add_cached_parts(need.parts, now)
        record.prompt_tokens += fresh
        self._waiting[engine] += fresh
        self._untold.append((engine, shared.part_id))
        heapq.heappush(self._ends, (end, engine, daemon, fresh))
        return end - now

    def complete_until(self, now: float) -> None:
        """Note the prompts that were read by then."""
        while self._ends and self._ends[0][0] <= now:
            _, engine, daemon, fresh = heapq.heappop(self._ends)
            self.views[daemon][engine].prompt_tokens -= fresh
            self._waiting[engine] -= fresh

    def exchange_state(self, now: float) -> None:
        """Let each daemon hear what the others have in flight now."""
        for view in self.views:
            for record, waiting in zip(view, self._waiting, strict=True):
                others = InFlight(0, waiting - record.prompt_tokens)
                record.update_peer('others', others, now)
            for engine, part in self._untold:
                view[engine].add_cached_part(part, now)
        self._untold = []


def play(choose: Choose) -> tuple[float, int]:
    """Return the part of first tokens in time, and shared tokens read again."""
    rng = random.Random(11)  # noqa: S311
    fleet = Fleet()
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
        long = rng.random() < 0.3
        topic = rng.randrange(TOPICS)
        shared = PromptPart(f'p{long}{topic}', 13_000 if long else 2_000)
        own = PromptPart(f'o{asked}', rng.randrange(500, 12_000 if long else 3_000))
        need = PromptRequest(
            shared.tokens + own.tokens, (shared, own), TARGET_SECONDS, SECONDS_PER_TOKEN
        )
        seconds = fleet.send(rng.randrange(DAEMONS), need, choose, now)
        asked += 1
        in_time += seconds <= TARGET_SECONDS * 0.5
    return in_time / asked, fleet.read_again


class TestLateNews:
    def test_more_callers_get_their_first_token_in_time(self) -> None:
        # Sixteen daemons hear of each other's work each 0.7 s. Each sends to the engine
        # that was idle then, so they meet there, and shared parts are read at many.
        # First tokens within half of the target: 0.78 with one agreed server and any
        # other as soon as it seems faster, 0.95 with two; shared tokens read again:
        # 843,000 before, 411,000 after. By the least wait alone 0.46 and 1,704,000.
        served, read_again = play(by_time)
        plain, plain_again = play(by_least_wait)
        assert served >= plain + 0.05
        assert read_again < 0.6 * plain_again
