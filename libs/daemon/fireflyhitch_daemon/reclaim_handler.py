"""Shutdown of this daemon and draining of backend servers under reclaim notice."""

import threading
from collections import defaultdict
from collections.abc import Iterable
from dataclasses import dataclass
from datetime import timedelta

from loguru import logger

from fireflyhitch_daemon.calls import ModelCalls
from fireflyhitch_daemon.directory import Directory
from fireflyhitch_daemon.exchange import Exchange
from fireflyhitch_membership.network import PeerNetwork
from fireflyhitch_model.clock import Clock
from fireflyhitch_model.ids import InstanceId
from fireflyhitch_model.instances import ReclaimNotice
from fireflyhitch_model.states import Step
from fireflyhitch_platform.services import Cloud
from fireflyhitch_recovery.drain import Drain
from fireflyhitch_recovery.handover import HandOver
from fireflyhitch_recovery.reclaim import ReclaimPlan, RequestProgress, plan_reclaim
from fireflyhitch_rollout.evidence import EvidenceCollector

# Used until the token rate of an answer can be measured.
ASSUMED_TOKEN_SECONDS = 0.05
# The hand-over ends this long before the instance is reclaimed, so that callers
# still receive the new location of their answer.
HAND_OVER_MARGIN = timedelta(seconds=0.5)


@dataclass(frozen=True, slots=True)
class ReclaimDependencies:
    """What ``ReclaimHandler`` depends on."""

    clock: Clock
    drain: Drain
    network: PeerNetwork
    hand_over: HandOver
    calls: ModelCalls
    directory: Directory
    cloud: Cloud
    evidence: EvidenceCollector


class ReclaimHandler:
    """Acts on reclaim notices and on the graceful stop.

    :param instance: the instance that this daemon runs on.
    """

    def __init__(self, instance: InstanceId, deps: ReclaimDependencies) -> None:
        self._instance = instance
        self._deps = deps
        self._handled: set[InstanceId] = set()

    def read_notices(self) -> None:
        """Act on the reclaim notices; called every half second.

        Answers are looked at with each reading: an attempt may reach a server after
        its notice, and an answer may become too slow to finish in time.

        :raises PlatformError: if they cannot be read.
        """
        notices = self._deps.cloud.read_notices()
        new = [one for one in notices if one.instance_id not in self._handled]
        self._handled = {notice.instance_id for notice in notices}
        self._remove_servers(new)
        self._migrate_answers(notices)
        for notice in new:
            if notice.instance_id == self._instance:
                self.start(self._read_time_left(notice))

    def start(self, time_left: timedelta | None = None) -> None:
        """Stop accepting calls; hand over those that cannot finish in time.

        :param time_left: until the instance is reclaimed; ``None`` without a limit.
        """
        if not self._deps.drain.start(time_left):
            return
        self._deps.network.announce_leaving()
        logger.bind(step=Step.HAND_OVER.value, time_left=time_left).info('leaving')
        if time_left is not None:
            thread = threading.Thread(
                target=self._hand_over, args=(time_left,), name='hand-over', daemon=True
            )
            thread.start()

    def apply_marks(self, instances: Iterable[InstanceId]) -> None:
        """Stop sending calls to servers that peers marked as leaving."""
        gone = self._deps.directory.remove(instances)
        self._deps.evidence.mark_leaving(gone)

    def _hand_over(self, time_left: timedelta) -> None:
        plan = self._plan(self._deps.calls.list_open(), time_left)
        report = self._deps.hand_over.hand_over(plan.move, time_left - HAND_OVER_MARGIN)
        protected = self._deps.hand_over.replicate(plan.finish)
        logger.bind(
            step=Step.HAND_OVER.value,
            moved=len(report.moved),
            left=len(report.left),
            finishing=len(plan.finish),
            protected=len(protected),
        ).info('handed over')

    def _remove_servers(self, notices: Iterable[ReclaimNotice]) -> None:
        by_instance = {notice.instance_id: notice for notice in notices}
        leaving = [
            server
            for server in self._deps.directory.list_servers()
            if server.instance in by_instance
        ]
        if not leaving:
            return
        self._deps.evidence.mark_leaving(server.server_id for server in leaving)
        for server in leaving:
            self._deps.network.mark_leaving(server.instance, server.incarnation)
            time_left = self._read_time_left(by_instance[server.instance])
            logger.bind(
                step=Step.RESUME.value, peer=server.server_id, time_left=time_left
            ).info('backend server is leaving')
        self._deps.directory.remove(by_instance)

    def _migrate_answers(self, notices: Iterable[ReclaimNotice]) -> None:
        """Move the answers that leaving servers cannot finish to other servers.

        A peer's mark or the instance list may have removed such a server before its
        notice is read here, so the answers tell which servers they are read from.
        """
        by_instance = {notice.instance_id: notice for notice in notices}
        if not by_instance:
            return
        affected: defaultdict[InstanceId, list[Exchange]] = defaultdict(list)
        for exchange in self._deps.calls.list_open():
            instance = self._find_instance(exchange)
            if instance in by_instance:
                affected[instance].append(exchange)
        for instance, exchanges in affected.items():
            time_left = self._read_time_left(by_instance[instance])
            plan = self._plan(exchanges, time_left)
            self._deps.calls.migrate_from_servers(plan.move)

    def _find_instance(self, exchange: Exchange) -> InstanceId | None:
        server_id = exchange.server_id
        if server_id is None:
            return None
        return self._deps.directory.find_instance(server_id)

    def _plan(self, exchanges: Iterable[Exchange], time_left: timedelta) -> ReclaimPlan:
        now = self._deps.clock.monotonic()
        progress = [_measure_progress(exchange, now) for exchange in exchanges]
        return plan_reclaim(time_left, progress)

    def _read_time_left(self, notice: ReclaimNotice) -> timedelta:
        return max(timedelta(), notice.reclaim_at - self._deps.clock.now())


def _measure_progress(exchange: Exchange, now: float) -> RequestProgress:
    count = exchange.tracked.log.count()
    first = exchange.timing.first_event
    pace = ASSUMED_TOKEN_SECONDS
    if first is not None and count > 1:
        pace = (now - first) / (count - 1)
    call = exchange.call
    return RequestProgress(
        call.request_id,
        call.priority,
        max(0, call.max_tokens - count),
        timedelta(seconds=pace),
    )
