"""Admits or refuses requests by route, customer, quota and crash quarantine."""

from datetime import timedelta
from http import HTTPStatus

from loguru import logger

from fireflyhitch_model.ids import DeploymentId
from fireflyhitch_serving.catalog import Catalog, Customer, Route
from fireflyhitch_serving.dependencies import RequestDependencies
from fireflyhitch_serving.edge import Refusal
from fireflyhitch_serving.exchanges import (
    Exchange,
    find_content,
    find_shared_parts,
)
from fireflyhitch_serving.forwarded_requests import decode_forwarded, remove_header
from fireflyhitch_serving.messages import CallerRequest, RequestInfo
from fireflyhitch_serving.replies import Reply

# Callers retry after about the time in which drained servers are replaced or the server
# list is read. The time is jittered, so that callers don't retry all at once.
RETRY_SECONDS = 0.4
RETRY_SPREAD = 0.5


class RefusedError(Exception):
    """The daemon itself gives the final response to a request."""

    def __init__(self, refusal: Refusal) -> None:
        super().__init__(refusal.message)
        self.refusal = refusal


class Admission:
    """Admits requests or refuses them at once."""

    def __init__(self, dependencies: RequestDependencies) -> None:
        """Create an admission that uses the current configuration."""
        self._deps = dependencies
        self._clock = dependencies.clock

    def admit(
        self, request: CallerRequest, info: RequestInfo, reply: Reply
    ) -> Exchange:
        """Return an exchange for a request that may be sent.

        :raises RefusedError: if the request is not admitted.
        """
        route, customer = self.find_route(info)
        if request.body_dropped:
            raise self.build_transient_refusal(
                'body_dropped', 'the request was not allowed when it began to arrive'
            )
        service = self._pick_service(route)
        self._deps.budget.record_request(service, self._clock.monotonic())
        time_limit = find_time_limit(route, info)
        exchange = Exchange(
            request,
            info,
            route,
            service,
            customer,
            reply,
            request.arrived + time_limit,
            find_content(request, customer),
            find_shared_parts(service, info),
        )
        self.check_quarantine(exchange)
        exchange.events.last_id = info.last_event
        self._charge(exchange)
        return exchange

    def find_route(self, info: RequestInfo) -> tuple[Route, Customer | None]:
        """Return a request's route and customer.

        :raises RefusedError: if the request cannot be served, whatever its body.
        """
        catalog = self._deps.catalog()
        if catalog is None:
            raise self.build_transient_refusal(
                'no_configuration', 'no configuration is known yet'
            )
        route = catalog.find_route(info.host, info.path)
        if route is None:
            raise self.make_denial(
                Refusal(HTTPStatus.NOT_FOUND, 'no_route', 'no such route')
            )
        customer = self._find_customer(catalog, route, info)
        self._check_shutdown(route, info)
        return route, customer

    def admit_forwarded(
        self, request: CallerRequest, info: RequestInfo, reply: Reply
    ) -> Exchange:
        """Return an exchange for a request that another daemon has admitted.

        :raises BadRequestError: if the forwarding daemon's header is malformed.
        :raises RefusedError: if this daemon cannot serve it either.
        """
        forwarded = decode_forwarded(request)
        route = forwarded.route
        caller_request = remove_header(request)
        self._check_shutdown(route, info)
        exchange = Exchange(
            caller_request,
            info,
            route,
            forwarded.service,
            forwarded.customer,
            reply,
            request.arrived + find_time_limit(route, info),
            find_content(caller_request, forwarded.customer),
            find_shared_parts(forwarded.service, info),
            forwarded_by=forwarded.sender,
            usage_counted=forwarded.usage_counted,
            sends=forwarded.sends,
            forwarded_sends=forwarded.sends,
            retries_taken=forwarded.sends,
        )
        self.check_quarantine(exchange)
        exchange.events.last_id = info.last_event
        return exchange

    def check_quarantine(self, exchange: Exchange) -> None:
        """Refuse a request that probably crashes the server it is sent to.

        :raises RefusedError: if it, or a part of its prompt, is held.
        """
        quarantine = self._deps.crashes.quarantine
        now = self._clock.monotonic()
        wait = quarantine.find_longest_hold(exchange.suspects, now)
        if wait is None:
            return
        logger.bind(
            request_id=exchange.info.request_id,
            content=exchange.content,
            parts=exchange.parts,
            seconds=round(wait),
        ).info('request is held')
        message = 'servers have ended under such requests; it is held back'
        raise build_refusal(wait, 'held', message)

    def _check_shutdown(self, route: Route, info: RequestInfo) -> None:
        """Refuse a request that may outlast this process.

        It would be cut off midway; another daemon can serve it now.

        :raises RefusedError: if its time limit ends after the process.
        """
        self._check_end(self._clock.monotonic() + find_time_limit(route, info))

    def check_unsent(self, exchange: Exchange) -> None:
        """Refuse a request that has waited to be sent and may outlast this process.

        :raises RefusedError: if its deadline is after the end of the process.
        """
        if not exchange.sends:
            self._check_end(exchange.deadline)

    def _check_end(self, latest: float) -> None:
        deadline = self._deps.shutdown_deadline()
        if deadline is not None and latest > deadline:
            raise self.make_stopping_error()

    def make_stopping_error(self) -> RefusedError:
        """Return the error for a request that this process can't complete."""
        return self.build_transient_refusal('stopping', 'this daemon is about to stop')

    def _find_customer(
        self, catalog: Catalog, route: Route, info: RequestInfo
    ) -> Customer | None:
        if not catalog.requires_keys or route.public:
            return None
        customer = catalog.find_customer(info.key) if info.key else None
        if customer is None:
            raise self.make_denial(
                Refusal(HTTPStatus.UNAUTHORIZED, 'unknown_key', 'unknown key')
            )
        return customer

    def make_denial(self, refusal: Refusal) -> RefusedError:
        """Return the error for a request that the configuration does not allow.

        A caller does not come back after it. While a newer configuration may allow the
        request, the caller is asked to retry instead.
        """
        if self._deps.catalog() is not None and self._deps.is_catalog_recent():
            return RefusedError(refusal)
        return self.build_transient_refusal(
            f'{refusal.code}_yet',
            f'{refusal.message}, by a configuration that may be outdated',
        )

    def _pick_service(self, route: Route) -> DeploymentId:
        if len(route.shares) == 1:
            return route.shares[0].service
        weights = [share.weight for share in route.shares]
        return self._deps.rng.choices(route.shares, weights)[0].service

    def _charge(self, exchange: Exchange) -> None:
        customer = exchange.customer
        if customer is None:
            return
        units = 1.0
        if customer.quota.in_tokens:
            tokens = exchange.info.tokens
            units = customer.quota.plain_tokens if tokens is None else tokens
        now = self._clock.monotonic()
        priority = exchange.route.priority
        wait = self._deps.quotas.take(customer, units, now, priority)
        if wait is not None:
            logger.bind(
                request_id=exchange.info.request_id,
                customer=customer.name,
                units=units,
                seconds=round(wait, 3),
                **self._deps.quotas.describe(customer, now, priority),
            ).info('limit reached')
            raise RefusedError(
                Refusal(
                    HTTPStatus.TOO_MANY_REQUESTS,
                    'over_limit',
                    "the customer's limit is reached",
                    retry_after=timedelta(seconds=wait),
                )
            )
        exchange.charged_units = units
        self._deps.workloads.record_units(units)

    def build_transient_refusal(self, code: str, message: str) -> RefusedError:
        """Return the error for a request that did not run, with a jittered retry time.

        :param code: error code for the caller.
        :param message: error message for the caller.
        """
        seconds = RETRY_SECONDS * self._deps.rng.uniform(
            1 - RETRY_SPREAD, 1 + RETRY_SPREAD
        )
        return build_refusal(seconds, code, message)


def build_refusal(seconds: float, code: str, message: str) -> RefusedError:
    """Return the error for a request that did not run.

    :param seconds: time after which the caller may retry.
    """
    return RefusedError(
        Refusal(
            HTTPStatus.SERVICE_UNAVAILABLE,
            code,
            message,
            retry_after=timedelta(seconds=seconds),
        )
    )


def find_time_limit(route: Route, info: RequestInfo) -> float:
    """Return the seconds within which a request gets its final response."""
    if info.time_left is None:
        return route.timeout
    return min(route.timeout, info.time_left)
