"""Slopes of the control code, measured in this process over small fakes."""

import gc
import time
import tracemalloc
from collections.abc import Callable, Sequence
from dataclasses import dataclass, replace
from datetime import timedelta
from typing import Any

import cbor2

from fireflyhitch_bench.capacity_fit import Line, Point, fit_line
from fireflyhitch_fleet.planner import (
    Bounds,
    Market,
    Need,
    Placement,
    plan_version,
)
from fireflyhitch_ledger.keys import CallKey, digest_body
from fireflyhitch_ledger.ledger import Ledger
from fireflyhitch_ledger.operations import Answer
from fireflyhitch_ledger.results import Claimed
from fireflyhitch_ledger.settings import LedgerSettings
from fireflyhitch_membership.members import MemberTable
from fireflyhitch_membership.messages import MemberRecord, StateUpdate
from fireflyhitch_membership.wire import encode_body
from fireflyhitch_model.backends import BackendServer
from fireflyhitch_model.calls import Call
from fireflyhitch_model.clock import ManualClock, SystemClock
from fireflyhitch_model.ids import (
    BackendServerId,
    CustomerId,
    DaemonId,
    DeploymentId,
    FailureDomainId,
    IdempotencyKey,
    Incarnation,
    InstanceId,
    RequestId,
    VersionId,
)
from fireflyhitch_model.peers import Daemon
from fireflyhitch_model.states import MachineClass, Priority
from fireflyhitch_recovery.answers import AnswerLog
from fireflyhitch_rollout.evidence import EvidenceBook, Trial
from fireflyhitch_rollout.tallies import EvidenceNews
from fireflyhitch_routing.choices import CallResult, ResultStatus
from fireflyhitch_routing.router import Router
from fireflyhitch_routing.shares import DemandReport
from fireflyhitch_settings.schema import (
    Configuration,
    Customer,
    ModelDeployment,
)
from fireflyhitch_standins.keyvalue import MemoryKeyValueStore
from fireflyhitch_standins.peers import MemoryPeerNetwork
from fireflyhitch_telemetry.burn import BurnRecorder, BurnTarget

MODEL = DeploymentId('model')
VERSION = VersionId('v1')
DOMAIN = FailureDomainId('domain')
HERE = Daemon(DaemonId('daemon-0'), DOMAIN, '127.0.0.1:1', '127.0.0.1:2')
MICROSECONDS = 1e6
MILLISECOND_US = 1000
EVENT = b'{"id":"chatcmpl-0123456789abcdef","object":"chat.completion.chunk",' * 3


@dataclass(frozen=True, slots=True)
class Slope:
    """A figure at several sizes and the line through it."""

    name: str
    unit: str
    points: tuple[Point, ...]
    line: Line


def measure_slopes() -> list[Slope]:
    """Measure all; takes about half a minute."""
    return [
        _slope('decision_us_per_replica', 'us', (5, 50, 200, 526), _time_decision),
        _slope('router_bytes_per_replica', 'bytes', (50, 200, 526), _weigh_router),
        _slope('member_bytes_per_peer', 'bytes', (50, 200, 790), _weigh_members),
        _slope('member_message_bytes_per_peer', 'bytes', (2, 20, 42), _size_message),
        _slope('member_message_us_per_peer', 'us', (2, 20, 42), _time_message),
        _slope('event_bytes_per_token', 'bytes', (500, 2000, 8000), _weigh_answer),
        _slope('stored_bytes_per_key', 'bytes', (200, 800, 2400), _size_keys),
        _slope('claim_us_per_call', 'us', (200, 800, 2400), _time_claims),
        _slope('demand_bytes_per_customer', 'bytes', (5, 50, 400), _size_demand),
        _slope('demand_us_per_customer', 'us', (5, 50, 400), _time_demand),
        _slope('evidence_bytes_per_cell', 'bytes', (1, 8, 32), _size_evidence),
        _slope('burn_bytes_per_row', 'bytes', (5, 50, 200), _weigh_burn),
        _slope('plan_ms_per_place', 'ms', (8, 19, 38), _time_plan),
        _slope('change_bytes_per_deployment', 'bytes', (2, 20, 100), _size_change),
        _slope('change_us_per_deployment', 'us', (2, 20, 100), _time_change),
    ]


def _slope(
    name: str, unit: str, sizes: Sequence[int], measure: Callable[[int], float]
) -> Slope:
    points = tuple(Point(size, measure(size)) for size in sizes)
    return Slope(name, unit, points, fit_line(points))


def _time_decision(replicas: int) -> float:
    router, _ = _make_router(replicas)
    times: list[float] = []
    for number in range(400):
        call = _make_call(number)
        started = time.perf_counter()
        choice = router.choose(call)
        times.append(time.perf_counter() - started)
        ticket = router.start(choice, call)
        router.first_token(ticket)
        router.finish(ticket, CallResult(ResultStatus.SUCCEEDED, 10, 0, 1))
    return sorted(times)[len(times) // 2] * MICROSECONDS


def _weigh_router(replicas: int) -> float:
    return _weigh(lambda: _make_router(replicas))


def _weigh_members(peers: int) -> float:
    def build() -> MemberTable:
        table = MemberTable(HERE, SystemClock())
        table.merge(_make_records(peers))
        return table

    return _weigh(build)


def _size_message(peers: int) -> float:
    return len(encode_body(StateUpdate(members=_make_records(peers), marks=())))


def _time_message(peers: int) -> float:
    update = StateUpdate(members=_make_records(peers), marks=())
    body = encode_body(update)

    def exchange() -> None:
        encode_body(update)
        StateUpdate.model_validate(_decode_body(body))

    return _time(exchange, 200)


def _weigh_answer(events: int) -> float:
    def build() -> AnswerLog:
        log = AnswerLog(HERE.daemon_id)
        stream = log.current()
        for number in range(events):
            stream.append(EVENT + str(number).encode())
        return log

    return _weigh(build)


def _size_keys(count: int) -> float:
    store, _ = _run_claims(count)
    listing = store.get_prefix('ledger/')
    return float(sum(len(item.value) for item in listing.items))


def _time_claims(count: int) -> float:
    _, seconds = _run_claims(count)
    return seconds * MICROSECONDS


def _run_claims(count: int) -> tuple[MemoryKeyValueStore, float]:
    """Claim and record calls one after another, in passed time."""
    clock = ManualClock()
    store = MemoryKeyValueStore(clock)
    messenger = MemoryPeerNetwork().join(HERE)
    settings = LedgerSettings(writes_per_second=1e6)
    ledger = Ledger(HERE.daemon_id, store, messenger, clock, settings)
    started = time.process_time()
    for number in range(count):
        call = _make_call(number, clock.monotonic())
        key = CallKey(call.customer, MODEL, IdempotencyKey(f'key-{number}'))
        claim = ledger.claim(key, digest_body('POST', '/', b'{}'), call)
        assert isinstance(claim, Claimed)
        ledger.mark_sent(claim.attempt)
        ledger.record_ran(claim.attempt, Answer(status=200, body=b'{"booked":true}'))
        clock.advance(timedelta(seconds=0.1))
    return store, time.process_time() - started


def _make_demand(customers: int) -> DemandReport:
    return DemandReport(
        demands={CustomerId(f'customer-{one}'): 0.01 * one for one in range(customers)}
    )


def _size_demand(customers: int) -> float:
    return len(encode_body(_make_demand(customers)))


def _time_demand(customers: int) -> float:
    report = _make_demand(customers)
    body = encode_body(report)

    def exchange() -> None:
        DemandReport.model_validate(_decode_body(body))

    return _time(exchange, 200)


def _size_evidence(cells: int) -> float:
    """Return the size of the evidence that a daemon sends for some cells."""
    network = MemoryPeerNetwork()
    clock = ManualClock()
    book = EvidenceBook(HERE, network.join(HERE), clock)
    other = replace(HERE, daemon_id=DaemonId('daemon-1'))
    sizes: list[int] = []

    def take(_: DaemonId, news: EvidenceNews) -> None:
        sizes.append(len(encode_body(news)))

    network.join(other).handle(EvidenceNews, take)
    book.watch({DeploymentId('model-0'): Trial(VERSION, VersionId('v2'))})
    for number in range(cells * 4):
        call = replace(_make_call(number, 0), route=f'route-{number % cells}')
        server = replace(_make_server(0), failure_domain=DOMAIN)
        book.record(call, server, ok=True, first_token=0.2, between_tokens=0.05)
    book.step()
    return float(max(sizes))


def _weigh_burn(rows: int) -> float:
    def build() -> BurnRecorder:
        clock = ManualClock()
        burn = BurnRecorder(clock, DOMAIN)
        burn.set_targets({MODEL: BurnTarget(first_token_seconds=0.92)})
        for number in range(rows * 20):
            burn.record(
                CustomerId(f'customer-{number % rows}'),
                MODEL,
                'chat',
                VERSION,
                ok=True,
                first_token=0.1 + number % 7 / 10,
                between_tokens=0.05,
            )
            clock.advance(timedelta(seconds=1))
        return burn

    return _weigh(build)


def _time_plan(places: int) -> float:
    markets = {
        Placement(FailureDomainId(f'domain-{number}'), kind): Market(
            price=1.0 + number % 5 / 10, supply=64, reclaims=0.05
        )
        for number in range(places // 2)
        for kind in MachineClass
    }
    need = Need(VERSION, len(markets) * 4, {})
    bounds = Bounds(0.75, 2, len(markets) * 8, len(markets))

    def plan() -> None:
        plan_version(need, markets, bounds, 0.05)

    return _time(plan, 3) / MILLISECOND_US


def _size_change(deployments: int) -> float:
    return len(_make_configuration(deployments).model_dump_json())


def _time_change(deployments: int) -> float:
    text = _make_configuration(deployments).model_dump_json()
    router = Router(SystemClock(), HERE.daemon_id)

    def apply() -> None:
        router.configure(Configuration.model_validate_json(text))

    return _time(apply, 30)


def _make_router(replicas: int) -> tuple[Router, Configuration]:
    router = Router(SystemClock(), HERE.daemon_id)
    configuration = _make_configuration(1)
    router.configure(configuration)
    router.update_servers(_make_server(number) for number in range(replicas))
    return router, configuration


def _make_server(number: int) -> BackendServer:
    return BackendServer(
        BackendServerId(f'server-{number}'),
        InstanceId(f'instance-{number}'),
        DeploymentId('model-0'),
        VERSION,
        FailureDomainId(f'domain-{number % 4}'),
        f'10.0.{number % 250}.{number // 250}:8000',
        MachineClass.RECLAIMABLE,
        1.0 + number % 3,
        16,
    )


def _make_call(number: int, now: float | None = None) -> Call:
    arrived = time.monotonic() if now is None else now
    return Call(
        RequestId(f'request-{number}'),
        CustomerId('customer'),
        DeploymentId('model-0'),
        'chat',
        Priority.NORMAL,
        200,
        100,
        tuple(range(12)),
        arrived,
        arrived + 60,
    )


def _make_records(count: int) -> tuple[MemberRecord, ...]:
    return tuple(
        MemberRecord(
            daemon_id=DaemonId(f'daemon-{number + 1}'),
            domain=DOMAIN,
            peer=f'10.0.{number % 250}.{number // 250}:7000',
            entry=f'10.0.{number % 250}.{number // 250}:8000',
            incarnation=Incarnation(1764700000000 + number),
        )
        for number in range(count)
    )


def _make_configuration(deployments: int) -> Configuration:
    domains = tuple(FailureDomainId(f'domain-{number}') for number in range(4))
    return Configuration(
        deployments=tuple(
            ModelDeployment(
                name=DeploymentId(f'model-{number}'),
                failure_domains=domains,
                version=VERSION,
            )
            for number in range(deployments)
        ),
        customers=(
            Customer(customer_id=CustomerId('customer'), api_key_sha256='0' * 64),
        ),
    )


def _decode_body(body: bytes) -> Any:
    return cbor2.loads(body)


def _weigh(build: Callable[[], object]) -> float:
    gc.collect()
    tracemalloc.start()
    before, _ = tracemalloc.get_traced_memory()
    kept = build()
    gc.collect()
    after, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    assert kept is not None
    return float(after - before)


def _time(action: Callable[[], None], repeats: int) -> float:
    action()
    times: list[float] = []
    for _ in range(repeats):
        started = time.perf_counter()
        action()
        times.append(time.perf_counter() - started)
    return sorted(times)[repeats // 2] * MICROSECONDS


def render_slopes(slopes: Sequence[Slope]) -> str:
    """Return a table for people."""
    lines = [f'{"slope":34}{"value":>12}{"+-":>10}{"base":>12}  points']
    for slope in slopes:
        line = slope.line
        points = ' '.join(f'{p.size:g}:{p.measured:.4g}' for p in slope.points)
        lines.append(
            f'{slope.name:34}{line.slope:12.4g}{line.error:10.2g}'
            f'{line.base:12.4g}  {points}'
        )
    return '\n'.join(lines)
