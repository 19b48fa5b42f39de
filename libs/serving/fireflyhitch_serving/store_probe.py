"""Cheap reads by which those who follow the store see that it still answers them.

A waiting watch says nothing both while nothing changes and once its answer was lost. So
the watched keys are read again in turn, by reads that may be old. While the store is
away these reads are the only calls, and tell when it is back.
"""

import asyncio
import random
from collections.abc import Callable, Sequence
from itertools import cycle

from fireflyhitch_model.errors import PlatformError
from fireflyhitch_model.states import Outcome, Step
from fireflyhitch_serving.store_health import StoreHealth
from fireflyhitch_serving.store_view import StoreView

# A watcher that has lost the store is replaced within the shortest drain time: this and
# the time limit, and some tenths for its news and the other's first list.
PROBE_SECONDS = 0.7
# Longer than a slow store takes.
PROBE_LIMIT_SECONDS = 0.6
# Those who have only to learn that the store is back ask less often.
AWAY_SECONDS = 2.0
SPREAD = 0.2


class StoreProbe:
    """Reads while this daemon watches, or does not hear the store."""

    def __init__(
        self,
        views: Sequence[StoreView],
        health: StoreHealth,
        watches: Callable[[], bool],
        rng: random.Random,
    ) -> None:
        """Make a probe that has asked nothing."""
        self._views = views
        self._health = health
        self._watches = watches
        self._rng = rng

    async def run(self) -> None:
        """Read until cancelled."""
        for view in cycle(self._views):
            wait = PROBE_SECONDS if self._watches() else AWAY_SECONDS
            await asyncio.sleep(wait * self._rng.uniform(1 - SPREAD, 1))
            if self._watches() or not self._health.answers:
                await self._read(view)

    async def _read(self, view: StoreView) -> None:
        try:
            async with asyncio.timeout(PROBE_LIMIT_SECONDS):
                await view.probe()
        except PlatformError as error:
            self._health.record_failure(error)
        except TimeoutError:
            self._health.record_failure(
                PlatformError(
                    f'no answer in {PROBE_LIMIT_SECONDS} s',
                    step=Step.STORE_READ,
                    outcome=Outcome.NOT_RUN,
                )
            )
