"""Drives the engine model in passed time by an event loop's clock."""

import asyncio
from collections.abc import Callable

from fireflyhitch_model.backends import CacheEvent
from fireflyhitch_model.ids import AttemptId, BackendServerId
from fireflyhitch_model.states import Priority
from fireflyhitch_standins.engine import Engine
from fireflyhitch_standins.engine_generation import Generation
from fireflyhitch_standins.engine_messages import (
    EngineCall,
    EngineFaults,
    EngineProfile,
    TokenEvent,
)
from fireflyhitch_standins.engine_pacing import Advance, Load
from fireflyhitch_standins.engine_settings import EngineSettings

# Prompts cost nothing; the model divides by this.
FREE_PROMPT_TOKENS_PER_SECOND = 1e9


class BatchPacing:
    """Continuous batching: implements ``Pacing`` with the engine model.

    The batch's shape is fixed by the settings at the start; faults follow them.

    :param settings: returns the settings in force now.
    :param advance: gives a stream its next token.
    """

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        settings: Callable[[], EngineSettings],
        advance: Advance,
    ) -> None:
        self._loop = loop
        self._settings = settings
        self._advance = advance
        self._engine = Engine(BackendServerId('self'), _make_profile(settings()))
        self._started = loop.time()
        self._streams: dict[AttemptId, Generation] = {}
        self._planned: asyncio.TimerHandle | None = None
        self._serial = 0
        self._advanced_to = 0.0

    def begin(self, generation: Generation) -> None:
        """Queue a stream.

        :raises EngineRefusal: if the queue is full.
        """
        self._serial += 1
        # The model runs an attempt once; an attempt that is sent twice here
        # runs twice, as an engine would do it.
        key = AttemptId(f'{generation.ask.attempt}/{self._serial}')
        self._run()
        self._engine.submit(self._make_call(key, generation), self._advanced_to)
        generation.key = key
        self._streams[key] = generation
        self._plan()

    def end(self, generation: Generation) -> None:
        """Free a stream's place in the batch."""
        key = AttemptId(generation.key)
        if self._streams.pop(key, None) is not None:
            # At the time of the events in hand: the engine must not move on
            # between them, or later tokens would overtake earlier ones.
            self._engine.cancel(key, self._advanced_to)
            self._plan()

    def count(self) -> int:
        """Return how many streams run or wait now."""
        return len(self._streams)

    def load(self) -> Load:
        """Return the newest report that is visible, with its age."""
        self._run()
        report = self._engine.load_report(self._advanced_to)
        if report is None:
            return Load(0, 0)
        age = self._advanced_to - report.measured
        return Load(report.running, report.waiting, report.kv_cache_used, age)

    def cache_events(self, after: int) -> tuple[CacheEvent, ...]:
        """Return visible changes of the prefix cache; some may be missing."""
        self._run()
        return self._engine.cache_events(after, self._advanced_to)

    def _make_call(self, key: AttemptId, generation: Generation) -> EngineCall:
        ask = generation.ask
        left = self._settings().answer_tokens - ask.held
        return EngineCall(
            key,
            ask.prompt_tokens,
            max(1, min(ask.limit, left)),
            ask.prefix_blocks,
            Priority(min(max(ask.priority, Priority.URGENT), Priority.BATCH)),
            ask.route,
            generation.imported_tokens,
        )

    def _run(self) -> None:
        self._set_faults()
        self._advanced_to = self._loop.time() - self._started
        for event in self._engine.advance(self._advanced_to):
            generation = self._streams.get(event.attempt)
            if generation is not None and isinstance(event, TokenEvent):
                self._emit(event, generation)
        self._plan()

    def _emit(self, event: TokenEvent, generation: Generation) -> None:
        if event.index == 0:
            state = self._engine.stream(event.attempt)
            generation.cached_tokens = state.cached_tokens if state else 0
        self._advance(generation)

    def _plan(self) -> None:
        if self._planned is not None:
            self._planned.cancel()
            self._planned = None
        due = self._engine.next_event()
        if due is not None:
            self._planned = self._loop.call_at(self._started + due, self._run)

    def _set_faults(self) -> None:
        settings = self._settings()
        self._engine.faults = EngineFaults(
            slowness=settings.slowness, slow_above=settings.slow_above
        )


def _make_profile(settings: EngineSettings) -> EngineProfile:
    prompt_rate = FREE_PROMPT_TOKENS_PER_SECOND
    if settings.prefill_seconds:
        prompt_rate = 1 / settings.prefill_seconds
    return EngineProfile(
        max_running=settings.max_running,
        max_waiting=settings.max_waiting,
        step_seconds=settings.token_seconds,
        step_seconds_per_call=settings.token_seconds_per_call,
        prompt_tokens_per_second=prompt_rate,
        cache_tokens=settings.cache_tokens,
        report_lag=settings.report_lag_seconds,
        event_lag=settings.event_lag_seconds,
        event_loss=settings.event_loss,
    )
