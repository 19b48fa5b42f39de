"""The operators' configuration, indexed for request handling."""

from collections.abc import Iterable, Mapping
from dataclasses import field
from enum import Enum

from fireflyhitch_model.ids import CustomerId, DeploymentId, FailureDomainId, RegionId
from fireflyhitch_model.records import immutable


class RouteKind(Enum):
    """Whether a route's requests may be repeated, and the form of the response."""

    IDEMPOTENT = 'idempotent'
    NON_IDEMPOTENT = 'non-idempotent'
    STREAMING = 'streaming'


@immutable
class ServiceShare:
    """A service's share of a route's traffic.

    :param weight: relative to the route's other shares.
    """

    service: DeploymentId
    weight: float


@immutable
class Route:
    """The handling of requests by host and path prefix.

    :param timeout: seconds until the caller gets a final response.
    :param target: latency target in seconds to the complete response or a stream's
        first event.
    :param gap_target: latency target in seconds between two events of a stream.
    :param attempts: number of servers that may run one request.
    :param priority: 0 is the most urgent.
    :param public: whether callers need no API key.
    :param resumable: whether a stream may be resumed at another server.
    :param home_regions: regions whose servers may get its requests; all if empty.
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
    home_regions: frozenset[RegionId] = frozenset()

    @property
    def repeatable(self) -> bool:
        """Tell whether a request may run more than once."""
        if self.kind is RouteKind.STREAMING:
            return self.resumable
        return self.kind is RouteKind.IDEMPOTENT

    @property
    def streaming(self) -> bool:
        """Tell whether the response is a stream of events."""
        return self.kind is RouteKind.STREAMING


@immutable
class Quota:
    """A customer's rate limit over all daemons.

    :param rate: units per second; 0 for no limit.
    :param burst: maximum number of unused units that are saved up.
    :param in_tokens: whether units are tokens rather than requests.
    :param plain_tokens: tokens charged for a request that states no number.
    """

    rate: float
    burst: float
    in_tokens: bool
    plain_tokens: int


@immutable
class Customer:
    """A customer.

    :param priority: overrides the route's, unless ``None``.
    :param home_regions: regions whose servers may get its requests; all if empty.
    """

    name: CustomerId
    quota: Quota
    priority: int | None = None
    home_regions: frozenset[RegionId] = frozenset()


@immutable
class EngineCapacity:
    """Capacity of one of a service's model engines.

    :param batch: maximum number of concurrent requests.
    :param kv_tokens: size in tokens of the KV cache, which running requests and cached
        prompts share.
    """

    batch: int
    kv_tokens: int


@immutable
class ScaleBounds:
    """Bounds on the servers that may be ordered, for each failure domain.

    :param start_seconds: time from the order until a server accepts requests.
    :param spot_price: price of a reclaimable server as a fraction of the price of an
        on-demand one.
    :param domain_prices: price of a server by failure domain.
    """

    min_servers: int
    max_servers: int
    start_seconds: float
    spot_price: float
    domain_prices: Mapping[FailureDomainId, float]


@immutable
class ColdStart:
    """How a service's servers start.

    :param seconds: time after a start for which a server is cold.
    :param requests_per_second: rate that a cold server tolerates.
    """

    seconds: float
    requests_per_second: float


@immutable
class Service:
    """A service, provided by backend servers of one kind.

    :param cold_start: ``None`` if its servers bear any load from their start.
    :param health_path: at which its servers tell their health; empty if they do not.
    """

    name: DeploymentId
    max_connections: int
    engine: EngineCapacity | None = None
    scale: ScaleBounds | None = None
    cold_start: ColdStart | None = None
    health_path: str = ''


@immutable
class CallerLimits:
    """Size and time limits for callers' requests.

    :param header_seconds: time until the head must be complete.
    :param idle_seconds: time until a connection without a request is closed.
    """

    header_bytes: int = 16384
    body_bytes: int = 4194304
    header_seconds: float = 3.0
    idle_seconds: float = 15.0


@immutable
class Catalog:
    """A complete configuration.

    :param version: increases with each change.
    :param customers: customers by API key; ``None`` if requests need no key.
    """

    version: int
    routes: tuple[Route, ...]
    services: Mapping[DeploymentId, Service]
    limits: CallerLimits
    customers: Mapping[str, Customer] | None
    _by_host: Mapping[str, tuple[Route, ...]] = field(init=False, repr=False)
    _quotas: Mapping[CustomerId, Quota] = field(init=False, repr=False)

    def __post_init__(self) -> None:
        """Sort each host's routes by prefix length, longest first; index quotas."""
        object.__setattr__(self, '_by_host', _index_routes(self.routes))
        customers = (self.customers or {}).values()
        quotas = {customer.name: customer.quota for customer in customers}
        object.__setattr__(self, '_quotas', quotas)

    def find_route(self, host: str, path: str) -> Route | None:
        """Return the route with the longest matching prefix."""
        for route in self._by_host.get(host.lower(), ()):
            if path.startswith(route.prefix):
                return route
        return None

    def find_customer(self, key: str) -> Customer | None:
        """Return the customer with an API key."""
        return (self.customers or {}).get(key)

    def find_quota(self, name: CustomerId) -> Quota | None:
        """Return a customer's quota."""
        return self._quotas.get(name)

    @property
    def requires_keys(self) -> bool:
        """Tell whether requests need a customer's API key."""
        return self.customers is not None


def _index_routes(routes: Iterable[Route]) -> dict[str, tuple[Route, ...]]:
    hosts: dict[str, list[Route]] = {}
    for route in routes:
        hosts.setdefault(route.host.lower(), []).append(route)
    return {host: tuple(_sort_by_prefix(found)) for host, found in hosts.items()}


def _sort_by_prefix(routes: list[Route]) -> list[Route]:
    return sorted(routes, key=lambda route: -len(route.prefix))
