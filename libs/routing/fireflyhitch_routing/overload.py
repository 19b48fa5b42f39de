"""When a call is refused at once, rather than queued beyond its use.

A short burst may queue for a few times the target. When no server has been within
the target for longer than that, the queue is a standing one: it makes every call
late without serving one more. Then calls are refused as soon as they would be
late, those of low priority and of customers above their fair part first. The
idea is that of controlled delay in routers' queues (CoDel, RFC 8289).
"""

import math
from dataclasses import dataclass, field

from fireflyhitch_model.calls import Call
from fireflyhitch_model.ids import CustomerId
from fireflyhitch_model.states import Priority
from fireflyhitch_routing.policy import Estimate

STANDING_SECONDS = 1.0
# A daemon with little traffic sees two late calls in a row by chance.
STANDING_CALLS = 4
STRICT_SECONDS = 5.0
USAGE_SECONDS = 10.0
# How much of the target a call may be expected to take, by priority.
PATIENT = {Priority.URGENT: 4.0, Priority.NORMAL: 3.0, Priority.BATCH: 1.0}
STRICT = {Priority.URGENT: 1.5, Priority.NORMAL: 1.0, Priority.BATCH: 0.7}
# A customer above its fair part gets this part of the limit. It multiplies, so that
# an urgent call still goes before a normal one of another customer.
GREEDY_STRICT = 0.8
GREEDY_PATIENT = 0.5
# A server that misses its target even when idle is not overloaded by that: it
# may be this much worse than idle.
IDLE_RATIO = 1.1
# Work below which a customer does not count as active, in tokens.
LEAST_USAGE = 1.0


@dataclass(slots=True)
class _Usage:
    work: float = 0
    at: float = 0

    def at_time(self, now: float) -> float:
        return self.work * math.exp((self.at - now) / USAGE_SECONDS)


@dataclass(slots=True)
class Pressure:
    """A deployment's overload as one daemon sees it; not thread-safe."""

    tight_since: float | None = None
    tight_calls: int = 0
    strict_until: float = float('-inf')
    _usage: dict[CustomerId, _Usage] = field(default_factory=dict)

    def note(self, chosen: Estimate, idle: Estimate, now: float) -> None:
        """Take in how near to the target the best server is.

        A call that is late even without other work, for its long prompt, is no sign
        of overload.
        """
        if chosen.margin <= 1 or chosen.margin <= IDLE_RATIO * idle.margin:
            self.tight_since = None
            self.tight_calls = 0
            return
        if self.tight_since is None:
            self.tight_since = now
        self.tight_calls += 1
        lasts = now - self.tight_since >= STANDING_SECONDS
        if lasts and self.tight_calls >= STANDING_CALLS:
            self.strict_until = now + STRICT_SECONDS

    def use(self, customer: CustomerId, work: float, now: float) -> None:
        """Count work given to a customer.

        :param work: tokens to be computed and generated.
        """
        usage = self._usage.setdefault(customer, _Usage())
        usage.work = usage.at_time(now) + work
        usage.at = now

    def refuses(self, call: Call, chosen: Estimate, idle: Estimate, now: float) -> bool:
        """Tell whether a call is refused rather than placed.

        :param chosen: the best there is for it.
        :param idle: the same server without other work.
        """
        strict = now < self.strict_until
        limit = STRICT[call.priority] if strict else PATIENT[call.priority]
        if self._is_greedy(call.customer, now):
            limit *= GREEDY_STRICT if strict else GREEDY_PATIENT
        if not strict:
            limit = max(limit, 1)
        load = chosen.margin if strict else chosen.expected
        idle_load = idle.margin if strict else idle.expected
        return load > max(limit, IDLE_RATIO * idle_load)

    def _is_greedy(self, customer: CustomerId, now: float) -> bool:
        used = {one: usage.at_time(now) for one, usage in self._usage.items()}
        active = [work for work in used.values() if work > LEAST_USAGE]
        if len(active) < 2:
            return False
        return used.get(customer, 0) > sum(active) / len(active)
