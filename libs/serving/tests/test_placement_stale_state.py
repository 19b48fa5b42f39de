"""Simulation of many daemons that receive each other's load with a delay."""

import heapq
import random
from collections.abc import Callable

from simulated_arrivals import simulate_arrivals
from test_placement import choose_by_wait, make_server

from fireflyhitch_model.ids import FailureDomainId
from fireflyhitch_serving.messages import PromptPart
from fireflyhitch_serving.placement import PromptRequest
from fireflyhitch_serving.servers import InFlight, ServerRecord

LOCAL_DOMAIN = FailureDomainId('gent')
ENGINES = 24
DAEMONS = 16
PROMPTS_PER_SECOND = 110
SIMULATED_SECONDS = 8
EXCHANGE_SECONDS = 0.7
SECONDS_PER_TOKEN = 1 / 60_000
TARGET_SECONDS = 1.0
TOPICS = 160
Choose = Callable[[PromptRequest, list[ServerRecord], float], ServerRecord]


def choose_by_least_wait(
    prompt: PromptRequest, records: list[ServerRecord], now: float
) -> ServerRecord:
    """Choose the engine with the lowest expected wait."""

    def find_wait(record: ServerRecord) -> int:
        shared = prompt.parts[0]
        cached = shared.part_id in record.parts
        return record.total(now).prompt_tokens - cached * shared.tokens

    return min(records, key=find_wait)


class SimulatedFleet:
    """Engines, and each daemon's view of them."""

    def __init__(self) -> None:
        self.views = [
            [make_server(f'e{number}', LOCAL_DOMAIN, 48) for number in range(ENGINES)]
            for _ in range(DAEMONS)
        ]
        self.reread_tokens = 0
        self._cached: list[set[str]] = [set() for _ in range(ENGINES)]
        self._free_at = [0.0 for _ in range(ENGINES)]
        self._waiting = [0 for _ in range(ENGINES)]
        self._completions: list[tuple[float, int, int, int]] = []
        self._unsent_parts: list[tuple[int, str]] = []

    def send(
        self, daemon: int, prompt: PromptRequest, choose: Choose, now: float
    ) -> float:
        """Place a prompt by a daemon's view; return the seconds to its first token."""
        view = self.views[daemon]
        record = choose(prompt, view, now)
        engine = view.index(record)
        shared = prompt.parts[0]
        fresh = prompt.tokens
        if shared.part_id in self._cached[engine]:
            fresh -= shared.tokens
        elif any(shared.part_id in cached for cached in self._cached):
            self.reread_tokens += shared.tokens
        self._cached[engine].add(shared.part_id)
        end = max(now, self._free_at[engine]) + fresh * SECONDS_PER_TOKEN
        self._free_at[engine] = end
        record.add_cached_parts(prompt.parts, now)
        record.prompt_tokens += fresh
        self._waiting[engine] += fresh
        self._unsent_parts.append((engine, shared.part_id))
        heapq.heappush(self._completions, (end, engine, daemon, fresh))
        return end - now

    def complete_until(self, now: float) -> None:
        """Complete the prompts that have been read by then."""
        while self._completions and self._completions[0][0] <= now:
            _, engine, daemon, fresh = heapq.heappop(self._completions)
            self.views[daemon][engine].prompt_tokens -= fresh
            self._waiting[engine] -= fresh

    def exchange_state(self, now: float) -> None:
        """Send each daemon the current load of the others."""
        for view in self.views:
            for record, waiting in zip(view, self._waiting, strict=True):
                others = InFlight(0, waiting - record.prompt_tokens)
                record.update_peer('others', others, now)
            for engine, part in self._unsent_parts:
                view[engine].add_cached_part(part, now)
        self._unsent_parts = []


def simulate(choose: Choose) -> tuple[float, int]:
    """Return the fraction of first tokens in time, and shared tokens read again."""
    rng = random.Random(11)  # noqa: S311
    fleet = SimulatedFleet()
    sent_prompts = 0
    in_time = 0
    arrivals = simulate_arrivals(
        fleet,
        rng,
        arrivals_per_second=PROMPTS_PER_SECOND,
        exchange_seconds=EXCHANGE_SECONDS,
        seconds=SIMULATED_SECONDS,
    )
    for now in arrivals:
        long = rng.random() < 0.3
        topic = rng.randrange(TOPICS)
        shared = PromptPart(f'p{long}{topic}', 13_000 if long else 2_000)
        own = PromptPart(
            f'o{sent_prompts}', rng.randrange(500, 12_000 if long else 3_000)
        )
        prompt = PromptRequest(
            shared.tokens + own.tokens, (shared, own), TARGET_SECONDS, SECONDS_PER_TOKEN
        )
        seconds = fleet.send(rng.randrange(DAEMONS), prompt, choose, now)
        sent_prompts += 1
        in_time += seconds <= TARGET_SECONDS * 0.5
    return in_time / sent_prompts, fleet.reread_tokens


class TestStaleState:
    def test_more_first_tokens_are_in_time_than_by_lowest_wait(self) -> None:
        # Sixteen daemons exchange their load every 0.7 s. Each one sends to the engine
        # that was idle at the last exchange, so their prompts collide there, and shared
        # parts are read on many engines. With two preferred servers, 0.95 of the first
        # tokens are within half of the target, and 411,000 shared tokens are read again.
        # With one preferred server, and any other one as soon as it seems faster, it was
        # 0.78 and 843,000; by the lowest wait alone, it is 0.46 and 1,704,000.
        in_time, reread_tokens = simulate(choose_by_wait)
        plain_in_time, plain_reread_tokens = simulate(choose_by_least_wait)
        assert in_time >= plain_in_time + 0.05
        assert reread_tokens < 0.6 * plain_reread_tokens
