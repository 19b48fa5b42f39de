"""Probes by which daemons that follow the store check that it still answers.

An open watch is silent both while nothing changes and after its answer was lost. So the
watched prefixes are read again in turn, by stale reads, which are cheap. During an
outage these reads are the only calls, and detect the store's return.
"""

import asyncio
import random
from collections.abc import Callable, Sequence
from itertools import cycle

from fireflyhitch_model.errors import PlatformError
from fireflyhitch_model.states import Outcome, Step
from fireflyhitch_serving.store_health import StoreHealth
from fireflyhitch_serving.store_view import StoreView

# A watcher that has lost the store is replaced within the shortest drain time: this
# interval and the timeout, and some tenths for its state and the other's first listing.
PROBE_SECONDS = 0.7
# Longer than a slow store takes to answer.
PROBE_TIMEOUT_SECONDS = 0.6
# Daemons that only wait for the store's return probe less often.
OUTAGE_PROBE_SECONDS = 2.0
JITTER = 0.2


class StoreProbe:
    """Probes while this daemon watches, or cannot reach the store."""

    def __init__(
        self,
        views: Sequence[StoreView],
        health: StoreHealth,
        watches: Callable[[], bool],
        rng: random.Random,
    ) -> None:
        """Create a probe that has made no call."""
        self._views = views
        self._health = health
        self._watches = watches
        self._rng = rng

    async def run(self) -> None:
        """Probe until cancelled."""
        for view in cycle(self._views):
            wait = PROBE_SECONDS if self._watches() else OUTAGE_PROBE_SECONDS
            await asyncio.sleep(wait * self._rng.uniform(1 - JITTER, 1))
            if self._watches() or not self._health.answers:
                await self._read(view)

    async def _read(self, view: StoreView) -> None:
        try:
            async with asyncio.timeout(PROBE_TIMEOUT_SECONDS):
                await view.probe()
        except PlatformError as error:
            self._health.record_failure(error)
        except TimeoutError:
            self._health.record_failure(
                PlatformError(
                    f'no answer in {PROBE_TIMEOUT_SECONDS} s',
                    step=Step.STORE_READ,
                    outcome=Outcome.NOT_RUN,
                )
            )
