"""The callers' interface: which path is answered by what."""

import json
from collections.abc import Callable
from http import HTTPStatus

from fireflyhitch_daemon.calls import ModelCalls
from fireflyhitch_daemon.exchange import Endpoint
from fireflyhitch_daemon.front import (
    JSON_TYPE,
    REQUEST_ID_HEADER,
    CallerRequest,
    Detached,
    Header,
    Response,
    render_error,
)
from fireflyhitch_daemon.health import Health
from fireflyhitch_daemon.parsing import (
    authenticate,
    list_models,
    make_request_id,
    parse_model_request,
)
from fireflyhitch_model.clock import Clock
from fireflyhitch_model.errors import RequestError
from fireflyhitch_model.ids import DaemonId, RequestId
from fireflyhitch_model.states import Step
from fireflyhitch_settings.schema import Configuration
from fireflyhitch_telemetry.metrics import METRICS_TYPE, Metrics

ENDPOINTS = {endpoint.value: endpoint for endpoint in Endpoint}
SERVICES_PREFIX = '/services/'
REQUESTS_PREFIX = '/v1/requests/'


class Callers:
    """Answers the requests that come in at the callers' address."""

    def __init__(
        self,
        daemon_id: DaemonId,
        clock: Clock,
        calls: ModelCalls,
        health: Health,
        metrics: Metrics,
        read_configuration: Callable[[], Configuration | None],
    ) -> None:
        self._daemon_id = daemon_id
        self._clock = clock
        self._calls = calls
        self._health = health
        self._metrics = metrics
        self._read_configuration = read_configuration

    def handle(self, request: CallerRequest) -> Response | Detached:
        """Answer a request; errors carry the request's id like all answers."""
        if request.path in {'/livez', '/readyz', '/metrics'}:
            return self._answer_probe(request.path)
        request_id = make_request_id(self._daemon_id)
        try:
            return self._answer(request, request_id)
        except RequestError as error:
            return _with_request_id(render_error(error), request_id)

    def _answer_probe(self, path: str) -> Response:
        if path == '/livez':
            return Response(HTTPStatus.OK, b'alive\n')
        if path == '/metrics':
            kind = Header('Content-Type', METRICS_TYPE)
            return Response(HTTPStatus.OK, self._metrics.render(), (kind,))
        obstacle = self._health.find_obstacle()
        if obstacle is None:
            return Response(HTTPStatus.OK, b'ready\n')
        return Response(HTTPStatus.SERVICE_UNAVAILABLE, f'{obstacle}\n'.encode())

    def _answer(
        self, request: CallerRequest, request_id: RequestId
    ) -> Response | Detached:
        configuration = self._read_configuration()
        if configuration is None:
            raise RequestError(
                'this daemon has no configuration yet',
                step=Step.CONFIGURE,
                status=HTTPStatus.SERVICE_UNAVAILABLE,
                code='not_configured',
            )
        endpoint = ENDPOINTS.get(request.path)
        if endpoint is not None:
            _require_method(request, 'POST')
            now = self._clock.monotonic()
            asked = parse_model_request(
                request, endpoint, configuration, request_id, now
            )
            return self._calls.accept(request, asked)
        if request.path == '/v1/models':
            authenticate(request, configuration)
            return _with_request_id(_answer_models(configuration), request_id)
        raise RequestError(
            f'there is nothing at {request.path}',
            step=Step.PARSE,
            status=HTTPStatus.NOT_FOUND,
            code='not_found',
        )


def _require_method(request: CallerRequest, method: str) -> None:
    if request.method != method:
        raise RequestError(
            f'{request.path} takes {method} only',
            step=Step.PARSE,
            status=HTTPStatus.METHOD_NOT_ALLOWED,
            code='method_not_allowed',
        )


def _answer_models(configuration: Configuration) -> Response:
    models = [
        {'id': name, 'object': 'model', 'created': 0, 'owned_by': 'fireflyhitch'}
        for name in list_models(configuration)
    ]
    body = json.dumps({'object': 'list', 'data': models}).encode()
    return Response(HTTPStatus.OK, body, (Header('Content-Type', JSON_TYPE),))


def _with_request_id(answer: Response, request_id: RequestId) -> Response:
    header = Header(REQUEST_ID_HEADER, request_id)
    return Response(answer.status, answer.body, (*answer.headers, header))
