"""When a daemon says that it is ready, and how it stops without cutting anyone off."""

import asyncio
from collections.abc import Callable
from dataclasses import dataclass
from http import HTTPStatus

from loguru import logger

from fireflyhitch_model.clock import Clock
from fireflyhitch_serving.callers import ListenerState, Reply
from fireflyhitch_serving.messages import CallerRequest

# The balancer asks once a second and leaves after two refusals: until then callers
# still get this daemon for their new connections.
BALANCER_SECONDS = 2.6
# Answers get all of the time allowed but for this, in which the process ends.
EXIT_SECONDS = 0.6
LOOK_SECONDS = 0.05
# Kept connections are closed in steps, so that callers do not all come back at once.
QUIET_SECONDS = 0.3


@dataclass(slots=True)
class Lifecycle:
    """A daemon's state towards the balancer.

    :param serviceable: whether it knows enough to serve, and why not.
    :param grace: seconds from the order to stop until the process is killed.
    :param shutdown_deadline: monotonic seconds at which a stopping process ends, once the
        balancer had time to leave. It goes on sending callers where it has too few
        other daemons, and what is taken then must end before the process does.
    """

    front: ListenerState
    clock: Clock
    serviceable: Callable[[], str | None]
    grace: float
    stopping: bool = False
    was_ready: bool = False
    shutdown_deadline: float | None = None

    async def answer_readiness(self, message: CallerRequest, reply: Reply) -> None:
        """Answer the balancer."""
        reason = 'stopping' if self.stopping else self.serviceable()
        ready = reason is None
        if ready != self.was_ready:
            self.was_ready = ready
            logger.bind(reason=reason).info('ready' if ready else 'not ready')
        status = HTTPStatus.OK if ready else HTTPStatus.SERVICE_UNAVAILABLE
        reply.send_whole(status, [], b'')

    async def stop(self) -> None:
        """Leave the balancer, answer what was asked, and return.

        Until the balancer has left, callers with new connections are served.
        """
        started = self.clock.monotonic()
        until = started + self.grace - EXIT_SECONDS
        self.stopping = True
        logger.bind(busy=self.front.busy).info('stopping')
        await asyncio.sleep(BALANCER_SECONDS)
        self.front.closing = True
        self.shutdown_deadline = until
        quiet_since = self.clock.monotonic()
        while self.clock.monotonic() < until:
            self.front.close_idle()
            now = self.clock.monotonic()
            if self.front.connections:
                quiet_since = now
            if now - quiet_since > QUIET_SECONDS:
                break
            await asyncio.sleep(LOOK_SECONDS)
        logger.bind(
            busy=self.front.busy, seconds=round(self.clock.monotonic() - started, 2)
        ).info('stopped')
