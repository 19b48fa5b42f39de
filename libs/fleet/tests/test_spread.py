"""Tests of the spread of servers over failure domains, with a reclaim wave."""

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
BOUNDS = SpreadBounds(min_servers=1, max_servers=6)
NEED = SpreadNeed(servers=4, domains_lost=2)
START_SECONDS = 4
NOTHING = DomainServers(0, 0)


def cost(servers: dict[FailureDomainId, DomainServers]) -> float:
    """Return the cost per second."""
    return sum(
        PRICES[domain] * (current.reclaimable * SPOT + current.on_demand)
        for domain, current in servers.items()
    )


def count(servers: dict[FailureDomainId, DomainServers]) -> int:
    """Return the number of servers."""
    return sum(current.reclaimable + current.on_demand for current in servers.values())


class TestPlan:
    def test_without_losses_nothing_runs_on_demand(self) -> None:
        all_running = {domain: DomainServers(2, 0) for domain in PRICES}
        target = spread_servers(NEED, BOUNDS, PRICES, all_running)
        assert target == all_running

    def test_on_demand_servers_stay_until_reclaimable_ones_run(self) -> None:
        start = {domain: DomainServers(0, 1) for domain in PRICES}
        target = spread_servers(NEED, BOUNDS, PRICES, start)
        assert all(current.reclaimable == 2 for current in target.values())
        assert sum(current.on_demand for current in target.values()) >= NEED.servers

    def test_no_domain_exceeds_its_maximum(self) -> None:
        need = SpreadNeed(servers=100, domains_lost=2)
        empty = dict.fromkeys(PRICES, NOTHING)
        target = spread_servers(need, BOUNDS, PRICES, empty)
        for current in target.values():
            assert current.reclaimable + current.on_demand <= BOUNDS.max_servers


class TestLastDomain:
    def test_servers_on_demand_stand_in_for_the_last_reclaimable_domain(self) -> None:
        # The reclaimable servers of three domains were away, and the fourth domain had
        # enough for the load. When it lost them too, replacements took four seconds, and
        # callers got hardly any answer in time for ten.
        gent, brugge, *others = PRICES
        present = {
            gent: DomainServers(0, 0),
            brugge: DomainServers(28, 0),
            **dict.fromkeys(others, NOTHING),
        }
        need = SpreadNeed(servers=28, domains_lost=3, remaining=18)
        target = spread_servers(need, SpreadBounds(1, 28), PRICES, present)
        assert sum(current.on_demand for current in target.values()) >= 18

    def test_running_servers_are_kept_if_the_last_domain_is_lost(self) -> None:
        # The servers on demand of one domain were released for ones of a cheaper domain,
        # which had yet to start, while callers waited for both.
        gent, brugge, kortrijk, _ = PRICES
        present = dict.fromkeys(PRICES, DomainServers(0, 1))
        present[kortrijk] = DomainServers(0, 21)
        need = SpreadNeed(servers=40, domains_lost=3, remaining=25)
        target = spread_servers(need, SpreadBounds(1, 28), PRICES, present)
        assert target[kortrijk].on_demand == 21
        assert target[brugge].on_demand > target[gent].on_demand
        assert sum(current.on_demand for current in target.values()) == 40

    def test_no_servers_on_demand_while_two_domains_are_left(self) -> None:
        gent, brugge, *others = PRICES
        running = DomainServers(28, 0)
        present = {gent: running, brugge: running, **dict.fromkeys(others, NOTHING)}
        need = SpreadNeed(servers=28, domains_lost=3, remaining=18)
        target = spread_servers(need, SpreadBounds(1, 28), PRICES, present)
        # The minimum of a domain without reclaimable servers.
        assert sum(current.on_demand for current in target.values()) == 2


class TestWave:
    def test_spread_is_cheaper_than_on_demand_and_serves_more_than_all_spot(
        self,
    ) -> None:
        # Two domains lose their reclaimable servers, 6 s apart, and get none for 14 s
        # each. The load needs four servers all the time.
        on_demand = {domain: DomainServers(0, 1) for domain in PRICES}
        few_spot = {domain: DomainServers(1, 0) for domain in PRICES}
        planned_cost, planned_short = self._simulate(planned=True)
        spot_short = self._count_short_all_spot(few_spot)
        assert planned_short == 0
        assert spot_short > 0
        assert planned_cost < 40 * cost(on_demand) / 2

    def _simulate(self, *, planned: bool) -> tuple[float, int]:
        running = {domain: DomainServers(2, 0) for domain in PRICES}
        ordered: list[tuple[int, dict[FailureDomainId, DomainServers]]] = []
        spent = 0.0
        shortage = 0
        for second in range(40):
            unavailable = self._find_unavailable(second)
            target = spread_servers(NEED, BOUNDS, PRICES, running)
            ordered.append((second + START_SECONDS, target))
            arrived = [plan for due, plan in ordered if due <= second]
            newest = arrived[-1] if arrived else running
            running = {
                domain: DomainServers(
                    0 if domain in unavailable else newest[domain].reclaimable,
                    newest[domain].on_demand,
                )
                for domain in PRICES
            }
            spent += cost(running)
            shortage += max(NEED.servers - count(running), 0)
        return spent, shortage

    def _find_unavailable(self, second: int) -> set[FailureDomainId]:
        unavailable: set[FailureDomainId] = set()
        if 5 <= second < 19:
            unavailable.add(FailureDomainId('aalst'))
        if 11 <= second < 25:
            unavailable.add(FailureDomainId('gent'))
        return unavailable

    def _count_short_all_spot(
        self, servers: dict[FailureDomainId, DomainServers]
    ) -> int:
        shortage = 0
        for second in range(40):
            left = len(servers.keys() - self._find_unavailable(second))
            shortage += max(NEED.servers - left, 0)
        return shortage


class TestThreeDomainsLost:
    def test_remaining_places_are_filled_on_demand_at_once(self) -> None:
        # Each domain has 26 reclaimable servers, at most 28 are allowed and 52 needed.
        # Three domains lose theirs within six seconds, and no others are available. All
        # lost places used to be kept free, so only 20 servers were ordered on demand,
        # step by step, and callers waited for twelve seconds.
        present = dict.fromkeys(PRICES, NOTHING)
        present[FailureDomainId('gent')] = DomainServers(26, 0)
        target = spread_servers(
            SpreadNeed(servers=52, domains_lost=2), SpreadBounds(1, 28), PRICES, present
        )
        on_demand = sum(current.on_demand for current in target.values())
        assert on_demand + 26 >= 52
        assert all(
            current.reclaimable + current.on_demand <= 28 for current in target.values()
        )

    def test_reclaimable_servers_return_to_the_places_kept_free(self) -> None:
        present = dict.fromkeys(PRICES, DomainServers(0, 13))
        for _ in range(6):
            present = spread_servers(
                SpreadNeed(servers=52, domains_lost=2),
                SpreadBounds(1, 28),
                PRICES,
                present,
            )
        assert sum(current.reclaimable for current in present.values()) >= 100
        assert sum(current.on_demand for current in present.values()) == 0


class TestScarcity:
    """Reclaimable servers are kept while any failure domain lacks some.

    Without this rule callers were left with a quarter of the servers of a second before:
    two domains lose their reclaimable servers, and none are available anywhere. A new
    leader sees little load and stops the seemingly unneeded servers of the other two.
    Then these two domains are lost as well.
    """

    def test_nothing_is_stopped_while_a_domain_lacks_servers(self) -> None:
        domains = sorted(PRICES)
        wave = {domain: DomainServers(5, 0) for domain in domains}
        wave[domains[0]] = NOTHING
        target = spread_servers(NEED, BOUNDS, PRICES, wave)
        assert all(target[domain].reclaimable == 5 for domain in domains[1:])

    def test_surplus_is_stopped_when_no_domain_lacks_servers(self) -> None:
        all_running = {domain: DomainServers(5, 0) for domain in PRICES}
        target = spread_servers(NEED, BOUNDS, PRICES, all_running)
        assert all(current.reclaimable == 2 for current in target.values())


class TestServersAfterLoss:
    def test_planned_servers_yield_the_need_they_were_planned_for(self) -> None:
        # A new leader derives the need from the servers that its predecessor ordered.
        # If it derived more, each change of leader would order more.
        all_running = {domain: DomainServers(2, 0) for domain in PRICES}
        target = spread_servers(NEED, BOUNDS, PRICES, all_running)
        assert count_servers_after_loss(target, NEED.domains_lost) == NEED.servers

    def test_on_demand_servers_are_not_lost(self) -> None:
        start = {domain: DomainServers(0, 14) for domain in PRICES}
        assert count_servers_after_loss(start, 2) == 56
