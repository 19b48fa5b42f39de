"""How long work takes at a server at this moment, as a multiple of the usual time.

Servers share their machines with other programs, and state in their responses how much
slower work is there now. This answers load on servers of uneven speed.
"""

from collections.abc import Mapping
from dataclasses import dataclass, field
from enum import Enum
from typing import NamedTuple

from fireflyhitch_model.ids import BackendServerId

# Time factors told to other daemons are whole percents.
PERCENT = 100
MILLISECONDS = 1000
# Bounds of a stated factor. Figures outside are nonsense, and a server with an unbounded
# factor would never be tried again.
MIN_FACTOR = 0.1
MAX_FACTOR = 10.0
# The usual factor is a mean over about this time.
USUAL_SECONDS = 4.0
# A first statement counts like this many seconds of the mean.
FIRST_SECONDS = 0.3
# Statements within this time are averaged, so that one outlier among them counts half.
SMOOTHED_SECONDS = 0.1
MIN_WEIGHT = 0.5
# Other programs slow a server for some 0.6 s, so a statement of this age says nothing
# beyond the usual factor.
FRESH_SECONDS = 0.6
# The usual factor of a server that states nothing for this long fades to 1, in as much
# time again: one that is avoided is tried again.
USUAL_TTL_SECONDS = 10.0
# A factor is reported to peers if it differs by this fraction from the last reported one,
# or if that one is older than the refresh time.
MIN_REPORTED_CHANGE = 0.2
REPORT_REFRESH_SECONDS = 4.0
# A change is repeated for this long, since daemons send to their hub every 0.25 s.
REPORT_REPEAT_SECONDS = 0.3


class FactorSource(Enum):
    """Where the last statement of a server came from."""

    NONE = 'none'
    OWN = 'own'
    PEER = 'peer'


class TimeFactorReport(NamedTuple):
    """A server's time factor as told to other daemons.

    :param percent: 100 is the usual time.
    :param age_ms: milliseconds since the server stated it.
    """

    percent: int
    age_ms: int


TimeFactorReports = Mapping[BackendServerId, TimeFactorReport]


class AppliedFactor(NamedTuple):
    """A time factor by which a request was placed.

    :param age: seconds since the server's last statement; ``None`` without any.
    """

    factor: float = 1
    age: float | None = None
    source: FactorSource = FactorSource.NONE


@dataclass(slots=True)
class _PublishedFactor:
    """The last factor that all daemons were told."""

    factor: float = 1
    at: float = float('-inf')


@dataclass(slots=True)
class TimeFactor:
    """The time factor of one server, as it was stated to any daemon.

    :param last: the last one stated, averaged with those just before it.
    :param usual: mean of some seconds.
    :param stated_at: monotonic seconds at which the last one was stated.
    """

    last: float = 1
    usual: float = 1
    stated_at: float = float('-inf')
    source: FactorSource = FactorSource.NONE
    _counted_seconds: float = 0
    _published: _PublishedFactor = field(default_factory=_PublishedFactor)
    _report_began_at: float = float('-inf')

    @property
    def is_stated(self) -> bool:
        """Return whether the server has ever stated a factor."""
        return self.source is not FactorSource.NONE

    def record(self, factor: float, now: float) -> None:
        """Apply the factor in a response to this daemon."""
        change = min(max(factor, MIN_FACTOR), MAX_FACTOR) - self.last
        if self.is_stated:
            seconds = now - self.stated_at
            change *= max(seconds / (seconds + SMOOTHED_SECONDS), MIN_WEIGHT)
        self._apply(self.last + change, now)
        self.source = FactorSource.OWN
        if now - self._report_began_at > REPORT_REPEAT_SECONDS and self._must_report(
            now
        ):
            self._report_began_at = now
            self._published = _PublishedFactor(self.last, now)

    def apply_report(self, report: TimeFactorReport, now: float) -> None:
        """Apply another daemon's report, unless a later one is known."""
        stated_at = now - max(report.age_ms, 0) / MILLISECONDS
        if stated_at <= self.stated_at:
            return
        factor = report.percent / PERCENT
        self._apply(min(max(factor, MIN_FACTOR), MAX_FACTOR), stated_at)
        self.source = FactorSource.PEER
        self._published = _PublishedFactor(self.last, now)
        self._report_began_at = float('-inf')

    def build_report(self, now: float) -> TimeFactorReport | None:
        """Return what to tell other daemons, ``None`` if they need not be told.

        Only what this daemon received, for a short time after a change or a refresh.
        """
        if now - self._report_began_at > REPORT_REPEAT_SECONDS:
            return None
        age = now - self.stated_at
        return TimeFactorReport(round(self.last * PERCENT), round(age * MILLISECONDS))

    def estimate(self, now: float) -> float:
        """Return how long work that starts now is expected to take there.

        :returns: a multiple of the usual time; 1 if the server has stated nothing.
        """
        age = now - self.stated_at
        if age < FRESH_SECONDS:
            return self.usual + (self.last - self.usual) * (1 - age / FRESH_SECONDS)
        if age < USUAL_TTL_SECONDS:
            return self.usual
        return 1 + (self.usual - 1) * max(2 - age / USUAL_TTL_SECONDS, 0)

    def describe(self, now: float) -> AppliedFactor:
        """Return the estimate, and what it is based on."""
        if not self.is_stated:
            return AppliedFactor()
        return AppliedFactor(self.estimate(now), now - self.stated_at, self.source)

    def _apply(self, factor: float, now: float) -> None:
        """Set the last factor; the one before it has lasted until now."""
        if self.is_stated:
            seconds = now - self.stated_at
            self._counted_seconds = min(self._counted_seconds, USUAL_SECONDS) + seconds
            self.usual += seconds / self._counted_seconds * (self.last - self.usual)
        else:
            self._counted_seconds = FIRST_SECONDS
            self.usual = factor
        self.last = factor
        self.stated_at = now

    def _must_report(self, now: float) -> bool:
        """Return whether the factor that peers know is outdated."""
        if now - self._published.at > REPORT_REFRESH_SECONDS:
            return True
        known = self._published.factor
        return abs(self.last - known) > MIN_REPORTED_CHANGE * known


def pick_latest(
    one: TimeFactorReport, other: TimeFactorReport | None
) -> TimeFactorReport:
    """Return the report that was stated last."""
    if other is None or one.age_ms <= other.age_ms:
        return one
    return other
