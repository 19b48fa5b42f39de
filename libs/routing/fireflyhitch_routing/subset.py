"""Which replicas a daemon uses when there are too many to use all.

Every pair of daemon and replica has a hash weight. Pairs are taken from the
heaviest down, as long as the daemon has room and the replica is below its cover.
This is a stable matching, so a change of one member moves only few pairs, and the
cover is even, which plain rendezvous hashing does not give.
"""

import math
from collections import Counter
from collections.abc import Collection, Sequence
from operator import itemgetter

import xxhash

from fireflyhitch_model.ids import BackendServerId, DaemonId

# Each replica is used by this many daemons: one daemon's death leaves none unused
# and a replica's load comes from several independent choosers.
DEFAULT_COVER = 3
# A daemon uses at least so many replicas, to have a choice.
LEAST_SUBSET = 16


def choose_subset(
    daemon: DaemonId,
    daemons: Collection[DaemonId],
    replicas: Collection[BackendServerId],
    *,
    cover: int = DEFAULT_COVER,
    least: int = LEAST_SUBSET,
) -> frozenset[BackendServerId]:
    """Return the replicas that a daemon uses, the same on every daemon.

    :param daemon: the one asking; it may be missing from ``daemons``.
    :param daemons: the live daemons that share the replicas.
    :param cover: daemons for each replica at least.
    :param least: replicas for each daemon at least.
    """
    members = {*daemons, daemon}
    return choose_subsets(members, replicas, cover=cover, least=least)[daemon]


def choose_subsets(
    daemons: Collection[DaemonId],
    replicas: Collection[BackendServerId],
    *,
    cover: int = DEFAULT_COVER,
    least: int = LEAST_SUBSET,
) -> dict[DaemonId, frozenset[BackendServerId]]:
    """Return the subsets of all daemons; see :func:`choose_subset`."""
    if len(replicas) <= least:
        return dict.fromkeys(daemons, frozenset(replicas))
    count = len(daemons)
    cover = min(max(cover, math.ceil(least * count / len(replicas))), count)
    size = math.ceil(cover * len(replicas) / count)
    return _match(sorted(daemons), sorted(replicas), size, cover)


def _match(
    daemons: Sequence[DaemonId],
    replicas: Sequence[BackendServerId],
    size: int,
    cover: int,
) -> dict[DaemonId, frozenset[BackendServerId]]:
    pairs = [
        (_weigh(daemon, replica), daemon, replica)
        for daemon in daemons
        for replica in replicas
    ]
    pairs.sort(key=itemgetter(0), reverse=True)
    chosen: dict[DaemonId, set[BackendServerId]] = {one: set() for one in daemons}
    covered: Counter[BackendServerId] = Counter()
    for _, daemon, replica in pairs:
        if len(chosen[daemon]) < size and covered[replica] < cover:
            chosen[daemon].add(replica)
            covered[replica] += 1
    return {one: frozenset(picked) for one, picked in chosen.items()}


def _weigh(daemon: DaemonId, replica: BackendServerId) -> int:
    return xxhash.xxh3_64_intdigest(f'{daemon}\x00{replica}'.encode())
