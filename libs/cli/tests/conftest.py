"""Fixtures with a fake admin interface that keeps a configuration in memory."""

import json
import ssl
import threading
from http.server import BaseHTTPRequestHandler, ThreadingHTTPServer
from pathlib import Path

import pytest
import trustme

from fireflyhitch_cli.main import main
from fireflyhitch_cli.options import ADMIN_VARIABLE, TOKEN_VARIABLE

EXAMPLES = Path(__file__).parents[3] / 'examples'
TOKEN = 'operator-token'


class FakeAdmin:
    """The fake daemon's state and the number of responses to lose."""

    def __init__(self):
        self.revision = 0
        self.configuration = None
        self.lost_answers = 0
        self.unavailable = None
        self.requests = []
        self.documents = {}

    def answer(self, method, path, body):
        self.requests.append((method, path, body))
        if self.unavailable is not None:
            return 503, {'error': 'store is down', 'outcome': self.unavailable}
        if method == 'PUT':
            return self.put(body)
        if path == '/admin/configuration':
            stored = {'revision': self.revision, 'configuration': self.configuration}
            return 200, stored
        return 200, self.documents[path]

    def put(self, body):
        if body['expected_revision'] != self.revision:
            conflict = {'error': 'conflict', 'current_revision': self.revision}
            return 409, {**conflict, 'configuration': self.configuration}
        self.revision += 1
        self.configuration = body['configuration']
        return 200, {'revision': self.revision}


class Handler(BaseHTTPRequestHandler):
    """Passes requests to the fake admin interface."""

    def do_GET(self):
        admin = self.server.admin
        size = int(self.headers.get('Content-Length') or 0)
        body = json.loads(self.rfile.read(size)) if size else None
        status, document = 401, {}
        if self.headers['Authorization'] == f'Bearer {TOKEN}':
            status, document = admin.answer(self.command, self.path, body)
        if admin.lost_answers:
            admin.lost_answers -= 1
            self.close_connection = True
            return
        self.send_response(status)
        self.end_headers()
        self.wfile.write(json.dumps(document).encode())

    do_PUT = do_GET
    do_POST = do_GET

    def log_message(self, *_):
        """Suppress request logging."""


@pytest.fixture
def admin(monkeypatch):
    fake = FakeAdmin()
    server = ThreadingHTTPServer(('127.0.0.1', 0), Handler)
    server.admin = fake
    fake.server = server
    thread = threading.Thread(target=server.serve_forever, args=(0.01,), daemon=True)
    thread.start()
    monkeypatch.setenv(ADMIN_VARIABLE, f'http://127.0.0.1:{server.server_port}')
    monkeypatch.setenv(TOKEN_VARIABLE, TOKEN)
    monkeypatch.setattr('fireflyhitch_cli.admin_client.MAX_BACKOFF_SECONDS', 0)
    yield fake
    server.shutdown()
    server.server_close()
    thread.join()


@pytest.fixture
def authority(admin, monkeypatch, tmp_path):
    """Enable TLS on the admin interface; return its CA certificate file."""
    issuer = trustme.CA()
    context = ssl.SSLContext(ssl.PROTOCOL_TLS_SERVER)
    issuer.issue_cert('127.0.0.1').configure_cert(context)
    server = admin.server
    server.socket = context.wrap_socket(server.socket, server_side=True)
    monkeypatch.setenv(ADMIN_VARIABLE, f'https://127.0.0.1:{server.server_port}')
    issuer.cert_pem.write_to_path(tmp_path / 'authority.pem')
    return tmp_path / 'authority.pem'


@pytest.fixture
def run(capsys):
    def run_command(*arguments):
        code = main([str(argument) for argument in arguments])
        captured = capsys.readouterr()
        return code, captured.out, captured.err

    return run_command


@pytest.fixture
def settings():
    return EXAMPLES / 'brandveilig'
