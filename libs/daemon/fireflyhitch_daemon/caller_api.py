"""The HTTP API for callers: dispatches requests by path."""

import json
from collections.abc import Callable
from dataclasses import dataclass
from http import HTTPStatus

from fireflyhitch_daemon.calls import ModelCalls
from fireflyhitch_daemon.health import Health
from fireflyhitch_daemon.http_server import (
    JSON_TYPE,
    REQUEST_ID_HEADER,
    CallerRequest,
    Detached,
    Header,
    Response,
    render_error,
)
from fireflyhitch_daemon.parsing import (
    authenticate,
    list_models,
    parse_model_request,
)
from fireflyhitch_daemon.replies import REQUESTS_PREFIX
from fireflyhitch_daemon.request_lookup import RequestLookup
from fireflyhitch_daemon.services import SERVICES_PREFIX, ServiceCalls
from fireflyhitch_model.clock import Clock
from fireflyhitch_model.errors import FireflyhitchError, RequestError
from fireflyhitch_model.ids import DaemonId, RequestId
from fireflyhitch_model.states import Outcome, Step
from fireflyhitch_recovery.inflight import make_request_id
from fireflyhitch_recovery.requests import CompletionKind
from fireflyhitch_settings.schema import Configuration
from fireflyhitch_telemetry.metrics import METRICS_TYPE, Metrics

ENDPOINTS = {
    '/v1/chat/completions': CompletionKind.CHAT,
    '/v1/completions': CompletionKind.TEXT,
}
PROBES = frozenset(('/livez', '/readyz', '/metrics'))


@dataclass(frozen=True, slots=True)
class CallerApiDependencies:
    """What ``CallerApi`` depends on."""

    daemon_id: DaemonId
    clock: Clock
    calls: ModelCalls
    services: ServiceCalls
    requests: RequestLookup
    health: Health
    metrics: Metrics
    read_configuration: Callable[[], Configuration | None]


class CallerApi:
    """Answers the requests on the caller listener."""

    def __init__(self, deps: CallerApiDependencies) -> None:
        self._deps = deps

    def handle(self, request: CallerRequest) -> Response | Detached:
        """Answer a request; all answers except those to probes carry its id."""
        if request.path in PROBES:
            return self._answer_probe(request.path)
        request_id = make_request_id(self._deps.daemon_id)
        try:
            answer = self._answer(request, request_id)
        except RequestError as error:
            answer = render_error(error)
        except FireflyhitchError as error:
            answer = render_error(_describe_fault(error))
        if isinstance(answer, Detached):
            return answer
        header = Header(REQUEST_ID_HEADER, request_id)
        return Response(answer.status, answer.body, (*answer.headers, header))

    def _answer_probe(self, path: str) -> Response:
        if path == '/livez':
            return Response(HTTPStatus.OK, b'alive\n')
        if path == '/metrics':
            kind = Header('Content-Type', METRICS_TYPE)
            return Response(HTTPStatus.OK, self._deps.metrics.render(), (kind,))
        obstacle = self._deps.health.find_unready_reason()
        if obstacle is None:
            return Response(HTTPStatus.OK, b'ready\n')
        return Response(HTTPStatus.SERVICE_UNAVAILABLE, f'{obstacle}\n'.encode())

    def _answer(
        self, request: CallerRequest, request_id: RequestId
    ) -> Response | Detached:
        configuration = self._deps.read_configuration()
        if configuration is None:
            raise RequestError(
                'this daemon has no configuration yet',
                step=Step.CONFIGURE,
                status=HTTPStatus.SERVICE_UNAVAILABLE,
                code='not_configured',
            )
        kind = ENDPOINTS.get(request.path)
        if kind is not None:
            _require_method(request, 'POST')
            now = self._deps.clock.monotonic()
            parsed = parse_model_request(request, kind, configuration, request_id, now)
            return self._deps.calls.accept(request, parsed)
        if request.path.startswith(SERVICES_PREFIX):
            return self._deps.services.answer(request, configuration, request_id)
        return self._answer_query(request, configuration)

    def _answer_query(
        self, request: CallerRequest, configuration: Configuration
    ) -> Response | Detached:
        is_models = request.path == '/v1/models'
        if not is_models and not request.path.startswith(REQUESTS_PREFIX):
            raise RequestError(
                f'there is nothing at {request.path}',
                step=Step.PARSE,
                status=HTTPStatus.NOT_FOUND,
                code='not_found',
            )
        _require_method(request, 'GET')
        customer = authenticate(request, configuration)
        if not is_models:
            return self._deps.requests.answer(request, customer.customer_id)
        models = [
            {'id': name, 'object': 'model', 'created': 0, 'owned_by': 'fireflyhitch'}
            for name in list_models(configuration, customer)
        ]
        body = json.dumps({'object': 'list', 'data': models}).encode()
        return Response(HTTPStatus.OK, body, (Header('Content-Type', JSON_TYPE),))


def _require_method(request: CallerRequest, method: str) -> None:
    if request.method != method:
        raise RequestError(
            f'{request.path} takes {method} only',
            step=Step.PARSE,
            status=HTTPStatus.METHOD_NOT_ALLOWED,
            code='method_not_allowed',
        )


def _describe_fault(error: FireflyhitchError) -> RequestError:
    return RequestError(
        error.message,
        step=error.step,
        peer=error.peer,
        status=HTTPStatus.INTERNAL_SERVER_ERROR,
        code='internal_error',
        outcome=Outcome.UNKNOWN,
    )
