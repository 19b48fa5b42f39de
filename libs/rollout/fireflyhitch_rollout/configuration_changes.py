"""The effect of configuration changes on a move, as pure functions.

A change during a move that conflicts with it has one of these results:

- the move is removed: rolled back, cancelled;
- another target or current version is named: rolled back, replaced, and the move
  to the new target starts;
- the new version is made the current one: done, confirmed by the operator;
- the deadline is postponed: the move continues; it is brought forward: the move
  continues in the remaining time, or is rolled back if a rollback would not fit;
- a version that was withdrawn for a fault is named again: rolled back immediately.
"""

from datetime import datetime, timedelta

from fireflyhitch_model.ids import VersionId
from fireflyhitch_rollout.records import MoveEndReason, MoveRecord, MoveState
from fireflyhitch_rollout.schedule import end_move
from fireflyhitch_settings.schema import Deployment, VersionMove

MIN_START_GAP = timedelta(milliseconds=1)


def apply_configuration(
    record: MoveRecord | None,
    deployment: Deployment,
    configured: int,
    now: datetime,
    rollback_time: timedelta,
) -> MoveRecord | None:
    """Return the record after applying a configuration.

    :param record: the latest move, if any.
    :param configured: revision of the configuration.
    :param rollback_time: time that a rollback takes.
    """
    if record is None:
        return _begin_move(None, deployment, configured, now)
    if configured < record.configured:
        return record
    if record.has_ended:
        settled = _update_named_version(record, deployment, configured)
        return _begin_move(settled, deployment, configured, now)
    return _update_running_move(record, deployment, configured, now + rollback_time)


def find_base_version(record: MoveRecord | None, deployment: Deployment) -> VersionId:
    """Return the version that serves the traffic that no move shifts.

    After a move is done, the configuration may still name the old version as the
    current one. That entry is ignored until the configuration names another version.
    """
    if record is None or deployment.version != record.named:
        return deployment.version
    return record.serving_version


def _update_named_version(
    record: MoveRecord, deployment: Deployment, configured: int
) -> MoveRecord:
    if deployment.version == record.named:
        return record
    changes = {'named': deployment.version, 'settled': deployment.version}
    return record.model_copy(update={**changes, 'configured': configured})


def _update_running_move(
    record: MoveRecord, deployment: Deployment, configured: int, rollback_by: datetime
) -> MoveRecord:
    move = deployment.move
    if deployment.version == record.to_version:
        return _end_move(record, MoveState.DONE, MoveEndReason.CONFIRMED, configured)
    if move is None:
        return _end_move(
            record, MoveState.ROLLED_BACK, MoveEndReason.CANCELLED, configured
        )
    if (move.to_version, deployment.version) != (record.to_version, record.named):
        return _end_move(
            record, MoveState.ROLLED_BACK, MoveEndReason.REPLACED, configured
        )
    if move.move_by == record.move_by:
        return record
    changes = {'move_by': move.move_by, 'configured': configured}
    moved = record.model_copy(update=changes)
    if rollback_by >= move.move_by:
        return end_move(moved, MoveState.ROLLED_BACK, MoveEndReason.BROUGHT_FORWARD)
    return moved


def _begin_move(
    record: MoveRecord | None, deployment: Deployment, configured: int, now: datetime
) -> MoveRecord | None:
    move = deployment.move
    base = find_base_version(record, deployment)
    if move is None or move.to_version == base or _is_same(record, move):
        return record
    withdrawn = record.withdrawn if record else ()
    # The clocks of duty holders differ, but records are ordered by their start.
    started = max(now, record.started + MIN_START_GAP) if record else now
    begun = MoveRecord(
        deployment=deployment.name,
        from_version=base,
        to_version=move.to_version,
        move_by=move.move_by,
        named=deployment.version,
        configured=configured,
        started=started,
        phase_began=started,
        withdrawn=withdrawn,
    )
    if move.to_version in withdrawn:
        return end_move(begun, MoveState.ROLLED_BACK, MoveEndReason.FAULTY_BEFORE)
    return begun


def _is_same(record: MoveRecord | None, move: VersionMove) -> bool:
    if record is None:
        return False
    return (record.to_version, record.move_by) == (move.to_version, move.move_by)


def _end_move(
    record: MoveRecord, state: MoveState, reason: MoveEndReason, configured: int
) -> MoveRecord:
    ended = end_move(record, state, reason)
    return ended.model_copy(update={'configured': configured})
