"""A long randomised run of the ledger and of recovery, with invariants.

Each round draws a seed of its own from the run's seed, and runs both paths
with random faults in passed time. It stops at the first round that breaks a
promise and prints that round's seed: ``make soak SEED=<seed> SECONDS=1`` runs
the same round again, as the first of its run.
"""

import argparse
import json
import sys
import time
from collections import Counter
from datetime import timedelta

from loguru import logger

from fireflyhitch_bench.ledger_faults import run_faults
from fireflyhitch_bench.recovery_callers import CallerState
from fireflyhitch_bench.recovery_nodes import Node
from fireflyhitch_bench.recovery_world import DOMAINS, RecoveryWorld
from fireflyhitch_model.ids import BackendServerId, DaemonId, RequestId
from fireflyhitch_model.invariants import count_violations

BOOKINGS_A_ROUND = 150
CALLS_A_ROUND = 80
STEPS_A_ROUND = 160
NOTICES = (30, 10, 3)
PATIENCE = timedelta(seconds=90)
CALL_SHARE = 0.5
FAULT_SHARE = 0.04
MOST_NODES_DEAD = 3
PROMISES = ('doubled', 'false_not_run', 'false_ran', 'lost', 'mixed_up', 'violations')


class RecoveryRound:
    """One round of streams, reclaims, crashes and partitions.

    :ivar unprotected: requests whose daemon died without any notice, so that
        nobody else could have them; they end as told, not as answered. Also
        those whose daemon died early, and right after it the peer with the copy.
    :ivar engines_of: where the requests were placed whose daemon died before
        its time under notice. If that engine crashes too, nobody has what the
        caller has read since the last copy.
    """

    def __init__(self, seed: int) -> None:
        self.world = RecoveryWorld(seed)
        self.unprotected: set[RequestId] = set()
        self.engines_of: dict[RequestId, BackendServerId] = {}
        self.crashed: set[BackendServerId] = set()
        self.faults: Counter[str] = Counter()
        self._random = self.world.random
        self._reclaimed = False

    def run(self) -> Counter[str]:
        """Run the round and return what became of its requests."""
        for _ in range(STEPS_A_ROUND):
            wanted = len(self.world.callers) < CALLS_A_ROUND
            if wanted and self._random.random() < CALL_SHARE:
                self.world.call()
            if self._random.random() < FAULT_SHARE:
                self._strike()
            self.world.step()
        self.world.network.cut.clear()
        self.world.run_until_answered(PATIENCE)
        return self._count()

    def _strike(self) -> None:
        faults = (
            self._reclaim_domain,
            self._reclaim_daemon,
            self._reclaim_engine,
            self._crash_engine,
            self._crash_daemon,
            self._crash_leaving_daemon,
            self._cut_links,
            self.world.network.cut.clear,
        )
        fault = self._random.choice(faults)
        self.faults[fault.__name__.strip('_')] += 1
        fault()

    def _draw_notice(self) -> timedelta:
        return timedelta(seconds=self._random.choice(NOTICES))

    def _reclaim_domain(self) -> None:
        if self._reclaimed or self._count_gone() > 0:
            return
        self._reclaimed = True
        self.world.reclaim_domain(self._random.choice(DOMAINS), self._draw_notice())

    def _reclaim_daemon(self) -> None:
        node = self._draw_node()
        if node is not None:
            self.world.reclaim_daemon(node, self._draw_notice())

    def _reclaim_engine(self) -> None:
        engine = self._random.choice(self.world.engines)
        if engine.alive and engine.leaves_at is None and self._count_engines() > 2:
            self.world.reclaim_engine(engine, self._draw_notice())

    def _crash_engine(self) -> None:
        engine = self._random.choice(self.world.engines)
        if self._count_engines() > 2:
            engine.alive = False
            self.crashed.add(engine.server_id)

    def _crash_daemon(self) -> None:
        node = self._draw_node()
        if node is None:
            return
        self.unprotected.update(
            tracked.accepted.call.request_id for tracked in node.in_flight.list()
        )
        node.die()
        # Copies whose own daemon died just before, so that nobody has them.
        answered = {
            tracked.accepted.call.request_id
            for alive in self.world.list_alive()
            for tracked in alive.in_flight.list()
        }
        kept = node.hand_over.handover_receiver.list_unconfirmed()
        self.unprotected.update(one for one in kept if one not in answered)

    def _crash_leaving_daemon(self) -> None:
        # Under notice, so nothing of it may be lost.
        leaving = [node for node in self.world.list_alive() if not node.drain.ready]
        if not leaving:
            return
        node = self._random.choice(leaving)
        for tracked in node.in_flight.list():
            if tracked.placement is not None:
                request_id = tracked.accepted.call.request_id
                self.engines_of[request_id] = tracked.placement.server_id
        node.die()

    def _cut_links(self) -> None:
        names: list[DaemonId] = list(self.world.nodes)
        one = self._random.choice(names)
        other = self._random.choice(names)
        if one != other:
            self.world.network.disconnect(one, other)

    def _draw_node(self) -> Node | None:
        if self._count_gone() >= MOST_NODES_DEAD:
            return None
        return self.world.choose_entry()

    def _count_gone(self) -> int:
        ready = [node for node in self.world.list_alive() if node.drain.ready]
        return len(self.world.nodes) - len(ready)

    def _count_engines(self) -> int:
        staying = [
            engine
            for engine in self.world.engines
            if engine.alive and engine.leaves_at is None
        ]
        return len(staying)

    def _is_excused(self, request_id: RequestId) -> bool:
        if request_id in self.unprotected:
            return True
        return self.engines_of.get(request_id) in self.crashed

    def _count(self) -> Counter[str]:
        totals: Counter[str] = Counter(accepted=len(self.world.callers))
        for caller in self.world.callers:
            totals['mixed_up'] += caller.mixed_up
            if caller.state is CallerState.ANSWERED:
                totals['answered'] += 1
            elif self._is_excused(caller.request_id):
                totals['told_lost'] += 1
            else:
                totals['lost'] += 1
        totals.update(self.faults)
        return totals


def run_round(seed: int) -> Counter[str]:
    """Run both paths once and return all counts."""
    violations = count_violations()
    totals = run_faults(seed, BOOKINGS_A_ROUND)
    totals.update(RecoveryRound(seed).run())
    totals['violations'] = count_violations() - violations
    return totals


def find_broken(totals: Counter[str]) -> list[str]:
    """Return the promises that a round broke."""
    return [promise for promise in PROMISES if totals[promise]]


def run_soak(seed: int, seconds: float) -> tuple[Counter[str], int | None]:
    """Run rounds until the time is over or one of them breaks a promise.

    :returns: the counts, and the seed of the round that failed.
    """
    totals: Counter[str] = Counter()
    ends = time.monotonic() + seconds
    number = 0
    while not number or time.monotonic() < ends:
        round_totals = run_round(seed + number)
        totals.update(round_totals)
        totals['rounds'] += 1
        if find_broken(round_totals):
            return totals, seed + number
        number += 1
    return totals, None


def main() -> int:
    """Run the soak and return the process's exit code."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument('--seed', type=int, default=1)
    parser.add_argument('--seconds', type=float, default=60)
    options = parser.parse_args()
    logger.remove()
    totals, failed = run_soak(options.seed, options.seconds)
    if failed is not None:
        sys.stdout.write(f'failed with seed {failed}: {find_broken(totals)}\n')
    summary = {
        'clean': failed is None,
        'seed': options.seed,
        'failed_seed': failed,
        **{promise: totals[promise] for promise in PROMISES},
        **dict(totals),
    }
    sys.stdout.write(f'{json.dumps(summary)}\n')
    return 0 if failed is None else 1


if __name__ == '__main__':
    sys.exit(main())
