"""Returns the rest of an answer to callers that reconnect or were redirected."""

from http import HTTPStatus

from fireflyhitch_daemon.assembly import assemble_answer
from fireflyhitch_daemon.calls import ModelCalls
from fireflyhitch_daemon.exchange import CallerConnection
from fireflyhitch_daemon.forwarding import FORWARDED_HEADER, Forwarder
from fireflyhitch_daemon.http_server import (
    DETACHED,
    JSON_TYPE,
    CallerRequest,
    Detached,
    Header,
    Response,
)
from fireflyhitch_daemon.replies import REQUESTS_PREFIX
from fireflyhitch_daemon.sse import DONE_EVENT, render_part
from fireflyhitch_model.errors import RequestError
from fireflyhitch_model.ids import CustomerId, DaemonId, RequestId
from fireflyhitch_model.peers import PeerMessenger
from fireflyhitch_model.states import Outcome, Step
from fireflyhitch_recovery.answers import AnswerEnd
from fireflyhitch_recovery.events import EventId, check_lineage, parse_event_id
from fireflyhitch_recovery.inflight import InFlight, make_daemon_tag
from fireflyhitch_recovery.locations import RequestLocator
from fireflyhitch_recovery.requests import TrackedRequest

LAST_EVENT_HEADER = 'last-event-id'
STREAM_TYPE = 'text/event-stream'


class RequestLookup:
    """Answers ``GET /v1/requests/{id}`` locally or by forwarding to the owner."""

    def __init__(
        self,
        daemon_id: DaemonId,
        calls: ModelCalls,
        in_flight: InFlight,
        locations: RequestLocator,
        messenger: PeerMessenger,
        forwarder: Forwarder,
    ) -> None:
        self._daemon_id = daemon_id
        self._calls = calls
        self._in_flight = in_flight
        self._locations = locations
        self._messenger = messenger
        self._forwarder = forwarder

    def answer(
        self, request: CallerRequest, customer: CustomerId
    ) -> Response | Detached:
        """Return the events after the last one that the caller received.

        :raises RequestError: 404 if no reachable daemon has the request, or if it
            belongs to another customer.
        """
        request_id = RequestId(request.path.removeprefix(REQUESTS_PREFIX))
        last = parse_event_id(request.headers.get(LAST_EVENT_HEADER, ''))
        tracked = self._in_flight.find_for_customer(request_id, customer)
        if tracked is None:
            return self._forward(request, request_id)
        check_lineage(tracked.log.lineage, last)
        streaming = _wants_stream(request, tracked)
        exchange = self._calls.find_open(request_id)
        if exchange is not None:
            connection = CallerConnection(
                request.detach(), streaming, position=last.number
            )
            self._calls.relay.add_connection(exchange, connection)
            return DETACHED
        return _render_complete(tracked, last, streaming)

    def _forward(self, request: CallerRequest, request_id: RequestId) -> Detached:
        if FORWARDED_HEADER in request.headers:
            raise _describe_not_found(request_id)
        owner = self._find_owner(request_id)
        for daemon in self._messenger.live():
            if daemon.daemon_id == owner and owner != self._daemon_id:
                return self._forward_to(request, request_id, daemon.entry_address)
        raise _describe_not_found(request_id)

    def _find_owner(self, request_id: RequestId) -> DaemonId | None:
        """Return the daemon that has a request, or else the one that accepted it.

        A busy peer may not answer the lookup in time. The request then goes to
        the daemon named in its id, since a lookup that timed out must not give
        the caller a 404.
        """
        location = self._locations.find(request_id)
        if location is not None:
            return location.daemon_id
        tag = request_id.partition('-')[0]
        for daemon in self._messenger.live():
            if make_daemon_tag(daemon.daemon_id) == tag:
                return daemon.daemon_id
        return None

    def _forward_to(
        self, request: CallerRequest, request_id: RequestId, address: str
    ) -> Detached:
        try:
            self._forwarder.forward(request, address)
        except OSError as error:
            raise _describe_not_found(request_id) from error
        return DETACHED


def _wants_stream(request: CallerRequest, tracked: TrackedRequest) -> bool:
    if tracked.accepted.streaming or LAST_EVENT_HEADER in request.headers:
        return True
    return STREAM_TYPE in request.headers.get('accept', '')


def _render_complete(
    tracked: TrackedRequest, last: EventId, streaming: bool
) -> Response:
    part = tracked.log.read_after(last.number)
    if tracked.finished is not AnswerEnd.COMPLETE:
        raise RequestError(
            'the answer failed and its error was given to the first caller',
            step=Step.ANSWER,
            status=HTTPStatus.BAD_GATEWAY,
            code='answer_failed',
            outcome=Outcome.UNKNOWN,
        )
    if streaming:
        text = b'%b%b' % (render_part(part, tracked.log.lineage), DONE_EVENT)
        return Response(HTTPStatus.OK, text, (Header('Content-Type', STREAM_TYPE),))
    body = assemble_answer(tracked.accepted, tracked.log.read_after(0).events)
    return Response(HTTPStatus.OK, body, (Header('Content-Type', JSON_TYPE),))


def _describe_not_found(request_id: RequestId) -> RequestError:
    return RequestError(
        f'no daemon in reach has the request {request_id}',
        step=Step.ANSWER,
        status=HTTPStatus.NOT_FOUND,
        code='request_not_found',
        outcome=Outcome.UNKNOWN,
    )
