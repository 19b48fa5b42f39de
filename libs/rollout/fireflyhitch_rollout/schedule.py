"""Schedule of a move: its phases, shares and end, as pure functions."""

from dataclasses import dataclass
from datetime import datetime, timedelta

from fireflyhitch_rollout.records import MoveEndReason, MoveRecord, MoveState

# Time until every reachable daemon applies a withdrawal.
PROPAGATION_TIME = timedelta(seconds=10)
# Load during a burst relative to the usual load, to cover traffic peaks.
PEAK_FACTOR = 1.25


@dataclass(frozen=True, slots=True)
class MovePolicy:
    """How a move uses the time until its deadline.

    The base share and the bursts together expose 1.6% of the traffic until there
    is a verdict, below the guaranteed maximum of 2%.

    :param trial_fraction: fraction of the time used by the trial; late faults
        show up in it, at a small share.
    :param finish_fraction: fraction of the time after which the move should be
        done; the rest is slack for reclaim waves, refused starts and outages.
    :param max_duration: maximum duration of a move, however late its deadline.
    :param base_share: traffic share during the trial.
    :param burst_fraction: fraction of the traffic that bursts take, averaged over
        ``burst_period``.
    :param max_burst_share: maximum traffic share during a burst.
    :param steps: shares after the trial. The last one leaves half of the traffic
        on the old version: without it, a disturbance of both versions would look
        like a fault of the new one.
    :param min_calls: calls that the new version needs before the trial ends.
    :param step_calls: calls that the new version needs in each step.
    """

    trial_fraction: float = 0.6
    finish_fraction: float = 0.8
    max_duration: timedelta = timedelta(hours=6)
    base_share: float = 0.006
    burst_fraction: float = 0.01
    burst_period: timedelta = timedelta(minutes=7)
    max_burst_share: float = 0.5
    steps: tuple[float, ...] = (0.04, 0.1, 0.25, 0.5)
    min_calls: int = 40
    step_calls: int = 30


@dataclass(frozen=True, slots=True)
class MoveConditions:
    """Input to the next step of a move.

    :param rollback_deadline: latest time to start a rollback.
    :param finish_by: target time of the move: the rollback deadline that would apply
        if old servers were lost and had to be started first.
    :param capacity: fraction of the traffic that the ready servers of the new
        version can carry.
    :param old_servers: number of ready servers of the old version.
    :param proven: whether the new version had enough calls on each route.
    :param phase_calls: calls of the new version since the phase began.
    """

    now: datetime
    rollback_deadline: datetime
    finish_by: datetime
    capacity: float
    old_servers: int
    proven: bool
    phase_calls: int


def find_rollback_time(
    old_servers: int, needed: int, start_time: timedelta
) -> timedelta:
    """Return the time that a rollback takes.

    :param old_servers: number of ready servers of the old version.
    :param needed: number of servers that the present traffic needs.
    :param start_time: time from ordering a server until it is ready.
    """
    if old_servers >= needed:
        return PROPAGATION_TIME
    return PROPAGATION_TIME + start_time


def advance(
    record: MoveRecord, conditions: MoveConditions, policy: MovePolicy
) -> MoveRecord:
    """Return the record after the transition that is due, or the same record.

    A move that is not done at its rollback deadline is rolled back regardless of the
    evidence: later, a rollback could no longer finish by the move's deadline.
    """
    if record.has_ended:
        return record
    if conditions.now >= conditions.rollback_deadline:
        return end_move(
            record, MoveState.ROLLED_BACK, _find_late_reason(record, conditions)
        )
    if record.state is MoveState.STARTING:
        return _begin_trial(record, conditions)
    if record.state is MoveState.TRIAL:
        return _advance_trial(record, conditions, policy)
    return _advance_shift(record, conditions, policy)


def end_move(record: MoveRecord, state: MoveState, reason: MoveEndReason) -> MoveRecord:
    """Return the record in a final state."""
    return record.model_copy(update={'state': state, 'reason': reason})


def find_share(record: MoveRecord, old_servers: int, policy: MovePolicy) -> float:
    """Return the new version's traffic share according to a record."""
    if record.state is MoveState.TRIAL:
        if record.burst % 2:
            return find_burst_share(old_servers, policy)
        return policy.base_share
    if record.state is MoveState.SHIFTING:
        return policy.steps[min(record.step, len(policy.steps) - 1)]
    return 1 if record.state is MoveState.DONE else 0


def find_burst_share(old_servers: int, policy: MovePolicy) -> float:
    """Return the share that loads one new server like an old one at its peak."""
    usual = min(policy.max_burst_share, PEAK_FACTOR / max(old_servers, 1))
    return max(usual, policy.base_share)


def find_burst_length(old_servers: int, policy: MovePolicy) -> timedelta:
    """Return the burst duration that keeps exposure within ``burst_fraction``."""
    share = find_burst_share(old_servers, policy)
    return policy.burst_period * policy.burst_fraction / share


def _find_late_reason(record: MoveRecord, conditions: MoveConditions) -> MoveEndReason:
    if record.state is MoveState.STARTING:
        return MoveEndReason.NEVER_READY
    if record.state is MoveState.TRIAL and not conditions.proven:
        return MoveEndReason.UNPROVEN
    return MoveEndReason.LATE


def _begin_trial(record: MoveRecord, conditions: MoveConditions) -> MoveRecord:
    if conditions.capacity <= 0:
        return record
    return _enter(record, conditions, state=MoveState.TRIAL)


def _advance_trial(
    record: MoveRecord, conditions: MoveConditions, policy: MovePolicy
) -> MoveRecord:
    is_long_enough = conditions.now >= _find_trial_end(record, conditions, policy)
    has_capacity = conditions.capacity >= policy.steps[0]
    if is_long_enough and has_capacity and conditions.proven:
        return _enter(record, conditions, state=MoveState.SHIFTING, step=0, burst=0)
    if find_burst_share(conditions.old_servers, policy) <= policy.base_share:
        return record
    length = find_burst_length(conditions.old_servers, policy)
    in_burst = record.burst % 2 == 1
    wait = length if in_burst else policy.burst_period - length
    if conditions.now - record.phase_began < wait:
        return record
    return _enter(record, conditions, burst=record.burst + 1)


def _advance_shift(
    record: MoveRecord, conditions: MoveConditions, policy: MovePolicy
) -> MoveRecord:
    finish = (
        record.started
        + _find_usable_time(record, conditions, policy) * policy.finish_fraction
    )
    steps_left = len(policy.steps) - record.step
    step_duration = max((finish - record.phase_began) / steps_left, PROPAGATION_TIME)
    if conditions.now - record.phase_began < step_duration:
        return record
    if conditions.phase_calls < policy.step_calls:
        return record
    if record.step + 1 >= len(policy.steps):
        if conditions.capacity < 1:
            return record
        return end_move(record, MoveState.DONE, MoveEndReason.PROVEN)
    if conditions.capacity < policy.steps[record.step + 1]:
        return record
    return _enter(record, conditions, step=record.step + 1)


def _find_usable_time(
    record: MoveRecord, conditions: MoveConditions, policy: MovePolicy
) -> timedelta:
    available_time = conditions.rollback_deadline - record.started
    target_time = conditions.finish_by - record.started
    return min(
        max(target_time, available_time / 2), available_time, policy.max_duration
    )


def _find_trial_end(
    record: MoveRecord, conditions: MoveConditions, policy: MovePolicy
) -> datetime:
    return (
        record.started
        + _find_usable_time(record, conditions, policy) * policy.trial_fraction
    )


def _enter(
    record: MoveRecord,
    conditions: MoveConditions,
    *,
    state: MoveState | None = None,
    step: int | None = None,
    burst: int | None = None,
) -> MoveRecord:
    return record.model_copy(
        update={
            'phase_began': conditions.now,
            'state': record.state if state is None else state,
            'step': record.step if step is None else step,
            'burst': record.burst if burst is None else burst,
        }
    )
