"""Sending a model call to a backend server, and again where that is safe."""

import json
import socket
from collections.abc import Mapping
from typing import Any

from urllib3.connection import HTTPConnection

from fireflyhitch_daemon.assembly import collect_text
from fireflyhitch_daemon.exchange import Endpoint, Exchange
from fireflyhitch_daemon.upstream import Upstream
from fireflyhitch_model.backends import BackendServer

CONNECT_SECONDS = 1.0
NO_DELAY: list[tuple[int, int, int | bytes]] = [
    (socket.IPPROTO_TCP, socket.TCP_NODELAY, 1),
]


def send_call(exchange: Exchange, server: BackendServer) -> Upstream:
    """Connect to a server and send the call, or its continuation.

    :raises OSError: if the server could not be reached.
    """
    exchange.attempts += 1
    host, _, port = server.address.rpartition(':')
    connection = HTTPConnection(
        host, int(port), timeout=CONNECT_SECONDS, socket_options=NO_DELAY
    )
    connection.request(
        'POST',
        exchange.endpoint.value,
        body=json.dumps(build_body(exchange)).encode(),
        headers={
            'Content-Type': 'application/json',
            'X-Request-Id': f'{exchange.call.request_id}.{exchange.attempts}',
        },
    )
    sock: socket.socket = connection.sock
    return Upstream(sock, exchange.attempts, server.server_id)


def build_body(exchange: Exchange) -> Mapping[str, Any]:
    """Return what the backend server is asked for.

    The answer is always asked for as a stream, also for a caller that wants it
    whole: only a stream tells how far the answer had come when a server is lost.
    """
    body = {**exchange.body, 'stream': True}
    if not exchange.streaming:
        body['stream_options'] = {'include_usage': True}
    if not exchange.events:
        return body
    return _continue_body(exchange, body)


def _continue_body(exchange: Exchange, body: dict[str, Any]) -> Mapping[str, Any]:
    text = collect_text(exchange.endpoint, exchange.events)
    body['max_tokens'] = max(1, exchange.call.max_tokens - len(exchange.events))
    if exchange.endpoint is Endpoint.TEXT:
        body['prompt'] = f'{body["prompt"]}{text}'
        return body
    partial = {'role': 'assistant', 'content': text}
    body['messages'] = [*body['messages'], partial]
    body['continue_final_message'] = True
    body['add_generation_prompt'] = False
    return body
