"""Failure and latency statistics of servers, shared by all daemons.

With many daemons, each sends only one request in many seconds to a given server. By its
own callers' failures alone, it would detect a server that hangs, fails or is slow only
when that server has recovered. Together the daemons detect it after a few requests.
"""

import math
from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field
from typing import NamedTuple

from fireflyhitch_model.ids import BackendServerId

# Time constant of the exponential decay of answer counts.
DECAY_SECONDS = 3.0
# Lifetime of a peer's counts; peers send them several times a second.
PEER_COUNTS_SECONDS = 2.0
# Weight of the prior: so many successful answers in the expected time are added to
# those of each server.
ASSUMED_ANSWERS = 2.0
# Counts below this are not sent.
MIN_REPORTED_ANSWERS = 0.05
# A server is excluded when its failure rate exceeds the service's median by this much
# plus 1/answers; with few answers the margin is wider, since two failures of four may
# be chance.
EXCESS_FAILURE_RATE = 0.25
MIN_ANSWERS = 3.0
# Bounds of one answer's time as a multiple of the expected time.
MAX_RELATIVE_LATENCY = 4.0
MIN_RELATIVE_LATENCY = 0.5
# The lower bound for a server that states its time factor, which may be false.
MIN_STATED_RELATIVE_LATENCY = 0.2
# A server counts as slow from this multiple of the median latency. A smaller difference
# is chance, and avoiding a server for it would only lengthen the queues of others.
SLOW_THRESHOLD = 1.3
# Added to both times, so that a few ms of delay on a short prompt do not count as late.
LATENCY_TOLERANCE_SECONDS = 0.05
# Counts are told to other daemons in fractions of this.
STEPS = 64


class AnswerCounts(NamedTuple):
    """Exponentially decayed counts of a server's answers.

    :param failed: answers that the caller could not use.
    :param relative_latency_sum: sum of the answers' times, each as a multiple of the
        expected time.
    """

    answers: float = 0
    failed: float = 0
    relative_latency_sum: float = 0

    def quantize(self) -> 'AnswerCounts':
        """Return the counts in steps of 1/64, whose encoding compresses well."""
        return AnswerCounts(*(round(count * STEPS) / STEPS for count in self))

    def decay(self, seconds: float) -> 'AnswerCounts':
        """Return the counts decayed by some seconds."""
        factor = math.exp(-max(seconds, 0) / DECAY_SECONDS)
        return AnswerCounts(
            self.answers * factor,
            self.failed * factor,
            self.relative_latency_sum * factor,
        )

    def add(self, other: 'AnswerCounts') -> 'AnswerCounts':
        """Return the sum of both counts."""
        return AnswerCounts(
            self.answers + other.answers,
            self.failed + other.failed,
            self.relative_latency_sum + other.relative_latency_sum,
        )

    def subtract(self, other: 'AnswerCounts') -> 'AnswerCounts':
        """Return these counts without others."""
        return AnswerCounts(
            max(self.answers - other.answers, 0),
            max(self.failed - other.failed, 0),
            max(self.relative_latency_sum - other.relative_latency_sum, 0),
        )


AnswersByServer = Mapping[BackendServerId, AnswerCounts]


@dataclass(slots=True)
class _TimedCounts:
    counts: AnswerCounts
    at: float


@dataclass(slots=True)
class ServerStatistics:
    """What this daemon and its peers have observed of one server."""

    own: _TimedCounts = field(default_factory=lambda: _TimedCounts(AnswerCounts(), 0))
    peers: dict[str, _TimedCounts] = field(default_factory=dict)

    def record_response(
        self,
        now: float,
        *,
        failed: bool,
        relative_latency: float,
        states_factor: bool = False,
    ) -> None:
        """Count a local answer, or the lack of one.

        :param states_factor: whether the server states its time factor.
        """
        lowest = MIN_STATED_RELATIVE_LATENCY if states_factor else MIN_RELATIVE_LATENCY
        counted = AnswerCounts(
            1, failed, min(max(relative_latency, lowest), MAX_RELATIVE_LATENCY)
        )
        self.own = _TimedCounts(self.read_local(now).add(counted), now)

    def read_local(self, now: float) -> AnswerCounts:
        """Return the local counts, decayed to now."""
        return self.own.counts.decay(now - self.own.at)

    def update_peer(self, peer: str, counts: AnswerCounts, now: float) -> None:
        """Replace the counts received from a peer, or from several summed up."""
        self.peers[peer] = _TimedCounts(counts, now)

    @property
    def has_local_answers(self) -> bool:
        """Return whether this daemon ever had an answer from the server."""
        return bool(self.own.counts.answers)

    def sum_all(self, now: float) -> AnswerCounts:
        """Return the counts of all daemons."""
        answers, failed, relative_latency_sum = (
            self.read_local(now) if self.has_local_answers else (0, 0, 0)
        )
        for timed in self.peers.values():
            age = now - timed.at
            if age < PEER_COUNTS_SECONDS:
                factor = math.exp(-age / DECAY_SECONDS)
                counts = timed.counts
                answers += counts.answers * factor
                failed += counts.failed * factor
                relative_latency_sum += counts.relative_latency_sum * factor
        return AnswerCounts(answers, failed, relative_latency_sum)


def find_mean_relative_latency(counts: AnswerCounts) -> float:
    """Return the server's mean answer time as a multiple of the expected time."""
    answers = counts.answers + ASSUMED_ANSWERS
    return (counts.relative_latency_sum + ASSUMED_ANSWERS) / answers


def find_slowness(
    relative_latency: float, median: float, *, states_factor: bool = False
) -> float:
    """Return the time that a request takes as a multiple of the expected one.

    :param median: of the service's servers; under load all of them are slower.
    :param states_factor: whether the server states its time factor. If work takes less
        time than that lets expect, the statement is false and the result below 1.
    """
    ratio = relative_latency / median
    if states_factor and ratio * SLOW_THRESHOLD < 1:
        return ratio * SLOW_THRESHOLD
    return max(ratio / SLOW_THRESHOLD, 1)


def find_failure_rate(counts: AnswerCounts) -> float:
    """Return the fraction of a server's answers that failed."""
    return counts.failed / (counts.answers + ASSUMED_ANSWERS)


def is_failing(counts: AnswerCounts, median_rate: float) -> bool:
    """Return whether a server fails so much more than others that it is excluded.

    While excluded it gives no answers, so its counts decay, and it is tried again.
    """
    if counts.answers < MIN_ANSWERS:
        return False
    excess = find_failure_rate(counts) - median_rate
    return excess > EXCESS_FAILURE_RATE + 1 / counts.answers


def compute_relative_latency(seconds: float, expected: float) -> float:
    """Return an answer's time as a multiple of the expected time."""
    return (seconds + LATENCY_TOLERANCE_SECONDS) / (
        expected + LATENCY_TOLERANCE_SECONDS
    )


def sum_answers(
    reports: Iterable[AnswersByServer],
) -> dict[BackendServerId, AnswerCounts]:
    """Return the summed counts of several daemons, by server."""
    total: dict[BackendServerId, AnswerCounts] = {}
    for answers in reports:
        for server, counts in answers.items():
            total[server] = total.get(server, AnswerCounts()).add(counts)
    return total
