"""Keeps the daemon's loops running."""

import asyncio
from collections.abc import Awaitable, Callable

from loguru import logger

# An error that comes back at once must not keep the process busy.
RESTART_SECONDS = 1.0

Run = Callable[[], Awaitable[None]]


async def keep_running(name: str, run: Run) -> None:
    """Run a loop, and again if an unexpected error has ended it.

    A daemon whose loop has ended goes on serving by what it knew then: it sends
    requests to servers that have left, and never renews its lease or reports usage.

    :param name: the loop's name, for the log.
    :param run: runs until cancelled.
    """
    while True:
        try:
            return await run()
        except Exception:
            logger.bind(task=name).exception('task failed')
        await asyncio.sleep(RESTART_SECONDS)
