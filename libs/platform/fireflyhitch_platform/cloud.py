"""Client of the cloud API."""

from pydantic import BaseModel, ConfigDict, TypeAdapter

from fireflyhitch_model.ids import InstanceId
from fireflyhitch_model.instances import ReclaimNotice
from fireflyhitch_model.states import Step
from fireflyhitch_platform.http import (
    CallPolicy,
    Operation,
    PlatformHttp,
    parse_body,
)
from fireflyhitch_platform.services import InstanceOrder, Price

READ_NOTICES = Operation('read-notices', 'GET', Step.CLOUD)
READ_PRICES = Operation('read-prices', 'GET', Step.CLOUD)
# Retrying these is safe: each order id starts only one instance, and stopping a
# stopped instance has no effect.
START = Operation('start', 'POST', Step.CLOUD)
STOP = Operation('stop', 'DELETE', Step.CLOUD)


class _Body(BaseModel):
    model_config = ConfigDict(frozen=True, extra='ignore')


class _Notices(_Body):
    notices: tuple[ReclaimNotice, ...]


class _Prices(_Body):
    prices: tuple[Price, ...]


class _Started(_Body):
    instance: InstanceId | None


_NOTICES = TypeAdapter(_Notices)
_PRICES = TypeAdapter(_Prices)
_STARTED = TypeAdapter(_Started)
_ORDER = TypeAdapter(InstanceOrder)


class HttpCloud:
    """HTTP implementation of ``Cloud``; each method may raise ``PlatformError``.

    :param url: base URL of the cloud API.
    """

    def __init__(self, url: str, policy: CallPolicy | None = None) -> None:
        self._url = url.rstrip('/')
        self._http = PlatformHttp('cloud', policy)

    def read_notices(self) -> tuple[ReclaimNotice, ...]:
        """Return the current reclaim notices."""
        response = self._http.call(READ_NOTICES, f'{self._url}/notices')
        return parse_body(_NOTICES, response, Step.CLOUD, self._url).notices

    def read_prices(self) -> tuple[Price, ...]:
        """Return the current prices."""
        response = self._http.call(READ_PRICES, f'{self._url}/prices')
        return parse_body(_PRICES, response, Step.CLOUD, self._url).prices

    def start(self, order: InstanceOrder) -> InstanceId | None:
        """Start an instance; return ``None`` if the cloud has none available."""
        document = _ORDER.dump_python(order, mode='json')
        response = self._http.call(START, f'{self._url}/instances', document)
        return parse_body(_STARTED, response, Step.CLOUD, self._url).instance

    def stop(self, instance: InstanceId) -> None:
        """Stop an instance and return it to the cloud."""
        self._http.call(STOP, f'{self._url}/instances/{instance}')
