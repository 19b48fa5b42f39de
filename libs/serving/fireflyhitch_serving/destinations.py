"""Finds the server or the peer that a request is sent to, at once or after a wait."""

import math
from collections.abc import Sequence
from functools import partial

from fireflyhitch_model.ids import CustomerId
from fireflyhitch_routing.request_queue import FIRM_FRACTION, StartRate, WaitingRequest
from fireflyhitch_serving.admission import Admission, RefusedError, build_refusal
from fireflyhitch_serving.attempt_policy import MAX_WORK_FRACTION, AttemptPolicy
from fireflyhitch_serving.dependencies import RequestDependencies
from fireflyhitch_serving.exchanges import Exchange
from fireflyhitch_serving.expected_waits import ExpectedWaits
from fireflyhitch_serving.failures import make_no_server_error
from fireflyhitch_serving.forwarding import Peer
from fireflyhitch_serving.metrics_endpoint import WaitRecord
from fireflyhitch_serving.placement import Placement
from fireflyhitch_serving.request_log import log_queued, log_started, log_wait_refused
from fireflyhitch_serving.servers import ServerRecord
from fireflyhitch_serving.waiting import (
    Destination,
    WaitEnd,
    Waiter,
    WaitingRequests,
)

# A full server runs those that it has queued before a request, and times vary: it can
# be in time if so many times its expected work are left.
IN_TIME_WORK_FACTOR = 2.5
# A request past its wait for a brittle server, or for the end of a rest, is tried again
# after this, and refused once no server is free.
OVERDUE_RECHECK_SECONDS = 0.02
# Customer of requests on public routes.
ANONYMOUS = CustomerId('')


class DestinationFinder:
    """Finds targets; requests without one wait in order."""

    def __init__(
        self,
        dependencies: RequestDependencies,
        admission: Admission,
        policy: AttemptPolicy,
    ) -> None:
        """Create a finder without waiting requests."""
        self._deps = dependencies
        self._clock = dependencies.clock
        self._admission = admission
        self._policy = policy
        self._expected = ExpectedWaits(dependencies.work_times, dependencies.demands)
        self.waiting = WaitingRequests(self._clock, policy.find_next_change)
        dependencies.servers.on_change(self.waiting.wake_all)

    async def find(self, exchange: Exchange) -> Destination:
        """Return where to send a request, after a wait if there is no place.

        A request that finds others waiting takes its place in their order.

        :raises RefusedError: if it is refused.
        """
        if self.waiting.count(exchange.service) and not self._deps.reachability.lost:
            self._check_waiting(exchange)
        else:
            target = self._place(exchange)
            if target is not None:
                return target
        return await self._wait(exchange)

    def _place(self, exchange: Exchange) -> Destination | None:
        """Return a target, ``None`` if there is no place now."""
        self._check_refusal(exchange)
        if self._deps.reachability.lost:
            return self._find_peer(exchange)
        candidates = self._policy.find_candidates(exchange)
        available = self._policy.filter_by_rate_limit(candidates)
        placement = self._policy.choose(exchange, available)
        if placement is not None:
            self._check_first_token(exchange, placement, candidates)
            return placement
        self._check_candidates(exchange, candidates, available)
        return None

    async def _wait(self, exchange: Exchange) -> Destination:
        began = self._clock.monotonic()
        exchange.has_waited = True
        while True:
            waiter = self._make_waiter(exchange)
            result = await self.waiting.wait(exchange.service, waiter)
            if not isinstance(result, WaitEnd):
                self._record_start(exchange, waiter, began)
                return result
            if result is WaitEnd.EXPIRED:
                # It may not wait longer, and others may have been before it in the queue
                # whenever a server was free.
                destination = self._place(exchange)
                if destination is not None:
                    self._record_start(exchange, waiter, began)
                    return destination
            # Raises for a request that waits for a rate limit or whose servers are gone.
            candidates = self._check_waiting(exchange)
            self._check_end(exchange, result, waiter, candidates)

    def _check_waiting(self, exchange: Exchange) -> list[ServerRecord]:
        """Return the servers that a request may wait for.

        :raises RefusedError: if it need not wait for any of them.
        """
        self._check_refusal(exchange)
        candidates = self._policy.find_candidates(exchange)
        available = self._policy.filter_by_rate_limit(candidates)
        self._check_candidates(exchange, candidates, available)
        return candidates

    def _check_candidates(
        self,
        exchange: Exchange,
        candidates: Sequence[ServerRecord],
        available: Sequence[ServerRecord],
    ) -> None:
        if not candidates:
            raise make_no_server_error(self._admission, exchange)
        if not available:
            self._check_rate_limits(exchange, candidates)

    def _make_waiter(self, exchange: Exchange) -> Waiter:
        now = self._clock.monotonic()
        candidates = self._policy.find_candidates(exchange)
        work = self._policy.find_expected_seconds(exchange, candidates)
        latest = exchange.deadline - work
        target = exchange.route.target
        target -= min(work * IN_TIME_WORK_FACTOR, target * MAX_WORK_FRACTION)
        ends = [
            max(
                self._policy.find_latest_start(exchange, candidates),
                now + OVERDUE_RECHECK_SECONDS,
            )
        ]
        if not exchange.sends:
            ends.append(latest)
        request = WaitingRequest(
            urgency=exchange.urgency,
            customer=exchange.customer.name if exchange.customer else ANONYMOUS,
            in_time_until=exchange.request.arrived + target,
            latest_start=latest,
            expires_at=min((end for end in ends if end > now), default=math.inf),
            need=(
                exchange.find_home_regions(),
                frozenset(exchange.tried_servers),
                exchange.info.prompt_tokens is None,
            ),
            may_be_refused=not exchange.sends,
        )
        return Waiter(
            request,
            partial(self._place, exchange),
            partial(self._find_start_rate, exchange),
            partial(log_queued, exchange),
        )

    def _find_start_rate(self, exchange: Exchange) -> StartRate | None:
        """Return how fast such requests start; ``None`` if that is not known for sure."""
        candidates = self._policy.find_candidates(exchange)
        if not self._policy.filter_by_rate_limit(candidates):
            return None
        now = self._clock.monotonic()
        return self._expected.find_start_rate(
            exchange.service, exchange.urgency, candidates, now
        )

    def _check_end(
        self,
        exchange: Exchange,
        end: WaitEnd,
        waiter: Waiter,
        candidates: Sequence[ServerRecord],
    ) -> None:
        """Refuse a request that has got no place.

        :raises RefusedError: unless it has been sent, or only a limit has changed.
        """
        now = self._clock.monotonic()
        if exchange.sends:
            if end is WaitEnd.QUEUE_FULL:
                raise make_no_server_error(self._admission, exchange)
            return
        if end is WaitEnd.EXPIRED:
            if now < waiter.request.latest_start:
                return
            if not self._policy.filter_by_rate_limit(list(candidates)):
                return
        raise self._make_capacity_error(
            exchange, end.value, waiter.expected, candidates
        )

    def _check_first_token(
        self,
        exchange: Exchange,
        placement: Placement,
        candidates: Sequence[ServerRecord],
    ) -> None:
        """Refuse a prompt that even the best engine reads too late.

        :raises RefusedError: if the first token is expected after the deadline.
        """
        if exchange.sends or exchange.info.prompt_tokens is None:
            return
        now = self._clock.monotonic()
        if now + placement.wait * FIRM_FRACTION <= exchange.deadline:
            return
        if self._policy.is_prefill_known(exchange.service):
            raise self._make_capacity_error(
                exchange, 'first token too late', placement.wait, candidates
            )

    def _make_capacity_error(
        self,
        exchange: Exchange,
        reason: str,
        expected: float | None,
        candidates: Sequence[ServerRecord],
    ) -> RefusedError:
        now = self._clock.monotonic()
        log_wait_refused(exchange, reason, expected, now)
        message = 'no server can start the request in time'
        seconds = self._expected.reserve_return(exchange.service, candidates, now)
        if seconds is None:
            return self._admission.build_transient_refusal('no_capacity', message)
        return build_refusal(seconds, 'no_capacity', message)

    def _record_start(self, exchange: Exchange, waiter: Waiter, began: float) -> None:
        seconds = self._clock.monotonic() - began
        log_started(exchange, waiter.expected, seconds)
        self._deps.record_wait(WaitRecord(exchange.service, waiter.expected, seconds))

    def _check_refusal(self, exchange: Exchange) -> None:
        """Refuse a request that may no longer be sent.

        :raises RefusedError: if it has come to be held while it waited, or if it may
            outlast this process.
        """
        self._check_quarantine(exchange)
        self._admission.check_unsent(exchange)

    def _check_quarantine(self, exchange: Exchange) -> None:
        """Refuse a request that has come to be held while it waited.

        :raises RefusedError: if it is held.
        """
        try:
            self._admission.check_quarantine(exchange)
        except RefusedError as error:
            if exchange.runs:
                raise make_no_server_error(self._admission, exchange) from error
            raise

    def _find_peer(self, exchange: Exchange) -> Peer:
        """Return a peer that reaches servers, as this daemon does not.

        :raises RefusedError: if there is none.
        """
        peer = self._deps.forwarder.find_peer(exchange)
        if peer is None:
            raise make_no_server_error(self._admission, exchange)
        return peer

    def _check_rate_limits(
        self, exchange: Exchange, candidates: Sequence[ServerRecord]
    ) -> None:
        """Refuse a request that cannot be sent within the servers' rate limits in time.

        :raises RefusedError: if the requests already waiting use up the rate for as
            long as this one may wait, or if it has waited that long.
        """
        now = self._clock.monotonic()
        latest = self._policy.find_latest_start(exchange, candidates)
        if exchange.has_waited and now < latest:
            return
        waiting = self.waiting.count(exchange.service) + 1
        wait = self._policy.find_rate_wait(candidates, waiting)
        if now + wait < latest:
            return
        if exchange.runs or math.isinf(wait):
            raise make_no_server_error(self._admission, exchange)
        raise build_refusal(
            wait, 'servers_limited', 'the rate limits of the servers are used up'
        )
