"""Readiness of a daemon and its graceful shutdown."""

import asyncio
from collections.abc import Callable
from dataclasses import dataclass
from http import HTTPStatus

from loguru import logger

from fireflyhitch_model.clock import Clock
from fireflyhitch_serving.listeners import ListenerState
from fireflyhitch_serving.messages import CallerRequest
from fireflyhitch_serving.replies import Reply

# The load balancer checks readiness once a second and removes the daemon after two
# failures. Until then it still opens connections for new callers here.
BALANCER_LEAVE_SECONDS = 2.6
# Part of the grace period reserved for the process to exit after the last response.
EXIT_MARGIN_SECONDS = 0.6
# So long before that, requests in progress end, so that callers get their responses.
ANSWER_MARGIN_SECONDS = 0.1
POLL_SECONDS = 0.05
# Idle connections are closed over several polls, so that callers don't all reconnect at
# once; shutdown ends after this long without a connection.
NO_CONNECTION_SECONDS = 0.3


@dataclass(slots=True)
class Lifecycle:
    """A daemon's state as seen by the load balancer.

    :param serviceable: returns why the daemon cannot serve yet, or ``None`` if it can.
    :param grace: seconds from the stop signal until the process is killed.
    :param count_forwarded: returns how many requests of other daemons are in progress.
    :param end_requests: lets all requests end by a monotonic time: a caller whose request
        is not complete then gets a response that says so.
    :param shutdown_deadline: monotonic time at which a stopping process ends its last
        requests, set when the balancer has had time to remove the daemon. A balancer
        with too few other daemons still sends callers here; their requests must complete
        before.
    """

    front: ListenerState
    clock: Clock
    serviceable: Callable[[], str | None]
    grace: float
    count_forwarded: Callable[[], int] = int
    end_requests: Callable[[float], object] = float
    stopping: bool = False
    was_ready: bool = False
    shutdown_deadline: float | None = None

    async def answer_readiness(self, request: CallerRequest, reply: Reply) -> None:
        """Respond to a readiness check, whatever its path."""
        reason = 'stopping' if self.stopping else self.serviceable()
        ready = reason is None
        if ready != self.was_ready:
            self.was_ready = ready
            logger.bind(reason=reason).info('ready' if ready else 'not ready')
        status = HTTPStatus.OK if ready else HTTPStatus.SERVICE_UNAVAILABLE
        reply.send_response(status, [], b'')

    async def stop(self) -> None:
        """Fail readiness checks, complete the requests in flight, and return.

        New connections are served until the balancer has removed the daemon.
        """
        started = self.clock.monotonic()
        until = started + self.grace - EXIT_MARGIN_SECONDS
        self.stopping = True
        logger.bind(busy=self.front.busy).info('stopping')
        await asyncio.sleep(BALANCER_LEAVE_SECONDS)
        self.front.closing = True
        self.shutdown_deadline = until - ANSWER_MARGIN_SECONDS
        self.end_requests(self.shutdown_deadline)
        last_connected = self.clock.monotonic()
        while self.clock.monotonic() < until:
            self.front.close_idle()
            now = self.clock.monotonic()
            if self.front.connections or self.count_forwarded():
                last_connected = now
            if now - last_connected > NO_CONNECTION_SECONDS:
                break
            await asyncio.sleep(POLL_SECONDS)
        logger.bind(
            busy=self.front.busy, seconds=round(self.clock.monotonic() - started, 2)
        ).info('stopped')
