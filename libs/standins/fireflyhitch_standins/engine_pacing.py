"""Token timing and load reports of a stand-in engine."""

import asyncio
from collections.abc import Callable
from dataclasses import dataclass
from typing import Protocol

from fireflyhitch_model.backends import CacheEvent
from fireflyhitch_standins.engine_generation import Generation
from fireflyhitch_standins.engine_settings import EngineSettings

# Called for each token that is due; may end the stream.
Advance = Callable[[Generation], None]


@dataclass(frozen=True, slots=True)
class Load:
    """An engine's load report.

    :param age: seconds since it was measured.
    """

    running: int
    waiting: int
    kv_cache_used: float = 0
    age: float = 0


class Pacing(Protocol):
    """Schedules the tokens of streams on the event loop."""

    def begin(self, generation: Generation) -> None:
        """Add a new stream.

        :raises EngineRefusal: if the queue is full.
        """

    def end(self, generation: Generation) -> None:
        """Remove a stream that finished, failed or was cancelled."""

    def count(self) -> int:
        """Return the number of running and waiting streams."""

    def load(self) -> Load:
        """Return the newest visible load report."""

    def cache_events(self, after: int) -> tuple[CacheEvent, ...]:
        """Return visible changes of the prefix cache after a sequence number."""


class FixedPacing:
    """Fixed token times per stream, without a prefix cache.

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
        self._running = 0

    def begin(self, generation: Generation) -> None:
        """Schedule the first token."""
        settings = self._settings()
        generation.cached_tokens = generation.imported_tokens
        self._running += 1
        delay = settings.first_token_seconds
        delay += settings.prefill_seconds * generation.computed_tokens
        due = self._loop.time() + delay * self._slowness()
        self._loop.call_at(due, self._emit_token, generation, due)

    def end(self, generation: Generation) -> None:
        """Remove a stream; its scheduled token is ignored."""
        self._running -= 1

    def count(self) -> int:
        """Return the number of running streams."""
        return self._running

    def load(self) -> Load:
        """Return the current load."""
        return Load(self._running, 0)

    def cache_events(self, after: int) -> tuple[CacheEvent, ...]:
        """Return no events, as there is no cache."""
        return ()

    def _emit_token(self, generation: Generation, due: float) -> None:
        if generation.has_ended:
            return
        self._advance(generation)
        if generation.has_ended:
            return
        settings = self._settings()
        step = settings.token_seconds
        step += settings.token_seconds_per_call * (self._running - 1)
        # Scheduled relative to the previous due time, so that delays do not accumulate.
        due = max(due + step * self._slowness(), self._loop.time())
        self._loop.call_at(due, self._emit_token, generation, due)

    def _slowness(self) -> float:
        settings = self._settings()
        return settings.slowness if self._running > settings.slow_above else 1
