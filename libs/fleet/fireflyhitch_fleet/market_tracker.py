"""Prices of the cloud and backoff after refused starts."""

from collections.abc import Iterable, Mapping

from fireflyhitch_fleet.planner import Market, Placement
from fireflyhitch_model.clock import Clock
from fireflyhitch_model.states import MachineClass
from fireflyhitch_platform.services import Price
from fireflyhitch_settings.schema import Deployment

# Seconds without starts in a placement after a refusal, doubled each time.
INITIAL_BACKOFF = 30.0
MAX_BACKOFF = 600.0
# Assumed reclaims per instance and hour, as long as they are not measured.
DEFAULT_RECLAIM_RATE = 0.05


class MarketTracker:
    """Tracks current prices and placements that refused starts."""

    def __init__(self, clock: Clock) -> None:
        """Create a tracker without prices."""
        self._clock = clock
        self._prices: dict[Placement, float] = {}
        self._backoffs: dict[Placement, float] = {}
        self._closed_until: dict[Placement, float] = {}

    def set_prices(self, prices: Iterable[Price]) -> None:
        """Set the current prices of the cloud."""
        self._prices = {
            Placement(price.failure_domain, price.machine_class): price.price
            for price in prices
        }

    def record_refusal(self, placement: Placement) -> None:
        """Start the backoff of a placement that refused a start."""
        now = self._clock.monotonic()
        backoff = self._backoffs.get(placement, INITIAL_BACKOFF)
        self._closed_until[placement] = now + backoff
        self._backoffs[placement] = min(2 * backoff, MAX_BACKOFF)

    def list_markets(
        self, deployment: Deployment, running: Mapping[Placement, int]
    ) -> dict[Placement, Market]:
        """Return the markets that a deployment may use.

        :param running: its running and pending instances by placement; a placement in
            backoff offers no more than these.
        """
        configured = {
            Placement(entry.failure_domain, entry.machine_class): entry.price
            for entry in deployment.prices
        }
        markets = {}
        now = self._clock.monotonic()
        for placement, price in {**configured, **self._prices}.items():
            if placement.failure_domain not in deployment.failure_domains:
                continue
            supply = deployment.capacity.max_servers
            if self._closed_until.get(placement, 0) > now:
                supply = running.get(placement, 0)
            reclaimable = placement.machine_class is MachineClass.RECLAIMABLE
            reclaims = DEFAULT_RECLAIM_RATE if reclaimable else 0
            markets[placement] = Market(price, supply, reclaims)
        return markets
