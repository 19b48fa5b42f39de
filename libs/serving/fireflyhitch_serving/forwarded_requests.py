"""The headers by which one daemon forwards an admitted request to another.

The receiver only chooses a server and sends the request. Route, customer and limits are
the sender's decision, so the receiver's configuration, which may be older, is not used.
"""

import base64
from typing import Any

import cbor2

from fireflyhitch_model.external_values import check_count, parse_integer
from fireflyhitch_model.ids import CustomerId, DeploymentId, RegionId
from fireflyhitch_model.records import immutable
from fireflyhitch_serving.catalog import Customer, Quota, Route, RouteKind
from fireflyhitch_serving.edge import BadRequestError
from fireflyhitch_serving.malformed import DECODE_ERRORS
from fireflyhitch_serving.messages import (
    CallerRequest,
    Header,
    Headers,
    find_header,
)

HEADER = b'fireflyhitch-forwarded'
# Of the receiver's own refusal: how often it has sent the request to servers.
SENDS_HEADER = b'fireflyhitch-sends'
# The fields of a route by which its requests are sent, and whose values need no encoding.
ROUTE_FIELDS = (
    'name',
    'timeout',
    'target',
    'gap_target',
    'attempts',
    'priority',
    'resumable',
)
# The sender has already charged the customer.
UNLIMITED = Quota(rate=0, burst=0, in_tokens=False, plain_tokens=0)


@immutable
class ForwardedRequest:
    """What the receiver needs to know about an admitted request.

    :param sender: the daemon that admitted it.
    :param route: its ``attempts`` are those that are left.
    :param usage_counted: whether it is already counted in its customer's usage.
    :param sends: how often it was sent to servers already.
    """

    sender: str
    service: DeploymentId
    route: Route
    customer: Customer | None
    usage_counted: bool
    sends: int = 0


def add_header(request: CallerRequest, forwarded: ForwardedRequest) -> CallerRequest:
    """Return a request as it is forwarded."""
    return _replace_header(request, [(HEADER, encode_forwarded(forwarded))])


def remove_header(request: CallerRequest) -> CallerRequest:
    """Return a forwarded request as its caller sent it."""
    return _replace_header(request, [])


def is_forwarded(headers: Headers) -> bool:
    """Tell whether a request on the peers' port is a caller's, forwarded by a peer."""
    return find_header(headers, HEADER) is not None


def encode_forwarded(forwarded: ForwardedRequest) -> bytes:
    """Return the header's value."""
    customer = forwarded.customer
    message = {
        'sender': forwarded.sender,
        'service': forwarded.service,
        'route': _encode_route(forwarded.route),
        'customer': customer and _encode_customer(customer),
        'usage_counted': forwarded.usage_counted,
        'sends': forwarded.sends,
    }
    return base64.b64encode(cbor2.dumps(message))


def decode_forwarded(request: CallerRequest) -> ForwardedRequest:
    """Decode a request's header.

    :raises BadRequestError: if it is missing or malformed.
    """
    value = find_header(request.headers, HEADER) or b''
    try:
        message = cbor2.loads(base64.b64decode(value))
        customer = message['customer']
        return ForwardedRequest(
            str(message['sender']),
            DeploymentId(message['service']),
            _decode_route(message['route']),
            None if customer is None else _decode_customer(customer),
            bool(message['usage_counted']),
            check_count(message.get('sends', 0)),
        )
    except DECODE_ERRORS as error:
        raise BadRequestError(f'malformed forwarded request: {error!r}') from error


def render_sends(sends: int) -> Header:
    """Return the header that tells how often the receiver has sent a request."""
    return SENDS_HEADER, b'%d' % sends


def states_sends(headers: Headers) -> bool:
    """Tell whether a response is a receiver's own refusal of a request."""
    return find_header(headers, SENDS_HEADER) is not None


def remove_sends(headers: Headers) -> Headers:
    """Return a server's headers without one that daemons alone may set.

    A server that echoes its request's headers would make a failure look like a refusal.
    """
    return [header for header in headers if header[0].lower() != SENDS_HEADER]


def read_sends(headers: Headers) -> int:
    """Return how often a receiver that turns a request away has sent it to servers.

    A refusal of what it could not read does not tell, and counts as a send.
    """
    try:
        return max(parse_integer(find_header(headers, SENDS_HEADER)), 0)
    except (TypeError, ValueError):
        return 1


def _replace_header(
    request: CallerRequest, added: list[tuple[bytes, bytes]]
) -> CallerRequest:
    headers = [header for header in request.headers if header[0].lower() != HEADER]
    return CallerRequest(
        request.method,
        request.target,
        [*headers, *added],
        request.body,
        request.arrived,
    )


def _encode_route(route: Route) -> dict[str, Any]:
    encoded = {name: getattr(route, name) for name in ROUTE_FIELDS}
    return {
        **encoded,
        'kind': route.kind.value,
        'home_regions': sorted(route.home_regions),
    }


def _decode_route(message: dict[str, Any]) -> Route:
    return Route(
        **{name: message[name] for name in ROUTE_FIELDS},
        kind=RouteKind(message['kind']),
        home_regions=_decode_regions(message['home_regions']),
        host='',
        prefix='',
        shares=(),
        public=False,
    )


def _encode_customer(customer: Customer) -> dict[str, Any]:
    return {
        'name': customer.name,
        'priority': customer.priority,
        'home_regions': sorted(customer.home_regions),
    }


def _decode_customer(message: dict[str, Any]) -> Customer:
    return Customer(
        CustomerId(message['name']),
        UNLIMITED,
        message['priority'],
        _decode_regions(message['home_regions']),
    )


def _decode_regions(regions: list[str]) -> frozenset[RegionId]:
    return frozenset(RegionId(region) for region in regions)
