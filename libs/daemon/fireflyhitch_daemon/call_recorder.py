"""Records finished calls in the metrics, the burn counts and the evidence."""

from dataclasses import dataclass

from loguru import logger

from fireflyhitch_model.backends import BackendServer
from fireflyhitch_model.calls import Call
from fireflyhitch_model.ids import VersionId
from fireflyhitch_model.states import Outcome, Step
from fireflyhitch_rollout.evidence import EvidenceCollector
from fireflyhitch_routing.choices import Ticket
from fireflyhitch_telemetry.burn import BurnRecorder
from fireflyhitch_telemetry.metrics import CallRecord, Metrics

NO_VERSION = VersionId('')


@dataclass(frozen=True, slots=True)
class FinishedCall:
    """A finished call, as its caller saw it.

    :param first_token: seconds from arrival; ``None`` without a token.
    """

    call: Call
    server: BackendServer | None
    status: int
    outcome: Outcome
    ok: bool
    tokens: int
    attempts: int
    first_token: float | None
    longest_gap: float
    seconds: float

    @property
    def between_tokens(self) -> float | None:
        """Return the mean seconds between tokens; ``None`` for fewer than two."""
        if self.first_token is None or self.tokens < 2:
            return None
        return (self.seconds - self.first_token) / (self.tokens - 1)


class CallRecorder:
    """Passes finished calls and attempts to all components that count them."""

    def __init__(
        self, metrics: Metrics, burn: BurnRecorder, evidence: EvidenceCollector
    ) -> None:
        self.metrics = metrics
        self._burn = burn
        self._evidence = evidence

    def record_call(self, finished: FinishedCall) -> None:
        """Record a call that has finished for its caller."""
        call = finished.call
        version = finished.server.version if finished.server else NO_VERSION
        self.metrics.record_call(
            CallRecord(
                customer=call.customer,
                deployment=call.deployment,
                version=version,
                status=finished.status,
                outcome=finished.outcome,
                tokens=finished.tokens,
                attempts=finished.attempts,
                first_token_seconds=finished.first_token,
                longest_gap_seconds=finished.longest_gap,
                seconds=finished.seconds,
            )
        )
        self._burn.record(
            call.customer,
            call.deployment,
            call.route,
            version,
            ok=finished.ok,
            first_token=finished.first_token,
            between_tokens=finished.between_tokens,
        )
        logger.bind(
            request_id=call.request_id,
            customer=call.customer,
            deployment=call.deployment,
            version=version,
            step=Step.ANSWER.value,
            peer=finished.server.server_id if finished.server else None,
            status=int(finished.status),
            outcome=finished.outcome.value,
            attempts=finished.attempts,
            tokens=finished.tokens,
            seconds=round(finished.seconds, 4),
        ).info('call ended')

    def record_attempt(
        self,
        ticket: Ticket,
        *,
        ok: bool,
        first_token: float | None,
        between_tokens: float | None,
    ) -> None:
        """Record an attempt as evidence about its server's version."""
        server = ticket.choice.server
        self._evidence.record(
            ticket.call,
            server,
            ok=ok,
            first_token=first_token,
            between_tokens=between_tokens,
            load=ticket.in_flight / max(server.capacity, 1),
        )
