"""Tests of server orders, with platform calls that are only recorded."""

import asyncio
from dataclasses import replace
from datetime import timedelta

import pytest
from scene import SERVICE, make_catalog

from fireflyhitch_model.clock import ManualClock
from fireflyhitch_model.ids import (
    BackendServerId,
    FailureDomainId,
    FencingNumber,
    StoreEra,
)
from fireflyhitch_routing.service_demand import NO_DEMAND, LevelDemand
from fireflyhitch_serving.autoscaler import Autoscaler
from fireflyhitch_serving.catalog import EngineCapacity, ScaleBounds, Service
from fireflyhitch_serving.connections import Address
from fireflyhitch_serving.duty_calls import CallResult, ServerOrder
from fireflyhitch_serving.leases import Leadership
from fireflyhitch_serving.servers import ServerEntry, ServerRegistry
from fireflyhitch_serving.store_eras import EraTracker
from fireflyhitch_serving.workloads import Workloads

DOMAINS = {FailureDomainId(name): 1.0 for name in ('a', 'b', 'c', 'd')}
SCALED = Service(
    SERVICE, 100, EngineCapacity(12, 400_000), ScaleBounds(1, 56, 4, 0.18, DOMAINS)
)


class FakeLeader:
    """A leader that records its orders; all of them are accepted."""

    def __init__(self) -> None:
        self.orders: list[ServerOrder] = []
        self.is_leading = True

    def current_leadership(self) -> Leadership | None:
        """Return a leadership, unless another daemon leads."""
        fencing = FencingNumber(7)
        return Leadership(fencing, 3, fencing) if self.is_leading else None

    async def order_servers(
        self, leadership: Leadership, order: ServerOrder
    ) -> CallResult:
        """Record an order."""
        self.orders.append(order)
        return CallResult.DONE


class ScalingHarness:
    """A leader before the first request, with a service whose servers are listed."""

    def __init__(self, demand: float = 0, shed: LevelDemand = NO_DEMAND) -> None:
        self.registry = ServerRegistry()
        self.leader = FakeLeader()
        self.clock = ManualClock()
        self.eras = EraTracker(self.clock)
        catalog = replace(make_catalog(), services={SERVICE: SCALED})
        self.autoscaler = Autoscaler(
            lambda: catalog,
            self.registry,
            lambda: demand,
            Workloads(),
            self.leader,  # type: ignore[arg-type]
            self.leader,  # type: ignore[arg-type]
            self.clock,
            lambda service: shed,
        )
        self.autoscaler.is_listing_outdated = self.eras.is_recent

    def list_servers(self, numbers: range) -> None:
        """List on-demand servers, spread over the domains."""
        for number in numbers:
            domain = sorted(DOMAINS)[number % len(DOMAINS)]
            entry = ServerEntry(
                BackendServerId(f's{number}'),
                SERVICE,
                Address('127.0.0.1', 1 + number),
                domain,
                'v1',
                12,
                ready=True,
            )
            self.registry.put(entry)

    def list_reclaimable(self, name: str) -> None:
        """List a reclaimable server of the first domain."""
        entry = ServerEntry(
            BackendServerId(name),
            SERVICE,
            Address('127.0.0.1', 999),
            sorted(DOMAINS)[0],
            'v1',
            12,
            ready=True,
            reclaimable=True,
        )
        self.registry.put(entry)

    def list_all_reclaimable(self, count: int) -> None:
        """List so many reclaimable servers in each domain."""
        for number, domain in enumerate(DOMAINS):
            for place in range(count):
                name = f'{domain}-r{place}'
                self.list_reclaimable(name)
                record = self.registry.find(BackendServerId(name))
                assert record is not None
                record.server = replace(
                    record.server,
                    failure_domain=domain,
                    address=Address('127.0.0.2', 1 + 99 * number + place),
                )

    def find_on_demand(self) -> dict[FailureDomainId, int]:
        """Return the latest on-demand order of each domain."""
        return {
            order.failure_domain: order.count
            for order in self.leader.orders
            if not order.reclaimable
        }

    def reclaim_all(self) -> None:
        """Remove all reclaimable servers, as the platform does."""
        for server_id, record in list(self.registry.all().items()):
            if record.server.reclaimable:
                self.registry.remove(server_id)

    def count_reclaimable(self) -> int:
        """Return the sum of the latest reclaimable orders of all domains."""
        newest = {
            order.failure_domain: order.count
            for order in self.leader.orders
            if order.reclaimable
        }
        return sum(newest.values())

    async def advance_time(self, seconds: float) -> None:
        """Run the autoscaler for so many seconds."""
        running = asyncio.create_task(self.autoscaler.run())
        for _ in range(20):
            self.clock.advance(timedelta(seconds=seconds / 20))
            await asyncio.sleep(0.002)
        running.cancel()


def order_at_start(on_demand: int, monkeypatch) -> int:  # type: ignore[no-untyped-def]
    """Return the reclaimable servers ordered before the first request."""
    monkeypatch.setattr(f'{Autoscaler.__module__}.CHECK_INTERVAL_SECONDS', 0)
    harness = ScalingHarness()
    harness.list_servers(range(on_demand))
    asyncio.run(harness.advance_time(4))
    return harness.count_reclaimable()


class TestStart:
    def test_a_large_service_is_not_scaled_down_before_its_load_is_known(
        self, monkeypatch
    ) -> None:
        # 56 servers run, and no request has arrived yet. With orders for no load, 8
        # were left when the first requests came.
        assert order_at_start(56, monkeypatch) >= 56

    def test_no_servers_are_released_while_more_are_listed(self, monkeypatch) -> None:
        # 56 servers run when the daemons start, and write their entries over the next
        # three seconds. Orders based on the first two released all others, and the
        # first callers found eight.
        monkeypatch.setattr(f'{Autoscaler.__module__}.CHECK_INTERVAL_SECONDS', 0)
        harness = ScalingHarness()

        async def script() -> None:
            for first in range(0, 56, 14):
                harness.list_servers(range(first, first + 14))
                await harness.advance_time(0.8)
            assert all(order.reclaimable for order in harness.leader.orders)
            await harness.advance_time(4)

        asyncio.run(script())
        assert harness.count_reclaimable() >= 56

    def test_a_small_service_gets_no_more_than_it_needs(self, monkeypatch) -> None:
        assert order_at_start(5, monkeypatch) == 12


class TestEvacuation:
    def test_nothing_is_ordered_or_released_in_an_evacuated_domain(
        self, monkeypatch
    ) -> None:
        # Servers ordered there cost money and get no requests; those that are released
        # are missing when the evacuation ends.
        monkeypatch.setattr(f'{Autoscaler.__module__}.CHECK_INTERVAL_SECONDS', 0)
        evacuated, *others = sorted(DOMAINS)
        harness = ScalingHarness(demand=1)
        harness.registry.set_evacuated(evacuated, evacuated=True)
        harness.list_servers(range(8))
        asyncio.run(harness.advance_time(4))
        ordered = {order.failure_domain for order in harness.leader.orders}
        assert ordered == set(others)

    def test_other_domains_make_room(self, monkeypatch) -> None:
        # Requests of the evacuated domain's servers had no place elsewhere until the
        # load had grown there.
        monkeypatch.setattr(f'{Autoscaler.__module__}.CHECK_INTERVAL_SECONDS', 0)
        evacuated, *others = sorted(DOMAINS)
        harness = ScalingHarness(demand=1)
        harness.list_servers(range(8))
        for record in harness.registry.all().values():
            record.requests = 30
        for domain in (evacuated, *others[:2]):
            harness.registry.set_evacuated(domain, evacuated=True)
        asyncio.run(harness.advance_time(4))
        # 240 requests in batches of 12, half full.
        newest = {order.reclaimable: order.count for order in harness.leader.orders}
        assert sum(newest.values()) >= 40


class TestLongAnswers:
    def test_servers_are_ordered_for_the_slots_that_answers_occupy(
        self, monkeypatch
    ) -> None:
        # Prompts of a few tokens with long answers: engines have no prefill work, but
        # their batches are full. Orders by prefill alone would leave callers waiting
        # for a slot; 120 requests in batches of 12, half full, need 20 servers.
        monkeypatch.setattr(f'{Autoscaler.__module__}.CHECK_INTERVAL_SECONDS', 0)
        harness = ScalingHarness(demand=1)
        harness.list_servers(range(4))
        for record in harness.registry.all().values():
            record.requests = 30
        asyncio.run(harness.advance_time(1))
        ordered = {
            order.failure_domain: order.count
            for order in harness.leader.orders
            if order.reclaimable
        }
        assert min(ordered.values()) >= 20


class TestLeavingServers:
    def test_requests_sent_again_elsewhere_are_counted_once(self, monkeypatch) -> None:
        # After a reclaim, requests at the leaving servers were counted there and at the
        # servers that they were sent to again: up to a third more was ordered.
        monkeypatch.setattr(f'{Autoscaler.__module__}.CHECK_INTERVAL_SECONDS', 0)
        harness = ScalingHarness(demand=1)
        harness.list_servers(range(16))
        for record in list(harness.registry.all().values())[:4]:
            harness.registry.put(replace(record.server, ready=False))
        for record in harness.registry.all().values():
            record.requests = 10
        asyncio.run(harness.advance_time(1))
        # 120 requests in batches of 12, half full, need 20 servers.
        assert {
            order.count for order in harness.leader.orders if order.reclaimable
        } == {20}


class OrderLog:
    """Records when reclaimable servers were ordered for one failure domain."""

    def __init__(self, result: CallResult) -> None:
        self.harness = ScalingHarness()
        self.harness.list_servers(range(8))
        self.harness.leader.order_servers = self._order  # type: ignore[method-assign]
        self.placed_at: list[float] = []
        self.count = 0
        self._result = result

    def list_ordered(self) -> None:
        """List as many reclaimable servers as were ordered."""
        for number in range(self.count):
            self.harness.list_reclaimable(f'r{number}')

    async def _order(self, leadership: Leadership, order: ServerOrder) -> CallResult:
        if order.reclaimable and order.failure_domain == 'a':
            self.placed_at.append(self.harness.clock.monotonic())
            self.count = order.count
        return self._result


class TestReordering:
    """An order is not repeated until its servers are late, unavailable or reclaimed."""

    def test_starting_servers_are_not_ordered_again(self, monkeypatch) -> None:
        """Guards against a paid call every few seconds for starting servers."""
        monkeypatch.setattr(f'{Autoscaler.__module__}.CHECK_INTERVAL_SECONDS', 0)
        orders = OrderLog(CallResult.DONE)
        asyncio.run(orders.harness.advance_time(9))
        assert len(orders.placed_at) == 2
        assert orders.placed_at[1] - orders.placed_at[0] >= SCALED.scale.start_seconds

    def test_unavailable_servers_are_reordered_sooner(self, monkeypatch) -> None:
        """Guards against a retry long after servers became available again."""
        monkeypatch.setattr(f'{Autoscaler.__module__}.CHECK_INTERVAL_SECONDS', 0)
        orders = OrderLog(CallResult.UNAVAILABLE)
        asyncio.run(orders.harness.advance_time(9))
        assert len(orders.placed_at) >= 3

    def test_reclaimed_servers_are_reordered_at_once(self, monkeypatch) -> None:
        """Guards against reclaimed servers that are replaced only after a delay."""
        monkeypatch.setattr(f'{Autoscaler.__module__}.CHECK_INTERVAL_SECONDS', 0)
        orders = OrderLog(CallResult.DONE)

        async def script() -> None:
            await orders.harness.advance_time(2)
            assert len(orders.placed_at) == 1
            orders.list_ordered()
            await orders.harness.advance_time(1)
            orders.harness.reclaim_all()
            await orders.harness.advance_time(0.5)

        asyncio.run(script())
        assert len(orders.placed_at) == 2


class TestTakeover:
    def test_a_new_leader_keeps_the_servers_that_its_predecessor_ordered(
        self, monkeypatch
    ) -> None:
        # The leader is killed under load. The next one has seen less of the day's load
        # and released half of the servers; none were available when requests came
        # again.
        monkeypatch.setattr(f'{Autoscaler.__module__}.CHECK_INTERVAL_SECONDS', 0)
        harness = ScalingHarness(demand=100_000)
        harness.list_servers(range(56))
        for record in harness.registry.all().values():
            record.server = replace(record.server, reclaimable=True)
        asyncio.run(harness.advance_time(1))
        first = {
            order.failure_domain: order.count
            for order in reversed(harness.leader.orders)
            if order.reclaimable
        }
        assert sum(first.values()) >= 0.8 * 56

    def test_a_new_leader_orders_for_the_load_before_it_led(self, monkeypatch) -> None:
        """Guards against servers released after a burst because the leader changed."""
        monkeypatch.setattr(f'{Autoscaler.__module__}.CHECK_INTERVAL_SECONDS', 0)
        harness = ScalingHarness(demand=1)
        harness.list_servers(range(4))
        harness.leader.is_leading = False
        for record in harness.registry.all().values():
            record.requests = 30

        async def script() -> None:
            await harness.advance_time(1)
            assert not harness.leader.orders
            for record in harness.registry.all().values():
                record.requests = 0
            harness.leader.is_leading = True
            await harness.advance_time(0.01)

        asyncio.run(script())
        ordered = [order.count for order in harness.leader.orders if order.reclaimable]
        assert max(ordered) >= 15


class TestRestores:
    def test_no_server_is_released_as_a_copy_lists_reclaimed_ones(
        self, monkeypatch
    ) -> None:
        """On-demand servers were released for reclaimable ones that were long gone."""
        monkeypatch.setattr(f'{Autoscaler.__module__}.CHECK_INTERVAL_SECONDS', 0)
        harness = ScalingHarness(demand=1)
        harness.eras.record(StoreEra(1), 'store')
        harness.list_servers(range(16))
        for record in harness.registry.all().values():
            record.requests = 15

        async def script() -> None:
            await harness.advance_time(8)
            ordered = harness.find_on_demand()
            assert sum(ordered.values()) >= 16
            placed = len(harness.leader.orders)
            harness.eras.record(StoreEra(2), 'store')
            harness.list_all_reclaimable(40)
            await harness.advance_time(3)
            harness.reclaim_all()
            await harness.advance_time(1)
            assert all(
                order.count >= ordered[order.failure_domain]
                for order in harness.leader.orders[placed:]
                if not order.reclaimable
            )

        asyncio.run(script())

    def test_no_server_is_released_as_a_copy_lists_it_as_leaving(
        self, monkeypatch
    ) -> None:
        """Servers that a domain has beyond its share, while another lacks some, ended."""
        monkeypatch.setattr(f'{Autoscaler.__module__}.CHECK_INTERVAL_SECONDS', 0)
        harness = ScalingHarness()
        harness.eras.record(StoreEra(1), 'store')
        harness.list_all_reclaimable(6)
        lacking, full, *_ = sorted(DOMAINS)
        for place in range(1, 6):
            harness.registry.remove(BackendServerId(f'{lacking}-r{place}'))
        entries = [
            record.server
            for record in harness.registry.all().values()
            if record.server.failure_domain == full
        ]

        async def script() -> None:
            await harness.advance_time(8)
            placed = len(harness.leader.orders)
            harness.eras.record(StoreEra(2), 'store')
            for entry in entries[2:]:
                harness.registry.put(replace(entry, ready=False))
            await harness.advance_time(2)
            for entry in entries:
                harness.registry.put(entry)
            await harness.advance_time(1)
            assert all(
                order.count >= 6
                for order in harness.leader.orders[placed:]
                if order.reclaimable and order.failure_domain == full
            )

        asyncio.run(script())


class TestShedding:
    @pytest.mark.parametrize('shed', [LevelDemand(200), LevelDemand(1, 15)])
    def test_refused_demand_orders_servers(self, shed, monkeypatch) -> None:  # type: ignore[no-untyped-def]
        # Failure: the more requests are refused, the fewer servers seem to be needed.
        monkeypatch.setattr(f'{Autoscaler.__module__}.CHECK_INTERVAL_SECONDS', 0)
        harness = ScalingHarness(demand=1, shed=shed)
        harness.list_servers(range(8))
        asyncio.run(harness.advance_time(4))
        # 200 requests half fill 34 engines of 12 slots; 15 readers are half used in 30.
        assert harness.count_reclaimable() >= 30
