"""Subsetting: chooses the replicas that a daemon uses when there are too many for all.

Every pair of daemon and replica has a hash weight. Pairs are chosen in order of
descending weight while the daemon's subset is not full and the replica is below its
coverage. This is a stable matching: a change of one member changes only few pairs, and
unlike plain rendezvous hashing it covers the replicas evenly.
"""

import math
from collections import Counter
from collections.abc import Collection, Sequence
from operator import itemgetter

import xxhash

from fireflyhitch_model.ids import BackendServerId, DaemonId

# Each replica is used by this many daemons: none becomes unused when one daemon fails,
# and a replica's load comes from several independent daemons.
DEFAULT_COVERAGE = 3
# A daemon uses at least this many replicas, to have a choice.
MIN_SUBSET = 16


def choose_subset(
    daemon: DaemonId,
    daemons: Collection[DaemonId],
    replicas: Collection[BackendServerId],
    *,
    coverage: int = DEFAULT_COVERAGE,
    min_size: int = MIN_SUBSET,
) -> frozenset[BackendServerId]:
    """Return the replicas that a daemon uses; all daemons compute the same result.

    :param daemon: the daemon to choose for; it may be missing from ``daemons``.
    :param daemons: the live daemons that share the replicas.
    :param coverage: minimum number of daemons per replica.
    :param min_size: minimum number of replicas per daemon.
    """
    members = {*daemons, daemon}
    return choose_subsets(members, replicas, coverage=coverage, min_size=min_size)[
        daemon
    ]


def choose_subsets(
    daemons: Collection[DaemonId],
    replicas: Collection[BackendServerId],
    *,
    coverage: int = DEFAULT_COVERAGE,
    min_size: int = MIN_SUBSET,
) -> dict[DaemonId, frozenset[BackendServerId]]:
    """Return the subset of each daemon; see :func:`choose_subset`."""
    if len(replicas) <= min_size:
        return dict.fromkeys(daemons, frozenset(replicas))
    count = len(daemons)
    coverage = min(max(coverage, math.ceil(min_size * count / len(replicas))), count)
    size = math.ceil(coverage * len(replicas) / count)
    return _match(sorted(daemons), sorted(replicas), size, coverage)


def _match(
    daemons: Sequence[DaemonId],
    replicas: Sequence[BackendServerId],
    size: int,
    coverage: int,
) -> dict[DaemonId, frozenset[BackendServerId]]:
    pairs = [
        (_weigh(daemon, replica), daemon, replica)
        for daemon in daemons
        for replica in replicas
    ]
    pairs.sort(key=itemgetter(0), reverse=True)
    chosen: dict[DaemonId, set[BackendServerId]] = {one: set() for one in daemons}
    usage_counts: Counter[BackendServerId] = Counter()
    for _, daemon, replica in pairs:
        if len(chosen[daemon]) < size and usage_counts[replica] < coverage:
            chosen[daemon].add(replica)
            usage_counts[replica] += 1
    return {one: frozenset(subset) for one, subset in chosen.items()}


def _weigh(daemon: DaemonId, replica: BackendServerId) -> int:
    return xxhash.xxh3_64_intdigest(f'{daemon}\x00{replica}'.encode())
