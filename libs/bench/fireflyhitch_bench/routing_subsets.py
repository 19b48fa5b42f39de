"""Ways to give daemons subsets of replicas: churn and evenness at size."""

from collections.abc import Callable
from dataclasses import dataclass
from itertools import pairwise

from fireflyhitch_model.hashing import rank_by_hash
from fireflyhitch_model.ids import BackendServerId, DaemonId
from fireflyhitch_routing.subset import choose_subsets

DAEMONS = 42
REPLICAS = 526
# Changes that are measured, one member each.
CHANGES = 3

Subsets = dict[DaemonId, frozenset[BackendServerId]]
Divide = Callable[[list[DaemonId], list[BackendServerId]], Subsets]


@dataclass(frozen=True, slots=True)
class SubsetMeasure:
    """Figures of one way.

    :param unused: replicas that no daemon uses.
    :param highest: the highest load of a replica, the mean being 1, if each
        daemon spreads equal work evenly over its subset.
    :param daemon_churn: share of a daemon's subset that changes when another
        daemon goes.
    :param replica_churn: the same when a replica goes, that one not counted.
    """

    unused: int
    lowest: float
    highest: float
    daemon_churn: float
    replica_churn: float


def match(daemons: list[DaemonId], replicas: list[BackendServerId]) -> Subsets:
    """Return the subsets as the product has them."""
    return choose_subsets(daemons, replicas)


def rank(daemons: list[DaemonId], replicas: list[BackendServerId]) -> Subsets:
    """Return each daemon's replicas of the highest rendezvous weight."""
    size = _size_of(daemons, replicas)
    return {one: frozenset(rank_by_hash(one, replicas)[:size]) for one in daemons}


def slice_ring(daemons: list[DaemonId], replicas: list[BackendServerId]) -> Subsets:
    """Return equal arcs of a ring of replicas, by the daemon's position."""
    size = _size_of(daemons, replicas)
    step = len(replicas) / len(daemons)
    twice = replicas * 2
    return {
        daemon: frozenset(twice[int(number * step) : int(number * step) + size])
        for number, daemon in enumerate(daemons)
    }


WAYS: dict[str, Divide] = {
    'highest rendezvous weight': rank,
    'arcs of a ring': slice_ring,
    'matching by weight': match,
}


def measure_subsets(divide: Divide) -> SubsetMeasure:
    """Measure one way at 42 daemons by 526 replicas."""
    daemons = [DaemonId(f'daemon-{number:02}') for number in range(DAEMONS)]
    replicas = [BackendServerId(f'replica-{number:03}') for number in range(REPLICAS)]
    load = dict.fromkeys(replicas, 0.0)
    for subset in divide(daemons, replicas).values():
        for replica in subset:
            load[replica] += REPLICAS / DAEMONS / len(subset)
    fewer_daemons = [divide(daemons[gone:], replicas) for gone in range(CHANGES + 1)]
    fewer_replicas = [divide(daemons, replicas[gone:]) for gone in range(CHANGES + 1)]
    return SubsetMeasure(
        unused=sum(1 for used in load.values() if not used),
        lowest=min(load.values()),
        highest=max(load.values()),
        daemon_churn=_mean_churn(fewer_daemons),
        replica_churn=_mean_churn(fewer_replicas),
    )


def _size_of(daemons: list[DaemonId], replicas: list[BackendServerId]) -> int:
    return len(choose_subsets(daemons, replicas)[daemons[0]])


def _mean_churn(rows: list[Subsets]) -> float:
    shares = [
        len(after[daemon] - before[daemon]) / len(after[daemon])
        for before, after in pairwise(rows)
        for daemon in after
    ]
    return sum(shares) / len(shares)
