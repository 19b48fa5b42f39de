"""The metrics address: counters and histograms in Prometheus' text form.

OpenTelemetry takes 0.09 s of processor time to import, which would be time not served
after each restart. So records wait until the page is asked for the first time.
"""

from collections import deque
from http import HTTPStatus
from typing import TYPE_CHECKING

from loguru import logger

from fireflyhitch_model.ids import CustomerId, DeploymentId, VersionId
from fireflyhitch_model.records import immutable
from fireflyhitch_model.states import Outcome
from fireflyhitch_serving.callers import Reply
from fireflyhitch_serving.messages import CallerRequest

if TYPE_CHECKING:
    from fireflyhitch_telemetry.metrics import Metrics

# Some minutes of a loaded daemon's requests, at some 200 bytes each.
MOST_WAITING = 20_000


@immutable
class RequestRecord:
    """A request that has ended, as it is counted.

    :param first_seconds: to a stream's first event or the whole answer; ``None`` if
        there was none.
    """

    customer: CustomerId
    service: DeploymentId
    status: int
    outcome: Outcome
    attempts: int
    first_seconds: float | None
    seconds: float


class MetricsEndpoint:
    """Takes records, and serves what they add up to."""

    def __init__(self) -> None:
        """Make a page that nobody has asked for."""
        self._waiting: deque[RequestRecord] = deque(maxlen=MOST_WAITING)
        self._dropped = 0
        self._metrics: Metrics | None = None

    def add(self, record: RequestRecord) -> None:
        """Count a request that has ended."""
        if self._metrics is not None:
            _count(self._metrics, record)
            return
        self._dropped += len(self._waiting) == MOST_WAITING
        self._waiting.append(record)

    async def serve(self, message: CallerRequest, reply: Reply) -> None:
        """Answer a request for the page, whatever its path."""
        if self._metrics is None:
            self._metrics = self._load()
        kind = b'text/plain; version=0.0.4; charset=utf-8'
        reply.send_whole(
            HTTPStatus.OK, [(b'Content-Type', kind)], self._metrics.render()
        )

    def _load(self) -> 'Metrics':
        from fireflyhitch_telemetry.metrics import Metrics  # noqa: PLC0415, WPS433

        metrics = Metrics()
        for record in self._waiting:
            _count(metrics, record)
        logger.bind(records=len(self._waiting), dropped=self._dropped).info(
            'metrics loaded'
        )
        self._waiting.clear()
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
            first_token_seconds=record.first_seconds,
            longest_gap_seconds=0,
            seconds=record.seconds,
        )
    )
