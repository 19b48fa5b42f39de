"""The cheapest whole-number flow through a small network."""

import math
from collections.abc import Hashable
from dataclasses import dataclass

Node = Hashable
EPSILON = 1e-9


@dataclass(slots=True)
class _Edge:
    target: Node
    capacity: int
    cost: float
    reverse: int


class FlowNetwork:
    """A network whose edges carry whole numbers up to a bound at a cost."""

    def __init__(self) -> None:
        """Make an empty network."""
        self._edges: dict[Node, list[_Edge]] = {}

    def add_edge(
        self, source: Node, target: Node, capacity: int, cost: float = 0
    ) -> None:
        """Add an edge."""
        forward = self._edges.setdefault(source, [])
        reverse = self._edges.setdefault(target, [])
        forward.append(_Edge(target, capacity, cost, len(reverse)))
        reverse.append(_Edge(source, 0, -cost, len(forward) - 1))

    def send(self, source: Node, sink: Node, amount: int) -> int:
        """Send as much as fits, up to an amount, along the cheapest paths.

        :returns: how much was sent.
        """
        sent = 0
        while sent < amount:
            path = self._find_path(source, sink)
            if not path:
                return sent
            capacity = min(edge.capacity for edge in path)
            added = min(capacity, amount - sent)
            for edge in path:
                edge.capacity -= added
                self._edges[edge.target][edge.reverse].capacity += added
            sent += added
        return sent

    def get_flow(self, source: Node, target: Node) -> int:
        """Return what flows over the edge between two nodes."""
        return sum(
            self._edges[target][edge.reverse].capacity
            for edge in self._edges.get(source, [])
            if edge.target == target and edge.cost >= 0
        )

    def _find_path(self, source: Node, sink: Node) -> list[_Edge]:
        # Bellman-Ford, since edges back have negative costs.
        costs: dict[Node, float] = {source: 0}
        previous: dict[Node, tuple[Node, _Edge]] = {}
        queue = [source]
        while queue:
            node = queue.pop(0)
            for edge in self._edges.get(node, []):
                cost = costs[node] + edge.cost
                if (
                    edge.capacity > 0
                    and cost < costs.get(edge.target, math.inf) - EPSILON
                ):
                    costs[edge.target] = cost
                    previous[edge.target] = (node, edge)
                    queue.append(edge.target)
        return _trace(sink, source, previous)


def _trace(
    node: Node, source: Node, previous: dict[Node, tuple[Node, _Edge]]
) -> list[_Edge]:
    path: list[_Edge] = []
    while node in previous and node != source:
        node, edge = previous[node]
        path.append(edge)
    return path
