"""The cheapest whole-number flow through a small network."""

import math
from collections.abc import Hashable
from dataclasses import dataclass

Node = Hashable
EPSILON = 1e-9


@dataclass(slots=True)
class _Edge:
    target: Node
    room: int
    cost: float
    back: int


class FlowNetwork:
    """A network whose edges carry whole numbers up to a bound at a cost."""

    def __init__(self) -> None:
        """Make an empty network."""
        self._edges: dict[Node, list[_Edge]] = {}

    def connect(self, source: Node, target: Node, room: int, cost: float = 0) -> None:
        """Add an edge."""
        forth = self._edges.setdefault(source, [])
        back = self._edges.setdefault(target, [])
        forth.append(_Edge(target, room, cost, len(back)))
        back.append(_Edge(source, 0, -cost, len(forth) - 1))

    def push(self, source: Node, sink: Node, amount: int) -> int:
        """Send as much as fits, up to an amount, along the cheapest paths.

        :returns: how much was sent.
        """
        sent = 0
        while sent < amount:
            path = self._find_path(source, sink)
            if not path:
                return sent
            room = min(edge.room for edge in path)
            part = min(room, amount - sent)
            for edge in path:
                edge.room -= part
                self._edges[edge.target][edge.back].room += part
            sent += part
        return sent

    def read(self, source: Node, target: Node) -> int:
        """Return what flows over the edge between two nodes."""
        return sum(
            self._edges[target][edge.back].room
            for edge in self._edges.get(source, [])
            if edge.target == target and edge.cost >= 0
        )

    def _find_path(self, source: Node, sink: Node) -> list[_Edge]:
        # Bellman-Ford, since edges back have negative costs.
        costs: dict[Node, float] = {source: 0}
        last: dict[Node, tuple[Node, _Edge]] = {}
        queue = [source]
        while queue:
            node = queue.pop(0)
            for edge in self._edges.get(node, []):
                cost = costs[node] + edge.cost
                if edge.room > 0 and cost < costs.get(edge.target, math.inf) - EPSILON:
                    costs[edge.target] = cost
                    last[edge.target] = (node, edge)
                    queue.append(edge.target)
        return _trace(sink, source, last)


def _trace(
    node: Node, source: Node, last: dict[Node, tuple[Node, _Edge]]
) -> list[_Edge]:
    path: list[_Edge] = []
    while node in last and node != source:
        node, taken = last[node]
        path.append(taken)
    return path
