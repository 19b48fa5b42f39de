"""The daemon process: start, periodic tasks and graceful stop."""

import threading
from datetime import timedelta

from loguru import logger

from fireflyhitch_daemon.composition import Components, compose, find_address
from fireflyhitch_daemon.periodic_tasks import PeriodicTasks, Task
from fireflyhitch_membership.configuration import ActiveConfiguration
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
    """Starts and stops the components of a daemon."""

    def __init__(self, settings: DaemonSettings, clock: Clock) -> None:
        self.stop_requested = threading.Event()
        self._stopped = False
        # The configuration that all components use; set shortly after it is in force.
        self._applied: Configuration | None = None
        self._clock = clock
        self._components: Components = compose(settings, clock, self.stop_requested.set)
        observe_violations(self._components.serving.metrics.record_violation)
        observe_violations(_log_violation)
        control = self._components.control
        control.config_manager.on_change(self._apply_configuration)
        control.network.on_marks(self._apply_marks)
        self._periodic_tasks = PeriodicTasks(clock, self._list_tasks())

    def start(self) -> None:
        """Start all threads; return when callers can be served."""
        control, serving = self._components.control, self._components.serving
        self._load_instance_list()
        control.network.start()
        serving.calls.start()
        serving.forwarder.start()
        control.snapshots.warm_up(WARM_UP)
        control.config_manager.start()
        in_force = control.config_manager.in_force()
        if in_force is not None:
            self._apply_configuration(in_force)
        serving.ledger.start()
        control.duties.start()
        self._periodic_tasks.start()
        serving.admission.exchange()
        self._start_listeners()
        logger.bind(**self.describe()).info('started')

    def describe(self) -> dict[str, str]:
        """Return the bound addresses, including ports chosen by the kernel."""
        listeners = self._components.listeners
        return {
            'callers': find_address(listeners.callers),
            'admin': find_address(listeners.admin),
            'peers': self._components.control.network.address,
        }

    def stop(self) -> None:
        """Stop accepting calls, finish those in progress, then stop.

        Further calls have no effect.
        """
        if self._stopped:
            return
        self._stopped = True
        self._components.reclaim_handler.start()
        self._wait_for_calls()
        control, serving = self._components.control, self._components.serving
        control.duties.stop()
        self._periodic_tasks.stop()
        self._components.listeners.callers.stop()
        self._components.listeners.admin.stop()
        serving.ledger.stop()
        serving.calls.stop()
        serving.forwarder.stop()
        serving.reports.stop()
        control.config_manager.stop()
        control.network.stop()
        logger.bind(open=serving.calls.count_open()).info('stopped')

    def reload_tls(self) -> None:
        """Reload the certificate files; open connections are not affected."""
        if self._components.tls is not None and self._components.tls.reload():
            logger.info('TLS files reloaded')

    def _start_listeners(self) -> None:
        listeners = self._components.listeners
        for server, name in (
            (listeners.callers, 'callers'),
            (listeners.admin, 'admin'),
        ):
            threading.Thread(target=server.serve, name=name, daemon=True).start()

    def _load_instance_list(self) -> None:
        """Load the initial peers; without the list the configured seeds are used."""
        try:
            listing = self._components.platform.instance_list.read()
        except PlatformError as error:
            logger.bind(step=error.step.value, peer=error.peer).warning(error.message)
            return
        self._components.control.network.update_instance_list(listing)

    def _wait_for_calls(self) -> None:
        serving = self._components.serving
        limit = self._components.settings.limits.drain_seconds
        deadline = self._clock.monotonic() + limit
        never_set = threading.Event()
        while self._clock.monotonic() < deadline:
            if serving.drain.stop_if_done(serving.count_in_progress()):
                return
            never_set.wait(DRAIN_POLL_SECONDS)

    def _list_tasks(self) -> list[Task]:
        control, serving = self._components.control, self._components.serving
        return [
            Task('instances', Step.LIST_INSTANCES, SECOND, self._read_instances),
            Task(
                'notices',
                Step.CLOUD,
                HALF_SECOND,
                self._components.reclaim_handler.read_notices,
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
                serving.hand_over.handover_receiver.check_senders,
            ),
            Task('hand-over peers', Step.HAND_OVER, SECOND, self._check_peers),
            Task('capacity', Step.PLAN, PLAN_INTERVAL, self._plan_capacity),
        ]

    def _read_instances(self) -> None:
        listing = self._components.platform.instance_list.read()
        directory = self._components.serving.directory
        directory.update(listing)
        self._components.capacity.update_supplies(self._applied)
        unreachable = self._components.control.network.unreachable_domains()
        for domain in {server.failure_domain for server in directory.list_servers()}:
            state = DomainState.REACHABLE
            if domain in unreachable:
                state = DomainState.CUT_OFF
            self._components.serving.router.mark_failure_domain(domain, state)

    def _plan_capacity(self) -> None:
        self._components.capacity.step(self._applied)

    def _check_peers(self) -> None:
        # A stop without a reclaim notice hands nothing over; it waits for open calls.
        if self._components.serving.drain.read_time_left() is not None:
            self._components.serving.hand_over.check_peers()

    def _apply_configuration(self, in_force: ActiveConfiguration) -> None:
        control, serving = self._components.control, self._components.serving
        configuration = in_force.configuration
        serving.router.configure(configuration)
        serving.admission.configure(configuration)
        serving.burn.set_targets(_build_burn_targets(configuration))
        control.moves.configure(configuration, in_force.revision)
        names = [deployment.name for deployment in configuration.deployments]
        control.duties.set_duties(
            (
                *control.moves.list_duties(),
                *self._components.capacity_manager.list_duties(names),
            )
        )
        self._applied = configuration

    def _apply_marks(self, marks: tuple[Mark, ...]) -> None:
        leaving = [
            InstanceId(mark.key) for mark in marks if mark.kind is MarkKind.LEAVING
        ]
        self._components.reclaim_handler.apply_marks(leaving)


def _build_burn_targets(configuration: Configuration) -> dict[DeploymentId, BurnTarget]:
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
