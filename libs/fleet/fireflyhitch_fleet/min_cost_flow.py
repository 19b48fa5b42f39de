"""Minimum-cost integer flow through a small network."""

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
    """A flow network with integer capacities and a cost per unit."""

    def __init__(self) -> None:
        """Create an empty network."""
        self._edges: dict[Node, list[_Edge]] = {}

    def add_edge(
        self, source: Node, target: Node, capacity: int, cost: float = 0
    ) -> None:
        """Add an edge with a capacity and a cost per unit."""
        forward = self._edges.setdefault(source, [])
        reverse = self._edges.setdefault(target, [])
        forward.append(_Edge(target, capacity, cost, len(reverse)))
        reverse.append(_Edge(source, 0, -cost, len(forward) - 1))

    def send(self, source: Node, sink: Node, amount: int) -> int:
        """Send up to an amount of flow along the cheapest paths.

        :returns: the amount sent.
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
        """Return the flow on the edge between two nodes."""
        return sum(
            self._edges[target][edge.reverse].capacity
            for edge in self._edges.get(source, [])
            if edge.target == target and edge.cost >= 0
        )

    def _find_path(self, source: Node, sink: Node) -> list[_Edge]:
        # Bellman-Ford, since reverse edges have negative costs.
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
