"""Instance list, cloud and weight store over HTTP, with their servers.

One process holds them all, with the engines and plain services that the cloud
starts. ``/standin/...`` is for tests: it turns faults on and reports truths.
"""

import argparse
import json
from collections.abc import Callable
from dataclasses import dataclass
from datetime import timedelta
from http import HTTPStatus
from itertools import repeat
from pathlib import Path
from typing import Any

from pydantic import TypeAdapter, ValidationError
from xxhash import xxh3_64_hexdigest

from fireflyhitch_model.clock import SystemClock
from fireflyhitch_model.errors import PlatformError
from fireflyhitch_model.ids import FailureDomainId, InstanceId
from fireflyhitch_model.instances import Instance, InstanceListing, ReclaimNotice
from fireflyhitch_model.states import MachineClass, Outcome
from fireflyhitch_platform.services import InstanceOrder, Price
from fireflyhitch_standins.asyncio_http import AsyncHttpServer, Reply, Request
from fireflyhitch_standins.faults import Fault
from fireflyhitch_standins.faulty_calls import FaultyCalls
from fireflyhitch_standins.processes import serve_until_stopped
from fireflyhitch_standins.world import World, WorldSettings

TICK_SECONDS = 0.05
CLOUD_INSTANCES = '/cloud/instances'

_LISTING = TypeAdapter(InstanceListing)
_NOTICES = TypeAdapter(tuple[ReclaimNotice, ...])
_PRICES = TypeAdapter(tuple[Price, ...])
_ORDER = TypeAdapter(InstanceOrder)
_INSTANCE = TypeAdapter(Instance)

Route = Callable[[Request], object]


@dataclass(frozen=True, slots=True)
class ReclaimRequest:
    """Instances to reclaim: a list, or a failure domain's reclaimable ones."""

    notice_seconds: float
    instances: tuple[InstanceId, ...] = ()
    failure_domain: FailureDomainId | None = None


@dataclass(frozen=True, slots=True)
class RefusalRequest:
    """Whether starts in a failure domain and machine class are refused."""

    failure_domain: FailureDomainId
    machine_class: MachineClass
    refused: bool = True


@dataclass(frozen=True, slots=True)
class FaultRequest:
    """A fault of a service's operation for ``count`` calls; 0 means all calls."""

    service: str
    operation: str
    fault: Fault
    count: int = 0


class PlatformServer:
    """Serves a simulated platform on one event loop."""

    def __init__(
        self, settings: WorldSettings, host: str = '127.0.0.1', port: int = 0
    ) -> None:
        self.world = World(settings, SystemClock())
        self._server = AsyncHttpServer(self._handle, host, port)
        cloud, weights = self.world.cloud.calls, self.world.weights.calls
        self._calls: dict[str, FaultyCalls] = {
            'instance_list': self.world.instance_list.calls,
            'cloud': cloud,
            'weight_store': weights,
        }
        self._routes: dict[tuple[str, str], Route] = {
            ('GET', '/instances'): self._read_instances,
            ('GET', '/cloud/notices'): self._read_notices,
            ('GET', '/cloud/prices'): self._read_prices,
            ('POST', CLOUD_INSTANCES): self._start_instance,
            ('DELETE', CLOUD_INSTANCES): self._stop_instance,
            ('POST', '/weights/reservations'): self._reserve,
            ('GET', '/standin/instances'): self._read_current_instances,
            ('PUT', '/standin/instances'): self._add_instance,
            ('DELETE', '/standin/instances'): self._kill_instance,
            ('POST', '/standin/reclaims'): self._reclaim,
            ('PUT', '/standin/refusals'): self._refuse,
            ('PUT', '/standin/faults'): self._set_fault,
            ('DELETE', '/standin/faults'): self._clear_faults,
            ('PUT', '/standin/prices'): self._set_prices,
            ('GET', '/standin/runs'): self._count_runs,
            ('GET', '/standin/calls'): self._count_calls,
        }

    @property
    def address(self) -> str:
        """Return ``host:port`` once started."""
        return self._server.address

    def start(self) -> None:
        """Start the servers, then start listening."""
        self.world.start()
        self._server.start()
        self._server.loop.call_soon_threadsafe(self._tick)

    def stop(self) -> None:
        """Stop listening, and stop all servers."""
        self._server.stop()
        self.world.stop()

    def _tick(self) -> None:
        self.world.cloud.advance()
        self._server.loop.call_later(TICK_SECONDS, self._tick)

    def _handle(self, request: Request, reply: Reply) -> None:
        path = request.path
        if request.method == 'DELETE' and path.count('/') > 2:
            path = path.rpartition('/')[0]
        route = self._routes.get((request.method, path))
        if route is None:
            reply.send_json({'error': 'no such path'}, HTTPStatus.NOT_FOUND)
            return
        try:
            _send_tagged(request, reply, route(request))
        except (ValidationError, LookupError) as error:
            reply.send_json({'error': str(error)}, HTTPStatus.BAD_REQUEST)
        except PlatformError as error:
            if error.outcome is Outcome.UNKNOWN:
                reply.abort()
                return
            refusal = {'error': error.message, 'outcome': error.outcome.value}
            reply.send_json(refusal, HTTPStatus.SERVICE_UNAVAILABLE)

    def _read_instances(self, _: Request) -> object:
        listing = self.world.instance_list.read()
        return _LISTING.dump_python(listing, mode='json')

    def _read_notices(self, _: Request) -> object:
        notices = self.world.cloud.read_notices()
        return {'notices': _NOTICES.dump_python(notices, mode='json')}

    def _read_prices(self, _: Request) -> object:
        prices = self.world.cloud.read_prices()
        return {'prices': _PRICES.dump_python(prices, mode='json')}

    def _start_instance(self, request: Request) -> object:
        order = _ORDER.validate_json(request.body)
        return {'instance': self.world.cloud.start(order)}

    def _stop_instance(self, request: Request) -> object:
        self.world.cloud.stop(_read_instance(request))
        return {}

    def _reserve(self, request: Request) -> object:
        wanted = json.loads(request.body)
        wait = self.world.weights.reserve(wanted['deployment'], wanted['version'])
        return {'wait_seconds': wait.total_seconds()}

    def _read_current_instances(self, _: Request) -> object:
        listing = self.world.cloud.list_instances()
        return _LISTING.dump_python(listing, mode='json')

    def _add_instance(self, request: Request) -> object:
        self.world.cloud.add(_INSTANCE.validate_json(request.body))
        return {}

    def _kill_instance(self, request: Request) -> object:
        self.world.cloud.kill(_read_instance(request))
        return {}

    def _reclaim(self, request: Request) -> object:
        wanted = TypeAdapter(ReclaimRequest).validate_json(request.body)
        notice = timedelta(seconds=wanted.notice_seconds)
        self.world.cloud.reclaim(wanted.instances, notice)
        reclaimed = wanted.instances
        if wanted.failure_domain is not None:
            reclaimed += self.world.cloud.reclaim_domain(wanted.failure_domain, notice)
        return {'instances': reclaimed}

    def _refuse(self, request: Request) -> object:
        wanted = TypeAdapter(RefusalRequest).validate_json(request.body)
        self.world.cloud.refuse(
            wanted.failure_domain, wanted.machine_class, wanted.refused
        )
        return {}

    def _set_fault(self, request: Request) -> object:
        wanted = TypeAdapter(FaultRequest).validate_json(request.body)
        faults = self._calls[wanted.service].faults
        if wanted.count:
            faults.queue(wanted.operation, *repeat(wanted.fault, wanted.count))
        else:
            faults.set_persistent(wanted.operation, wanted.fault)
        return {}

    def _clear_faults(self, _: Request) -> object:
        for calls in self._calls.values():
            calls.faults.clear_all()
        return {}

    def _set_prices(self, request: Request) -> object:
        self.world.cloud.prices = _PRICES.validate_json(request.body)
        return {}

    def _count_runs(self, _: Request) -> object:
        return self.world.count_runs()

    def _count_calls(self, _: Request) -> dict[str, Any]:
        return {service: calls.counts for service, calls in self._calls.items()}


def _send_tagged(request: Request, reply: Reply, document: object) -> None:
    body = json.dumps(document).encode()
    tag = f'"{xxh3_64_hexdigest(body)}"'
    if request.headers.get('if-none-match') == tag:
        reply.send(b'', {'ETag': tag}, HTTPStatus.NOT_MODIFIED)
        return
    reply.send(body, {'Content-Type': 'application/json', 'ETag': tag})


def _read_instance(request: Request) -> InstanceId:
    return InstanceId(request.path.rpartition('/')[-1])


def main() -> None:
    """Serve until SIGTERM; print the address as a line of JSON."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument('--host', default='127.0.0.1')
    parser.add_argument('--port', type=int, default=0)
    parser.add_argument('--world', required=True, help='JSON file of WorldSettings')
    options = parser.parse_args()
    text = Path(options.world).read_text(encoding='utf-8')
    settings = WorldSettings.model_validate_json(text)
    serve_until_stopped(PlatformServer(settings, options.host, options.port))


if __name__ == '__main__':
    main()
