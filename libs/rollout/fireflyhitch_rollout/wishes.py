"""What a change of the operators' configuration does to a move: pure functions.

Each conflicting change in the middle of a move has one result:

- move taken out: undone, cancelled;
- another version named, or another current version: undone, replaced, and the
  move to the new one begins;
- the new version made the current one: done, confirmed by the operator;
- date put off: the move goes on; date brought forward: the move goes on in the
  time left, or is undone if its way back no longer fits;
- a version that was taken back for a fault named again: undone at once.
"""

from datetime import datetime, timedelta

from fireflyhitch_model.ids import VersionId
from fireflyhitch_rollout.records import MoveEndReason, MoveRecord, MoveState
from fireflyhitch_rollout.schedule import end
from fireflyhitch_settings.schema import Deployment, VersionMove

LEAST_GAP = timedelta(milliseconds=1)


def follow(
    record: MoveRecord | None,
    deployment: Deployment,
    configured: int,
    now: datetime,
    way_back: timedelta,
) -> MoveRecord | None:
    """Return the move's record under a configuration.

    :param record: the latest move, if there was one.
    :param configured: the configuration's revision.
    :param way_back: how long before its date a move can be taken back.
    """
    if record is None:
        return _begin(None, deployment, configured, now)
    if configured < record.configured:
        return record
    if record.has_ended:
        settled = _settle(record, deployment, configured)
        return _begin(settled, deployment, configured, now)
    return _adapt(record, deployment, configured, now + way_back)


def find_base(record: MoveRecord | None, deployment: Deployment) -> VersionId:
    """Return the version that serves what no move shifts.

    The configuration may go on to name the old version as the current one
    after a move was done; only when it names another is it obeyed.
    """
    if record is None or deployment.version != record.named:
        return deployment.version
    return record.serving


def _settle(record: MoveRecord, deployment: Deployment, configured: int) -> MoveRecord:
    if deployment.version == record.named:
        return record
    changes = {'named': deployment.version, 'settled': deployment.version}
    return record.model_copy(update={**changes, 'configured': configured})


def _adapt(
    record: MoveRecord, deployment: Deployment, configured: int, reach: datetime
) -> MoveRecord:
    move = deployment.move
    if deployment.version == record.to_version:
        return _end(record, MoveState.DONE, MoveEndReason.CONFIRMED, configured)
    if move is None:
        return _end(record, MoveState.ROLLED_BACK, MoveEndReason.CANCELLED, configured)
    if (move.to_version, deployment.version) != (record.to_version, record.named):
        return _end(record, MoveState.ROLLED_BACK, MoveEndReason.REPLACED, configured)
    if move.move_by == record.move_by:
        return record
    changes = {'move_by': move.move_by, 'configured': configured}
    moved = record.model_copy(update=changes)
    if reach >= move.move_by:
        return end(moved, MoveState.ROLLED_BACK, MoveEndReason.BROUGHT_FORWARD)
    return moved


def _begin(
    record: MoveRecord | None, deployment: Deployment, configured: int, now: datetime
) -> MoveRecord | None:
    move = deployment.move
    base = find_base(record, deployment)
    if move is None or move.to_version == base or _is_same(record, move):
        return record
    withdrawn = record.withdrawn if record else ()
    # Holders' clocks differ; a later move must not seem to be the earlier one.
    started = max(now, record.started + LEAST_GAP) if record else now
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
        return end(begun, MoveState.ROLLED_BACK, MoveEndReason.FAULTY_BEFORE)
    return begun


def _is_same(record: MoveRecord | None, move: VersionMove) -> bool:
    if record is None:
        return False
    return (record.to_version, record.move_by) == (move.to_version, move.move_by)


def _end(
    record: MoveRecord, state: MoveState, reason: MoveEndReason, configured: int
) -> MoveRecord:
    ended = end(record, state, reason)
    return ended.model_copy(update={'configured': configured})
