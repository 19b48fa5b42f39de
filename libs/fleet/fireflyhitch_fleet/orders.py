"""Engine orders that stay safe when the duty moves to another daemon."""

from dataclasses import dataclass
from datetime import timedelta
from enum import Enum

from loguru import logger

from fireflyhitch_fleet.duties import DutyManager, HeldDuty
from fireflyhitch_model.backends import BackendServer
from fireflyhitch_model.clock import Clock
from fireflyhitch_model.errors import FireflyhitchError
from fireflyhitch_model.ids import BackendServerId, DutyId, FencingNumber
from fireflyhitch_model.invariants import Invariant, invariant
from fireflyhitch_model.states import FencingSupport, Step
from fireflyhitch_platform.services import (
    EngineAction,
    EngineOrder,
    Engines,
    EngineState,
)

DEFAULT_ORDER_TIMEOUT = timedelta(seconds=3)


class OrderResult(Enum):
    """The result of reconciling an engine."""

    IN_EFFECT = 'in-effect'
    PENDING = 'pending'
    NOT_HELD = 'not-held'
    TOO_EARLY = 'too-early'
    REFUSED = 'refused'
    UNKNOWN = 'unknown'


@dataclass(frozen=True, slots=True)
class DesiredState:
    """The state that an engine should reach."""

    action: EngineAction
    argument: str


class EngineReconciler:
    """Sends orders to engines under a duty's lease and verifies their state."""

    def __init__(
        self,
        engines: Engines,
        duties: DutyManager,
        clock: Clock,
        order_timeout: timedelta = DEFAULT_ORDER_TIMEOUT,
    ) -> None:
        """Create a reconciler.

        :param order_timeout: time after which the engines' client closes the
            connection of an order.
        """
        self._engines = engines
        self._duties = duties
        self._clock = clock
        self._order_timeout = order_timeout.total_seconds()

    def reconcile(
        self, duty: DutyId, server: BackendServer, desired: DesiredState
    ) -> OrderResult:
        """Bring an engine to a desired state; repeat until it is in effect.

        The engine's state is read on every call, before and after an order, so that a
        late order of an earlier holder is detected and corrected.
        """
        held = self._duties.find(duty)
        if held is None or not self._has_time(held):
            return OrderResult.NOT_HELD
        if (
            server.fencing is FencingSupport.IGNORED
            and not self._is_safe_without_fencing(held)
        ):
            return OrderResult.TOO_EARLY
        try:
            return self._order(duty, server.server_id, desired, held.fencing)
        except FireflyhitchError as error:
            logger.bind(step=error.step.value, peer=server.server_id).warning(
                'no answer to an order'
            )
            return OrderResult.UNKNOWN

    def _order(
        self,
        duty: DutyId,
        server: BackendServerId,
        desired: DesiredState,
        fencing: FencingNumber,
    ) -> OrderResult:
        if is_in_effect(self._engines.read_state(server), desired):
            return OrderResult.IN_EFFECT
        # The lease may have expired during the read.
        held = self._duties.find(duty)
        if held is None or not self._has_time(held):
            return OrderResult.NOT_HELD
        invariant(
            held.fencing == fencing,
            Invariant.ONE_HOLDER,
            f'{duty} taken again during an order',
            step=Step.ORDER,
            peer=server,
        )
        order = EngineOrder(desired.action, desired.argument, fencing)
        if not self._engines.send_order(server, order):
            return OrderResult.REFUSED
        in_effect = is_in_effect(self._engines.read_state(server), desired)
        return OrderResult.IN_EFFECT if in_effect else OrderResult.PENDING

    def _has_time(self, held: HeldDuty) -> bool:
        # An order sent just before the lease expires could arrive after it. If the
        # remaining lease exceeds the order's timeout, it cannot.
        return held.until - self._clock.monotonic() > self._order_timeout

    def _is_safe_without_fencing(self, held: HeldDuty) -> bool:
        """Return whether no order of an earlier holder can still be in flight.

        An engine that ignores fencing numbers would execute such an order after one
        of this daemon. The earlier holder stopped by the end of its lease, and its
        last order timed out within the order timeout after that.
        """
        lease = self._duties.terms.duration.total_seconds()
        return self._clock.monotonic() - held.since >= lease + self._order_timeout


def is_in_effect(state: EngineState, desired: DesiredState) -> bool:
    """Return whether an engine is in the desired state."""
    if desired.action is EngineAction.LOAD_VERSION:
        return state.version == desired.argument
    if desired.action is EngineAction.LOAD_ADAPTER:
        return desired.argument in state.adapters
    if desired.action is EngineAction.SET_ROLE:
        return state.role == desired.argument
    return not state.ready
