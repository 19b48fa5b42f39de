"""When a move goes on, when it ends, and what share it gives: pure functions."""

from dataclasses import dataclass
from datetime import datetime, timedelta

from fireflyhitch_rollout.records import MoveEndReason, MoveRecord, MoveState

# From a withdrawal until every daemon that can be reached follows it.
SPREAD_TIME = timedelta(seconds=10)
# How far a burst goes above the usual load, as the traffic's peaks do.
PEAK = 1.25


@dataclass(frozen=True, slots=True)
class MovePolicy:
    """How a move uses the time until its date.

    The base share and the bursts together expose 1.6% of the traffic while
    there is no verdict, which leaves room below the 2% that is promised.

    :param trial_part: part of the time that the trial takes; faults that come
        late show in it, at a small share.
    :param finish_part: part of the time at which the move aims to be done; the
        rest is for reclaim waves, refused starts and outages near the end.
    :param longest: the longest that a move takes, however far off its date is.
    :param base_share: share of the traffic during the trial.
    :param burst_fraction: part of the traffic that bursts take over their period.
    :param burst_share: most that a burst takes.
    :param steps: shares after the trial. The last leaves the old version half,
        without which a shock to both would look like a fault.
    :param min_calls: calls that the new version needs before the trial ends.
    :param step_calls: calls of the new version that each step needs.
    """

    trial_part: float = 0.6
    finish_part: float = 0.8
    longest: timedelta = timedelta(hours=6)
    base_share: float = 0.006
    burst_fraction: float = 0.01
    burst_period: timedelta = timedelta(minutes=7)
    burst_share: float = 0.5
    steps: tuple[float, ...] = (0.04, 0.1, 0.25, 0.5)
    min_calls: int = 40
    step_calls: int = 30


@dataclass(frozen=True, slots=True)
class Situation:
    """What a move's next step depends on.

    :param last_return: the latest time for taking the move back.
    :param finish_by: the last return if old servers were lost meanwhile, which
        the move aims at.
    :param capacity: part of the traffic that the new version's ready servers
        can carry.
    :param old_servers: servers that carry the whole traffic.
    :param proven: whether each route had enough calls on the new version.
    :param phase_calls: the new version's calls since the phase began.
    """

    now: datetime
    last_return: datetime
    finish_by: datetime
    capacity: float
    old_servers: int
    proven: bool
    phase_calls: int


def find_way_back(old_servers: int, needed: int, start_time: timedelta) -> timedelta:
    """Return how long before its date a move can be taken back at the latest.

    :param old_servers: servers of the old version that are ready.
    :param needed: servers that carry the present traffic.
    :param start_time: from ordering a server to its being ready.
    """
    if old_servers >= needed:
        return SPREAD_TIME
    return SPREAD_TIME + start_time


def advance(record: MoveRecord, situation: Situation, policy: MovePolicy) -> MoveRecord:
    """Return the record after what is due now, or the same one.

    A move that is not done when its last return comes is undone, whatever
    the evidence says: later it could no longer be taken back by its date.
    """
    if record.has_ended:
        return record
    if situation.now >= situation.last_return:
        return end(record, MoveState.ROLLED_BACK, _explain_lateness(record, situation))
    if record.state is MoveState.STARTING:
        return _begin_trial(record, situation)
    if record.state is MoveState.TRIAL:
        return _try_on(record, situation, policy)
    return _shift(record, situation, policy)


def end(record: MoveRecord, state: MoveState, reason: MoveEndReason) -> MoveRecord:
    """Return the record of the move's end."""
    return record.model_copy(update={'state': state, 'reason': reason})


def find_share(record: MoveRecord, old_servers: int, policy: MovePolicy) -> float:
    """Return the new version's share that a record stands for."""
    if record.state is MoveState.TRIAL:
        if record.burst % 2:
            return find_burst_share(old_servers, policy)
        return policy.base_share
    if record.state is MoveState.SHIFTING:
        return policy.steps[min(record.step, len(policy.steps) - 1)]
    return 1 if record.state is MoveState.DONE else 0


def find_burst_share(old_servers: int, policy: MovePolicy) -> float:
    """Return the share that loads one new server as the old ones are loaded."""
    usual = min(policy.burst_share, PEAK / max(old_servers, 1))
    return max(usual, policy.base_share)


def find_burst_length(old_servers: int, policy: MovePolicy) -> timedelta:
    """Return how long a burst may last, so that its calls stay within bounds."""
    share = find_burst_share(old_servers, policy)
    return policy.burst_period * policy.burst_fraction / share


def _explain_lateness(record: MoveRecord, situation: Situation) -> MoveEndReason:
    if record.state is MoveState.STARTING:
        return MoveEndReason.NEVER_READY
    if record.state is MoveState.TRIAL and not situation.proven:
        return MoveEndReason.UNPROVEN
    return MoveEndReason.LATE


def _begin_trial(record: MoveRecord, situation: Situation) -> MoveRecord:
    if situation.capacity <= 0:
        return record
    return _enter(record, situation, state=MoveState.TRIAL)


def _try_on(record: MoveRecord, situation: Situation, policy: MovePolicy) -> MoveRecord:
    is_long_enough = situation.now >= _find_trial_end(record, situation, policy)
    has_room = situation.capacity >= policy.steps[0]
    if is_long_enough and has_room and situation.proven:
        return _enter(record, situation, state=MoveState.SHIFTING, step=0, burst=0)
    if find_burst_share(situation.old_servers, policy) <= policy.base_share:
        return record
    length = find_burst_length(situation.old_servers, policy)
    in_burst = record.burst % 2 == 1
    wait = length if in_burst else policy.burst_period - length
    if situation.now - record.phase_began < wait:
        return record
    return _enter(record, situation, burst=record.burst + 1)


def _shift(record: MoveRecord, situation: Situation, policy: MovePolicy) -> MoveRecord:
    finish = record.started + _usable(record, situation, policy) * policy.finish_part
    steps_left = len(policy.steps) - record.step
    stay = max((finish - record.phase_began) / steps_left, SPREAD_TIME)
    if situation.now - record.phase_began < stay:
        return record
    if situation.phase_calls < policy.step_calls:
        return record
    if record.step + 1 >= len(policy.steps):
        if situation.capacity < 1:
            return record
        return end(record, MoveState.DONE, MoveEndReason.PROVEN)
    if situation.capacity < policy.steps[record.step + 1]:
        return record
    return _enter(record, situation, step=record.step + 1)


def _usable(record: MoveRecord, situation: Situation, policy: MovePolicy) -> timedelta:
    left = situation.last_return - record.started
    aim = situation.finish_by - record.started
    return min(max(aim, left / 2), left, policy.longest)


def _find_trial_end(
    record: MoveRecord, situation: Situation, policy: MovePolicy
) -> datetime:
    return record.started + _usable(record, situation, policy) * policy.trial_part


def _enter(
    record: MoveRecord,
    situation: Situation,
    *,
    state: MoveState | None = None,
    step: int | None = None,
    burst: int | None = None,
) -> MoveRecord:
    return record.model_copy(
        update={
            'phase_began': situation.now,
            'state': record.state if state is None else state,
            'step': record.step if step is None else step,
            'burst': record.burst if burst is None else burst,
        }
    )
