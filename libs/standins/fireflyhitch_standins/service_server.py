"""A plain service that counts its runs by idempotency key.

It does not deduplicate, so that a call that was sent twice shows.
"""

import argparse
import json
import signal
import threading
import time
from collections import Counter
from collections.abc import Callable, Iterable
from http import HTTPStatus
from typing import Any

from cheroot import wsgi

Environment = dict[str, Any]
StartResponse = Callable[[str, list[tuple[str, str]]], object]
KEY_HEADER = 'HTTP_IDEMPOTENCY_KEY'
NOT_RUN_HEADER = ('Fireflyhitch-Outcome', 'not-run')


class ServiceServer:
    """The service on a thread pool, with faults that a test turns on.

    :param name: goes into each answer.
    :param version: goes into each answer.
    :param response_seconds: how long a call takes.
    """

    def __init__(
        self,
        name: str = 'service',
        version: str = 'v1',
        response_seconds: float = 0,
        host: str = '127.0.0.1',
        port: int = 0,
        threads: int = 16,
    ) -> None:
        self.name = name
        self.version = version
        self.response_seconds = response_seconds
        self.refuse = False
        self.fail_share = 0.0
        self.runs: Counter[str] = Counter()
        self.total_runs = 0
        self._lock = threading.Lock()
        self._server = wsgi.Server((host, port), self._answer, numthreads=threads)
        self._thread = threading.Thread(target=self._server.serve, daemon=True)

    @property
    def address(self) -> str:
        """Return ``host:port`` once started."""
        host, port = self._server.bind_addr
        return f'{host}:{port}'

    def start(self) -> None:
        """Listen and serve."""
        self._server.prepare()
        self._thread.start()

    def stop(self) -> None:
        """Stop listening; calls in progress end."""
        self._server.stop()
        self._thread.join()

    def _answer(self, environ: Environment, start: StartResponse) -> Iterable[bytes]:
        path = environ['PATH_INFO']
        if path == '/runs':
            with self._lock:
                return _send_json(start, dict(self.runs))
        body = environ['wsgi.input'].read(int(environ.get('CONTENT_LENGTH') or 0))
        if path == '/standin/faults':
            return self._set_faults(body, start)
        if self.refuse:
            refusal = {'error': 'not accepting calls'}
            headers = [NOT_RUN_HEADER]
            return _send_json(start, refusal, HTTPStatus.SERVICE_UNAVAILABLE, headers)
        return self._run(environ, body, start)

    def _run(
        self, environ: Environment, body: bytes, start: StartResponse
    ) -> Iterable[bytes]:
        key = environ.get(KEY_HEADER)
        with self._lock:
            self.total_runs += 1
            run = self.total_runs
            if key is not None:
                self.runs[key] += 1
        if self.response_seconds:
            time.sleep(self.response_seconds)
        if int(run * self.fail_share) > int((run - 1) * self.fail_share):
            error = {'error': 'failed after running'}
            return _send_json(start, error, HTTPStatus.INTERNAL_SERVER_ERROR)
        answer = {
            'service': self.name,
            'version': self.version,
            'method': environ['REQUEST_METHOD'],
            'path': environ['PATH_INFO'],
            'key': key,
            'run': run,
            'body': body.decode('utf-8', 'replace'),
        }
        return _send_json(start, answer)

    def _set_faults(self, body: bytes, start: StartResponse) -> Iterable[bytes]:
        wanted = json.loads(body)
        self.refuse = bool(wanted.get('refuse', False))
        self.fail_share = float(wanted.get('fail_share', 0))
        self.response_seconds = float(
            wanted.get('response_seconds', self.response_seconds)
        )
        return _send_json(start, {})


def _send_json(
    start: StartResponse,
    document: object,
    status: HTTPStatus = HTTPStatus.OK,
    headers: Iterable[tuple[str, str]] = (),
) -> Iterable[bytes]:
    body = json.dumps(document).encode()
    start(
        f'{status.value} {status.phrase}',
        [
            ('Content-Type', 'application/json'),
            ('Content-Length', str(len(body))),
            *headers,
        ],
    )
    return (body,)


def main() -> None:
    """Serve until SIGTERM; print the address as a line of JSON."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument('--host', default='127.0.0.1')
    parser.add_argument('--port', type=int, default=0)
    parser.add_argument('--name', default='service')
    parser.add_argument('--version', default='v1')
    parser.add_argument('--response-seconds', type=float, default=0)
    options = parser.parse_args()
    server = ServiceServer(
        options.name,
        options.version,
        options.response_seconds,
        options.host,
        options.port,
    )
    stopped = threading.Event()
    signal.signal(signal.SIGTERM, lambda *_: stopped.set())
    server.start()
    print(json.dumps({'address': server.address}), flush=True)  # noqa: WPS421
    stopped.wait()
    server.stop()


if __name__ == '__main__':
    main()
