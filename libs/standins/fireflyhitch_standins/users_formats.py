"""Renders the users' platform's formats: node files, configurations and requests."""

from collections.abc import Mapping, Sequence
from dataclasses import dataclass
from typing import Any

from fireflyhitch_serving.connections import Address
from fireflyhitch_serving.messages import Headers, render_head, render_request
from fireflyhitch_standins.scripted_server import HOST

NODE_FILE = """
node_name = "{node.name}"
role = "daemon"
ip = "{host}"
zone = "{node.domain}"
region = "vlaanderen"
internal_ports = [{node.peer_port},{node.peer_port}]
seeds = []
bootstrap = {first_start}
new_field = "to be passed over"
[listen]
front = "{host}:{node.front}"
ready = "{host}:{node.ready}"
[limits]
cpu_share = 0.5
cores = 2
memory_mb = {node.memory_mb}
file_descriptors = {node.descriptors}
[bounds]
grace_s = {node.grace}
drain_ms = 2000
budget_ratio = 0.2
budget_window_s = 10
budget_slack = 54
quota_slack = 0
usage_window_s = 1
usage_late_s = 30
expose_share = 0.1
expose_slack = 50
rollback_ms = 5000
lease_ms = 3000
[platform]
address = "{node.store}"
ttl_min_ms = 1000
[cloud]
address = "{node.duties}"
duties = ["usage","autoscaling"]
"""
LIMITS = {
    'header_bytes': 2000,
    'body_bytes': 5000,
    'header_timeout_ms': 3000,
    'idle_timeout_ms': 15000,
}
HEALTH_PATH = '/health'
SERVICES = ({'name': 'planning', 'health_path': HEALTH_PATH, 'max_connections': 100},)


@dataclass(frozen=True, slots=True)
class Node:
    """An instance that runs a daemon.

    :param front: port for callers.
    :param ready: port for the load balancer's readiness checks.
    :param peer_port: port for other daemons' datagrams.
    :param store: address of the store as seen from this node.
    :param duties: address of the receiver of duty calls, made by one daemon at a time.
    :param grace: seconds from the stop order to the kill.
    :param host: address that the daemon listens at.
    :param memory_mb: megabytes that the daemon's process may use.
    :param descriptors: descriptors that it may have open.
    :param first_start: whether the whole system starts for the first time.
    """

    name: str
    front: int
    ready: int
    peer_port: int
    store: str | Address
    duties: str
    domain: str = 'gent'
    grace: float = 8
    host: str = HOST
    memory_mb: int = 300
    descriptors: int = 4100
    first_start: bool = False


def render_node_file(node: Node) -> str:
    """Render a daemon's settings file."""
    first_start = str(node.first_start).lower()
    return NODE_FILE.format(node=node, host=node.host, first_start=first_start)


def render_route(
    name: str, kind: str = 'idempotent', attempts: int = 2, prefix: str = ''
) -> dict[str, Any]:
    """Return a route to the only service, under its own prefix."""
    return {
        'name': name,
        'host': 'shop.example',
        'prefix': f'/{prefix or name}/',
        'kind': kind,
        'timeout_ms': 3000,
        'latency_target_ms': 500,
        'priority': 1,
        'service': 'planning',
        'attempts': attempts,
        'public': False,
        'sticky': False,
        'resumable': False,
    }


def render_configuration(
    version: int, key: str, routes: Sequence[Mapping[str, Any]]
) -> dict[str, Any]:
    """Return a configuration with one customer and its API key."""
    return {
        'version': version,
        'routes': list(routes),
        'services': list(SERVICES),
        'limits': LIMITS,
        'tenants': [{'name': 'bakery', 'api_keys': [key], 'rate_per_s': 0}],
    }


def render_server_entry(address: Address, **changes: Any) -> dict[str, Any]:
    """Return a server's store entry."""
    return {
        'service': 'planning',
        'address': str(address),
        'zone': 'gent',
        'version': 'v1',
        'slots': 6,
        'state': 'ready',
        'cold_remaining_ms': 0,
        'sequence': 1,
        **changes,
    }


def render_call(
    path: str,
    key: str,
    request_id: str,
    *,
    method: str = 'GET',
    deadline_ms: int = 2500,
    more: Headers | None = None,
    body: bytes = b'',
) -> bytes:
    """Render a caller's request.

    :param more: additional headers.
    """
    headers = [
        (b'Host', b'shop.example:80'),
        (b'Request-Id', request_id.encode()),
        (b'Deadline-Ms', b'%d' % deadline_ms),
        (b'Authorization', f'Bearer {key}'.encode()),
        *(more or ()),
    ]
    return render_request(method.encode(), path.encode(), headers, body)


def render_chunks(body: bytes, size: int, trailer: bytes = b'') -> bytes:
    """Render a body in chunks.

    :param size: bytes of a chunk.
    :param trailer: trailer fields, each with its line end.
    """
    parts = (body[at : at + size] for at in range(0, len(body), size))
    chunks = b''.join(b'%x\r\n%b\r\n' % (len(part), part) for part in parts)
    return b'%b0\r\n%b\r\n' % (chunks, trailer)


def make_signed_headers(
    request_id: str, signature: str, load: bytes, *, not_run: bool = False
) -> Headers:
    """Return the headers of a server's response.

    :param load: the load that it reports.
    :param not_run: whether it says that it did not run the request.
    """
    headers = [
        (b'Request-Id', request_id.encode()),
        (b'Response-Stamp', signature.encode()),
        (b'Server-Load', load),
    ]
    return [*headers, (b'Not-Executed', b'1')] if not_run else headers


def render_signed_response(
    request_id: str,
    signature: str,
    body: bytes,
    status: int = 200,
    limit: float | None = None,
    load: bytes = b'1,0,6',
    *,
    not_run: bool = False,
) -> bytes:
    """Render a server's response with its signature and load.

    :param limit: requests per second that the server reports as its limit, if any.
    :param load: the load that it reports.
    :param not_run: whether it says that it did not run the request.
    """
    headers = [
        *make_signed_headers(request_id, signature, load, not_run=not_run),
        (b'Content-Length', b'%d' % len(body)),
    ]
    if limit is not None:
        headers.append((b'Server-Limit', b'%.2f' % limit))
    return render_head(status, headers) + body
