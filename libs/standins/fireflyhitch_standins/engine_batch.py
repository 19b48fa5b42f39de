"""Drives the engine model with an event loop's clock."""

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

# Prompts take no time; the model divides by this rate.
FREE_PROMPT_TOKENS_PER_SECOND = 1e9


class BatchPacing:
    """Continuous batching: implements ``Pacing`` with the engine model.

    The batch profile is taken from the settings at startup; faults follow later
    changes of the settings.

    :param settings: returns the current settings.
    :param advance: generates a stream's next token.
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
        self._timer: asyncio.TimerHandle | None = None
        self._serial = 0
        self._advanced_to = 0.0

    def begin(self, generation: Generation) -> None:
        """Queue a stream.

        :raises EngineRefusal: if the queue is full.
        """
        self._serial += 1
        # The model runs each attempt only once. The serial number makes an attempt
        # that is sent twice run twice, as a real engine would.
        key = AttemptId(f'{generation.completion.attempt}/{self._serial}')
        self._run()
        self._engine.submit(self._make_call(key, generation), self._advanced_to)
        generation.key = key
        self._streams[key] = generation
        self._schedule()

    def end(self, generation: Generation) -> None:
        """Remove a stream from the batch."""
        key = AttemptId(generation.key)
        if self._streams.pop(key, None) is not None:
            # Cancelled at the time of the events being processed: if the engine
            # advanced between them, later tokens would overtake earlier ones.
            self._engine.cancel(key, self._advanced_to)
            self._schedule()

    def count(self) -> int:
        """Return the number of running and waiting streams."""
        return len(self._streams)

    def load(self) -> Load:
        """Return the newest visible load report with its age."""
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
        completion = generation.completion
        left = self._settings().answer_tokens - completion.held
        return EngineCall(
            key,
            completion.prompt_tokens,
            max(1, min(completion.limit, left)),
            completion.prefix_blocks,
            Priority(min(max(completion.priority, Priority.URGENT), Priority.BATCH)),
            completion.route,
            generation.imported_tokens,
        )

    def _run(self) -> None:
        self._set_faults()
        self._advanced_to = self._loop.time() - self._started
        for event in self._engine.advance(self._advanced_to):
            generation = self._streams.get(event.attempt)
            if generation is not None and isinstance(event, TokenEvent):
                self._emit(event, generation)
        self._schedule()

    def _emit(self, event: TokenEvent, generation: Generation) -> None:
        if event.index == 0:
            state = self._engine.stream(event.attempt)
            generation.cached_tokens = state.cached_tokens if state else 0
        self._advance(generation)

    def _schedule(self) -> None:
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None
        due = self._engine.next_event()
        if due is not None:
            self._timer = self._loop.call_at(self._started + due, self._run)

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
