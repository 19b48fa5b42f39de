"""Quarantine of requests, and of parts of prompts, that crash the servers that run them.

A crash also makes all other requests on the server fail, and the caller retries the
request that caused it. A request is held back from all servers once three servers have
crashed during it and no other cause explains these crashes:

- A request that completed recently is not held, however many servers crash during it:
  a popular request runs on many servers that other requests crash.
- Servers that crash at the same moment, as when a failure domain loses power, count as
  one.
- Crashes during a request that is already held do not count against other requests.
- If the same servers crashed during two requests, neither is held until the crashes
  differ or there are ``CERTAIN_CRASHES`` of them.

What holds for parts of prompts is in ``crashing_parts``.
"""

from collections.abc import Iterable, Mapping
from dataclasses import dataclass

from loguru import logger

from fireflyhitch_model.identity import find_part_position
from fireflyhitch_model.ids import ContentId, ProcessId
from fireflyhitch_routing.crashes import (
    CrashTracker,
    ServerCrash,
    Suspect,
    count_rounds,
)
from fireflyhitch_routing.crashing_parts import find_part_crashes

# Crashes after which a request is held.
CRASHES_TO_HOLD = 3
# Successive runs of the request in which these crashes must have occurred.
ROUNDS_TO_HOLD = 2
# With this many crashes it is held even if another request ran there each time.
CERTAIN_CRASHES = 5
# Counted from the last crash; the server's software may be fixed by then.
HOLD_SECONDS = 600.0
MAX_HELD = 256


@dataclass(slots=True)
class Hold:
    """A request, or a part of prompts, that is held back from all servers.

    :param until: monotonic seconds at which the hold expires.
    :param processes: the server processes that crashed under it.
    """

    until: float
    processes: frozenset[ProcessId]


class Quarantine:
    """Holds requests according to the crash records."""

    def __init__(self, tracker: CrashTracker) -> None:
        """Create a quarantine without holds."""
        self._tracker = tracker
        self._held: dict[ContentId, Hold] = {}
        self._suspected_at: dict[ContentId, float] = {}

    def find_remaining_hold(self, content: ContentId, now: float) -> float | None:
        """Return the seconds until a hold expires; ``None`` without a hold."""
        hold = self._held.get(content)
        if hold is None or hold.until <= now:
            return None
        return hold.until - now

    def find_longest_hold(
        self, contents: Iterable[ContentId], now: float
    ) -> float | None:
        """Return the seconds until none of some contents is held; ``None`` if none is."""
        if not self._held:
            return None
        holds = (self.find_remaining_hold(content, now) for content in contents)
        return max((hold for hold in holds if hold is not None), default=None)

    def held(self) -> Mapping[ContentId, Hold]:
        """Return the current holds by request content."""
        return self._held

    def add_hold(self, content: ContentId, hold: Hold, now: float) -> None:
        """Add a hold that another daemon decided on, unless the request has completed.

        Who tells of it may not know that, so all daemons are told again.
        """
        if content in self._held:
            return
        if self._has_completed(content):
            self._tracker.report_again(content, now)
            logger.bind(content=content).info('released request not held again')
        elif len(self._held) < MAX_HELD:
            self._hold(content, hold, 'told')

    def review(self, now: float, settle_seconds: float) -> None:
        """Hold requests with sufficient evidence; release expired or completed ones.

        :param settle_seconds: time to wait for reports that the request completed on
            other daemons.
        """
        for held in list(self._held):
            self._release_if_over(held, now)
        suspects = self._tracker.find_suspects(CRASHES_TO_HOLD)
        self._suspected_at = {
            content: self._suspected_at.get(content, now) for content in suspects
        }
        for content, suspected_at in self._suspected_at.items():
            if content not in self._held and now - suspected_at >= settle_seconds:
                self._evaluate(content, now)

    def _evaluate(self, content: ContentId, now: float) -> None:
        crashes = self._find_crashes(content)
        if not crashes:
            return
        until = max(crash.at for crash in crashes.values()) + HOLD_SECONDS
        if until > now and len(self._held) < MAX_HELD:
            self._hold(content, Hold(until, frozenset(crashes)), 'seen')
            # The records may be from a copy of the store; others may know a response.
            self._tracker.report_again(content, now)

    def _find_crashes(self, content: ContentId) -> Mapping[ProcessId, ServerCrash]:
        """Return the crashes for which something is to be held; none if it is not."""
        if find_part_position(content) is None:
            return self._find_request_crashes(content)
        held = {known: hold.processes for known, hold in self._held.items()}
        return find_part_crashes(content, self._tracker, held)

    def _find_request_crashes(
        self, content: ContentId
    ) -> Mapping[ProcessId, ServerCrash]:
        suspect = self._tracker.find(content)
        if suspect is None:
            return {}
        crashes = self._find_unattributed(suspect)
        if (
            len(crashes) < CRASHES_TO_HOLD
            or count_rounds(crashes.values()) < ROUNDS_TO_HOLD
        ):
            return {}
        if len(crashes) < CERTAIN_CRASHES and self._has_alternative(content, crashes):
            return {}
        return crashes

    def _find_unattributed(self, suspect: Suspect) -> dict[ProcessId, ServerCrash]:
        held = (hold.processes for hold in self._held.values())
        attributed = frozenset[ProcessId]().union(*held)
        return {
            process: crash
            for process, crash in suspect.find_attributable_crashes().items()
            if process not in attributed
        }

    def _has_alternative(
        self, content: ContentId, processes: Iterable[ProcessId]
    ) -> bool:
        """Return whether all these servers also crashed during another request."""
        wanted = set(processes)
        return any(
            wanted <= alternative.find_attributable_crashes().keys()
            for other, alternative in self._tracker.all().items()
            if other != content
            and other not in self._held
            and find_part_position(other) is None
        )

    def _hold(self, content: ContentId, hold: Hold, how: str) -> None:
        self._held[content] = hold
        logger.bind(content=content, ended=len(hold.processes), how=how).warning(
            'request held'
        )

    def _release_if_over(self, content: ContentId, now: float) -> None:
        hold = self._held[content]
        completed = self._has_completed(content)
        if hold.until > now and not completed:
            return
        del self._held[content]
        logger.bind(content=content, answered=completed).info('request released')

    def _has_completed(self, content: ContentId) -> bool:
        """Return whether a complete response exonerates a request from all crashes."""
        suspect = self._tracker.find(content)
        return suspect is not None and not suspect.find_attributable_crashes()
