"""Customers' limits at one daemon: rates in requests and tokens, concurrency."""

import math
import threading
from dataclasses import dataclass
from datetime import timedelta
from http import HTTPStatus

from fireflyhitch_model.calls import Call
from fireflyhitch_model.clock import Clock
from fireflyhitch_model.errors import RequestError
from fireflyhitch_model.ids import CustomerId, DaemonId
from fireflyhitch_model.invariants import Invariant, invariant
from fireflyhitch_model.peers import PeerMessenger, Scope
from fireflyhitch_model.states import Step
from fireflyhitch_routing.buckets import TokenBucket
from fireflyhitch_routing.shares import INTERVAL_SECONDS, DemandReport, DemandShares
from fireflyhitch_settings.schema import Configuration, CustomerLimits

# How many seconds of its rate a customer may save up for a burst.
BURST_SECONDS = 2.0
DEMAND_WEIGHT = 0.3
LEAST_DEMAND = 0.0001
LEAST_RETRY_SECONDS = 1.0


@dataclass(slots=True)
class Permit:
    """Leave to run one call; give it back once with its true use.

    :param tokens: what was reserved: the prompt and the longest answer.
    """

    customer: CustomerId
    tokens: int
    released: bool = False


@dataclass(slots=True)
class _Account:
    limits: CustomerLimits
    requests: TokenBucket
    tokens: TokenBucket
    running: int = 0
    asked_requests: int = 0
    asked_tokens: int = 0
    demand: float = 0


class Admission:
    """Admits calls within their customer's limits; safe from any thread.

    :param daemon: this daemon.
    """

    def __init__(
        self, clock: Clock, daemon: DaemonId, messenger: PeerMessenger
    ) -> None:
        self._clock = clock
        self._daemon = daemon
        self._messenger = messenger
        self._lock = threading.Lock()
        self._accounts: dict[CustomerId, _Account] = {}
        self._shares = DemandShares()
        self._updated = clock.monotonic()
        messenger.handle(DemandReport, self._hear)

    def configure(self, configuration: Configuration) -> None:
        """Take the limits from the configuration in force.

        Work under way of a customer that is gone ends normally.
        """
        now = self._clock.monotonic()
        with self._lock:
            for customer in configuration.customers:
                account = self._accounts.get(customer.customer_id)
                if account is None:
                    account = _open_account(customer.limits, now)
                    self._accounts[customer.customer_id] = account
                account.limits = customer.limits
                self._set_rates(customer.customer_id, account, now)
            current = {one.customer_id for one in configuration.customers}
            for gone in self._accounts.keys() - current:
                self._accounts.pop(gone)

    def admit(self, call: Call) -> Permit:
        """Admit a call, or tell when to come back.

        :raises RequestError: status 429 with outcome ``not-run`` above the
            customer's limits, with the time until they allow the call.
        """
        now = self._clock.monotonic()
        reserved = call.prompt_tokens + call.max_tokens
        with self._lock:
            account = self._accounts.get(call.customer)
            if account is None:
                raise _refuse('unknown customer', 'unknown_customer', None)
            account.asked_requests += 1
            account.asked_tokens += reserved
            wait = max(
                account.requests.seconds_until(1, now),
                account.tokens.seconds_until(reserved, now),
            )
            if wait > 0:
                raise _refuse('rate limit reached', 'rate_limit_exceeded', wait)
            if account.running >= self._most_running(call.customer, account):
                raise _refuse(
                    'too many requests at once',
                    'concurrency_limit_exceeded',
                    LEAST_RETRY_SECONDS,
                )
            account.requests.take(1, now)
            account.tokens.take(reserved, now)
            account.running += 1
            return Permit(call.customer, reserved)

    def release(self, permit: Permit, used_tokens: int) -> None:
        """Give back a permit; call it exactly once, whatever became of the call.

        :param used_tokens: tokens of prompt and answer; the rest of what was
            reserved is given back to the customer.
        """
        now = self._clock.monotonic()
        invariant(not permit.released, Invariant.COUNT_BALANCES, step=Step.ADMIT)
        permit.released = True
        with self._lock:
            account = self._accounts.get(permit.customer)
            if account is None:
                return
            # An account opened anew under work in progress starts from zero.
            account.running = max(0, account.running - 1)
            account.tokens.take(used_tokens - permit.tokens, now)

    def exchange(self) -> None:
        """Tell peers of the demand here and follow theirs; call it every second."""
        now = self._clock.monotonic()
        peers = [
            peer.daemon_id
            for peer in self._messenger.live()
            if peer.daemon_id != self._daemon
        ]
        with self._lock:
            elapsed = max(now - self._updated, INTERVAL_SECONDS)
            self._updated = now
            demands = {
                customer: demand
                for customer, account in self._accounts.items()
                if (demand := _measure_demand(account, elapsed)) > LEAST_DEMAND
            }
            self._shares.expect(peers, now)
            self._shares.update(demands, now)
            for customer, account in self._accounts.items():
                self._set_rates(customer, account, now)
        self._messenger.spread(DemandReport(demands=demands), Scope.EVERYWHERE)

    def _hear(self, peer: DaemonId, report: DemandReport) -> None:
        with self._lock:
            self._shares.hear(peer, report, self._clock.monotonic())

    def _set_rates(self, customer: CustomerId, account: _Account, now: float) -> None:
        share = self._shares.share(customer)
        account.requests.set_rate(account.limits.requests_per_second * share, now)
        account.tokens.set_rate(account.limits.tokens_per_second * share, now)

    def _most_running(self, customer: CustomerId, account: _Account) -> int:
        share = self._shares.share(customer)
        return math.ceil(account.limits.concurrent_requests * share)


def _open_account(limits: CustomerLimits, now: float) -> _Account:
    return _Account(
        limits,
        TokenBucket(limits.requests_per_second, BURST_SECONDS, now),
        TokenBucket(limits.tokens_per_second, BURST_SECONDS, now),
    )


def _measure_demand(account: _Account, elapsed: float) -> float:
    """Return the average part of the limit asked for, by the scarcest of the three."""
    limits = account.limits
    asked = max(
        account.asked_requests / elapsed / limits.requests_per_second,
        account.asked_tokens / elapsed / limits.tokens_per_second,
        account.running / limits.concurrent_requests,
    )
    account.demand += DEMAND_WEIGHT * (asked - account.demand)
    account.asked_requests = 0
    account.asked_tokens = 0
    return account.demand


def _refuse(message: str, code: str, wait: float | None) -> RequestError:
    if wait is None:
        status = HTTPStatus.UNAUTHORIZED
        retry_after = None
    else:
        status = HTTPStatus.TOO_MANY_REQUESTS
        retry_after = timedelta(seconds=max(wait, LEAST_RETRY_SECONDS))
    return RequestError(
        message, step=Step.ADMIT, status=status, code=code, retry_after=retry_after
    )
