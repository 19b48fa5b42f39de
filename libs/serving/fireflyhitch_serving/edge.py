"""What an edge does: it turns bytes into typed facts and back, and decides nothing."""

from datetime import timedelta
from typing import Protocol

from fireflyhitch_model.ids import BackendServerId, CustomerId, RequestId
from fireflyhitch_model.records import immutable
from fireflyhitch_model.states import Outcome
from fireflyhitch_serving.connections import ResponseHead
from fireflyhitch_serving.messages import (
    CallerRequest,
    Headers,
    RequestInfo,
    ResponseInfo,
)


@immutable
class AttemptContext:
    """What an attempt adds to its request.

    :param time_left: seconds that the server may work on it.
    :param urgency: 0 is admitted first at a model engine; ``None`` for services
        that know none.
    :param last_event: id of the event after which the stream is to go on.
    """

    server_id: BackendServerId
    customer: CustomerId | None
    time_left: float
    urgency: int | None
    last_event: int | None


@immutable
class Refusal:
    """A final answer of the daemon's own.

    :param outcome: ``not-run`` only where that is certain.
    :param retry_after: when the caller may ask again.
    """

    status: int
    code: str
    message: str
    outcome: Outcome = Outcome.NOT_RUN
    retry_after: timedelta | None = None


@immutable
class RenderedResponse:
    """An answer ready to be sent."""

    status: int
    headers: Headers
    body: bytes


class BadRequestError(Exception):
    """A request lacks what its edge asks for, or says it wrongly."""


class Edge(Protocol):
    """An interface that requests come in by."""

    def parse_request(self, message: CallerRequest) -> RequestInfo:
        """Read a request's facts.

        :raises BadRequestError: if they cannot be read.
        """

    def render_request(self, message: CallerRequest, sending: AttemptContext) -> bytes:
        """Return the request as it goes to a server."""

    def parse_response_head(self, head: ResponseHead) -> ResponseInfo:
        """Read the facts in a server's answer."""

    def render_refusal(
        self, refusal: Refusal, request_id: RequestId | None
    ) -> RenderedResponse:
        """Return a final answer of the daemon's own."""
