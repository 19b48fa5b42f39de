"""Tests of the HTTP server, over a real socket."""

import socket
import threading

import pytest
import urllib3

from fireflyhitch_daemon.http_server import Response, build_server
from fireflyhitch_settings.bootstrap import Limits, Listener


def echo(request):
    if request.path == '/fault':
        raise LookupError('unforeseen')
    return Response(200, request.body)


@pytest.fixture
def address():
    limits = Limits(max_body_bytes=1000)
    server = build_server(Listener(), limits, echo, lambda: 'id')
    thread = threading.Thread(target=server.serve)
    thread.start()
    yield 'http://{}:{}'.format(*server.bind_addr)
    server.stop()
    thread.join()


class TestHttpServer:
    """Reading requests and writing answers."""

    def test_whole_body_is_read(self, address):
        assert urllib3.request('POST', address, body=b'x' * 1000).data == b'x' * 1000

    def test_oversize_body_is_refused_as_not_run(self, address):
        answer = urllib3.request('POST', address, body=b'x' * 1001)
        assert answer.status == 413
        assert answer.headers['Fireflyhitch-Outcome'] == 'not-run'
        assert answer.json()['error']['code'] == 'body_too_large'

    def test_oversize_chunked_body_is_refused(self, address):
        blocks = iter([b'x' * 600, b'x' * 600])
        answer = urllib3.request('POST', address, body=blocks)
        assert answer.status == 413

    def test_malformed_request_is_answered_in_the_error_format(self, address):
        host, port = address.removeprefix('http://').split(':')
        with socket.create_connection((host, int(port))) as caller:
            caller.sendall(b'NONSENSE\r\n\r\n')
            answer = caller.makefile('rb').read()
        assert answer.startswith(b'HTTP/1.1 400 Bad Request')
        assert b'Fireflyhitch-Outcome: not-run' in answer
        assert b'Fireflyhitch-Request-Id: id' in answer

    def test_unexpected_handler_error_gives_unknown_outcome(self, address):
        """The handler raises an unexpected error.

        The caller gets a 500 in the common error format. Whether the call ran is
        unknown, so the outcome must not be "not-run".
        """
        answer = urllib3.request('POST', f'{address}/fault')
        assert answer.status == 500
        assert answer.headers['Fireflyhitch-Outcome'] == 'unknown'
