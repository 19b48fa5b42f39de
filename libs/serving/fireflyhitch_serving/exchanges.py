"""The state of a request in flight and the failures of its attempts."""

from dataclasses import dataclass, field

from fireflyhitch_model.identity import identify_content, identify_parts
from fireflyhitch_model.ids import BackendServerId, ContentId, DeploymentId, RegionId
from fireflyhitch_model.records import immutable
from fireflyhitch_model.states import Outcome
from fireflyhitch_serving.catalog import Customer, Route
from fireflyhitch_serving.edge import RenderedResponse
from fireflyhitch_serving.events import EventSplitter
from fireflyhitch_serving.health import Ending
from fireflyhitch_serving.messages import CallerRequest, RequestInfo
from fireflyhitch_serving.replies import Reply


@dataclass(slots=True, eq=False)
class Exchange:
    """An admitted request.

    :param deadline: monotonic seconds by which the caller gets a final response.
    :param content: id of the request's content; equal for repeats of a request.
    :param parts: ids of the parts of its prompt that other requests may share: all but
        the last.
    :param is_harmless: whether a response to it has gone on for a while.
    :param charged_units: units taken from the customer's quota.
    :param forwarded_by: the daemon that admitted it; ``None`` if this one did.
    :param tried_servers: servers of all attempts, unreachable ones included.
    :param tried_peers: daemons to which it was forwarded.
    :param runs: attempts that a server may have run.
    :param sends: attempts that were sent, by other daemons too.
    :param forwarded_sends: those that were sent before it was forwarded to this daemon.
    :param retries_taken: attempts after the first that the retry budgets allow for.
    :param usage_counted: whether it is counted in its customer's usage.
    :param has_waited: whether it has waited for a slot or a server's rate limit.
    :param unread_prompt_tokens: prompt tokens that the current server has yet to read.
    :param attempt_started: monotonic start time of the current attempt.
    :param first_event_at: monotonic time of the current attempt's first event or
        complete response.
    :param relative_latency: time to that event as a multiple of the expected time.
    """

    request: CallerRequest
    info: RequestInfo
    route: Route
    service: DeploymentId
    customer: Customer | None
    reply: Reply
    deadline: float
    content: ContentId
    parts: tuple[ContentId, ...] = ()
    is_harmless: bool = False
    charged_units: float = 0
    forwarded_by: str | None = None
    tried_servers: set[BackendServerId] = field(default_factory=set)
    tried_peers: set[str] = field(default_factory=set)
    runs: int = 0
    sends: int = 0
    forwarded_sends: int = 0
    retries_taken: int = 0
    usage_counted: bool = False
    has_waited: bool = False
    unread_prompt_tokens: int = 0
    attempt_started: float = 0
    first_event_at: float | None = None
    relative_latency: float = 1
    events: EventSplitter = field(default_factory=EventSplitter)

    @property
    def needs_retry(self) -> bool:
        """Return whether its next attempt has to be taken from the retry budget.

        What never reached a server was no attempt.
        """
        return self.sends > self.retries_taken

    def record_peer_sends(self, sends: int) -> None:
        """Record how often a peer has sent it; the peer has taken its own retries."""
        self.sends += sends
        self.retries_taken += max(sends - 1, 0)

    @property
    def suspects(self) -> tuple[ContentId, ...]:
        """Return all that may be the cause if its server crashes."""
        return self.content, *self.parts

    def find_home_regions(self) -> frozenset[RegionId] | None:
        """Return the regions whose servers may get it, ``None`` for all.

        Both its route and its customer may name home regions, and both bind.
        """
        route_homes = self.route.home_regions
        homes = self.customer.home_regions if self.customer else route_homes
        if route_homes and homes:
            return route_homes & homes
        return route_homes or homes or None

    @property
    def urgency(self) -> int:
        """Return the priority of its customer, or else of its route; 0 is first."""
        if self.customer is not None and self.customer.priority is not None:
            return self.customer.priority
        return self.route.priority


def find_content(request: CallerRequest, customer: Customer | None) -> ContentId:
    """Return an id of a request's content, equal for repeats of the request."""
    return identify_content(
        customer.name if customer else None,
        request.method.decode('latin-1'),
        request.target.decode('latin-1'),
        request.body,
    )


def find_shared_parts(
    service: DeploymentId, info: RequestInfo
) -> tuple[ContentId, ...]:
    """Return ids of the parts of a prompt that other requests may share."""
    return identify_parts(service, (part.part_id for part in info.parts[:-1]))


@immutable
class AttemptFailure:
    """An attempt without a response that the caller can use.

    :param outcome: ``not-run`` only if the server said so or nothing was sent.
    :param retry_reserved: whether a retry was already taken from the budget.
    :param response: the server's error response, forwarded if no attempt succeeds.
    """

    ending: Ending
    outcome: Outcome
    detail: str
    response: RenderedResponse | None = None
    retry_reserved: bool = False
