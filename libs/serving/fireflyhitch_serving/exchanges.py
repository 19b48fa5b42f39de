"""One request on its way, and how its attempts ended."""

from dataclasses import dataclass, field

from fireflyhitch_model.identity import identify_content
from fireflyhitch_model.ids import BackendServerId, ContentId, DeploymentId
from fireflyhitch_model.records import immutable
from fireflyhitch_model.states import Outcome
from fireflyhitch_serving.callers import Reply
from fireflyhitch_serving.catalog import Customer, Route
from fireflyhitch_serving.edge import RenderedResponse
from fireflyhitch_serving.events import EventSplitter
from fireflyhitch_serving.health import Ending
from fireflyhitch_serving.messages import CallerRequest, RequestInfo


@dataclass(slots=True, eq=False)
class Exchange:
    """A request that was admitted.

    :param deadline: monotonic seconds by which its caller has a final answer.
    :param content: the same for all requests that ask the same of it.
    :param charged: units taken from the customer's quota.
    :param tried: servers that it was sent to, or that could not be reached.
    :param runs: attempts that a server may have run.
    :param sends: attempts that were sent.
    :param counted: whether it is in the usage of its customer.
    :param waits: whether it has waited for a place at a server.
    :param reading: prompt tokens that its present server has yet to read.
    :param attempt_began: monotonic seconds of the present attempt's begin.
    :param first_event_at: of the present attempt's first event or whole answer.
    :param relative_latency: of that, as a multiple of what was expected.
    """

    message: CallerRequest
    facts: RequestInfo
    route: Route
    service: DeploymentId
    customer: Customer | None
    reply: Reply
    deadline: float
    content: ContentId
    charged: float = 0
    tried: set[BackendServerId] = field(default_factory=set)
    runs: int = 0
    sends: int = 0
    counted: bool = False
    waits: bool = False
    reading: int = 0
    attempt_began: float = 0
    first_event_at: float | None = None
    relative_latency: float = 1
    events: EventSplitter = field(default_factory=EventSplitter)

    @property
    def urgency(self) -> int:
        """Return the rank of its customer, or else of its route; 0 is first."""
        if self.customer is not None and self.customer.priority is not None:
            return self.customer.priority
        return self.route.priority


def find_content(message: CallerRequest, customer: Customer | None) -> ContentId:
    """Return what a request has in common with its repeats."""
    return identify_content(
        customer.name if customer else None,
        message.method.decode('latin-1'),
        message.target.decode('latin-1'),
        message.body,
    )


@immutable
class AttemptFailure:
    """An attempt that gave no answer which its caller can use.

    :param outcome: ``not-run`` only where the server said so or nothing was sent.
    :param paid: whether its repeat was taken from the budget already.
    :param answer: the server's own failure, passed on if nothing better comes.
    """

    ending: Ending
    outcome: Outcome
    detail: str
    answer: RenderedResponse | None = None
    paid: bool = False
