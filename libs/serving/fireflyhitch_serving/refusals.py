"""Refusals of requests that are invalid, before they are admitted."""

from loguru import logger

from fireflyhitch_model.ids import RequestId
from fireflyhitch_serving.edge import Refusal, RenderedResponse
from fireflyhitch_serving.messages import render_response
from fireflyhitch_serving.request_reader import InvalidRequest


def log_invalid_request(
    invalid: InvalidRequest, refusal: Refusal, peer: str, request_id: RequestId | None
) -> None:
    """Log the refusal of an invalid request.

    :param peer: the caller's address.
    :param request_id: its id, if that was read.
    """
    logger.bind(
        request_id=request_id,
        peer=peer,
        status=refusal.status,
        code=refusal.code,
        outcome=refusal.outcome.value,
        detail=refusal.message,
        head_bytes=invalid.head_bytes,
        body_bytes=invalid.body_bytes,
        limit=invalid.limit,
    ).info('request refused')


def refuse_invalid_request(invalid: InvalidRequest, peer: str) -> RenderedResponse:
    """Log and render the refusal of a request whose headers have no meaning here."""
    log_invalid_request(invalid, make_refusal(invalid), peer, None)
    return RenderedResponse(invalid.status, [], b'')


def make_refusal(invalid: InvalidRequest) -> Refusal:
    """Return the refusal of an invalid request."""
    code = invalid.reason.value
    words = code.replace('_', ' ')
    return Refusal(invalid.status, code, f'the request cannot be read: {words}')


def render_refusal(response: RenderedResponse) -> bytes:
    """Return the refusal of an invalid request, after which the connection closes."""
    headers = [*response.headers, (b'Connection', b'close')]
    return render_response(response.status, headers, response.body)
