"""Manages the version moves of all deployments at one daemon."""

from collections.abc import Mapping, Sequence
from dataclasses import dataclass, field
from datetime import timedelta
from threading import RLock

from loguru import logger

from fireflyhitch_fleet.duties import DutyManager
from fireflyhitch_fleet.needs import VersionNeed
from fireflyhitch_model.clock import Clock
from fireflyhitch_model.ids import (
    DaemonId,
    DeploymentId,
    DutyId,
    FencingNumber,
    VersionId,
)
from fireflyhitch_model.invariants import Invariant, invariant
from fireflyhitch_model.peers import Daemon, PeerMessenger, Scope
from fireflyhitch_model.states import Step
from fireflyhitch_platform.keyvalue import KeyValueStore
from fireflyhitch_rollout.configuration_changes import (
    apply_configuration,
    find_base_version,
)
from fireflyhitch_rollout.evidence import EvidenceCollector, Trial
from fireflyhitch_rollout.phase_tracker import PhaseTracker
from fireflyhitch_rollout.record_store import MoveRecordStore
from fireflyhitch_rollout.records import (
    MoveEndReason,
    MoveMessage,
    MoveRecord,
    MoveReport,
    MoveState,
    WithdrawalMessage,
)
from fireflyhitch_rollout.schedule import (
    MoveConditions,
    MovePolicy,
    advance,
    end_move,
    find_burst_length,
    find_rollback_time,
    find_share,
)
from fireflyhitch_rollout.shares import VersionPicker, VersionShares, choose_servers
from fireflyhitch_rollout.supplies import Supply, find_needs
from fireflyhitch_rollout.wall_clock import StableWallClock
from fireflyhitch_settings.schema import Configuration, Deployment

DUTY_PREFIX = 'moves/'
READ_INTERVAL_SECONDS = 30.0
# Interval at which unchanged records and withdrawals are sent again.
RESEND_SECONDS = 5.0


@dataclass(slots=True)
class _SendTimes:
    """Monotonic seconds at which withdrawals and records were last sent."""

    records: dict[DeploymentId, float] = field(default_factory=dict)
    withdrawals: dict[tuple[DeploymentId, VersionId], float] = field(
        default_factory=dict
    )


class MoveManager:
    """Manages moves; call ``step`` about every half second.

    The holder of the duty ``moves/{deployment}`` raises shares and ends moves in
    the store. Every daemon withdraws a faulty version and enforces the deadline.
    """

    def __init__(
        self,
        local_daemon: Daemon,
        store: KeyValueStore,
        messenger: PeerMessenger,
        duties: DutyManager,
        evidence: EvidenceCollector,
        picker: VersionPicker,
        clock: Clock,
    ) -> None:
        """Create a manager without moves; nothing else may update the picker."""
        self.policy = MovePolicy()
        self._local_daemon = local_daemon
        self._records = MoveRecordStore(store)
        self._messenger = messenger
        self._duties = duties
        self._evidence = evidence
        self._picker = picker
        self._clock = clock
        self._wall_clock = StableWallClock(clock)
        self._lock = RLock()
        self._deployments: dict[DeploymentId, Deployment] = {}
        self._revision = -1
        self._supplies: Mapping[DeploymentId, Supply] = {}
        self._phases = PhaseTracker(clock)
        self._sent_at = _SendTimes()
        self._holders: dict[DeploymentId, DaemonId] = {}
        self._next_read = 0.0
        messenger.handle(MoveMessage, self._receive_record)
        messenger.handle(WithdrawalMessage, self._receive_withdrawal)

    def configure(self, configuration: Configuration, revision: int) -> None:
        """Apply a configuration if its revision is newer."""
        with self._lock:
            if revision <= self._revision:
                return
            self._revision = revision
            self._deployments = {
                deployment.name: deployment for deployment in configuration.deployments
            }
            self._apply_shares()

    def list_duties(self) -> tuple[DutyId, ...]:
        """Return the duties for moves, one for each deployment."""
        return tuple(make_duty_id(deployment) for deployment in self._deployments)

    def update_supplies(self, supplies: Mapping[DeploymentId, Supply]) -> None:
        """Set the available servers; call it whenever they change."""
        with self._lock:
            self._supplies = dict(supplies)
            self._apply_shares()

    def step(self) -> None:
        """Evaluate the evidence, advance the moves held here, enforce deadlines."""
        for deployment, verdict in self._evidence.step().items():
            record = self._records.find(deployment)
            if record is not None and not record.has_ended:
                self.withdraw(deployment, record.to_version, (verdict.evidence,))
        with self._lock:
            self._read_when_due()
            for configured in self._deployments.values():
                self._advance_record(configured.name, configured)
            self._resend_withdrawals()
            self._apply_shares()

    def withdraw(
        self, deployment: DeploymentId, version: VersionId, evidence: Sequence[str]
    ) -> None:
        """Withdraw a version for a fault: locally at once, then at all daemons."""
        self._picker.withdraw(deployment, version)
        with self._lock:
            self._record_withdrawal(deployment, version, tuple(evidence))
            self._send_withdrawal(deployment, version, tuple(evidence))
            self._apply_shares()

    def moves(self) -> tuple[MoveReport, ...]:
        """Return the latest move of each deployment that has one."""
        with self._lock:
            reports = (self._report(name) for name in sorted(self._deployments))
            return tuple(report for report in reports if report is not None)

    def list_needs(self, deployment: DeploymentId) -> tuple[VersionNeed, ...]:
        """Return the capacity that the fleet must keep ready for each version."""
        with self._lock:
            record = self._records.find(deployment)
            base = find_base_version(record, self._deployments[deployment])
            return find_needs(record, base, self.policy)

    def _advance_record(self, name: DeploymentId, deployment: Deployment) -> None:
        """Advance the stored record as far as this daemon is allowed to."""
        fencing = self._duties.holds(make_duty_id(name))
        if fencing is None and not self._has_unsaved_withdrawal(name):
            return
        if not self._records.has_revision(name) and not self._records.read(name):
            return
        previous = self._records.find(name)
        record = previous
        if fencing is not None:
            record = self._plan(previous, deployment)
        if record is None or (record == previous and self._records.is_stored(name)):
            self._resend_when_due(record, fencing)
            return
        if fencing is not None:
            record = record.model_copy(update={'fencing': fencing})
        self._write(record, previous, fencing)

    def _has_unsaved_withdrawal(self, name: DeploymentId) -> bool:
        # Only the daemon that found a fault writes the withdrawal. If receivers
        # did too, there would be as many writes as daemons.
        return any(
            deployment == name
            and not self._records.has_stored_withdrawal(deployment, version)
            for deployment, version in self._sent_at.withdrawals
        )

    def _plan(
        self, previous: MoveRecord | None, deployment: Deployment
    ) -> MoveRecord | None:
        now = self._wall_clock.now()
        rollback_time = self._find_rollback_time(previous, deployment)
        record = apply_configuration(
            previous, deployment, self._revision, now, rollback_time
        )
        if record is None or record.has_ended:
            return record
        supply = self._supplies.get(deployment.name, Supply())
        test = self._evidence.find_test(deployment.name)
        conditions = MoveConditions(
            now=now,
            rollback_deadline=record.move_by - rollback_time,
            finish_by=record.move_by - find_rollback_time(0, 1, supply.start_time),
            capacity=supply.find_capacity(record.to_version),
            old_servers=len(supply.list_version(record.from_version)),
            proven=test is not None and test.has_enough_calls(self.policy.min_calls),
            phase_calls=self._phases.count_calls(record, test),
        )
        record = advance(record, conditions, self.policy)
        if record.has_ended and test is not None:
            record = record.model_copy(update={'evidence': test.describe()})
        return record

    def _write(
        self,
        record: MoveRecord,
        previous: MoveRecord | None,
        fencing: FencingNumber | None,
    ) -> None:
        is_raise = self._increases_share(record, previous)
        invariant(
            not is_raise
            or self._duties.holds(make_duty_id(record.deployment)) == fencing,
            Invariant.SHARE_NEEDS_LEASE,
            f'{record.deployment} to {record.to_version}',
            step=Step.PLAN,
        )
        # Without the lease only withdrawals are written.
        if is_raise and fencing is None:
            return
        if not self._records.write(record):
            return
        logger.bind(
            deployment=record.deployment,
            version=record.to_version,
            state=record.state.value,
            reason=record.reason.value if record.reason else None,
        ).info('move record written')
        self._send_record(record)

    def _increases_share(self, record: MoveRecord, previous: MoveRecord | None) -> bool:
        if record.state is MoveState.ROLLED_BACK:
            return False
        if previous is None or previous.move_key != record.move_key:
            return True
        return find_share(record, 1, self.policy) > find_share(previous, 1, self.policy)

    def _resend_when_due(
        self, record: MoveRecord | None, fencing: FencingNumber | None
    ) -> None:
        if record is None or fencing is None:
            return
        sent_at = self._sent_at.records.get(record.deployment)
        if sent_at is None or self._clock.monotonic() - sent_at >= RESEND_SECONDS:
            self._send_record(record)

    def _send_record(self, record: MoveRecord) -> None:
        self._sent_at.records[record.deployment] = self._clock.monotonic()
        self._messenger.broadcast(MoveMessage(record=record), Scope.EVERYWHERE)

    def _receive_record(self, sender: DaemonId, message: MoveMessage) -> None:
        with self._lock:
            self._holders[message.record.deployment] = sender
            self._records.merge(message.record)
            self._apply_shares()

    def _receive_withdrawal(self, sender: DaemonId, message: WithdrawalMessage) -> None:
        self._picker.withdraw(message.deployment, message.version)
        with self._lock:
            self._record_withdrawal(
                message.deployment, message.version, message.evidence
            )
            self._apply_shares()

    def _record_withdrawal(
        self, deployment: DeploymentId, version: VersionId, evidence: tuple[str, ...]
    ) -> None:
        record = self._records.find(deployment)
        if record is None or version in record.withdrawn:
            return
        withdrawn = tuple(sorted({*record.withdrawn, version}))
        record = record.model_copy(update={'withdrawn': withdrawn})
        if record.to_version == version and record.state is not MoveState.ROLLED_BACK:
            record = end_move(record, MoveState.ROLLED_BACK, MoveEndReason.FAULT)
            record = record.model_copy(update={'evidence': evidence})
        self._records.merge(record)
        logger.bind(deployment=deployment, version=version, evidence=evidence).warning(
            'version withdrawn'
        )

    def _send_withdrawal(
        self, deployment: DeploymentId, version: VersionId, evidence: tuple[str, ...]
    ) -> None:
        self._sent_at.withdrawals[deployment, version] = self._clock.monotonic()
        message = WithdrawalMessage(
            deployment=deployment, version=version, evidence=evidence
        )
        self._messenger.broadcast(message, Scope.EVERYWHERE)

    def _resend_withdrawals(self) -> None:
        """Send local withdrawals again, for daemons that were partitioned."""
        now = self._clock.monotonic()
        for (deployment, version), sent_at in tuple(self._sent_at.withdrawals.items()):
            record = self._records.find(deployment)
            if record is None or now - sent_at < RESEND_SECONDS:
                continue
            self._send_withdrawal(deployment, version, record.evidence)

    def _read_when_due(self) -> None:
        now = self._clock.monotonic()
        if now >= self._next_read:
            self._records.read_all()
            self._next_read = now + READ_INTERVAL_SECONDS

    def _find_rollback_time(
        self, record: MoveRecord | None, deployment: Deployment
    ) -> timedelta:
        supply = self._supplies.get(deployment.name, Supply())
        old = record.from_version if record else deployment.version
        count = len(supply.list_version(old))
        return find_rollback_time(count, supply.needed, supply.start_time)

    def _apply_shares(self) -> None:
        """Recompute and apply the local shares of all deployments."""
        shares = {}
        trials = {}
        for name, deployment in self._deployments.items():
            record = self._find_effective_record(deployment)
            shares[name] = self._find_shares(record, deployment)
            if record is not None and not record.has_ended:
                trials[name] = Trial(record.from_version, record.to_version)
        self._picker.update(shares)
        self._evidence.set_trials(trials)
        self._evidence.set_holders(self._holders.values())

    def _find_effective_record(self, deployment: Deployment) -> MoveRecord | None:
        """Return the record, ended locally where this daemon may do so alone.

        A daemon may do so if operators have removed or replaced the move, or if its
        rollback deadline has passed and it is not known to be done.
        """
        record = self._records.find(deployment.name)
        if record is None or record.has_ended:
            return record
        for version in record.withdrawn:
            self._picker.withdraw(deployment.name, version)
        now = self._wall_clock.now()
        rollback_time = self._find_rollback_time(record, deployment)
        followed = apply_configuration(
            record, deployment, self._revision, now, rollback_time
        )
        if followed is None or followed.has_ended:
            return followed
        if now >= followed.move_by - rollback_time:
            return end_move(followed, MoveState.ROLLED_BACK, MoveEndReason.UNCONFIRMED)
        return followed

    def _find_shares(
        self, record: MoveRecord | None, deployment: Deployment
    ) -> VersionShares:
        base = find_base_version(record, deployment)
        if record is None or record.has_ended:
            return VersionShares(base)
        invariant(
            self._wall_clock.now() < record.move_by,
            Invariant.MOVE_ENDS,
            f'{record.deployment} to {record.to_version}',
            step=Step.PLAN,
        )
        supply = self._supplies.get(deployment.name, Supply())
        new = supply.list_version(record.to_version)
        old_count = len(supply.list_version(record.from_version))
        share = find_share(record, old_count, self.policy)
        if self._phases.is_overdue(record, find_burst_length(old_count, self.policy)):
            share = self.policy.base_share
        share = min(share, supply.find_capacity(record.to_version))
        servers = choose_servers(new, old_count, share)
        return VersionShares(base, record.to_version, share, servers)

    def _report(self, name: DeploymentId) -> MoveReport | None:
        deployment = self._deployments[name]
        record = self._find_effective_record(deployment)
        if record is None:
            return None
        test = self._evidence.find_test(name)
        described = test.describe() if test and not record.has_ended else ()
        shares = self._picker.find(name)
        share = shares.share if shares else 0
        return MoveReport(
            deployment=name,
            from_version=record.from_version,
            to_version=record.to_version,
            state=record.state,
            share=1 if record.state is MoveState.DONE else share,
            move_by=record.move_by,
            last_return=record.move_by - self._find_rollback_time(record, deployment),
            reason=record.reason,
            evidence=described or record.evidence,
        )


def make_duty_id(deployment: DeploymentId) -> DutyId:
    """Return the id of the duty whose holder manages a deployment's moves."""
    return DutyId(f'{DUTY_PREFIX}{deployment}')
