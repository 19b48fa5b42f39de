"""How a daemon is put together from its settings."""

import hashlib
import hmac
import json
import threading
from dataclasses import dataclass
from datetime import timedelta
from http import HTTPStatus

from cheroot.server import HTTPServer
from loguru import logger
from pydantic import TypeAdapter
from urllib3 import PoolManager
from urllib3.exceptions import HTTPError

from fireflyhitch_daemon.callers import Callers
from fireflyhitch_daemon.calls import ModelCalls
from fireflyhitch_daemon.front import (
    JSON_TYPE,
    CallerRequest,
    Header,
    Response,
    build_server,
)
from fireflyhitch_daemon.health import Health
from fireflyhitch_daemon.selection import LeastInFlight
from fireflyhitch_model.clock import Clock
from fireflyhitch_model.instances import InstanceListing
from fireflyhitch_model.invariants import observe_violations
from fireflyhitch_model.states import InstanceState, Step
from fireflyhitch_settings.bootstrap import DaemonSettings
from fireflyhitch_settings.schema import Configuration
from fireflyhitch_telemetry.metrics import Metrics

REFRESH = timedelta(seconds=1)
PLATFORM_SECONDS = 2.0
DRAIN_POLL_SECONDS = 0.05


@dataclass(slots=True)
class Soft:
    """What the daemon learned from the platform."""

    configuration: Configuration | None = None


class DaemonProcess:
    """A daemon: its listeners, its loops, and how they start and stop."""

    def __init__(self, settings: DaemonSettings, clock: Clock) -> None:
        self._settings = settings
        self._clock = clock
        self._soft = Soft()
        self._stopping = threading.Event()
        self._http = PoolManager(timeout=PLATFORM_SECONDS, retries=False)
        self.metrics = Metrics()
        observe_violations(self.metrics.record_violation)
        self.selector = LeastInFlight()
        limits = settings.limits
        self.calls = ModelCalls(clock, self.selector, self.metrics, limits.max_streams)
        self.health = Health(
            lambda: self._soft.configuration is not None,
            self.calls.count_open,
            limits.max_streams,
        )
        callers = Callers(
            settings.daemon_id,
            clock,
            self.calls,
            self.health,
            self.metrics,
            lambda: self._soft.configuration,
        )
        self.front = build_server(settings.callers, limits, callers.handle)
        self.admin = build_server(settings.admin, limits, self._answer_admin)

    def start(self) -> None:
        """Start all threads; return when callers can be served."""
        self.calls.start()
        self._refresh()
        for server, name in ((self.front, 'callers'), (self.admin, 'admin')):
            threading.Thread(target=server.serve, name=name, daemon=True).start()
        threading.Thread(target=self._follow, name='platform', daemon=True).start()
        logger.bind(callers=_address(self.front), admin=_address(self.admin)).info(
            'started'
        )

    def describe(self) -> dict[str, str]:
        """Return the addresses that the kernel chose."""
        return {'callers': _address(self.front), 'admin': _address(self.admin)}

    def stop(self) -> None:
        """Take no new calls, finish those in progress, then stop."""
        self.health.draining.set()
        limit = self._clock.monotonic() + self._settings.limits.drain_seconds
        while self.calls.count_open() and self._clock.monotonic() < limit:
            self._stopping.wait(DRAIN_POLL_SECONDS)
        self._stopping.set()
        self.front.stop()
        self.admin.stop()
        self.calls.stop()
        logger.bind(open=self.calls.count_open()).info('stopped')

    def _follow(self) -> None:
        while not self._stopping.wait(REFRESH.total_seconds()):
            self._refresh()

    def _refresh(self) -> None:
        addresses = self._settings.platform
        try:
            listing = TypeAdapter(InstanceListing).validate_json(
                self._http.request('GET', addresses.instance_list).data
            )
            configuration = Configuration.model_validate_json(
                self._http.request('GET', f'{addresses.key_value}/configuration').data
            )
        except (HTTPError, ValueError) as error:
            logger.bind(step=Step.LIST_INSTANCES.value).warning(str(error))
            return
        self._soft.configuration = configuration
        self.selector.update_servers(
            instance.server
            for instance in listing.instances
            if instance.server is not None and instance.state is InstanceState.LIVE
        )

    def _answer_admin(self, request: CallerRequest) -> Response:
        token = request.headers.get('authorization', '').removeprefix('Bearer ')
        digest = hashlib.sha256(token.encode()).hexdigest()
        if not hmac.compare_digest(digest, self._settings.admin_token_sha256):
            return Response(HTTPStatus.UNAUTHORIZED)
        status = {
            'daemon': self._settings.daemon_id,
            'failure_domain': self._settings.failure_domain,
            'obstacle': self.health.find_obstacle(),
            'open_streams': self.calls.count_open(),
        }
        body = json.dumps(status).encode()
        return Response(HTTPStatus.OK, body, (Header('Content-Type', JSON_TYPE),))


def _address(server: HTTPServer) -> str:
    host, port = server.bind_addr[:2]
    return f'{host}:{port}'
