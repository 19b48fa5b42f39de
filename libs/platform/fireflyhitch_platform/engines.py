"""The client of model engines: orders, reports, streams and KV cache."""

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
    Repeat,
    StatusError,
    parse_body,
)
from fireflyhitch_platform.services import EngineOrder, EngineState

HALF = 0.5
KV_TOKENS_HEADER = 'Kv-Tokens'

READ_STATE = Operation('read-state', 'GET', Step.ORDER)
# Whoever gives an order reads the engine's state first, also before giving it
# again: an engine that ignores fencing would run an old order late.
GIVE_ORDER = Operation('give-order', 'POST', Step.ORDER, Repeat.NEVER)
READ_LOAD = Operation('read-load', 'GET', Step.ROUTE, Repeat.NEVER)
READ_EVENTS = Operation('read-cache-events', 'GET', Step.ROUTE, Repeat.NEVER)
CANCEL = Operation('cancel', 'DELETE', Step.RELAY)
EXPORT_KV = Operation('export-kv', 'GET', Step.RESUME, Repeat.NEVER)
IMPORT_KV = Operation('import-kv', 'PUT', Step.RESUME, Repeat.NEVER)

# Returns ``host:port`` of a backend server; ``None`` if it is not known.
FindAddress = Callable[[BackendServerId], str | None]


@dataclass(frozen=True, slots=True)
class KvExport:
    """The KV cache of a stream.

    :param tokens: how many tokens of prompt and answer it covers.
    :param cache: opaque bytes, for an engine of the same version.
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
    """Implements ``Engines``, and reads what engines report.

    :param find_address: where a backend server listens now.
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
        """Ask an engine what it holds."""
        response = self._call(READ_STATE, server, 'state')
        return parse_body(_STATE, response, Step.ORDER, server)

    def give_order(self, server: BackendServerId, order: EngineOrder) -> bool:
        """Give an order; ``False`` is the refusal of an old fencing number.

        :raises PlatformError: with ``unknown`` if the order may be carried out.
        """
        document = _ORDER.dump_python(order, mode='json')
        try:
            self._call(GIVE_ORDER, server, 'orders', document)
        except StatusError as error:
            if error.status == HTTPStatus.CONFLICT:
                return False
            raise
        return True

    def read_load(self, server: BackendServerId) -> LoadReport:
        """Ask an engine for its load, and date it back by its age."""
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
        """Return what an engine tells of its prefix cache after a number."""
        response = self._call(READ_EVENTS, server, f'cache-events?after={after}')
        return tuple(
            CacheEvent(
                server, event.sequence, event.stored, event.removed, event.cleared
            )
            for event in parse_body(_EVENTS, response, Step.ROUTE, server).events
        )

    def cancel(self, server: BackendServerId, attempt: AttemptId) -> None:
        """Cancel a stream; one that has ended is no error."""
        try:
            self._call(CANCEL, server, f'streams/{attempt}')
        except StatusError as error:
            if error.status != HTTPStatus.NOT_FOUND:
                raise

    def export_kv(self, server: BackendServerId, attempt: AttemptId) -> KvExport:
        """Fetch the KV cache of a stream."""
        response = self._call(EXPORT_KV, server, f'kv/{attempt}')
        tokens = int(response.headers.get(KV_TOKENS_HEADER, '0'))
        return KvExport(tokens, response.body)

    def import_kv(
        self, server: BackendServerId, attempt: AttemptId, export: KvExport
    ) -> None:
        """Give a stream's KV cache to another engine."""
        url = f'{self._locate(server, IMPORT_KV)}/engine/kv/{attempt}'
        headers = {KV_TOKENS_HEADER: str(export.tokens)}
        self._http.call(IMPORT_KV, url, headers=headers, body=export.cache)

    def _call(
        self,
        operation: Operation,
        server: BackendServerId,
        path: str,
        document: object = None,
    ) -> PlatformResponse:
        url = f'{self._locate(server, operation)}/engine/{path}'
        return self._http.call(operation, url, document)

    def _locate(self, server: BackendServerId, operation: Operation) -> str:
        address = self._find_address(server)
        if address is None:
            raise PlatformError(
                'its address is not known',
                step=operation.step,
                peer=server,
                outcome=Outcome.NOT_RUN,
            )
        return f'http://{address}'
