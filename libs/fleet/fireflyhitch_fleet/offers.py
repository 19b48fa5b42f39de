"""What the cloud offers: prices, and placements that refused lately."""

from collections.abc import Iterable, Mapping

from fireflyhitch_fleet.planner import Market, Placement
from fireflyhitch_model.clock import Clock
from fireflyhitch_model.states import MachineClass
from fireflyhitch_platform.services import Price
from fireflyhitch_settings.schema import Deployment

# After a refusal a placement is left alone, twice as long each time.
FIRST_PAUSE = 30.0
LONGEST_PAUSE = 600.0
# What a reclaimable instance is assumed to see, until it is measured.
ASSUMED_RECLAIMS = 0.05


class Offers:
    """Prices of now and pauses after refused starts."""

    def __init__(self, clock: Clock) -> None:
        """Make it without prices."""
        self._clock = clock
        self._prices: dict[Placement, float] = {}
        self._pauses: dict[Placement, float] = {}
        self._closed: dict[Placement, float] = {}

    def set_prices(self, prices: Iterable[Price]) -> None:
        """Take in the cloud's prices."""
        self._prices = {
            Placement(price.failure_domain, price.machine_class): price.price
            for price in prices
        }

    def note_refusal(self, place: Placement) -> None:
        """Leave a placement alone for a while."""
        now = self._clock.monotonic()
        pause = self._pauses.get(place, FIRST_PAUSE)
        self._closed[place] = now + pause
        self._pauses[place] = min(2 * pause, LONGEST_PAUSE)

    def list_markets(
        self, deployment: Deployment, running: Mapping[Placement, int]
    ) -> dict[Placement, Market]:
        """Return the markets that a deployment may use.

        :param running: what it has; a closed placement keeps that much.
        """
        configured = {
            Placement(entry.failure_domain, entry.machine_class): entry.price
            for entry in deployment.prices
        }
        markets = {}
        now = self._clock.monotonic()
        for place, price in {**configured, **self._prices}.items():
            if place.failure_domain not in deployment.failure_domains:
                continue
            supply = deployment.capacity.max_servers
            if self._closed.get(place, 0) > now:
                supply = running.get(place, 0)
            reclaimable = place.machine_class is MachineClass.RECLAIMABLE
            reclaims = ASSUMED_RECLAIMS if reclaimable else 0
            markets[place] = Market(price, supply, reclaims)
        return markets
