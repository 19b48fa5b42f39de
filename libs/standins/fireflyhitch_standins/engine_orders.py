"""State of a stand-in engine and the orders that change it."""

import asyncio
from collections.abc import Callable
from typing import Any

from pydantic import TypeAdapter

from fireflyhitch_model.ids import FencingNumber, VersionId
from fireflyhitch_platform.services import EngineAction, EngineOrder, EngineState
from fireflyhitch_standins.engine_settings import EngineSettings

_ORDER = TypeAdapter(EngineOrder)
_STATE = TypeAdapter(EngineState)


class EngineOrderHandler:
    """Applies orders to version, adapters and role after their load time.

    :param settings: returns the current settings.
    :param set_version: called when another version has been loaded.
    """

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        settings: Callable[[], EngineSettings],
        set_version: Callable[[VersionId], None],
    ) -> None:
        self.draining = False
        self.orders: list[EngineOrder] = []
        self._loop = loop
        self._settings = settings
        self._set_version = set_version
        self._version = settings().version
        self._role = settings().role
        self._adapters: tuple[str, ...] = ()
        self._fencing = FencingNumber(0)
        self._loading = 0

    @property
    def accepts_calls(self) -> bool:
        """Return whether new calls are accepted."""
        return not (self.draining or self._loading or self._settings().refuse)

    def describe(self) -> Any:
        """Return the state as a document."""
        ready = not (self._loading or self.draining)
        state = EngineState(
            self._version, self._adapters, self._role, self._fencing, ready
        )
        return _STATE.dump_python(state, mode='json')

    def accept(self, body: bytes) -> bool:
        """Accept an order.

        :returns: ``False`` if fencing is enabled and its fencing number is outdated.
        """
        order = _ORDER.validate_json(body)
        if self._settings().fencing and order.fencing < self._fencing:
            return False
        self._fencing = order.fencing
        self.orders.append(order)
        if order.action is EngineAction.DRAIN:
            self.draining = True
        elif order.action is EngineAction.SET_ROLE:
            self._role = order.argument
        else:
            self._loading += 1
            self._loop.call_later(self._settings().load_seconds, self._load, order)
        return True

    def _load(self, order: EngineOrder) -> None:
        self._loading -= 1
        if order.action is EngineAction.LOAD_ADAPTER:
            self._adapters = (*self._adapters, order.argument)
            return
        self._version = VersionId(order.argument)
        self._set_version(self._version)
