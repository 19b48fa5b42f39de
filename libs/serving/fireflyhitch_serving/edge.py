"""The interface of an edge, which translates between HTTP headers and typed values.

An edge makes no routing decisions.
"""

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
    """The values that an attempt adds to its request.

    :param server_id: ``None`` if the request goes to another daemon.
    :param time_left: seconds that the server has to respond.
    :param urgency: priority at a model engine, where 0 is admitted first; ``None`` for
        other services.
    :param last_event: id of the event after which the stream resumes.
    """

    server_id: BackendServerId | None
    customer: CustomerId | None
    time_left: float
    urgency: int | None
    last_event: int | None


@immutable
class Refusal:
    """A final response by the daemon itself.

    :param outcome: ``not-run`` only if that is certain.
    :param retry_after: time after which the caller may retry.
    """

    status: int
    code: str
    message: str
    outcome: Outcome = Outcome.NOT_RUN
    retry_after: timedelta | None = None


@immutable
class RenderedResponse:
    """A complete response, ready to be sent."""

    status: int
    headers: Headers
    body: bytes


class BadRequestError(Exception):
    """A request lacks a required header or has an invalid one."""


class Edge(Protocol):
    """Parses and renders the messages of one kind of HTTP interface."""

    def parse_request(self, message: CallerRequest) -> RequestInfo:
        """Parse the information in a request.

        :raises BadRequestError: if a header is missing or invalid.
        """

    def find_request_id(self, headers: Headers) -> RequestId | None:
        """Return a request's id, if its headers have one."""

    def render_request(self, message: CallerRequest, context: AttemptContext) -> bytes:
        """Return the request as it is sent to a server."""

    def parse_response_head(self, head: ResponseHead) -> ResponseInfo:
        """Parse the information in the head of a server's response."""

    def render_refusal(
        self, refusal: Refusal, request_id: RequestId | None
    ) -> RenderedResponse:
        """Return a final response by the daemon itself."""
