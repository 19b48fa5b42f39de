"""Calls of the routing benchmark, drawn once and given to every policy."""

import random
from dataclasses import dataclass
from itertools import count

from fireflyhitch_bench.routing_shapes import BLOCK, Route, Shape
from fireflyhitch_model.calls import Call
from fireflyhitch_model.ids import CustomerId, RequestId
from fireflyhitch_model.states import Priority

THINK_SECONDS = 15.0
DEADLINE_SECONDS = 30.0
SERVICE_CALLS_PER_MODEL_CALL = 0.5
MAX_ANSWER = 512
MAX_PROMPT = 8000


@dataclass(frozen=True, slots=True)
class Arrival:
    """A call that reaches a daemon, and how long its answer will be."""

    call: Call
    daemon: int
    answer: int


class _Drawing:
    """Draws one run's calls."""

    def __init__(self, shape: Shape, seed: int, prefix: str = '') -> None:
        self._shape = shape
        self._prefix = prefix
        self._draw = random.Random(seed)  # noqa: S311
        self._numbers = count()
        self.arrivals: list[Arrival] = []

    def draw_sessions(
        self, rate: float, begin: float, end: float, customer: CustomerId | None = None
    ) -> None:
        """Draw sessions so that calls arrive at a rate."""
        routes = self._shape.routes
        turns = sum(route.weight * route.turns for route in routes)
        at = begin
        while True:
            at += self._draw.expovariate(rate / turns)
            if at >= end:
                return
            self._draw_session(at, end, customer)

    def draw_service(self, rate: float, end: float) -> None:
        """Draw calls of the plain service."""
        at = 0.0
        while True:
            at += self._draw.expovariate(rate)
            if at >= end:
                return
            self._add(at, self._pick_customer(), None, (), 0, 1)

    def _draw_session(self, at: float, end: float, customer: CustomerId | None) -> None:
        draw = self._draw
        weights = [route.weight for route in self._shape.routes]
        route = draw.choices(self._shape.routes, weights)[0]
        customer = customer or self._pick_customer()
        # The beginning is shared by all sessions of a customer on a route.
        beginning = random.Random(f'{self._shape.name}{customer}{route.name}')  # noqa: S311
        blocks = [beginning.getrandbits(63) for _ in range(route.template // BLOCK)]
        prompt = route.template
        while at < end and prompt < MAX_PROMPT:
            prompt += max(8, int(draw.expovariate(1 / route.message)))
            while len(blocks) < prompt // BLOCK:
                blocks.append(draw.getrandbits(63))
            answer = min(MAX_ANSWER, max(4, int(draw.expovariate(1 / route.answer))))
            self._add(at, customer, route, tuple(blocks), prompt, answer)
            prompt += answer
            if draw.random() < 1 / route.turns:
                return
            at += answer * 0.05 + draw.expovariate(1 / THINK_SECONDS)

    def _pick_customer(self) -> CustomerId:
        weights = self._shape.customer_weights
        return self._draw.choices(self._shape.customers(), weights)[0]

    def _add(
        self,
        at: float,
        customer: CustomerId,
        route: Route | None,
        blocks: tuple[int, ...],
        prompt: int,
        answer: int,
    ) -> None:
        shape = self._shape
        call = Call(
            RequestId(f'{self._prefix}{next(self._numbers)}'),
            customer,
            shape.model if route else shape.service,
            route.name if route else 'GET /plan',
            route.priority if route else Priority.NORMAL,
            prompt,
            MAX_ANSWER if route else 1,
            blocks,
            at,
            at + DEADLINE_SECONDS,
        )
        daemon = self._draw.randrange(shape.daemons)
        self.arrivals.append(Arrival(call, daemon, answer))


def draw_arrivals(
    shape: Shape, load: float, seconds: float, seed: int
) -> list[Arrival]:
    """Draw the calls of one run, in order of arrival.

    :param load: share of the shape's capacity.
    """
    drawing = _Drawing(shape, seed)
    rate = shape.capacity() * load
    drawing.draw_sessions(rate, 0, seconds)
    drawing.draw_service(rate * SERVICE_CALLS_PER_MODEL_CALL, seconds)
    return sorted(drawing.arrivals, key=_by_arrival)


def draw_burst(
    shape: Shape, load: float, begin: float, end: float, seed: int
) -> list[Arrival]:
    """Draw a burst of the largest customer, as a share of the capacity."""
    drawing = _Drawing(shape, seed, 'burst-')
    customer = shape.customers()[0]
    drawing.draw_sessions(shape.capacity() * load, begin, end, customer)
    return sorted(drawing.arrivals, key=_by_arrival)


def _by_arrival(arrival: Arrival) -> float:
    return arrival.call.arrived
