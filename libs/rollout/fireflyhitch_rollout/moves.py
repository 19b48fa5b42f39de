"""Keeps the moves of all deployments at one daemon."""

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
from fireflyhitch_rollout.archive import MoveArchive
from fireflyhitch_rollout.evidence import EvidenceCollector, Trial
from fireflyhitch_rollout.phases import PhaseCounts
from fireflyhitch_rollout.records import (
    MoveEndReason,
    MoveNews,
    MoveRecord,
    MoveReport,
    MoveState,
    WithdrawalNews,
)
from fireflyhitch_rollout.schedule import (
    MovePolicy,
    Situation,
    advance,
    end,
    find_burst_length,
    find_share,
    find_way_back,
)
from fireflyhitch_rollout.shares import VersionPicker, VersionShares, choose_servers
from fireflyhitch_rollout.supplies import Supply, find_needs
from fireflyhitch_rollout.walltime import SteadyTime
from fireflyhitch_rollout.wishes import find_base, follow
from fireflyhitch_settings.schema import Configuration, Deployment

DUTY_PREFIX = 'moves/'
READ_SECONDS = 30.0
# How often a record or withdrawal that does not change is told again.
REPEAT_SECONDS = 5.0


@dataclass(slots=True)
class _Told:
    """When withdrawals and records were last told, in monotonic seconds."""

    records: dict[DeploymentId, float] = field(default_factory=dict)
    withdrawals: dict[tuple[DeploymentId, VersionId], float] = field(
        default_factory=dict
    )


class MoveManager:
    """Takes part in all moves; ``step`` is called every half second or so.

    The holder of the duty ``moves/{deployment}`` raises shares and ends moves
    in the store; each daemon takes back a faulty version and keeps the date.
    """

    def __init__(
        self,
        here: Daemon,
        store: KeyValueStore,
        messenger: PeerMessenger,
        duties: DutyManager,
        evidence: EvidenceCollector,
        picker: VersionPicker,
        clock: Clock,
    ) -> None:
        """Make a keeper without moves; the picker is updated by it alone."""
        self.policy = MovePolicy()
        self._here = here
        self._archive = MoveArchive(store)
        self._messenger = messenger
        self._duties = duties
        self._evidence = evidence
        self._picker = picker
        self._clock = clock
        self._time = SteadyTime(clock)
        self._lock = RLock()
        self._deployments: dict[DeploymentId, Deployment] = {}
        self._configured = -1
        self._supplies: Mapping[DeploymentId, Supply] = {}
        self._phases = PhaseCounts(clock)
        self._told = _Told()
        self._holders: dict[DeploymentId, DaemonId] = {}
        self._read_after = 0.0
        messenger.handle(MoveNews, self._take_record)
        messenger.handle(WithdrawalNews, self._take_withdrawal)

    def configure(self, configuration: Configuration, revision: int) -> None:
        """Follow a configuration; one of a lower revision is passed over."""
        with self._lock:
            if revision <= self._configured:
                return
            self._configured = revision
            self._deployments = {
                deployment.name: deployment for deployment in configuration.deployments
            }
            self._publish()

    def list_duties(self) -> tuple[DutyId, ...]:
        """Return the duties that the moves need, for the duty keeper."""
        return tuple(make_duty_id(deployment) for deployment in self._deployments)

    def update_supplies(self, supplies: Mapping[DeploymentId, Supply]) -> None:
        """Say what there is to serve with; to be called when it changes."""
        with self._lock:
            self._supplies = dict(supplies)
            self._publish()

    def step(self) -> None:
        """Judge the evidence, advance what this daemon holds, keep the dates."""
        for deployment, verdict in self._evidence.step().items():
            record = self._archive.find(deployment)
            if record is not None and not record.has_ended:
                self.withdraw(deployment, record.to_version, (verdict.evidence,))
        with self._lock:
            self._read_when_due()
            for wished in self._deployments.values():
                self._lead(wished.name, wished)
            self._repeat_withdrawals()
            self._publish()

    def withdraw(
        self, deployment: DeploymentId, version: VersionId, evidence: Sequence[str]
    ) -> None:
        """Take a version back for a fault, here at once and then everywhere."""
        self._picker.withdraw(deployment, version)
        with self._lock:
            self._note_withdrawal(deployment, version, tuple(evidence))
            self._tell_withdrawal(deployment, version, tuple(evidence))
            self._publish()

    def moves(self) -> tuple[MoveReport, ...]:
        """Return the latest move of each deployment that has one."""
        with self._lock:
            reports = (self._report(name) for name in sorted(self._deployments))
            return tuple(report for report in reports if report is not None)

    def list_needs(self, deployment: DeploymentId) -> tuple[VersionNeed, ...]:
        """Return what the fleet has to hold ready of each version."""
        with self._lock:
            record = self._archive.find(deployment)
            base = find_base(record, self._deployments[deployment])
            return find_needs(record, base, self.policy)

    def _lead(self, name: DeploymentId, deployment: Deployment) -> None:
        """Bring the store's record on, as far as this daemon may."""
        fencing = self._duties.holds(make_duty_id(name))
        if fencing is None and not self._has_unsaved(name):
            return
        if not self._archive.is_read(name) and not self._archive.read(name):
            return
        known = self._archive.find(name)
        record = known
        if fencing is not None:
            record = self._plan(known, deployment)
        if record is None or (record == known and self._archive.is_saved(name)):
            self._confirm(record, fencing)
            return
        if fencing is not None:
            record = record.model_copy(update={'fencing': fencing})
        self._write(record, known, fencing)

    def _has_unsaved(self, name: DeploymentId) -> bool:
        # Only the daemon that found a fault writes it; all that hear of it
        # would be as many writes as there are daemons.
        return any(
            deployment == name and not self._archive.has_saved(deployment, version)
            for deployment, version in self._told.withdrawals
        )

    def _plan(
        self, known: MoveRecord | None, deployment: Deployment
    ) -> MoveRecord | None:
        now = self._time.now()
        way_back = self._find_way_back(known, deployment)
        record = follow(known, deployment, self._configured, now, way_back)
        if record is None or record.has_ended:
            return record
        supply = self._supplies.get(deployment.name, Supply())
        judge = self._evidence.find_test(deployment.name)
        situation = Situation(
            now=now,
            last_return=record.move_by - way_back,
            finish_by=record.move_by - find_way_back(0, 1, supply.start_time),
            capacity=supply.find_capacity(record.to_version),
            old_servers=len(supply.list_version(record.from_version)),
            proven=judge is not None and judge.has_enough(self.policy.min_calls),
            phase_calls=self._phases.count(record, judge),
        )
        record = advance(record, situation, self.policy)
        if record.has_ended and judge is not None:
            record = record.model_copy(update={'evidence': judge.describe()})
        return record

    def _write(
        self,
        record: MoveRecord,
        known: MoveRecord | None,
        fencing: FencingNumber | None,
    ) -> None:
        raises = self._is_raise(record, known)
        invariant(
            not raises
            or self._duties.holds(make_duty_id(record.deployment)) == fencing,
            Invariant.SHARE_NEEDS_LEASE,
            f'{record.deployment} to {record.to_version}',
            step=Step.PLAN,
        )
        # Without the lease only a withdrawal is written.
        if raises and fencing is None:
            return
        if not self._archive.write(record):
            return
        logger.bind(
            deployment=record.deployment,
            version=record.to_version,
            state=record.state.value,
            reason=record.reason.value if record.reason else None,
        ).info('move written')
        self._tell_record(record)

    def _is_raise(self, record: MoveRecord, known: MoveRecord | None) -> bool:
        if record.state is MoveState.ROLLED_BACK:
            return False
        if known is None or known.attempt != record.attempt:
            return True
        return find_share(record, 1, self.policy) > find_share(known, 1, self.policy)

    def _confirm(
        self, record: MoveRecord | None, fencing: FencingNumber | None
    ) -> None:
        if record is None or fencing is None:
            return
        told = self._told.records.get(record.deployment)
        if told is None or self._clock.monotonic() - told >= REPEAT_SECONDS:
            self._tell_record(record)

    def _tell_record(self, record: MoveRecord) -> None:
        self._told.records[record.deployment] = self._clock.monotonic()
        self._messenger.spread(MoveNews(record=record), Scope.EVERYWHERE)

    def _take_record(self, sender: DaemonId, news: MoveNews) -> None:
        with self._lock:
            self._holders[news.record.deployment] = sender
            self._archive.merge(news.record)
            self._publish()

    def _take_withdrawal(self, sender: DaemonId, news: WithdrawalNews) -> None:
        self._picker.withdraw(news.deployment, news.version)
        with self._lock:
            self._note_withdrawal(news.deployment, news.version, news.evidence)
            self._publish()

    def _note_withdrawal(
        self, deployment: DeploymentId, version: VersionId, evidence: tuple[str, ...]
    ) -> None:
        record = self._archive.find(deployment)
        if record is None or version in record.withdrawn:
            return
        withdrawn = tuple(sorted({*record.withdrawn, version}))
        record = record.model_copy(update={'withdrawn': withdrawn})
        if record.to_version == version and record.state is not MoveState.ROLLED_BACK:
            record = end(record, MoveState.ROLLED_BACK, MoveEndReason.FAULT)
            record = record.model_copy(update={'evidence': evidence})
        self._archive.merge(record)
        logger.bind(deployment=deployment, version=version, evidence=evidence).warning(
            'version withdrawn'
        )

    def _tell_withdrawal(
        self, deployment: DeploymentId, version: VersionId, evidence: tuple[str, ...]
    ) -> None:
        self._told.withdrawals[deployment, version] = self._clock.monotonic()
        news = WithdrawalNews(deployment=deployment, version=version, evidence=evidence)
        self._messenger.spread(news, Scope.EVERYWHERE)

    def _repeat_withdrawals(self) -> None:
        """Tell again what was withdrawn here, for daemons that were cut off."""
        now = self._clock.monotonic()
        for (deployment, version), told in tuple(self._told.withdrawals.items()):
            record = self._archive.find(deployment)
            if record is None or now - told < REPEAT_SECONDS:
                continue
            self._tell_withdrawal(deployment, version, record.evidence)

    def _read_when_due(self) -> None:
        now = self._clock.monotonic()
        if now >= self._read_after:
            self._archive.read_all()
            self._read_after = now + READ_SECONDS

    def _find_way_back(
        self, record: MoveRecord | None, deployment: Deployment
    ) -> timedelta:
        supply = self._supplies.get(deployment.name, Supply())
        old = record.from_version if record else deployment.version
        count = len(supply.list_version(old))
        return find_way_back(count, supply.needed, supply.start_time)

    def _publish(self) -> None:
        """Put the shares of all deployments in force at this daemon."""
        shares = {}
        trials = {}
        for name, deployment in self._deployments.items():
            record = self._view(deployment)
            shares[name] = self._find_shares(record, deployment)
            if record is not None and not record.has_ended:
                trials[name] = Trial(record.from_version, record.to_version)
        self._picker.update(shares)
        self._evidence.watch(trials)
        self._evidence.set_holders(self._holders.values())

    def _view(self, deployment: Deployment) -> MoveRecord | None:
        """Return the record with what this daemon may lower by itself.

        That is a move which the operators took out or replaced, and one whose
        last return has come without word that it is done.
        """
        record = self._archive.find(deployment.name)
        if record is None or record.has_ended:
            return record
        for version in record.withdrawn:
            self._picker.withdraw(deployment.name, version)
        now = self._time.now()
        way_back = self._find_way_back(record, deployment)
        followed = follow(record, deployment, self._configured, now, way_back)
        if followed is None or followed.has_ended:
            return followed
        if now >= followed.move_by - way_back:
            return end(followed, MoveState.ROLLED_BACK, MoveEndReason.UNCONFIRMED)
        return followed

    def _find_shares(
        self, record: MoveRecord | None, deployment: Deployment
    ) -> VersionShares:
        base = find_base(record, deployment)
        if record is None or record.has_ended:
            return VersionShares(base)
        invariant(
            self._time.now() < record.move_by,
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
        record = self._view(deployment)
        if record is None:
            return None
        judge = self._evidence.find_test(name)
        described = judge.describe() if judge and not record.has_ended else ()
        shares = self._picker.find(name)
        share = shares.share if shares else 0
        return MoveReport(
            deployment=name,
            from_version=record.from_version,
            to_version=record.to_version,
            state=record.state,
            share=1 if record.state is MoveState.DONE else share,
            move_by=record.move_by,
            last_return=record.move_by - self._find_way_back(record, deployment),
            reason=record.reason,
            evidence=described or record.evidence,
        )


def make_duty_id(deployment: DeploymentId) -> DutyId:
    """Return the duty whose holder leads a deployment's moves."""
    return DutyId(f'{DUTY_PREFIX}{deployment}')
