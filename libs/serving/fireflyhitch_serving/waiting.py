"""Requests that wait for a place or a turn at a server."""

import asyncio
from collections import Counter

from fireflyhitch_model.ids import DeploymentId
from fireflyhitch_serving.exchanges import Exchange

# A waiting request looks again this often even if nothing was heard of.
LOOK_SECONDS = 0.02


class WaitingRequests:
    """Who waits, by service; all on one event loop."""

    def __init__(self) -> None:
        """Make a state in which nobody waits."""
        self._freed: dict[DeploymentId, asyncio.Event] = {}
        self._counts: Counter[DeploymentId] = Counter()

    def count(self, service: DeploymentId) -> int:
        """Return how many requests wait for a service's servers."""
        return self._counts[service]

    def note_freed(self, service: DeploymentId) -> None:
        """Have those that wait look again at once."""
        freed = self._freed.get(service)
        if freed is not None:
            freed.set()

    async def wait(self, exchange: Exchange) -> None:
        """Wait until it is time to look again."""
        freed = self._freed.setdefault(exchange.service, asyncio.Event())
        freed.clear()
        exchange.waits = True
        self._counts[exchange.service] += 1
        try:
            async with asyncio.timeout(LOOK_SECONDS):
                await freed.wait()
        except TimeoutError:
            return
        finally:
            self._counts[exchange.service] -= 1
