"""Whether a request is served at all: its route, its customer, and the limit."""

from datetime import timedelta
from http import HTTPStatus

from loguru import logger

from fireflyhitch_model.ids import ContentId, DeploymentId
from fireflyhitch_serving.callers import Reply
from fireflyhitch_serving.catalog import Catalog, Customer, Route
from fireflyhitch_serving.dependencies import RequestDependencies
from fireflyhitch_serving.edge import Refusal
from fireflyhitch_serving.exchanges import Exchange, find_content
from fireflyhitch_serving.messages import CallerRequest, RequestInfo

# A request without a server comes back after about the time in which servers that
# leave are replaced or the list is read; spread, so that not all come back at once.
RETRY_SECONDS = 0.4
RETRY_SPREAD = 0.5


class RefusedError(Exception):
    """A request ends with a final answer of the daemon's own."""

    def __init__(self, refusal: Refusal) -> None:
        super().__init__(refusal.message)
        self.refusal = refusal


class Admission:
    """Admits requests, or refuses them at once."""

    def __init__(self, parts: RequestDependencies) -> None:
        """Make an admission on the configuration in force."""
        self._parts = parts
        self._clock = parts.clock

    def admit(
        self, message: CallerRequest, facts: RequestInfo, reply: Reply
    ) -> Exchange:
        """Return a request that may be sent.

        :raises RefusedError: if it may not.
        """
        catalog = self._parts.catalog()
        if catalog is None:
            raise self.refuse_for_now(
                'no_configuration', 'no configuration is known yet'
            )
        route = catalog.find_route(facts.host, facts.path)
        if route is None:
            raise RefusedError(
                Refusal(HTTPStatus.NOT_FOUND, 'no_route', 'no such route')
            )
        customer = self._find_customer(catalog, route, facts)
        content = find_content(message, customer)
        self._check_held(content, facts)
        self._check_time(route, facts)
        service = self._pick_service(route)
        self._parts.budget.record_request(service, self._clock.monotonic())
        wait = _find_wait(route, facts)
        exchange = Exchange(
            message,
            facts,
            route,
            service,
            customer,
            reply,
            message.arrived + wait,
            content,
        )
        exchange.events.last_id = facts.last_event
        self._charge(exchange)
        return exchange

    def _check_held(self, content: ContentId, facts: RequestInfo) -> None:
        """Refuse a request that would end the server that it is sent to."""
        now = self._clock.monotonic()
        wait = self._parts.crashes.quarantine.find_remaining_hold(content, now)
        if wait is None:
            return
        logger.bind(
            request_id=facts.request_id, content=content, seconds=round(wait)
        ).info('request is held')
        message = 'servers have ended under this request; it is held back'
        raise refuse_for(wait, 'held', message)

    def _check_time(self, route: Route, facts: RequestInfo) -> None:
        """Refuse what may not be over when this process ends.

        It would be cut off in the middle; another daemon can take it now.
        """
        last = self._parts.shutdown_deadline()
        if last is None:
            return
        if self._clock.monotonic() + _find_wait(route, facts) > last:
            raise self.refuse_for_now('stopping', 'this daemon is about to stop')

    def _find_customer(
        self, catalog: Catalog, route: Route, facts: RequestInfo
    ) -> Customer | None:
        if not catalog.asks_keys or route.public:
            return None
        customer = catalog.find_customer(facts.key) if facts.key else None
        if customer is None:
            raise RefusedError(
                Refusal(HTTPStatus.UNAUTHORIZED, 'unknown_key', 'unknown key')
            )
        return customer

    def _pick_service(self, route: Route) -> DeploymentId:
        if len(route.shares) == 1:
            return route.shares[0].service
        weights = [share.weight for share in route.shares]
        return self._parts.rng.choices(route.shares, weights)[0].service

    def _charge(self, exchange: Exchange) -> None:
        customer = exchange.customer
        if customer is None:
            return
        units = 1.0
        if customer.quota.in_tokens:
            tokens = exchange.facts.tokens
            units = customer.quota.plain_tokens if tokens is None else tokens
        wait = self._parts.quotas.take(customer, units, self._clock.monotonic())
        if wait is not None:
            logger.bind(
                request_id=exchange.facts.request_id,
                customer=customer.name,
                units=units,
                seconds=round(wait, 3),
                **self._parts.quotas.describe(customer, self._clock.monotonic()),
            ).info('limit reached')
            raise RefusedError(
                Refusal(
                    HTTPStatus.TOO_MANY_REQUESTS,
                    'over_limit',
                    "the customer's limit is reached",
                    retry_after=timedelta(seconds=wait),
                )
            )
        exchange.charged = units
        self._parts.workloads.record_units(units)

    def refuse_for_now(self, code: str, message: str) -> RefusedError:
        """Return the error for a request that did not run and may come back."""
        seconds = RETRY_SECONDS * self._parts.rng.uniform(
            1 - RETRY_SPREAD, 1 + RETRY_SPREAD
        )
        return refuse_for(seconds, code, message)


def refuse_for(seconds: float, code: str, message: str) -> RefusedError:
    """Return the error for a request that did not run, with its time to come back."""
    return RefusedError(
        Refusal(
            HTTPStatus.SERVICE_UNAVAILABLE,
            code,
            message,
            retry_after=timedelta(seconds=seconds),
        )
    )


def _find_wait(route: Route, facts: RequestInfo) -> float:
    """Return the seconds within which a request gets its final answer."""
    return min(route.timeout, facts.time_left or route.timeout)
