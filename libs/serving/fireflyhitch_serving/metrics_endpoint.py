"""The metrics endpoint: counters and histograms in the Prometheus text format.

Importing OpenTelemetry takes 0.09 s of CPU time, which would delay serving after each
restart. So records are buffered until the endpoint is requested for the first time.
"""

from collections import Counter, deque
from http import HTTPStatus
from typing import TYPE_CHECKING

from loguru import logger

from fireflyhitch_model.clock import Clock
from fireflyhitch_model.ids import CustomerId, DeploymentId, VersionId
from fireflyhitch_model.records import immutable
from fireflyhitch_model.states import Outcome
from fireflyhitch_serving.eviction import Eviction, Shortage
from fireflyhitch_serving.messages import CallerRequest
from fireflyhitch_serving.replies import Reply

if TYPE_CHECKING:
    from fireflyhitch_telemetry.metrics import Metrics

# A busy daemon's requests in a few minutes, at about 200 bytes each.
MAX_PENDING = 20_000
# Rendering takes longer than all else that a request for the metrics does, so that what
# was rendered is sent for a while.
RENDERED_SECONDS = 1.0


@immutable
class RequestRecord:
    """A finished request, as counted in the metrics.

    :param first_event_seconds: from the request to a stream's first event or the
        complete response; ``None`` without a response.
    """

    customer: CustomerId
    service: DeploymentId
    status: int
    outcome: Outcome
    attempts: int
    first_event_seconds: float | None
    seconds: float


@immutable
class WaitRecord:
    """A request that waited for a place at a server.

    :param expected: seconds that were expected when it began to wait, ``None`` if
        that was unknown.
    :param seconds: that it has waited.
    """

    service: DeploymentId
    expected: float | None
    seconds: float


class MetricsEndpoint:
    """Counts finished requests and serves the metrics."""

    def __init__(self, clock: Clock) -> None:
        """Create an endpoint that buffers records."""
        self._clock = clock
        self._rendered = b''
        self._rendered_until = 0.0
        self._pending: deque[RequestRecord] = deque(maxlen=MAX_PENDING)
        self._waits: deque[WaitRecord] = deque(maxlen=MAX_PENDING)
        self._refusals: Counter[tuple[int, str]] = Counter()
        self._evictions: Counter[tuple[Shortage, Eviction]] = Counter()
        self._malformed_loads: Counter[DeploymentId] = Counter()
        self._admitted_fractions: dict[tuple[DeploymentId, int], float] = {}
        self._dropped = 0
        self._metrics: Metrics | None = None

    def add(self, record: RequestRecord) -> None:
        """Count a finished request."""
        if self._metrics is not None:
            _count(self._metrics, record)
            return
        self._dropped += len(self._pending) == MAX_PENDING
        self._pending.append(record)

    def record_wait(self, record: WaitRecord) -> None:
        """Count the expected and the actual wait of a request."""
        if self._metrics is not None:
            self._metrics.record_wait(record.service, record.expected, record.seconds)
            return
        self._waits.append(record)

    def count_refusal(self, status: int, reason: str) -> None:
        """Count a refusal by the daemon itself."""
        if self._metrics is not None:
            self._metrics.count_refusals(status, reason, 1)
            return
        self._refusals[status, reason] += 1

    def count_eviction(self, shortage: Shortage, eviction: Eviction) -> None:
        """Count a caller's connection that was given up for others."""
        if self._metrics is not None:
            self._metrics.count_evictions(shortage.value, eviction.value, 1)
            return
        self._evictions[shortage, eviction] += 1

    def count_malformed_load(self, service: DeploymentId) -> None:
        """Count a load report of a server that could not be read in full."""
        if self._metrics is not None:
            self._metrics.count_malformed_loads(service, 1)
            return
        self._malformed_loads[service] += 1

    def set_admitted_fraction(
        self, service: DeploymentId, urgency: int, fraction: float
    ) -> None:
        """Set the fraction of the requests of an urgency that are admitted."""
        if self._metrics is not None:
            self._metrics.set_admitted_fraction(service, urgency, fraction)
            return
        self._admitted_fractions[service, urgency] = fraction

    def list_refusals(self) -> dict[tuple[int, str], int]:
        """Return the refusals counted before the metrics were first requested."""
        return dict(self._refusals)

    def list_admitted_fractions(self) -> dict[tuple[DeploymentId, int], float]:
        """Return the fractions set before the metrics were first requested."""
        return dict(self._admitted_fractions)

    async def serve(self, request: CallerRequest, reply: Reply) -> None:
        """Respond with the metrics, whatever the path of the request."""
        if self._metrics is None:
            self._metrics = self._load()
        content_type = b'text/plain; version=0.0.4; charset=utf-8'
        now = self._clock.monotonic()
        if now >= self._rendered_until:
            self._rendered = self._metrics.render()
            self._rendered_until = now + RENDERED_SECONDS
        reply.send_response(
            HTTPStatus.OK, [(b'Content-Type', content_type)], self._rendered
        )

    def _load(self) -> 'Metrics':
        from fireflyhitch_telemetry.metrics import Metrics  # noqa: PLC0415, WPS433

        metrics = Metrics()
        for record in self._pending:
            _count(metrics, record)
        for wait in self._waits:
            metrics.record_wait(wait.service, wait.expected, wait.seconds)
        for (status, reason), number in self._refusals.items():
            metrics.count_refusals(status, reason, number)
        for given_up, number in self._evictions.items():
            metrics.count_evictions(given_up[0].value, given_up[1].value, number)
        for service, number in self._malformed_loads.items():
            metrics.count_malformed_loads(service, number)
        for (shed_service, urgency), fraction in self._admitted_fractions.items():
            metrics.set_admitted_fraction(shed_service, urgency, fraction)
        logger.bind(records=len(self._pending), dropped=self._dropped).info(
            'metrics loaded'
        )
        self._pending.clear()
        self._waits.clear()
        return metrics


def _count(metrics: 'Metrics', record: RequestRecord) -> None:
    from fireflyhitch_telemetry.metrics import CallRecord  # noqa: PLC0415, WPS433

    metrics.record_call(
        CallRecord(
            customer=record.customer,
            deployment=record.service,
            version=VersionId(''),
            status=record.status,
            outcome=record.outcome,
            tokens=0,
            attempts=record.attempts,
            first_token_seconds=record.first_event_seconds,
            longest_gap_seconds=0,
            seconds=record.seconds,
        )
    )
