"""Client of model engines: orders, reports, streams and KV caches."""

from collections.abc import Callable
from dataclasses import dataclass
from http import HTTPStatus

from pydantic import BaseModel, ConfigDict, NonNegativeInt, TypeAdapter

from fireflyhitch_model.backends import CacheEvent, LoadReport
from fireflyhitch_model.clock import Clock, SystemClock
from fireflyhitch_model.errors import PlatformError
from fireflyhitch_model.ids import AttemptId, BackendServerId
from fireflyhitch_model.states import Outcome, Step
from fireflyhitch_platform.http import (
    CallPolicy,
    Operation,
    PlatformHttp,
    PlatformResponse,
    RetryPolicy,
    StatusError,
    parse_body,
)
from fireflyhitch_platform.services import EngineOrder, EngineState

HALF = 0.5
KV_TOKENS_HEADER = 'Kv-Tokens'

READ_STATE = Operation('read-state', 'GET', Step.ORDER)
# The sender reads the engine's state before each attempt, so there is no automatic
# retry: an engine that ignores fencing would run a delayed old order.
SEND_ORDER = Operation('give-order', 'POST', Step.ORDER, RetryPolicy.NEVER)
READ_LOAD = Operation('read-load', 'GET', Step.ROUTE, RetryPolicy.NEVER)
READ_EVENTS = Operation('read-cache-events', 'GET', Step.ROUTE, RetryPolicy.NEVER)
CANCEL = Operation('cancel', 'DELETE', Step.RELAY)
EXPORT_KV = Operation('export-kv', 'GET', Step.RESUME, RetryPolicy.NEVER)
IMPORT_KV = Operation('import-kv', 'PUT', Step.RESUME, RetryPolicy.NEVER)

# Returns ``host:port`` of a backend server, or ``None`` if it is unknown.
FindAddress = Callable[[BackendServerId], str | None]


@dataclass(frozen=True, slots=True)
class KvExport:
    """The KV cache of a stream.

    :param tokens: number of prompt and response tokens that it covers.
    :param cache: opaque bytes for an engine of the same version.
    """

    tokens: int
    cache: bytes


class _Body(BaseModel):
    model_config = ConfigDict(frozen=True, extra='ignore')


class _Load(_Body):
    running: NonNegativeInt
    waiting: NonNegativeInt
    kv_cache_used: float
    age_seconds: float


class _Event(_Body):
    sequence: int
    stored: tuple[int, ...] = ()
    removed: tuple[int, ...] = ()
    cleared: bool = False


class _Events(_Body):
    events: tuple[_Event, ...]


_STATE = TypeAdapter(EngineState)
_LOAD = TypeAdapter(_Load)
_EVENTS = TypeAdapter(_Events)
_ORDER = TypeAdapter(EngineOrder)


class HttpEngines:
    """HTTP implementation of ``Engines`` that also reads engine reports.

    :param find_address: returns the current address of a backend server.
    """

    def __init__(
        self,
        find_address: FindAddress,
        policy: CallPolicy | None = None,
        clock: Clock | None = None,
    ) -> None:
        self._find_address = find_address
        self._http = PlatformHttp('engine', policy)
        self._clock = clock or SystemClock()

    def read_state(self, server: BackendServerId) -> EngineState:
        """Read an engine's version, adapters, role and readiness."""
        response = self._call(READ_STATE, server, 'state')
        return parse_body(_STATE, response, Step.ORDER, server)

    def send_order(self, server: BackendServerId, order: EngineOrder) -> bool:
        """Send an order; return ``False`` if its fencing number is outdated.

        :raises PlatformError: with outcome ``unknown`` if the order may still run.
        """
        document = _ORDER.dump_python(order, mode='json')
        try:
            self._call(SEND_ORDER, server, 'orders', document)
        except StatusError as error:
            if error.status == HTTPStatus.CONFLICT:
                return False
            raise
        return True

    def read_load(self, server: BackendServerId) -> LoadReport:
        """Read an engine's load, timestamped with its age subtracted."""
        asked = self._clock.monotonic()
        response = self._call(READ_LOAD, server, 'load')
        answered = asked + (self._clock.monotonic() - asked) * HALF
        load = parse_body(_LOAD, response, Step.ROUTE, server)
        return LoadReport(
            server,
            load.running,
            load.waiting,
            load.kv_cache_used,
            answered - load.age_seconds,
        )

    def read_cache_events(
        self, server: BackendServerId, after: int
    ) -> tuple[CacheEvent, ...]:
        """Return an engine's prefix cache events after a sequence number."""
        response = self._call(READ_EVENTS, server, f'cache-events?after={after}')
        return tuple(
            CacheEvent(
                server, event.sequence, event.stored, event.removed, event.cleared
            )
            for event in parse_body(_EVENTS, response, Step.ROUTE, server).events
        )

    def cancel(self, server: BackendServerId, attempt: AttemptId) -> None:
        """Cancel a stream; it is no error if it has already ended."""
        try:
            self._call(CANCEL, server, f'streams/{attempt}')
        except StatusError as error:
            if error.status != HTTPStatus.NOT_FOUND:
                raise

    def export_kv(self, server: BackendServerId, attempt: AttemptId) -> KvExport:
        """Export the KV cache of a stream."""
        response = self._call(EXPORT_KV, server, f'kv/{attempt}')
        tokens = int(response.headers.get(KV_TOKENS_HEADER, '0'))
        return KvExport(tokens, response.body)

    def import_kv(
        self, server: BackendServerId, attempt: AttemptId, export: KvExport
    ) -> None:
        """Import a stream's KV cache into another engine."""
        url = f'{self._resolve_url(server, IMPORT_KV)}/engine/kv/{attempt}'
        headers = {KV_TOKENS_HEADER: str(export.tokens)}
        self._http.call(IMPORT_KV, url, headers=headers, body=export.cache)

    def _call(
        self,
        operation: Operation,
        server: BackendServerId,
        path: str,
        document: object = None,
    ) -> PlatformResponse:
        url = f'{self._resolve_url(server, operation)}/engine/{path}'
        return self._http.call(operation, url, document)

    def _resolve_url(self, server: BackendServerId, operation: Operation) -> str:
        address = self._find_address(server)
        if address is None:
            raise PlatformError(
                'its address is not known',
                step=operation.step,
                peer=server,
                outcome=Outcome.NOT_RUN,
            )
        return f'http://{address}'
