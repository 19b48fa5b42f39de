"""Chooses a server for a plain request; pure functions of the servers' records.

Plain services run a few requests at once and queue the rest. This answers bursts of
short requests at many daemons with late load information.
"""

import random
from collections.abc import Sequence
from typing import NamedTuple

from fireflyhitch_serving.placement import Locality, Placement, has_place
from fireflyhitch_serving.servers import ServerRecord

# A local server is preferred while less than this fraction of its slots is used.
MAX_LOCAL_FRACTION = 0.75
# A local server is not preferred if work takes longer there by more than this factor than
# at the fastest server.
MAX_LOCAL_TIME_RATIO = 1.3
# Plain servers are weighted by this power of their speed. With equal utilization, the
# requests at a slow server would wait longer than those at a fast one.
SPEED_EXPONENT = 1.5
# Counted as free at a server whose slots are all used.
MIN_FREE_SLOTS = 0.5


class _Load(NamedTuple):
    """A server, the number of its slots that are used, and its time factor."""

    record: ServerRecord
    used: int
    time_factor: float


def place_plain(
    records: Sequence[ServerRecord],
    locality: Locality,
    now: float,
    rng: random.Random,
) -> Placement | None:
    """Choose a server at random, by its free slots, preferably a local one.

    A request takes less time than news of it takes to reach the other daemons. If all
    sent to the server that had the most free slots, it would be full a moment later, and
    the others idle.

    :returns: ``None`` if enough requests wait at all servers.
    """
    loads = [
        _Load(record, _count_used_slots(record, now), record.time_factor.estimate(now))
        for record in records
    ]
    loads = [load for load in loads if has_place(load.record, load.used)]
    candidates = _select_near(loads, locality)
    if not candidates:
        return None
    weights = [
        max(record.server.slots - used, MIN_FREE_SLOTS)
        / (record.slowness * factor**SPEED_EXPONENT)
        for record, used, factor in candidates
    ]
    record, used, _ = rng.choices(candidates, weights)[0]
    return Placement(record, 0, 0, used, 0, record.time_factor.describe(now))


def _select_near(loads: Sequence[_Load], locality: Locality) -> Sequence[_Load]:
    """Return the local servers with free slots, or else all that are reachable.

    Local servers that are slow at the moment are not preferred.
    """
    reachable = [
        load
        for load in loads
        if load.record.server.failure_domain not in locality.unreachable_domains
    ]
    fastest = min((load.time_factor for load in reachable), default=1)
    local = [
        load
        for load in loads
        if load.record.server.failure_domain == locality.own_domain
        and load.used < load.record.server.slots * MAX_LOCAL_FRACTION
        and load.time_factor <= fastest * MAX_LOCAL_TIME_RATIO
    ]
    return local or reachable or loads


def _count_used_slots(record: ServerRecord, now: float) -> int:
    used_slots = record.total(now).requests
    load = record.find_fresh_load(now)
    if load is not None:
        used_slots = max(used_slots, record.requests + load.waiting)
    return used_slots
