"""Converts headers, responses and errors between callers and plain services."""

from collections.abc import Mapping
from http import HTTPStatus

from loguru import logger
from urllib3 import HTTPResponse

from fireflyhitch_daemon.dispatch import DEADLINE_HEADER, MILLISECONDS
from fireflyhitch_daemon.http_server import OUTCOME_HEADER, Header, Response
from fireflyhitch_ledger.operations import Answer, AnswerHeader
from fireflyhitch_model.backends import BackendServer
from fireflyhitch_model.errors import RequestError
from fireflyhitch_model.ids import RequestId
from fireflyhitch_model.states import Outcome, Step
from fireflyhitch_routing.choices import ResultStatus

# Headers of a single connection, or that this daemon sets itself.
EXCLUDED_HEADERS = frozenset(
    (
        'authorization',
        'connection',
        'content-length',
        'expect',
        'fireflyhitch-deadline-ms',
        'host',
        'keep-alive',
        'proxy-authenticate',
        'proxy-authorization',
        'te',
        'trailer',
        'transfer-encoding',
        'upgrade',
    )
)


def forward_headers(
    given: Mapping[str, str], request_id: RequestId, seconds_left: float
) -> dict[str, str]:
    """Return the headers to send to the backend server for a caller's request.

    :param seconds_left: until the caller's deadline.
    """
    headers = {
        name: text for name, text in given.items() if name not in EXCLUDED_HEADERS
    }
    headers['X-Request-Id'] = request_id
    headers[DEADLINE_HEADER] = str(int(seconds_left * MILLISECONDS))
    return headers


def build_response(received: HTTPResponse) -> Response:
    """Return the caller's response for a backend server's response."""
    headers = tuple(
        Header(name, text)
        for name, text in received.headers.items()
        if name.lower() not in EXCLUDED_HEADERS
    )
    ran = Header(OUTCOME_HEADER, Outcome.RAN.value)
    return Response(received.status, received.data, (*headers, ran))


def build_stored_answer(answer: Response) -> Answer:
    """Return a response in the form that the ledger stores."""
    headers = tuple(
        AnswerHeader(name=header.name, value=header.value) for header in answer.headers
    )
    return Answer(status=answer.status, headers=headers, body=answer.body)


def restore_answer(answer: Answer) -> Response:
    """Return the response for an answer stored by the ledger."""
    headers = tuple(Header(header.name, header.value) for header in answer.headers)
    return Response(answer.status, answer.body, headers)


def classify_response(answer: Response) -> ResultStatus:
    """Return whether a response counts as a failure of the backend server."""
    if answer.status >= HTTPStatus.INTERNAL_SERVER_ERROR:
        return ResultStatus.FAILED
    return ResultStatus.SUCCEEDED


def describe_connect_failure(server: BackendServer, error: OSError) -> RequestError:
    """Return the error for a call that was not sent."""
    return RequestError(
        f'the backend server was not reached: {error!r}',
        step=Step.CONNECT,
        peer=server.server_id,
        status=HTTPStatus.SERVICE_UNAVAILABLE,
        code='backend_unreached',
    )


def describe_refused(server: BackendServer, received: HTTPResponse) -> RequestError:
    """Return the error for a call that was refused before execution."""
    logger.bind(step=Step.FIRST_BYTE.value, peer=server.server_id).warning('refused')
    return RequestError(
        f'the backend server refused the call with status {received.status}',
        step=Step.FIRST_BYTE,
        peer=server.server_id,
        status=HTTPStatus.SERVICE_UNAVAILABLE,
        code='backend_refused',
    )


def describe_lost(server: BackendServer, error: Exception) -> RequestError:
    """Return the error for a call that was sent but whose answer was lost."""
    return RequestError(
        f'the answer was lost: {error!r}',
        step=Step.FIRST_BYTE,
        peer=server.server_id,
        status=HTTPStatus.BAD_GATEWAY,
        code='answer_lost',
        outcome=Outcome.UNKNOWN,
    )
