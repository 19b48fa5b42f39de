"""Enforces customers' limits at one daemon: request rate, token rate, concurrency."""

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

# Size of the token buckets, in seconds of the customer's rate: the largest burst.
BURST_SECONDS = 2.0
DEMAND_WEIGHT = 0.3
MIN_DEMAND = 0.0001
MIN_RETRY_SECONDS = 1.0


@dataclass(slots=True)
class Permit:
    """Permission to run one call; release it exactly once with the actual use.

    :param tokens: reserved tokens: the prompt and the longest possible answer.
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
    offered_requests: int = 0
    offered_tokens: int = 0
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
        messenger.handle(DemandReport, self._apply_report)

    def configure(self, configuration: Configuration) -> None:
        """Apply the limits of the configuration in force.

        Calls in flight of a removed customer complete normally.
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
            for removed in self._accounts.keys() - current:
                self._accounts.pop(removed)

    def admit(self, call: Call) -> Permit:
        """Admit a call or refuse it.

        :raises RequestError: status 429 with outcome ``not-run`` above the
            customer's limits, with the time after which to retry.
        """
        now = self._clock.monotonic()
        reserved = call.prompt_tokens + call.max_tokens
        with self._lock:
            account = self._accounts.get(call.customer)
            if account is None:
                raise _make_error('unknown customer', 'unknown_customer', None)
            account.offered_requests += 1
            account.offered_tokens += reserved
            wait = max(
                account.requests.seconds_until(1, now),
                account.tokens.seconds_until(reserved, now),
            )
            if wait > 0:
                raise _make_error('rate limit reached', 'rate_limit_exceeded', wait)
            if account.running >= self._max_running(call.customer, account):
                raise _make_error(
                    'too many requests at once',
                    'concurrency_limit_exceeded',
                    MIN_RETRY_SECONDS,
                )
            account.requests.consume(1, now)
            account.tokens.consume(reserved, now)
            account.running += 1
            return Permit(call.customer, reserved)

    def release(self, permit: Permit, used_tokens: int) -> None:
        """Release a permit; call this exactly once, however the call ended.

        :param used_tokens: tokens of prompt and answer; the rest of the reserved
            tokens is returned to the customer.
        """
        now = self._clock.monotonic()
        invariant(not permit.released, Invariant.COUNT_BALANCES, step=Step.ADMIT)
        permit.released = True
        with self._lock:
            account = self._accounts.get(permit.customer)
            if account is None:
                return
            # If a customer was removed and added again, the new account starts at zero
            # while calls counted in the old one are still in flight.
            account.running = max(0, account.running - 1)
            account.tokens.consume(used_tokens - permit.tokens, now)

    def exchange(self) -> None:
        """Broadcast local demand and update the shares; call this every second."""
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
                if (demand := _measure_demand(account, elapsed)) > MIN_DEMAND
            }
            self._shares.update_peers(peers, now)
            self._shares.update(demands, now)
            for customer, account in self._accounts.items():
                self._set_rates(customer, account, now)
        self._messenger.broadcast(DemandReport(demands=demands), Scope.EVERYWHERE)

    def _apply_report(self, peer: DaemonId, report: DemandReport) -> None:
        with self._lock:
            self._shares.apply_report(peer, report, self._clock.monotonic())

    def _set_rates(self, customer: CustomerId, account: _Account, now: float) -> None:
        share = self._shares.share(customer)
        account.requests.set_rate(account.limits.requests_per_second * share, now)
        account.tokens.set_rate(account.limits.tokens_per_second * share, now)

    def _max_running(self, customer: CustomerId, account: _Account) -> int:
        share = self._shares.share(customer)
        return math.ceil(account.limits.concurrent_requests * share)


def _open_account(limits: CustomerLimits, now: float) -> _Account:
    return _Account(
        limits,
        TokenBucket(limits.requests_per_second, BURST_SECONDS, now),
        TokenBucket(limits.tokens_per_second, BURST_SECONDS, now),
    )


def _measure_demand(account: _Account, elapsed: float) -> float:
    """Return the moving average of demand, as a fraction of the tightest limit."""
    limits = account.limits
    offered = max(
        account.offered_requests / elapsed / limits.requests_per_second,
        account.offered_tokens / elapsed / limits.tokens_per_second,
        account.running / limits.concurrent_requests,
    )
    account.demand += DEMAND_WEIGHT * (offered - account.demand)
    account.offered_requests = 0
    account.offered_tokens = 0
    return account.demand


def _make_error(message: str, code: str, wait: float | None) -> RequestError:
    if wait is None:
        status = HTTPStatus.UNAUTHORIZED
        retry_after = None
    else:
        status = HTTPStatus.TOO_MANY_REQUESTS
        retry_after = timedelta(seconds=max(wait, MIN_RETRY_SECONDS))
    return RequestError(
        message, step=Step.ADMIT, status=status, code=code, retry_after=retry_after
    )
