"""What at-most-once costs, and that it holds under faults.

Part one measures claims against a store with a write rate and a delay, with
real threads: one compare-and-swap a call against group commit. Part two sends
calls with random faults at random steps in passed time, and counts calls that
ran twice or that were called not run although they ran. Run it with
``make bench NAME=ledger``.
"""

import json
import random
import statistics
import sys
import threading
import time
from collections import Counter
from collections.abc import Callable, Iterator
from concurrent.futures import ThreadPoolExecutor
from dataclasses import dataclass, field

from loguru import logger

from fireflyhitch_bench.ledger_faults import run_faults
from fireflyhitch_ledger.keys import CallKey, digest_body, digest_key
from fireflyhitch_ledger.ledger import Ledger
from fireflyhitch_ledger.operations import Answer
from fireflyhitch_ledger.results import Claimed
from fireflyhitch_model.calls import Call
from fireflyhitch_model.clock import SystemClock
from fireflyhitch_model.errors import PlatformError, RequestError
from fireflyhitch_model.ids import (
    ABSENT,
    CustomerId,
    DaemonId,
    DeploymentId,
    FailureDomainId,
    IdempotencyKey,
    LeaseId,
    RequestId,
    Revision,
)
from fireflyhitch_model.invariants import count_violations
from fireflyhitch_model.peers import Daemon
from fireflyhitch_model.states import Outcome, Priority, Step
from fireflyhitch_platform.keyvalue import Conflict, KeyValue, WriteResult, Written
from fireflyhitch_standins.keyvalue import MemoryKeyValueStore
from fireflyhitch_standins.peers import MemoryPeerNetwork

DAEMONS = 8
STORE_DELAY_SECONDS = 0.003
STORE_WRITES_PER_SECOND = 400
SECONDS = 5.0
OFFERED = (20, 200, 800)
CALLERS = 256
SEEDS = (1, 2, 3)
FAULT_CALLS = 1500
MILLISECONDS = 1000
BODY = digest_body('POST', '/visits', b'{}')
ANSWER = Answer(status=201, body=b'{"visit": 1}')
CALL_SECONDS = 30.0


class LimitedStore(MemoryKeyValueStore):
    """A store that takes its time and refuses writes above its rate."""

    def __init__(self) -> None:
        super().__init__(SystemClock())
        self._rate_lock = threading.Lock()
        self._allowed = float(STORE_WRITES_PER_SECOND)
        self._counted = time.monotonic()

    def get(self, key: str) -> KeyValue | None:
        """Read one key, after the delay."""
        time.sleep(STORE_DELAY_SECONDS)
        return super().get(key)

    def put_if(
        self,
        key: str,
        value: bytes,
        expected: Revision,
        lease: LeaseId | None = None,
    ) -> WriteResult:
        """Write after the delay, if the rate allows it."""
        time.sleep(STORE_DELAY_SECONDS)
        if not self._take():
            raise PlatformError(
                'rate exceeded', step=Step.STORE_WRITE, outcome=Outcome.NOT_RUN
            )
        return super().put_if(key, value, expected, lease)

    def _take(self) -> bool:
        with self._rate_lock:
            now = time.monotonic()
            refill = (now - self._counted) * STORE_WRITES_PER_SECOND
            self._allowed = min(STORE_WRITES_PER_SECOND, self._allowed + refill)
            self._counted = now
            if self._allowed < 1:
                return False
            self._allowed -= 1
            return True


@dataclass(slots=True)
class Figures:
    """What one variant did under one load."""

    claimed: int = 0
    refused: int = 0
    added: list[float] = field(default_factory=list)
    lock: threading.Lock = field(default_factory=threading.Lock)

    def note(self, claimed: bool, seconds: float) -> None:
        """Count one call; ``seconds`` is what claim and record took."""
        with self.lock:
            self.claimed += claimed
            self.refused += not claimed
            if claimed:
                self.added.append(seconds)


class _Shared:
    """An iterator that several threads take from."""

    def __init__(self, items: Iterator[tuple[int, float]]) -> None:
        self._items = items
        self._lock = threading.Lock()

    def __iter__(self) -> Iterator[tuple[int, float]]:
        return self

    def __next__(self) -> tuple[int, float]:
        with self._lock:
            return next(self._items)


Carry = Callable[[CallKey], bool]


def build_group_commit(store: LimitedStore) -> tuple[list[Carry], Callable[[], None]]:
    """Return the calls of daemons with ledgers, and what stops them."""
    network = MemoryPeerNetwork()
    clock = SystemClock()
    ledgers = []
    for number in range(DAEMONS):
        name = DaemonId(f'daemon-{number}')
        daemon = Daemon(name, FailureDomainId('domain'), '', '')
        ledgers.append(Ledger(name, store, network.join(daemon), clock))
    for ledger in ledgers:
        ledger.start()

    def stop() -> None:
        for running in ledgers:
            running.stop()

    return [_bind_ledger(bound, clock) for bound in ledgers], stop


def _bind_ledger(ledger: Ledger, clock: SystemClock) -> Carry:
    def carry(key: CallKey) -> bool:
        try:
            result = ledger.claim(key, BODY, _build_call(clock.monotonic()))
        except RequestError:
            return False
        if not isinstance(result, Claimed):
            return False
        ledger.mark_sent(result.attempt)
        ledger.record_ran(result.attempt, ANSWER)
        return True

    return carry


def build_single(store: LimitedStore) -> tuple[list[Carry], Callable[[], None]]:
    """Return calls that each write a key of their own, twice."""

    def carry(key: CallKey) -> bool:
        name = f'ledger/{digest_key(key).hex()}'
        try:
            claimed = store.put_if(name, b'claimed', ABSENT)
            if isinstance(claimed, Conflict):
                return False
            _record_single(store, name, claimed)
        except PlatformError:
            return False
        return True

    return [carry for _ in range(DAEMONS)], lambda: None


def _record_single(store: LimitedStore, name: str, claimed: Written) -> None:
    value = ANSWER.model_dump_json().encode()
    store.put_if(name, value, claimed.revision)


VARIANTS = {'single': build_single, 'group': build_group_commit}


def measure(variant: str, rate: int, seed: int) -> dict[str, float]:
    """Offer calls at a rate to one variant and return its figures."""
    store = LimitedStore()
    carries, stop = VARIANTS[variant](store)
    figures = Figures()
    draw = random.Random(seed)
    due = _draw_arrivals(draw, rate)
    numbered = _Shared(enumerate(due))
    started = time.monotonic()

    def call_in_turn() -> None:
        # Callers pace themselves: one thread that started all of them would be
        # what is measured.
        for number, at in numbered:
            key = CallKey(
                CustomerId('c'), DeploymentId('s'), IdempotencyKey(f'{rate}-{number}')
            )
            time.sleep(max(0, started + at - time.monotonic()))
            begun = time.monotonic()
            claimed = carries[number % DAEMONS](key)
            figures.note(claimed, time.monotonic() - begun)

    with ThreadPoolExecutor(CALLERS) as pool:
        for _ in range(CALLERS):
            pool.submit(call_in_turn)
    elapsed = time.monotonic() - started
    stop()
    writes = store.calls['put_if']
    return {
        'offered_per_s': rate,
        'claims_per_s': round(figures.claimed / elapsed, 1),
        'refused': figures.refused,
        'store_writes_per_claim': round(writes / max(1, figures.claimed), 3),
        'store_writes_per_s': round(writes / elapsed, 1),
        'added_ms_p50': _read_quantile(figures.added, 50),
        'added_ms_p95': _read_quantile(figures.added, 95),
    }


def _draw_arrivals(draw: random.Random, rate: int) -> list[float]:
    arrivals = []
    at = draw.expovariate(rate)
    while at < SECONDS:
        arrivals.append(at)
        at += draw.expovariate(rate)
    return arrivals


def _read_quantile(values: list[float], percent: int) -> float:
    if len(values) < 2:
        return 0.0
    cuts = statistics.quantiles(values, n=100)
    return round(cuts[percent - 1] * MILLISECONDS, 2)


def _build_call(now: float) -> Call:
    return Call(
        RequestId('r'),
        CustomerId('c'),
        DeploymentId('s'),
        'POST',
        Priority.NORMAL,
        0,
        0,
        (),
        now,
        now + CALL_SECONDS,
        repeatable=False,
    )


def main() -> None:
    """Run both parts and print the figures."""
    logger.remove()
    violations = count_violations()
    variants: dict[str, list[dict[str, float]]] = {}
    _print_row('variant', 'offered/s', 'claims/s', 'refused', 'writes/claim', 'p50 ms')
    for rate in OFFERED:
        for variant in VARIANTS:
            figures = measure(variant, rate, seed=rate)
            variants.setdefault(variant, []).append(figures)
            _print_figures(variant, figures)
    totals: Counter[str] = Counter()
    for seed in SEEDS:
        totals.update(run_faults(seed, FAULT_CALLS))
    sys.stdout.write(f'under faults: {dict(totals)}\n')
    busiest = variants['group'][-1]
    summary = {
        'doubled': totals['doubled'],
        'false_not_run': totals['false_not_run'],
        'claims_per_s': busiest['claims_per_s'],
        'store_writes_per_claim': busiest['store_writes_per_claim'],
        'added_ms_p50': variants['group'][0]['added_ms_p50'],
        'violations': count_violations() - violations,
        'faults': dict(totals),
        'variants': variants,
    }
    sys.stdout.write(f'{json.dumps(summary)}\n')


def _print_figures(variant: str, figures: dict[str, float]) -> None:
    _print_row(
        variant,
        str(figures['offered_per_s']),
        str(figures['claims_per_s']),
        str(figures['refused']),
        str(figures['store_writes_per_claim']),
        str(figures['added_ms_p50']),
    )


def _print_row(*cells: str) -> None:
    sys.stdout.write(f'{"".join(f"{cell:>14}" for cell in cells)}\n')


if __name__ == '__main__':
    main()
