"""What the operators configured, as the path of a request looks it up."""

from collections.abc import Iterable, Mapping
from dataclasses import field
from enum import Enum

from fireflyhitch_model.ids import CustomerId, DeploymentId, FailureDomainId
from fireflyhitch_model.records import immutable


class RouteKind(Enum):
    """What may be repeated of a route's requests, and the form of the answer."""

    IDEMPOTENT = 'idempotent'
    NON_IDEMPOTENT = 'non-idempotent'
    STREAMING = 'streaming'


@immutable
class ServiceShare:
    """A part of a route's traffic.

    :param weight: in relation to the route's other shares.
    """

    service: DeploymentId
    weight: float


@immutable
class Route:
    """One kind of request.

    :param timeout: seconds after which its caller gets a final answer.
    :param target: seconds to the whole answer, or to a stream's first event.
    :param gap_target: seconds between two events of a stream.
    :param attempts: how many servers may run one request.
    :param priority: 0 is the most urgent.
    :param resumable: whether a stream may go on at another server.
    """

    name: str
    host: str
    prefix: str
    kind: RouteKind
    shares: tuple[ServiceShare, ...]
    timeout: float
    target: float
    gap_target: float
    attempts: int
    priority: int
    public: bool
    resumable: bool

    @property
    def repeatable(self) -> bool:
        """Tell whether a second run does no harm."""
        if self.kind is RouteKind.STREAMING:
            return self.resumable
        return self.kind is RouteKind.IDEMPOTENT

    @property
    def streaming(self) -> bool:
        """Tell whether the answer is a stream of events."""
        return self.kind is RouteKind.STREAMING


@immutable
class Quota:
    """What a customer may use, over all daemons.

    :param rate: units a second; 0 for no limit.
    :param burst: units that may be saved up.
    :param in_tokens: whether a unit is a token rather than a request.
    :param plain_tokens: tokens of a request that names no number.
    """

    rate: float
    burst: float
    in_tokens: bool
    plain_tokens: int


@immutable
class Customer:
    """A customer.

    :param priority: goes before the route's; ``None`` for the route's own.
    """

    name: CustomerId
    quota: Quota
    priority: int | None = None


@immutable
class EngineCapacity:
    """What the operators know of a service's model engines.

    :param batch: requests worked on at once.
    :param kv_tokens: tokens that running requests and cached prompts share.
    """

    batch: int
    kv_tokens: int


@immutable
class ScaleBounds:
    """Bounds on the servers that may be ordered, for each failure domain.

    :param start_seconds: from the order until a server takes requests.
    :param spot_price: price of a reclaimable server as a part of the other's.
    :param domain_prices: price of a server by failure domain.
    """

    min_servers: int
    max_servers: int
    start_seconds: float
    spot_price: float
    domain_prices: Mapping[FailureDomainId, float]


@immutable
class Service:
    """A kind of backend server."""

    name: DeploymentId
    max_connections: int
    engine: EngineCapacity | None = None
    scale: ScaleBounds | None = None


@immutable
class CallerLimits:
    """What a caller may send, and how long it may take.

    :param header_seconds: for a whole head.
    :param idle_seconds: for which a connection may stay without a request.
    """

    header_bytes: int = 16384
    body_bytes: int = 4194304
    header_seconds: float = 3.0
    idle_seconds: float = 15.0


@immutable
class Catalog:
    """A whole configuration; ``version`` grows with each change."""

    version: int
    routes: tuple[Route, ...]
    services: Mapping[DeploymentId, Service]
    limits: CallerLimits
    customers: Mapping[str, Customer] | None
    _by_host: Mapping[str, tuple[Route, ...]] = field(init=False, repr=False)
    _quotas: Mapping[CustomerId, Quota] = field(init=False, repr=False)

    def __post_init__(self) -> None:
        """Order the routes of each host by prefix, longest first; index quotas."""
        object.__setattr__(self, '_by_host', _index_routes(self.routes))
        customers = (self.customers or {}).values()
        quotas = {customer.name: customer.quota for customer in customers}
        object.__setattr__(self, '_quotas', quotas)

    def find_route(self, host: str, path: str) -> Route | None:
        """Return the route with the longest prefix that begins a path."""
        for route in self._by_host.get(host.lower(), ()):
            if path.startswith(route.prefix):
                return route
        return None

    def find_customer(self, key: str) -> Customer | None:
        """Return the customer that holds a key."""
        return (self.customers or {}).get(key)

    def find_quota(self, name: CustomerId) -> Quota | None:
        """Return a customer's quota."""
        return self._quotas.get(name)

    @property
    def asks_keys(self) -> bool:
        """Tell whether requests must carry a customer's key."""
        return self.customers is not None


def _index_routes(routes: Iterable[Route]) -> dict[str, tuple[Route, ...]]:
    hosts: dict[str, list[Route]] = {}
    for route in routes:
        hosts.setdefault(route.host.lower(), []).append(route)
    return {host: tuple(_order(found)) for host, found in hosts.items()}


def _order(routes: list[Route]) -> list[Route]:
    return sorted(routes, key=lambda route: -len(route.prefix))
