"""A plain service that counts its runs by idempotency key.

It does not deduplicate, so that a call that was sent twice shows.
"""

import argparse
import json
from collections import Counter
from http import HTTPStatus
from typing import Any

from pydantic import BaseModel, ConfigDict

from fireflyhitch_standins.asyncio_http import AsyncHttpServer, Reply, Request
from fireflyhitch_standins.processes import serve_until_stopped

NOT_RUN = {'Fireflyhitch-Outcome': 'not-run', 'Content-Type': 'application/json'}


class ServiceSettings(BaseModel):
    """Settings of the service, which a test may replace while it runs.

    :param response_seconds: duration of a call.
    :param slow_seconds_per_call: added for each other call in progress.
    :param refuse: calls are refused before they run.
    :param fail_share: share of calls that run and then fail.
    :param drop_share: share of calls that run but whose response is lost.
    :param limit: calls per second that it reports as its limit, if any.
    """

    model_config = ConfigDict(extra='forbid')

    response_seconds: float = 0
    slow_seconds_per_call: float = 0
    refuse: bool = False
    fail_share: float = 0
    drop_share: float = 0
    limit: float | None = None


class ServiceServer:
    """Serves the service on one event loop.

    :param name: included in each response.
    :param version: included in each response.
    """

    def __init__(
        self,
        name: str = 'service',
        version: str = 'v1',
        settings: ServiceSettings | None = None,
        host: str = '127.0.0.1',
        port: int = 0,
    ) -> None:
        self.name = name
        self.version = version
        self.settings = settings or ServiceSettings()
        self.runs: Counter[str] = Counter()
        self.total_runs = 0
        self.running = 0
        self._server = AsyncHttpServer(self._handle, host, port)

    @property
    def address(self) -> str:
        """Return ``host:port`` once started."""
        return self._server.address

    def start(self) -> None:
        """Listen and serve."""
        self._server.start()

    def stop(self) -> None:
        """Reset all connections, as a reclaimed instance does."""
        self._server.stop()

    def _handle(self, request: Request, reply: Reply) -> None:
        if request.path == '/runs':
            reply.send_json(dict(self.runs))
        elif request.path == '/standin/settings':
            self._handle_settings(request, reply)
        elif self.settings.refuse:
            body = b'{"error":"not accepting calls"}'
            reply.send(body, NOT_RUN, HTTPStatus.SERVICE_UNAVAILABLE)
        else:
            self._run(request, reply)

    def _run(self, request: Request, reply: Reply) -> None:
        key = request.headers.get('idempotency-key')
        self.total_runs += 1
        if key is not None:
            self.runs[key] += 1
        delay = self.settings.response_seconds
        delay += self.settings.slow_seconds_per_call * self.running
        self.running += 1
        run = self.total_runs
        self._server.loop.call_later(delay, self._finish, run, request, reply)

    def _finish(self, run: int, request: Request, reply: Reply) -> None:
        self.running -= 1
        if reply.ended:
            return
        if _is_selected(run, self.settings.drop_share):
            reply.abort()
        elif _is_selected(run, self.settings.fail_share):
            error = {'error': 'failed after running'}
            reply.send_json(error, HTTPStatus.INTERNAL_SERVER_ERROR)
        else:
            reply.send(json.dumps(self._answer(run, request)).encode(), self._headers())

    def _headers(self) -> dict[str, str]:
        headers = {'Content-Type': 'application/json'}
        if self.settings.limit is not None:
            headers['Server-Limit'] = str(self.settings.limit)
        return headers

    def _answer(self, run: int, request: Request) -> dict[str, Any]:
        return {
            'service': self.name,
            'version': self.version,
            'method': request.method,
            'path': request.path,
            'key': request.headers.get('idempotency-key'),
            'run': run,
            'body': request.body.decode('utf-8', 'replace'),
        }

    def _handle_settings(self, request: Request, reply: Reply) -> None:
        if request.method == 'PUT':
            held = self.settings.model_dump()
            wanted = {**held, **json.loads(request.body)}
            self.settings = ServiceSettings.model_validate(wanted)
        reply.send_json(self.settings.model_dump())


def _is_selected(run: int, share: float) -> bool:
    # Spread evenly, so that a test knows how many of n calls are selected.
    return int(run * share) > int((run - 1) * share)


def main() -> None:
    """Serve until SIGTERM; print the address as a line of JSON."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument('--host', default='127.0.0.1')
    parser.add_argument('--port', type=int, default=0)
    parser.add_argument('--name', default='service')
    parser.add_argument('--version', default='v1')
    parser.add_argument('--response-seconds', type=float, default=0)
    options = parser.parse_args()
    settings = ServiceSettings(response_seconds=options.response_seconds)
    serve_until_stopped(
        ServiceServer(
            options.name, options.version, settings, options.host, options.port
        )
    )


if __name__ == '__main__':
    main()
