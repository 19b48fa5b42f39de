"""Tests of the orders for servers, with calls that are only noted."""

import asyncio
from dataclasses import replace
from datetime import timedelta

from scene import SERVICE, make_catalog

from fireflyhitch_model.clock import ManualClock
from fireflyhitch_model.ids import BackendServerId, FailureDomainId, FencingNumber
from fireflyhitch_serving.autoscaler import Autoscaler
from fireflyhitch_serving.catalog import EngineCapacity, ScaleBounds, Service
from fireflyhitch_serving.connections import Address
from fireflyhitch_serving.duty_calls import CallResult, ServerOrder
from fireflyhitch_serving.leases import Leadership
from fireflyhitch_serving.servers import ServerEntry, ServerRegistry
from fireflyhitch_serving.workloads import Workloads

DOMAINS = {FailureDomainId(name): 1.0 for name in ('a', 'b', 'c', 'd')}
SCALED = Service(
    SERVICE, 100, EngineCapacity(12, 400_000), ScaleBounds(1, 56, 4, 0.18, DOMAINS)
)


class Leader:
    """A leader whose orders are kept and always accepted."""

    def __init__(self) -> None:
        self.orders: list[ServerOrder] = []
        self.leads = True

    def current_leadership(self) -> Leadership | None:
        """Lead, unless another daemon does."""
        return Leadership(FencingNumber(7), 3) if self.leads else None

    async def order_servers(
        self, leadership: Leadership, order: ServerOrder
    ) -> CallResult:
        """Keep an order."""
        self.orders.append(order)
        return CallResult.DONE


class Start:
    """A leader before the first request, at a service whose servers are listed."""

    def __init__(self, demand: float = 0) -> None:
        self.book = ServerRegistry()
        self.leader = Leader()
        self.clock = ManualClock()
        catalog = replace(make_catalog(), services={SERVICE: SCALED})
        self.keeper = Autoscaler(
            lambda: catalog,
            self.book,
            lambda: demand,
            Workloads(),
            self.leader,  # type: ignore[arg-type]
            self.leader,  # type: ignore[arg-type]
            self.clock,
        )

    def list_servers(self, numbers: range) -> None:
        """List servers on demand, one domain after the other."""
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
            self.book.put(entry)

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
        self.book.put(entry)

    def take_away_reclaimable(self) -> None:
        """Have the platform take all reclaimable servers."""
        for server_id, record in list(self.book.all().items()):
            if record.server.reclaimable:
                self.book.remove(server_id)

    def count_reclaimable(self) -> int:
        """Return the reclaimable servers by the newest order of each domain."""
        newest = {
            order.failure_domain: order.count
            for order in self.leader.orders
            if order.reclaimable
        }
        return sum(newest.values())

    async def pass_seconds(self, seconds: float) -> None:
        """Let the keeper look some times, over as many seconds."""
        running = asyncio.create_task(self.keeper.run())
        for _ in range(20):
            self.clock.advance(timedelta(seconds=seconds / 20))
            await asyncio.sleep(0.002)
        running.cancel()


def order_at_start(on_demand: int, monkeypatch) -> int:  # type: ignore[no-untyped-def]
    """Return the reclaimable servers that are ordered before any request came."""
    monkeypatch.setattr(f'{Autoscaler.__module__}.LOOK_SECONDS', 0)
    start = Start()
    start.list_servers(range(on_demand))
    asyncio.run(start.pass_seconds(4))
    return start.count_reclaimable()


class TestStart:
    def test_a_large_service_is_not_cut_down_before_its_load_is_known(
        self, monkeypatch
    ) -> None:
        # 56 servers run, and no request has come yet. With orders for a load of
        # nothing, 8 were left when the first requests came.
        assert order_at_start(56, monkeypatch) >= 56

    def test_servers_that_are_listed_one_by_one_are_all_waited_for(
        self, monkeypatch
    ) -> None:
        # 56 servers run when the daemons start, and write their entries over the next
        # three seconds. Orders by the first two of them had all others given back, and
        # the first callers found eight.
        monkeypatch.setattr(f'{Autoscaler.__module__}.LOOK_SECONDS', 0)
        start = Start()

        async def script() -> None:
            for first in range(0, 56, 14):
                start.list_servers(range(first, first + 14))
                await start.pass_seconds(0.8)
            assert all(order.reclaimable for order in start.leader.orders)
            await start.pass_seconds(4)

        asyncio.run(script())
        assert start.count_reclaimable() >= 56

    def test_a_small_service_gets_no_more_than_it_needs(self, monkeypatch) -> None:
        assert order_at_start(5, monkeypatch) == 12


class TestLongAnswers:
    def test_servers_are_ordered_for_the_places_that_answers_take(
        self, monkeypatch
    ) -> None:
        # Prompts of a few tokens with answers of many: engines read nothing, and their
        # batches are full. Orders by reading alone would leave callers waiting for a
        # place; 120 requests in batches of 12, half full, need 20 servers.
        monkeypatch.setattr(f'{Autoscaler.__module__}.LOOK_SECONDS', 0)
        start = Start(demand=1)
        start.list_servers(range(4))
        for record in start.book.all().values():
            record.requests = 30
        asyncio.run(start.pass_seconds(1))
        ordered = {
            order.failure_domain: order.count
            for order in start.leader.orders
            if order.reclaimable
        }
        assert min(ordered.values()) >= 20


class Orders:
    """When reclaimable servers were ordered for one failure domain."""

    def __init__(self, result: CallResult) -> None:
        self.start = Start()
        self.start.list_servers(range(8))
        self.start.leader.order_servers = self._order  # type: ignore[method-assign]
        self.given: list[float] = []
        self.count = 0
        self._result = result

    def fill(self) -> None:
        """List as many reclaimable servers as were ordered."""
        for number in range(self.count):
            self.start.list_reclaimable(f'r{number}')

    async def _order(self, leadership: Leadership, order: ServerOrder) -> CallResult:
        if order.reclaimable and order.failure_domain == 'a':
            self.given.append(self.start.clock.monotonic())
            self.count = order.count
        return self._result


class TestRepeats:
    """An order stands until its servers are late, refused, or taken away."""

    def test_servers_that_are_starting_are_not_ordered_again(self, monkeypatch) -> None:
        """Guards against a paid call each few seconds for what is on its way."""
        monkeypatch.setattr(f'{Autoscaler.__module__}.LOOK_SECONDS', 0)
        orders = Orders(CallResult.DONE)
        asyncio.run(orders.start.pass_seconds(9))
        assert len(orders.given) == 2
        assert orders.given[1] - orders.given[0] >= SCALED.scale.start_seconds

    def test_what_is_not_to_be_had_is_asked_for_sooner(self, monkeypatch) -> None:
        """Guards against seconds without servers that may be had again by now."""
        monkeypatch.setattr(f'{Autoscaler.__module__}.LOOK_SECONDS', 0)
        orders = Orders(CallResult.UNAVAILABLE)
        asyncio.run(orders.start.pass_seconds(9))
        assert len(orders.given) >= 3

    def test_what_was_taken_away_is_ordered_at_once(self, monkeypatch) -> None:
        """Guards against reclaimed servers that are missed until an order is old."""
        monkeypatch.setattr(f'{Autoscaler.__module__}.LOOK_SECONDS', 0)
        orders = Orders(CallResult.DONE)

        async def script() -> None:
            await orders.start.pass_seconds(2)
            assert len(orders.given) == 1
            orders.fill()
            await orders.start.pass_seconds(1)
            orders.start.take_away_reclaimable()
            await orders.start.pass_seconds(0.5)

        asyncio.run(script())
        assert len(orders.given) == 2


class TestTakingOver:
    def test_a_new_leader_keeps_what_the_former_one_ordered(self, monkeypatch) -> None:
        # The leader is killed under load. The next has seen less of the day's load, and
        # gave back half of the servers; none were to be had when callers came again.
        monkeypatch.setattr(f'{Autoscaler.__module__}.LOOK_SECONDS', 0)
        taking_over = Start(demand=100_000)
        taking_over.list_servers(range(56))
        for record in taking_over.book.all().values():
            record.server = replace(record.server, reclaimable=True)
        asyncio.run(taking_over.pass_seconds(1))
        first = {
            order.failure_domain: order.count
            for order in reversed(taking_over.leader.orders)
            if order.reclaimable
        }
        assert sum(first.values()) >= 0.8 * 56

    def test_it_orders_by_the_load_that_it_saw_before_it_led(self, monkeypatch) -> None:
        """Guards against servers given back right after a burst, as the leader ended."""
        monkeypatch.setattr(f'{Autoscaler.__module__}.LOOK_SECONDS', 0)
        start = Start(demand=1)
        start.list_servers(range(4))
        start.leader.leads = False
        for record in start.book.all().values():
            record.requests = 30

        async def script() -> None:
            await start.pass_seconds(1)
            assert not start.leader.orders
            for record in start.book.all().values():
                record.requests = 0
            start.leader.leads = True
            await start.pass_seconds(0.01)

        asyncio.run(script())
        ordered = [order.count for order in start.leader.orders if order.reclaimable]
        assert max(ordered) >= 15
