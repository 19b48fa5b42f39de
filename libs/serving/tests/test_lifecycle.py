"""Tests of a daemon's last seconds."""

import asyncio

from fireflyhitch_model.clock import SystemClock
from fireflyhitch_serving.callers import ListenerState
from fireflyhitch_serving.catalog import CallerLimits
from fireflyhitch_serving.lifecycle import Lifecycle


async def serve_nothing(message: object, reply: object) -> None:
    """Serve nobody."""


class TestLastMoment:
    def test_it_is_known_once_the_balancer_had_time_to_leave(self, monkeypatch) -> None:
        # Until then callers come as before, and what they ask is served; afterwards
        # only what ends before the process does.
        monkeypatch.setattr(f'{Lifecycle.__module__}.BALANCER_SECONDS', 0.05)
        clock = SystemClock()
        front = ListenerState(serve_nothing, CallerLimits, clock)
        lifecycle = Lifecycle(front, clock, lambda: None, grace=1.2)

        async def script() -> tuple[float | None, float | None]:
            stopping = asyncio.create_task(lifecycle.stop())
            await asyncio.sleep(0.01)
            before = lifecycle.shutdown_deadline
            await stopping
            return before, lifecycle.shutdown_deadline

        started = clock.monotonic()
        before, after = asyncio.run(script())
        assert before is None
        assert after is not None
        assert started < after < started + 1.2
