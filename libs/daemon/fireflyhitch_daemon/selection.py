"""The least loaded backend server of a deployment."""

from collections import Counter
from collections.abc import Iterable
from datetime import timedelta
from http import HTTPStatus
from threading import Lock

from fireflyhitch_model.backends import BackendServer
from fireflyhitch_model.calls import Call
from fireflyhitch_model.errors import RequestError
from fireflyhitch_model.ids import BackendServerId
from fireflyhitch_model.states import Step


class LeastInFlight:
    """Chooses by own counts of work in flight."""

    def __init__(self) -> None:
        self._lock = Lock()
        self._servers: tuple[BackendServer, ...] = ()
        self._in_flight: Counter[BackendServerId] = Counter()

    def update_servers(self, servers: Iterable[BackendServer]) -> None:
        """Take over the servers there are now."""
        with self._lock:
            self._servers = tuple(servers)

    def take(self, call: Call, excluded: Iterable[BackendServerId]) -> BackendServer:
        """Choose a server and count the call as in flight there."""
        avoided = set(excluded)
        with self._lock:
            candidates = [
                server
                for server in self._servers
                if server.deployment == call.deployment
                and server.server_id not in avoided
            ]
            if not candidates:
                raise _refuse(call)
            best = min(candidates, key=self._rank)
            self._in_flight[best.server_id] += 1
            return best

    def release(self, server: BackendServerId) -> None:
        """Count a call as ended."""
        with self._lock:
            self._in_flight[server] -= 1

    def _rank(self, server: BackendServer) -> tuple[int, float]:
        return self._in_flight[server.server_id], server.price


def _refuse(call: Call) -> RequestError:
    return RequestError(
        f'no backend server can take a call of {call.deployment}',
        step=Step.ROUTE,
        status=HTTPStatus.SERVICE_UNAVAILABLE,
        code='no_backend_server',
        retry_after=timedelta(seconds=1),
    )
