"""A daemon's life: start, upkeep, and the graceful stop."""

import threading
from datetime import timedelta

from loguru import logger

from fireflyhitch_daemon.composition import Components, compose, find_address
from fireflyhitch_daemon.upkeep import Task, Upkeep
from fireflyhitch_membership.configuration import InForce
from fireflyhitch_membership.messages import Mark, MarkKind
from fireflyhitch_model.clock import Clock
from fireflyhitch_model.errors import PlatformError
from fireflyhitch_model.ids import DeploymentId, InstanceId
from fireflyhitch_model.invariants import observe_violations
from fireflyhitch_model.states import Step
from fireflyhitch_routing.domains import DomainState
from fireflyhitch_settings.bootstrap import DaemonSettings
from fireflyhitch_settings.schema import Configuration, ModelDeployment
from fireflyhitch_telemetry.burn import BurnTarget

HALF_SECOND = timedelta(seconds=0.5)
SECOND = timedelta(seconds=1)
WARM_UP = timedelta(seconds=1)
PLAN_INTERVAL = timedelta(seconds=10)
DRAIN_POLL_SECONDS = 0.05


class DaemonProcess:
    """A daemon: its parts, and how they start and stop."""

    def __init__(self, settings: DaemonSettings, clock: Clock) -> None:
        self.stop_requested = threading.Event()
        self._stopped = False
        # What all parts have taken over, which comes a little after it is in force.
        self._applied: Configuration | None = None
        self._clock = clock
        self._parts: Components = compose(settings, clock, self.stop_requested.set)
        observe_violations(self._parts.serving.metrics.record_violation)
        observe_violations(_log_violation)
        control = self._parts.control
        control.keeper.on_change(self._take_configuration)
        control.network.on_marks(self._take_marks)
        self._upkeep = Upkeep(clock, self._list_tasks())

    def start(self) -> None:
        """Start all threads; return when callers can be served."""
        control, serving = self._parts.control, self._parts.serving
        self._learn_entries()
        control.network.start()
        serving.calls.start()
        serving.forwarder.start()
        control.snapshots.warm_up(WARM_UP)
        control.keeper.start()
        in_force = control.keeper.in_force()
        if in_force is not None:
            self._take_configuration(in_force)
        serving.ledger.start()
        control.duties.start()
        self._upkeep.start()
        serving.admission.exchange()
        self._serve()
        logger.bind(**self.describe()).info('started')

    def describe(self) -> dict[str, str]:
        """Return the addresses that the kernel chose."""
        listeners = self._parts.listeners
        return {
            'callers': find_address(listeners.callers),
            'admin': find_address(listeners.admin),
            'peers': self._parts.control.network.address,
        }

    def stop(self) -> None:
        """Take no new calls, finish those in progress, then stop.

        Stopping again does nothing.
        """
        if self._stopped:
            return
        self._stopped = True
        self._parts.departure.start()
        self._wait_for_calls()
        control, serving = self._parts.control, self._parts.serving
        control.duties.stop()
        self._upkeep.stop()
        self._parts.listeners.callers.stop()
        self._parts.listeners.admin.stop()
        serving.ledger.stop()
        serving.calls.stop()
        serving.forwarder.stop()
        serving.reports.stop()
        control.keeper.stop()
        control.network.stop()
        logger.bind(open=serving.calls.count_open()).info('stopped')

    def reload_tls(self) -> None:
        """Read certificate files again; open connections keep what they have."""
        if self._parts.tls is not None and self._parts.tls.reload():
            logger.info('TLS files reloaded')

    def _serve(self) -> None:
        listeners = self._parts.listeners
        for server, name in (
            (listeners.callers, 'callers'),
            (listeners.admin, 'admin'),
        ):
            threading.Thread(target=server.serve, name=name, daemon=True).start()

    def _learn_entries(self) -> None:
        """Read whom to ask first; seeds do where the list cannot be read."""
        try:
            listing = self._parts.platform.instance_list.read()
        except PlatformError as error:
            logger.bind(step=error.step.value, peer=error.peer).warning(error.message)
            return
        self._parts.control.network.update_instance_list(listing)

    def _wait_for_calls(self) -> None:
        serving = self._parts.serving
        limit = self._parts.settings.limits.drain_seconds
        ends = self._clock.monotonic() + limit
        busy = threading.Event()
        while self._clock.monotonic() < ends:
            if serving.drain.stop_if_done(serving.count_in_progress()):
                return
            busy.wait(DRAIN_POLL_SECONDS)

    def _list_tasks(self) -> list[Task]:
        control, serving = self._parts.control, self._parts.serving
        return [
            Task('instances', Step.LIST_INSTANCES, SECOND, self._read_instances),
            Task(
                'notices', Step.CLOUD, HALF_SECOND, self._parts.departure.read_notices
            ),
            Task('reports', Step.ROUTE, SECOND, serving.reports.poll),
            Task('crashes', Step.ROUTE, HALF_SECOND, serving.crashes.step),
            Task('server limits', Step.ROUTE, HALF_SECOND, serving.limits.step),
            Task('limits', Step.ADMIT, SECOND, serving.admission.exchange),
            Task('moves', Step.JUDGE, HALF_SECOND, control.moves.step),
            Task(
                'hand-over senders',
                Step.HAND_OVER,
                SECOND,
                serving.hand_over.reception.check_senders,
            ),
            Task('hand-over peers', Step.HAND_OVER, SECOND, self._check_peers),
            Task('capacity', Step.PLAN, PLAN_INTERVAL, self._plan_capacity),
        ]

    def _read_instances(self) -> None:
        listing = self._parts.platform.instance_list.read()
        directory = self._parts.serving.directory
        directory.update(listing)
        self._parts.capacity.update_supplies(self._applied)
        unreachable = self._parts.control.network.unreachable_domains()
        for domain in {server.failure_domain for server in directory.list_servers()}:
            state = DomainState.REACHABLE
            if domain in unreachable:
                state = DomainState.CUT_OFF
            self._parts.serving.router.mark_failure_domain(domain, state)

    def _plan_capacity(self) -> None:
        self._parts.capacity.step(self._applied)

    def _check_peers(self) -> None:
        # A stop without a notice ends by itself, when its last call has ended.
        if self._parts.serving.drain.read_time_left() is not None:
            self._parts.serving.hand_over.check_peers()

    def _take_configuration(self, in_force: InForce) -> None:
        control, serving = self._parts.control, self._parts.serving
        configuration = in_force.configuration
        serving.router.configure(configuration)
        serving.admission.configure(configuration)
        serving.burn.set_targets(_find_targets(configuration))
        control.moves.configure(configuration, in_force.revision)
        names = [deployment.name for deployment in configuration.deployments]
        control.duties.set_duties(
            (
                *control.moves.list_duties(),
                *self._parts.capacity_keeper.list_duties(names),
            )
        )
        self._applied = configuration

    def _take_marks(self, marks: tuple[Mark, ...]) -> None:
        leaving = [
            InstanceId(mark.key) for mark in marks if mark.kind is MarkKind.LEAVING
        ]
        self._parts.departure.take_marks(leaving)


def _find_targets(configuration: Configuration) -> dict[DeploymentId, BurnTarget]:
    targets: dict[DeploymentId, BurnTarget] = {}
    for deployment in configuration.deployments:
        if isinstance(deployment, ModelDeployment):
            latency = deployment.latency
            targets[deployment.name] = BurnTarget(
                first_token_seconds=latency.first_token_seconds,
                between_tokens_seconds=latency.between_tokens_seconds,
                share=latency.share,
            )
        else:
            targets[deployment.name] = BurnTarget(
                first_token_seconds=deployment.response_seconds
            )
    return targets


def _log_violation(name: str, detail: str) -> None:
    logger.bind(invariant=name, detail=detail).error('invariant does not hold')
