"""Overload control: refuses calls at once that would queue for too long.

A short burst may queue for a few times the target. If no server has been within the
target for ``STANDING_SECONDS``, there is a standing queue: it makes every call late
without serving more calls. Then calls are refused as soon as they would be late, those
of low priority and of customers above their fair share first. The idea comes from
controlled delay in network queues (CoDel, RFC 8289).
"""

import math
from dataclasses import dataclass, field

from fireflyhitch_model.calls import Call
from fireflyhitch_model.ids import CustomerId
from fireflyhitch_model.states import Priority
from fireflyhitch_routing.policy import Estimate

STANDING_SECONDS = 1.0
# With little traffic two late calls in a row occur by chance.
STANDING_CALLS = 4
STRICT_SECONDS = 5.0
USAGE_SECONDS = 10.0
# Calls are refused above this multiple of the target, by priority.
RELAXED_LIMITS = {Priority.URGENT: 4.0, Priority.NORMAL: 3.0, Priority.BATCH: 1.0}
STRICT_LIMITS = {Priority.URGENT: 1.5, Priority.NORMAL: 1.0, Priority.BATCH: 0.7}
# Multiplies the limit of a customer above its fair share. It is a factor, so that an
# urgent call still takes precedence over a normal one of another customer.
HEAVY_STRICT_FACTOR = 0.8
HEAVY_RELAXED_FACTOR = 0.5
# A server that misses its target even when idle is not overloaded for that reason: it
# may be this much slower than when idle.
IDLE_RATIO = 1.1
# Recent work, in tokens, below which a customer does not count as active.
MIN_USAGE = 1.0


@dataclass(slots=True)
class _Usage:
    work: float = 0
    at: float = 0

    def decayed(self, now: float) -> float:
        return self.work * math.exp((self.at - now) / USAGE_SECONDS)


@dataclass(slots=True)
class OverloadControl:
    """Overload state of a deployment at one daemon; not thread-safe."""

    late_since: float | None = None
    late_calls: int = 0
    strict_until: float = float('-inf')
    _usage: dict[CustomerId, _Usage] = field(default_factory=dict)

    def record_estimate(self, chosen: Estimate, idle: Estimate, now: float) -> None:
        """Update the overload state with the estimate for the best server.

        A call that would be late even on an idle server, because of a long prompt, is
        no sign of overload.
        """
        if chosen.margin <= 1 or chosen.margin <= IDLE_RATIO * idle.margin:
            self.late_since = None
            self.late_calls = 0
            return
        if self.late_since is None:
            self.late_since = now
        self.late_calls += 1
        is_standing = now - self.late_since >= STANDING_SECONDS
        if is_standing and self.late_calls >= STANDING_CALLS:
            self.strict_until = now + STRICT_SECONDS

    def record_usage(self, customer: CustomerId, work: float, now: float) -> None:
        """Add to the recent work of a customer.

        :param work: prompt tokens and expected answer tokens.
        """
        usage = self._usage.setdefault(customer, _Usage())
        usage.work = usage.decayed(now) + work
        usage.at = now

    def refuses(self, call: Call, chosen: Estimate, idle: Estimate, now: float) -> bool:
        """Return whether a call should be refused.

        :param chosen: the estimate for the best server.
        :param idle: the estimate for the same server without other calls.
        """
        strict = now < self.strict_until
        limit = (
            STRICT_LIMITS[call.priority] if strict else RELAXED_LIMITS[call.priority]
        )
        if self._exceeds_fair_share(call.customer, now):
            limit *= HEAVY_STRICT_FACTOR if strict else HEAVY_RELAXED_FACTOR
        if not strict:
            limit = max(limit, 1)
        load = chosen.margin if strict else chosen.expected
        idle_load = idle.margin if strict else idle.expected
        return load > max(limit, IDLE_RATIO * idle_load)

    def _exceeds_fair_share(self, customer: CustomerId, now: float) -> bool:
        used = {one: usage.decayed(now) for one, usage in self._usage.items()}
        active = [work for work in used.values() if work > MIN_USAGE]
        if len(active) < 2:
            return False
        return used.get(customer, 0) > sum(active) / len(active)
