"""Log lines on the attempts at a request."""

from loguru import logger

from fireflyhitch_routing.time_factors import AppliedFactor
from fireflyhitch_serving.exchanges import AttemptFailure, Exchange
from fireflyhitch_serving.placement import Placement
from fireflyhitch_serving.retry_budget import BudgetUse

# Parts of a prompt in one line.
MAX_LOGGED_PARTS = 8


def log_failure(
    exchange: Exchange, placement: Placement, failure: AttemptFailure, now: float
) -> None:
    """Log a failed attempt."""
    logger.bind(
        request_id=exchange.info.request_id,
        route=exchange.route.name,
        content=exchange.content,
        parts=[part.part_id for part in exchange.info.parts[:MAX_LOGGED_PARTS]],
        begun=exchange.first_event_at is not None,
        server=placement.record.server.server_id,
        beside=placement.record.requests,
        seconds=round(now - exchange.attempt_started, 3),
        ending=failure.ending.value,
        outcome=failure.outcome.value,
        detail=failure.detail,
        **_describe_factor(placement.time_factor),
    ).warning('attempt failed')


def log_retry(exchange: Exchange, use: BudgetUse, *, taken: bool) -> None:
    """Log whether the retry budget allows another attempt.

    :param use: before the retry was taken.
    """
    logger.bind(
        request_id=exchange.info.request_id,
        route=exchange.route.name,
        service=exchange.service,
        sends=exchange.sends,
        requests=use.requests,
        retries=use.retries,
        limit=round(use.limit, 1),
        daemons=use.daemons,
    ).info('retry' if taken else 'retry budget used up')


def log_success(exchange: Exchange, placement: Placement, now: float) -> None:
    """Log a complete response."""
    arrived = exchange.request.arrived
    logger.bind(
        request_id=exchange.info.request_id,
        customer=exchange.customer and exchange.customer.name,
        route=exchange.route.name,
        server=placement.record.server.server_id,
        sends=exchange.sends,
        first=round((exchange.first_event_at or now) - arrived, 3),
        seconds=round(now - arrived, 3),
        expected=round(placement.wait, 3),
        requests=placement.requests,
        queued_tokens=placement.queued_tokens,
        fresh_tokens=placement.fresh_tokens,
        **_describe_factor(placement.time_factor),
    ).info('request answered')


def _describe_factor(applied: AppliedFactor) -> dict[str, float | str]:
    """Return the fields on a server's time factor, none if it states none."""
    if applied.age is None:
        return {}
    return {
        'factor': round(applied.factor, 2),
        'factor_age': round(applied.age, 2),
        'factor_source': applied.source.value,
    }


def log_queued(exchange: Exchange, place: int, expected: float | None) -> None:
    """Log that a request waits for a place at a server.

    :param place: number of requests before it.
    :param expected: expected seconds of waiting, ``None`` if unknown.
    """
    logger.bind(
        **_describe_wait(exchange, expected),
        urgency=exchange.urgency,
        place=place,
    ).info('request queued')


def log_started(exchange: Exchange, expected: float | None, seconds: float) -> None:
    """Log that a request has waited and is sent now."""
    logger.bind(**_describe_wait(exchange, expected), waited=round(seconds, 3)).info(
        'request started'
    )


def log_wait_refused(
    exchange: Exchange, reason: str, expected: float | None, now: float
) -> None:
    """Log that a request is refused since it would wait too long."""
    logger.bind(
        **_describe_wait(exchange, expected),
        reason=reason,
        age=round(now - exchange.request.arrived, 3),
        time_left=round(exchange.deadline - now, 3),
    ).info('wait refused')


def _describe_wait(exchange: Exchange, expected: float | None) -> dict[str, object]:
    return {
        'request_id': exchange.info.request_id,
        'route': exchange.route.name,
        'service': exchange.service,
        'expected': None if expected is None else round(expected, 3),
    }
