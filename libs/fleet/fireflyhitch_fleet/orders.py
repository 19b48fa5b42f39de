"""Orders to engines that stay safe when the duty changes hands."""

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
    """What became of an order."""

    IN_EFFECT = 'in-effect'
    PENDING = 'pending'
    NOT_HELD = 'not-held'
    TOO_EARLY = 'too-early'
    REFUSED = 'refused'
    UNKNOWN = 'unknown'


@dataclass(frozen=True, slots=True)
class DesiredState:
    """What an engine should hold."""

    action: EngineAction
    argument: str


class EngineReconciler:
    """Gives orders under a duty's lease and re-reads what the engines hold."""

    def __init__(
        self,
        engines: Engines,
        duties: DutyManager,
        clock: Clock,
        order_timeout: timedelta = DEFAULT_ORDER_TIMEOUT,
    ) -> None:
        """Make a desk.

        :param order_timeout: after which the client of the engines closes the
            connection of an order.
        """
        self._engines = engines
        self._duties = duties
        self._clock = clock
        self._order_timeout = order_timeout.total_seconds()

    def reconcile(
        self, duty: DutyId, server: BackendServer, wish: DesiredState
    ) -> OrderResult:
        """Bring an engine to a wished state; to be repeated until in effect.

        The engine is read first and after the order, also when it was read
        before: an earlier holder's late order shows here and is set right.
        """
        held = self._duties.find(duty)
        if held is None or not self._has_time(held):
            return OrderResult.NOT_HELD
        if server.fencing is FencingSupport.IGNORED and not self._is_settled(held):
            return OrderResult.TOO_EARLY
        try:
            return self._order(duty, server.server_id, wish, held.fencing)
        except FireflyhitchError as error:
            logger.bind(step=error.step.value, peer=server.server_id).warning(
                'order without an answer'
            )
            return OrderResult.UNKNOWN

    def _order(
        self,
        duty: DutyId,
        server: BackendServerId,
        wish: DesiredState,
        fencing: FencingNumber,
    ) -> OrderResult:
        if is_fulfilled(self._engines.read_state(server), wish):
            return OrderResult.IN_EFFECT
        # Reading took time, in which the lease may have run out.
        held = self._duties.find(duty)
        if held is None or not self._has_time(held):
            return OrderResult.NOT_HELD
        invariant(
            held.fencing == fencing,
            Invariant.ONE_HOLDER,
            f'{duty} taken anew during an order',
            step=Step.ORDER,
            peer=server,
        )
        order = EngineOrder(wish.action, wish.argument, fencing)
        if not self._engines.give_order(server, order):
            return OrderResult.REFUSED
        in_effect = is_fulfilled(self._engines.read_state(server), wish)
        return OrderResult.IN_EFFECT if in_effect else OrderResult.PENDING

    def _has_time(self, held: HeldDuty) -> bool:
        # An order sent at the very end would arrive after the lease; with its
        # timeout left on the lease it cannot.
        return held.until - self._clock.monotonic() > self._order_timeout

    def _is_settled(self, held: HeldDuty) -> bool:
        """Tell whether no order of an earlier holder can be on its way.

        An engine that ignores fencing numbers would obey such an order after
        ours. The earlier holder stopped within its lease, and its last order
        within the order's timeout.
        """
        lease = self._duties.terms.duration.total_seconds()
        return self._clock.monotonic() - held.since >= lease + self._order_timeout


def is_fulfilled(state: EngineState, wish: DesiredState) -> bool:
    """Tell whether an engine holds what is wished."""
    if wish.action is EngineAction.LOAD_VERSION:
        return state.version == wish.argument
    if wish.action is EngineAction.LOAD_ADAPTER:
        return wish.argument in state.adapters
    if wish.action is EngineAction.SET_ROLE:
        return state.role == wish.argument
    return not state.ready
