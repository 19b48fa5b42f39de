"""Runs attempts at a request, and records what they show about servers."""

from functools import partial

from loguru import logger

from fireflyhitch_model.records import immutable
from fireflyhitch_model.states import Outcome
from fireflyhitch_serving.attempt_policy import MIN_SEND_SECONDS, AttemptPolicy
from fireflyhitch_serving.attempts import (
    Attempt,
    AttemptCallbacks,
    make_server_target,
)
from fireflyhitch_serving.dependencies import RequestDependencies
from fireflyhitch_serving.exchanges import AttemptFailure, Exchange
from fireflyhitch_serving.health import Ending
from fireflyhitch_serving.messages import ResponseInfo
from fireflyhitch_serving.placement import Placement
from fireflyhitch_serving.request_log import log_failure, log_success
from fireflyhitch_serving.server_statistics import (
    MAX_RELATIVE_LATENCY,
    compute_relative_latency,
)
from fireflyhitch_serving.servers import ServerRecord
from fireflyhitch_serving.waiting import WaitingRequests
from fireflyhitch_serving.work_times import exclude_wait

# After its first event, a response that goes on for this long shows that the request does
# not crash servers which begin to respond to it.
HARMLESS_SECONDS = 0.3
# Endings that also a partition of this daemon from its servers may cause.
NO_RESPONSE = frozenset((Ending.UNREACHED, Ending.BROKEN))
# Endings of requests that a server may have run without a response to show it.
UNANSWERED = frozenset((Ending.BROKEN, Ending.CANCELLED))
# A request may be cancelled so much before its deadline, as timers are not exact.
CANCEL_TOLERANCE_SECONDS = 0.01
# What a leaving server's announcement says; it is never withdrawn.
LEAVING = 1.0


@immutable
class AttemptResult:
    """How an attempt ended, as far as it has.

    :param not_run: whether the server has said that it did not run the request.
    """

    ending: Ending = Ending.CANCELLED
    not_run: bool = False


def find_result(failure: AttemptFailure | None) -> AttemptResult:
    """Return the result of an attempt that was not cancelled."""
    if failure is None:
        return AttemptResult(Ending.GOOD)
    return AttemptResult(failure.ending, failure.outcome is Outcome.NOT_RUN)


class AttemptRunner:
    """Sends requests to servers, one attempt at a time."""

    def __init__(
        self,
        dependencies: RequestDependencies,
        policy: AttemptPolicy,
        waiting: WaitingRequests,
    ) -> None:
        """Create a runner.

        :param waiting: woken when a server may have a free slot.
        """
        self._deps = dependencies
        self._clock = dependencies.clock
        self._policy = policy
        self._waiting = waiting

    async def run(
        self, exchange: Exchange, placement: Placement
    ) -> AttemptFailure | None:
        """Send a request to the chosen server and forward the response.

        :returns: ``None`` if the caller has the complete response.
        :raises TimeoutError: if no server could respond in the time left.
        """
        record = placement.record
        exchange.tried_servers.add(record.server.server_id)
        if exchange.deadline - self._clock.monotonic() < MIN_SEND_SECONDS:
            raise TimeoutError
        attempt = self._make_attempt(exchange, placement)
        self._add_load(exchange, placement)
        result = AttemptResult()
        exchange.attempt_started = self._clock.monotonic()
        exchange.first_event_at = None
        exchange.relative_latency = 1
        try:
            failure = await attempt.run(
                self._policy.find_silence_timeout(exchange, placement)
            )
            result = find_result(failure)
            if result.ending in NO_RESPONSE:
                await self._deps.reachability.check_after(record.server.server_id)
            else:
                self._deps.reachability.record_response()
        finally:
            _release_load(exchange, record)
            self._record_attempt(exchange, placement, attempt, result)
        now = self._clock.monotonic()
        if failure is None:
            log_success(exchange, placement, now)
        else:
            log_failure(exchange, placement, failure, now)
        return failure

    def _make_attempt(self, exchange: Exchange, placement: Placement) -> Attempt:
        return Attempt(
            exchange,
            make_server_target(exchange, placement.record, self._deps.edge),
            self._clock,
            AttemptCallbacks(
                on_progress=partial(self._on_progress, exchange, placement),
                on_head=partial(self._on_head, exchange, placement),
                reserve_retry=partial(self._policy.reserve_retry, exchange),
            ),
            self._deps.buffers,
        )

    def _add_load(self, exchange: Exchange, placement: Placement) -> None:
        """Count a request among those of its server; ``_release_load`` ends that."""
        record = placement.record
        record.requests += 1
        self._policy.record_sent(record)
        record.prompt_tokens += placement.fresh_tokens
        self._deps.workloads.record_prompt_tokens(
            exchange.service, placement.fresh_tokens
        )
        exchange.unread_prompt_tokens = placement.fresh_tokens
        record.add_cached_parts(exchange.info.parts, self._clock.monotonic())
        self._deps.fresh_parts.add(record.server.server_id, exchange.info.parts)

    def _record_attempt(
        self,
        exchange: Exchange,
        placement: Placement,
        attempt: Attempt,
        result: AttemptResult,
    ) -> None:
        ending = result.ending
        if ending is Ending.CANCELLED and self._is_overdue(exchange, attempt):
            ending = Ending.BROKEN
        sent = attempt.sent
        if sent:
            exchange.sends += 1
        if sent and not result.not_run:
            exchange.runs += 1
            self._count_unanswered(exchange, placement, ending)
        # Without a link to any server, nothing is learned about this one.
        if ending not in NO_RESPONSE or not self._deps.reachability.lost:
            self._judge_server(exchange, placement, ending, sent=sent)
        self._record_crash(exchange, placement.record, ending)
        self._waiting.wake(exchange.service)

    def _is_overdue(self, exchange: Exchange, attempt: Attempt) -> bool:
        """Tell whether a server was still sending bytes of no use at the deadline.

        It is never silent, and would otherwise never be found to fail.
        """
        now = self._clock.monotonic()
        is_late = now >= exchange.deadline - CANCEL_TOLERANCE_SECONDS
        return is_late and attempt.has_partial_response

    def _judge_server(
        self, exchange: Exchange, placement: Placement, ending: Ending, *, sent: bool
    ) -> None:
        """Record what an attempt shows about its server and the server's version."""
        record = placement.record
        now = self._clock.monotonic()
        if ending is Ending.GOOD:
            self._deps.work_times.record(
                exchange.service,
                self._find_work_seconds(exchange, record),
                placement.time_factor.factor,
                exchange.route.name,
            )
        if ending is Ending.REFUSED:
            self._deps.brittle_servers.record_turned_away(record)
        elif ending is Ending.GOOD:
            self._deps.brittle_servers.record_finished(
                record.server.service, now - exchange.attempt_started
            )
        if sent and ending in {Ending.GOOD, Ending.FAILED, Ending.BROKEN}:
            self._deps.record_outcome(
                record.server.service,
                record.server.version,
                exchange.route.name,
                failed=ending is not Ending.GOOD,
                seconds=(exchange.first_event_at or now) - exchange.attempt_started,
            )
        if ending is Ending.UNREACHED:
            self._deps.cold_servers.record_unreachable(record)
        self._record_statistics(exchange, record, ending)
        median_rate = self._deps.servers.find_median_failure_rate(record.server.service)
        if record.health.record(ending, median_rate, now):
            logger.bind(
                server=record.server.server_id,
                failure_rate=round(record.health.rate, 2),
                seconds=round(record.health.ejected_until - now, 1),
            ).warning('server ejected')

    def _find_work_seconds(self, exchange: Exchange, record: ServerRecord) -> float:
        """Return for how long a request held a slot, without its wait at the server."""
        now = self._clock.monotonic()
        started = exchange.attempt_started
        first_event_at = exchange.first_event_at
        tokens = exchange.info.prompt_tokens
        if tokens is None or first_event_at is None:
            return exclude_wait(now - started, record, now)
        prefill_model = self._deps.workloads.prefill_model(exchange.service)
        read_seconds = min(first_event_at - started, prefill_model.predict(tokens))
        return read_seconds + now - first_event_at

    def _record_statistics(
        self, exchange: Exchange, record: ServerRecord, ending: Ending
    ) -> None:
        """Count an attempt in the failure statistics shared by all daemons.

        Cancelled and refused attempts are left out, since they show nothing about the
        server's health.
        """
        if ending in {Ending.CANCELLED, Ending.REFUSED}:
            return
        failed = ending is not Ending.GOOD
        relative_latency = MAX_RELATIVE_LATENCY if failed else exchange.relative_latency
        now = self._clock.monotonic()
        record.evidence.record_response(
            now,
            failed=failed,
            relative_latency=relative_latency,
            states_factor=record.time_factor.is_stated,
        )

    def _record_crash(
        self, exchange: Exchange, record: ServerRecord, ending: Ending
    ) -> None:
        """Check for a crash after a broken response; record a complete response."""
        crashes = self._deps.crashes
        if ending is Ending.BROKEN:
            # A part that crashes servers does so before the first event.
            begun = exchange.first_event_at is not None
            suspects = (exchange.content,) if begun else exchange.suspects
            for suspect in suspects:
                crashes.detector.record_broken_response(
                    record, suspect, exchange.attempt_started
                )
        elif ending is Ending.GOOD:
            for harmless in exchange.suspects:
                crashes.tracker.record_response(harmless, self._clock.monotonic())

    def _on_progress(self, exchange: Exchange, placement: Placement) -> None:
        _release_prompt_tokens(exchange, placement.record)
        if exchange.first_event_at is None:
            exchange.first_event_at = self._clock.monotonic()
            self._record_first_event(exchange, placement)
        elif not exchange.is_harmless:
            self._check_harmless(exchange, exchange.first_event_at)
        self._count_usage(exchange)

    def _count_unanswered(
        self, exchange: Exchange, placement: Placement, ending: Ending
    ) -> None:
        """Count a request in its customer's usage that has probably begun to run.

        A server may run a request and its response may be lost, or its caller may leave
        before the first event. Without these requests the reported usage is too low
        whenever servers fail or callers give up.
        """
        seconds = self._clock.monotonic() - exchange.attempt_started
        if ending is Ending.FAILED:
            self._count_usage(exchange)
        elif ending in UNANSWERED and seconds >= placement.wait:
            self._count_usage(exchange)

    def _count_usage(self, exchange: Exchange) -> None:
        if exchange.usage_counted:
            return
        exchange.usage_counted = True
        if exchange.customer is not None:
            self._deps.usage.count(exchange.customer.name, self._deps.wall())

    def _check_harmless(self, exchange: Exchange, first_event_at: float) -> None:
        now = self._clock.monotonic()
        if now - first_event_at < HARMLESS_SECONDS:
            return
        exchange.is_harmless = True
        for part in exchange.parts:
            self._deps.crashes.tracker.record_response(part, now)

    def _record_first_event(self, exchange: Exchange, placement: Placement) -> None:
        if exchange.first_event_at is None:
            return
        seconds = exchange.first_event_at - exchange.attempt_started
        prefill_model = self._deps.workloads.prefill_model(exchange.service)
        tokens = placement.queued_tokens + placement.fresh_tokens
        factor = placement.time_factor.factor
        exchange.relative_latency = compute_relative_latency(
            seconds, prefill_model.predict(tokens, factor)
        )
        prefill_model.add_sample(tokens, seconds, factor)

    def _on_head(
        self, exchange: Exchange, placement: Placement, info: ResponseInfo
    ) -> None:
        now = self._clock.monotonic()
        self._record_load(placement.record, info, now)
        if info.rest is not None:
            placement.record.rest(info.rest, now)
        announcements = (
            (self._deps.limits.announcements, info.limit),
            (self._deps.brittle_servers.announcements, info.brittle),
            (self._deps.leaving, LEAVING if info.leaving else None),
        )
        for table, announced in announcements:
            # An unsigned response may come from another server that reuses the address.
            if info.signed or announced is not None:
                table.record_response(
                    placement.record.process,
                    placement.record.server.server_id,
                    announced,
                    exchange.attempt_started,
                    now,
                )

    def _record_load(
        self, record: ServerRecord, info: ResponseInfo, now: float
    ) -> None:
        if info.load is not None:
            record.update_load(info.load, now)
        if info.load_malformed:
            self._deps.count_malformed_load(record.server.service)
        if info.load_malformed or info.load is not None:
            record.set_load_malformed(malformed=info.load_malformed)


def _release_load(exchange: Exchange, record: ServerRecord) -> None:
    record.requests -= 1
    _release_prompt_tokens(exchange, record)


def _release_prompt_tokens(exchange: Exchange, record: ServerRecord) -> None:
    record.prompt_tokens -= exchange.unread_prompt_tokens
    exchange.unread_prompt_tokens = 0
