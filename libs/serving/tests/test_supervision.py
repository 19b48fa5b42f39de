"""Tests that a daemon's loops go on after unexpected errors."""

import asyncio

from virtual_time import run_virtual

from fireflyhitch_serving.supervision import keep_running

SECONDS = 10


class TestKeepRunning:
    def test_a_loop_that_fails_once_is_run_again(self) -> None:
        # The loop had ended for good; nobody saw more than a daemon with old news.
        runs: list[float] = []

        async def fail_once() -> None:
            runs.append(asyncio.get_running_loop().time())
            if len(runs) == 1:
                raise KeyError('field')
            await asyncio.sleep(SECONDS)

        async def script() -> None:
            await keep_running('loop', fail_once)

        run_virtual(script())
        assert len(runs) == 2

    def test_a_loop_that_always_fails_does_not_keep_the_process_busy(self) -> None:
        runs: list[int] = []

        async def fail() -> None:
            runs.append(1)
            raise KeyError('field')

        async def script() -> None:
            task = asyncio.create_task(keep_running('loop', fail))
            await asyncio.sleep(SECONDS)
            task.cancel()

        run_virtual(script())
        assert 2 <= len(runs) <= SECONDS + 1
