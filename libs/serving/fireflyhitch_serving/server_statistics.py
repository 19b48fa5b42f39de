"""How servers have answered lately, by what all daemons have seen of them.

One of many daemons meets a server once in many seconds, and would learn from its own
callers' failures that it hangs, fails or is slow, when it is well again. Together they
know after a few requests.
"""

import math
from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field
from typing import NamedTuple

from fireflyhitch_model.ids import BackendServerId

# Answers count for about this long.
FADE_SECONDS = 3.0
# What a peer told counts for this long; it tells several times a second.
TOLD_SECONDS = 2.0
# A server of which little is known is taken for a usual one with so many answers.
ASSUMED_ANSWERS = 2.0
# Less than this is not worth telling.
MIN_REPORTED_ANSWERS = 0.05
# A server is left out when its failure rate is this much above its service's usual one,
# and more the fewer answers there are: two of four that failed may be chance.
EXCESS = 0.25
FEWEST_ANSWERS = 3.0
# An answer counts as no later than this many times what was expected, and no sooner.
MAX_RELATIVE_LATENCY = 4.0
SOONEST = 0.5
# A server counts as slow from this many times the usual lateness on. Less is chance, and
# a server that others avoid for that leaves them the more to wait for.
NOTICED_LATENESS = 1.3
# Beside this, an answer to a short prompt that is some ms late is not late.
UNNOTICED_SECONDS = 0.05


class AnswerCounts(NamedTuple):
    """Answers of a server, older ones counted less.

    :param failed: those that its caller could not use.
    :param relative_latency: sum of their times, each as a multiple of what was expected.
    """

    answers: float = 0
    failed: float = 0
    relative_latency: float = 0

    def fade(self, seconds: float) -> 'AnswerCounts':
        """Return what they count for after some seconds."""
        part = math.exp(-max(seconds, 0) / FADE_SECONDS)
        return AnswerCounts(
            self.answers * part, self.failed * part, self.relative_latency * part
        )

    def add(self, other: 'AnswerCounts') -> 'AnswerCounts':
        """Return both together."""
        return AnswerCounts(
            self.answers + other.answers,
            self.failed + other.failed,
            self.relative_latency + other.relative_latency,
        )

    def subtract(self, part: 'AnswerCounts') -> 'AnswerCounts':
        """Return what is left without a part."""
        return AnswerCounts(
            max(self.answers - part.answers, 0),
            max(self.failed - part.failed, 0),
            max(self.relative_latency - part.relative_latency, 0),
        )


AnswersByServer = Mapping[BackendServerId, AnswerCounts]


@dataclass(slots=True)
class _Told:
    counts: AnswerCounts
    at: float


@dataclass(slots=True)
class ServerStatistics:
    """What this daemon and its peers have seen of one server."""

    own: _Told = field(default_factory=lambda: _Told(AnswerCounts(), 0))
    peers: dict[str, _Told] = field(default_factory=dict)

    def record_response(
        self, now: float, *, failed: bool, relative_latency: float
    ) -> None:
        """Take in an answer of this daemon's, or that there was none."""
        counted = AnswerCounts(
            1, failed, min(max(relative_latency, SOONEST), MAX_RELATIVE_LATENCY)
        )
        self.own = _Told(self.read_local(now).add(counted), now)

    def read_local(self, now: float) -> AnswerCounts:
        """Return what this daemon has seen, for its peers."""
        return self.own.counts.fade(now - self.own.at)

    def update_peer(self, peer: str, counts: AnswerCounts, now: float) -> None:
        """Take in what a peer has seen, or some of them together."""
        self.peers[peer] = _Told(counts, now)

    @property
    def has_local_answers(self) -> bool:
        """Tell whether this daemon has ever had an answer of it."""
        return bool(self.own.counts.answers)

    def sum_all(self, now: float) -> AnswerCounts:
        """Return what all have seen."""
        answers, failed, relative_latency = (
            self.read_local(now) if self.has_local_answers else (0, 0, 0)
        )
        for told in self.peers.values():
            age = now - told.at
            if age < TOLD_SECONDS:
                part = math.exp(-age / FADE_SECONDS)
                counts = told.counts
                answers += counts.answers * part
                failed += counts.failed * part
                relative_latency += counts.relative_latency * part
        return AnswerCounts(answers, failed, relative_latency)


def find_lateness(counts: AnswerCounts) -> float:
    """Return how many times as late as expected a server's answers come."""
    answers = counts.answers + ASSUMED_ANSWERS
    return (counts.relative_latency + ASSUMED_ANSWERS) / answers


def find_slowness(relative_latency: float, usual: float) -> float:
    """Return how many times as long as at others a request takes at a server.

    :param usual: median lateness of the service's servers; all are late under load.
    """
    return max(relative_latency / usual / NOTICED_LATENESS, 1)


def find_failure_rate(counts: AnswerCounts) -> float:
    """Return the part of a server's answers that failed."""
    return counts.failed / (counts.answers + ASSUMED_ANSWERS)


def is_failing(counts: AnswerCounts, usual_rate: float) -> bool:
    """Tell whether a server fails so much more than others that it is left out.

    Left out it gives no answers, what is known of it fades, and it is tried again.
    """
    if counts.answers < FEWEST_ANSWERS:
        return False
    excess = find_failure_rate(counts) - usual_rate
    return excess > EXCESS + 1 / counts.answers


def compute_relative_latency(seconds: float, expected: float) -> float:
    """Return an answer's time as a multiple of what was expected."""
    return (seconds + UNNOTICED_SECONDS) / (expected + UNNOTICED_SECONDS)


def sum_answers(told: Iterable[AnswersByServer]) -> dict[BackendServerId, AnswerCounts]:
    """Return the answers that daemons have seen together, by server."""
    total: dict[BackendServerId, AnswerCounts] = {}
    for answers in told:
        for server, counts in answers.items():
            total[server] = total.get(server, AnswerCounts()).add(counts)
    return total
