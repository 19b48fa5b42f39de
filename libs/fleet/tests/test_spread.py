"""Tests of the servers that failure domains are to have, by a played reclaim wave."""

from fireflyhitch_fleet.spread import (
    DomainServers,
    SpreadBounds,
    SpreadNeed,
    count_servers_after_loss,
    spread_servers,
)
from fireflyhitch_model.ids import FailureDomainId

PRICES = {
    FailureDomainId('gent'): 1.0,
    FailureDomainId('brugge'): 0.8,
    FailureDomainId('kortrijk'): 1.25,
    FailureDomainId('aalst'): 0.9,
}
SPOT = 0.18
BOUNDS = SpreadBounds(least=1, most=6)
NEED = SpreadNeed(servers=4, domains_lost=2)
START_SECONDS = 4
NOTHING = DomainServers(0, 0)


def cost(servers: dict[FailureDomainId, DomainServers]) -> float:
    """Return the price of a second."""
    return sum(
        PRICES[domain] * (here.reclaimable * SPOT + here.on_demand)
        for domain, here in servers.items()
    )


def count(servers: dict[FailureDomainId, DomainServers]) -> int:
    """Return how many servers there are."""
    return sum(here.reclaimable + here.on_demand for here in servers.values())


class TestPlan:
    def test_calm_times_need_nothing_on_demand(self) -> None:
        calm = {domain: DomainServers(2, 0) for domain in PRICES}
        target = spread_servers(NEED, BOUNDS, PRICES, calm)
        assert target == calm

    def test_servers_on_demand_stay_until_reclaimable_ones_are_there(self) -> None:
        start = {domain: DomainServers(0, 1) for domain in PRICES}
        target = spread_servers(NEED, BOUNDS, PRICES, start)
        assert all(here.reclaimable == 2 for here in target.values())
        assert sum(here.on_demand for here in target.values()) >= NEED.servers

    def test_no_domain_gets_more_than_is_allowed(self) -> None:
        need = SpreadNeed(servers=100, domains_lost=2)
        empty = dict.fromkeys(PRICES, NOTHING)
        target = spread_servers(need, BOUNDS, PRICES, empty)
        for here in target.values():
            assert here.reclaimable + here.on_demand <= BOUNDS.most


class TestWave:
    def test_a_wave_is_cheaper_than_on_demand_and_serves_more_than_all_spot(
        self,
    ) -> None:
        # Two domains' reclaimable servers go, one 6 s after the other, and there are
        # none to be had for 14 s each. Callers need four servers all the time.
        on_demand = {domain: DomainServers(0, 1) for domain in PRICES}
        few_spot = {domain: DomainServers(1, 0) for domain in PRICES}
        planned_cost, planned_short = self._play(planned=True)
        spot_short = self._count_short_all_spot(few_spot)
        assert planned_short == 0
        assert spot_short > 0
        assert planned_cost < 40 * cost(on_demand) / 2

    def _play(self, *, planned: bool) -> tuple[float, int]:
        running = {domain: DomainServers(2, 0) for domain in PRICES}
        ordered: list[tuple[int, dict[FailureDomainId, DomainServers]]] = []
        spent = 0.0
        short = 0
        for second in range(40):
            dry = self._find_dry(second)
            target = spread_servers(NEED, BOUNDS, PRICES, running)
            ordered.append((second + START_SECONDS, target))
            arrived = [found for due, found in ordered if due <= second]
            newest = arrived[-1] if arrived else running
            running = {
                domain: DomainServers(
                    0 if domain in dry else newest[domain].reclaimable,
                    newest[domain].on_demand,
                )
                for domain in PRICES
            }
            spent += cost(running)
            short += max(NEED.servers - count(running), 0)
        return spent, short

    def _find_dry(self, second: int) -> set[FailureDomainId]:
        dry: set[FailureDomainId] = set()
        if 5 <= second < 19:
            dry.add(FailureDomainId('aalst'))
        if 11 <= second < 25:
            dry.add(FailureDomainId('gent'))
        return dry

    def _count_short_all_spot(
        self, servers: dict[FailureDomainId, DomainServers]
    ) -> int:
        short = 0
        for second in range(40):
            left = len(servers.keys() - self._find_dry(second))
            short += max(NEED.servers - left, 0)
        return short


class TestThreeDomainsAway:
    def test_what_is_left_of_the_number_is_bought_on_demand_at_once(self) -> None:
        # Each domain has 26 reclaimable servers of 28 that are allowed, and 52 are
        # needed. Three domains lose theirs within six seconds, and none are to be had.
        # Room was kept for the lost ones, so that 20 servers were ordered on demand,
        # step by step, and callers waited for twelve seconds.
        present = dict.fromkeys(PRICES, NOTHING)
        present[FailureDomainId('gent')] = DomainServers(26, 0)
        target = spread_servers(
            SpreadNeed(servers=52, domains_lost=2), SpreadBounds(1, 28), PRICES, present
        )
        on_demand = sum(here.on_demand for here in target.values())
        assert on_demand + 26 >= 52
        assert all(here.reclaimable + here.on_demand <= 28 for here in target.values())

    def test_reclaimable_servers_come_back_into_their_part(self) -> None:
        present = dict.fromkeys(PRICES, DomainServers(0, 13))
        for _ in range(6):
            present = spread_servers(
                SpreadNeed(servers=52, domains_lost=2),
                SpreadBounds(1, 28),
                PRICES,
                present,
            )
        assert sum(here.reclaimable for here in present.values()) >= 100
        assert sum(here.on_demand for here in present.values()) == 0


class TestScarcity:
    """Callers find a quarter of the servers that there were a second before.

    Two domains' reclaimable servers go, and none are to be had anywhere. A leader that
    has just taken over sees little load, and gives back those of the other two that it
    seems not to need. Then these two domains go as well.
    """

    def test_nothing_is_given_back_while_a_domain_lacks_servers(self) -> None:
        domains = sorted(PRICES)
        wave = {domain: DomainServers(5, 0) for domain in domains}
        wave[domains[0]] = NOTHING
        target = spread_servers(NEED, BOUNDS, PRICES, wave)
        assert all(target[domain].reclaimable == 5 for domain in domains[1:])

    def test_with_all_there_what_is_too_many_goes(self) -> None:
        calm = {domain: DomainServers(5, 0) for domain in PRICES}
        target = spread_servers(NEED, BOUNDS, PRICES, calm)
        assert all(here.reclaimable == 2 for here in target.values())


class TestLasting:
    def test_what_a_plan_made_is_read_as_the_need_it_was_made_for(self) -> None:
        # A new leader reads the need from the servers that the former one ordered.
        # Reading more would order more at each change of the leader.
        calm = {domain: DomainServers(2, 0) for domain in PRICES}
        target = spread_servers(NEED, BOUNDS, PRICES, calm)
        assert count_servers_after_loss(target, NEED.domains_lost) == NEED.servers

    def test_servers_on_demand_all_last(self) -> None:
        start = {domain: DomainServers(0, 14) for domain in PRICES}
        assert count_servers_after_loss(start, 2) == 56
