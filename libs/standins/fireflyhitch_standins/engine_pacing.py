"""When a stand-in engine's tokens come, and what it reports of its load."""

import asyncio
from collections.abc import Callable
from dataclasses import dataclass
from typing import Protocol

from fireflyhitch_model.backends import CacheEvent
from fireflyhitch_standins.engine_generation import Generation
from fireflyhitch_standins.engine_settings import EngineSettings

# Tells the server of a token, and of the end of a stream that ran.
Advance = Callable[[Generation], None]


@dataclass(frozen=True, slots=True)
class Load:
    """An engine's load as it reports it.

    :param age: seconds since it was true.
    """

    running: int
    waiting: int
    kv_cache_used: float = 0
    age: float = 0


class Pacing(Protocol):
    """Decides on the loop when each stream gets its tokens."""

    def begin(self, generation: Generation) -> None:
        """Take a new stream.

        :raises EngineRefusal: if there is no room for it.
        """

    def end(self, generation: Generation) -> None:
        """Forget a stream that finished, failed or was cancelled."""

    def count(self) -> int:
        """Return how many streams run or wait now."""

    def load(self) -> Load:
        """Return the load as far as it is visible."""

    def cache_events(self, after: int) -> tuple[CacheEvent, ...]:
        """Return visible changes of the prefix cache after a sequence number."""


class FixedPacing:
    """Gives each stream its own times; there is no prefix cache.

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
        self._running = 0

    def begin(self, generation: Generation) -> None:
        """Plan the first token."""
        settings = self._settings()
        generation.cached_tokens = generation.imported_tokens
        self._running += 1
        delay = settings.first_token_seconds
        delay += settings.prefill_seconds * generation.computed_tokens
        due = self._loop.time() + delay * self._slowness()
        self._loop.call_at(due, self._turn, generation, due)

    def end(self, generation: Generation) -> None:
        """Count a stream out; its planned token does nothing."""
        self._running -= 1

    def count(self) -> int:
        """Return how many streams run now."""
        return self._running

    def load(self) -> Load:
        """Return the load of now."""
        return Load(self._running, 0)

    def cache_events(self, after: int) -> tuple[CacheEvent, ...]:
        """Return nothing, as there is no cache."""
        return ()

    def _turn(self, generation: Generation, due: float) -> None:
        if generation.has_ended:
            return
        self._advance(generation)
        if generation.has_ended:
            return
        settings = self._settings()
        step = settings.token_seconds
        step += settings.token_seconds_per_call * (self._running - 1)
        # The next token is due by the plan, so that lateness does not add up.
        due = max(due + step * self._slowness(), self._loop.time())
        self._loop.call_at(due, self._turn, generation, due)

    def _slowness(self) -> float:
        settings = self._settings()
        return settings.slowness if self._running > settings.slow_above else 1
