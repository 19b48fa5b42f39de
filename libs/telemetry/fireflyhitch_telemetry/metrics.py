"""OpenTelemetry metrics, served in the Prometheus text format."""

from dataclasses import dataclass

from opentelemetry.exporter.prometheus import PrometheusMetricReader
from opentelemetry.sdk.metrics import MeterProvider
from prometheus_client import CollectorRegistry, generate_latest

from fireflyhitch_model.ids import CustomerId, DeploymentId, VersionId
from fireflyhitch_model.states import Outcome

# Upper bounds of the buckets of waits, in seconds.
WAIT_BOUNDS = (0.01, 0.02, 0.05, 0.1, 0.2, 0.5, 1.0, 2.0, 5.0, 10.0)
METRICS_TYPE = 'text/plain; version=0.0.4; charset=utf-8'


@dataclass(frozen=True, slots=True)
class CallRecord:
    """The measurements of a finished call.

    :param first_token_seconds: ``None`` if there was no first token.
    """

    customer: CustomerId
    deployment: DeploymentId
    version: VersionId | None
    status: int
    outcome: Outcome
    tokens: int
    attempts: int
    first_token_seconds: float | None
    longest_gap_seconds: float
    seconds: float


class Metrics:
    """All instruments of a daemon; nothing is recorded per streamed chunk."""

    def __init__(self) -> None:
        self._registry = CollectorRegistry()
        reader = PrometheusMetricReader(registry=self._registry)
        meter = MeterProvider(metric_readers=[reader]).get_meter('fireflyhitch')
        self._requests = meter.create_counter('fireflyhitch_requests')
        self._refusals = meter.create_counter('fireflyhitch_refusals')
        self._evictions = meter.create_counter('fireflyhitch_evicted_connections')
        self._malformed_loads = meter.create_counter(
            'fireflyhitch_malformed_load_reports'
        )
        self._admitted_fractions = meter.create_gauge('fireflyhitch_admitted_fraction')
        self._tokens = meter.create_counter('fireflyhitch_tokens')
        self._retries = meter.create_counter('fireflyhitch_retries')
        self._recomputed = meter.create_counter('fireflyhitch_recomputed_tokens')
        self._violations = meter.create_counter('fireflyhitch_invariant_violations')
        self._first_token = meter.create_histogram('fireflyhitch_first_token', unit='s')
        self._gap = meter.create_histogram('fireflyhitch_longest_gap', unit='s')
        self._waits = meter.create_histogram(
            'fireflyhitch_queue_wait',
            unit='s',
            explicit_bucket_boundaries_advisory=WAIT_BOUNDS,
        )
        self._wait_errors = meter.create_histogram(
            'fireflyhitch_queue_wait_error',
            unit='s',
            explicit_bucket_boundaries_advisory=WAIT_BOUNDS,
        )
        self._open = meter.create_up_down_counter('fireflyhitch_open_streams')

    def record_call(self, record: CallRecord) -> None:
        """Record a finished call."""
        labels = {
            'customer': record.customer,
            'deployment': record.deployment,
            'version': record.version or '',
        }
        status = {'status': str(record.status), 'outcome': record.outcome.value}
        self._requests.add(1, {**labels, **status})
        self._tokens.add(record.tokens, labels)
        self._retries.add(max(0, record.attempts - 1), labels)
        if record.first_token_seconds is not None:
            self._first_token.record(record.first_token_seconds, labels)
            self._gap.record(record.longest_gap_seconds, labels)

    def record_wait(
        self, service: DeploymentId, expected: float | None, seconds: float
    ) -> None:
        """Record how long a request was expected to wait for a server, and how long it did.

        :param expected: ``None`` if that was unknown.
        """
        self._waits.record(seconds, {'service': service, 'kind': 'actual'})
        if expected is None:
            return
        self._waits.record(expected, {'service': service, 'kind': 'expected'})
        sign = 'early' if seconds < expected else 'late'
        self._wait_errors.record(
            abs(seconds - expected), {'service': service, 'sign': sign}
        )

    def count_refusals(self, status: int, reason: str, count: int) -> None:
        """Count refusals by the daemon itself, also of requests that it cannot read."""
        self._refusals.add(count, {'status': str(status), 'reason': reason})

    def count_evictions(self, shortage: str, eviction: str, count: int) -> None:
        """Count callers' connections that were given up for others."""
        self._evictions.add(count, {'shortage': shortage, 'eviction': eviction})

    def count_malformed_loads(self, service: DeploymentId, count: int) -> None:
        """Count load reports of servers that could not be read in full."""
        self._malformed_loads.add(count, {'service': service})

    def set_admitted_fraction(
        self, service: DeploymentId, urgency: int, fraction: float
    ) -> None:
        """Set the fraction of the requests of an urgency that are admitted."""
        labels = {'service': service, 'urgency': str(urgency)}
        self._admitted_fractions.set(fraction, labels)

    def count_recomputed(self, tokens: int) -> None:
        """Count tokens that an engine recomputes."""
        self._recomputed.add(tokens)

    def record_violation(self, name: str, detail: str) -> None:
        """Count a violated invariant."""
        self._violations.add(1, {'invariant': name})

    def count_stream(self, change: int) -> None:
        """Count an opened (1) or ended (-1) stream."""
        self._open.add(change)

    def render(self) -> bytes:
        """Return all metrics in the Prometheus text format."""
        return generate_latest(self._registry)
