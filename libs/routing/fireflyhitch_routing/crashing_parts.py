"""Finds the parts of prompts that crash the servers which begin a response to them.

Requests with such a part may differ in all else, so that no request crashes many servers.
Other parts stand in the same prompts, and many prompts without it run on the servers that
crash. Three things tell the part from them:

- Prompts with it are never answered; one answer within a minute exonerates a part.
- It was there in crashes of several servers, under several requests.
- Of parts that explain the same crashes, the later one is meant: a prompt's first part is
  shared by many more requests. Parts in the same position are told apart by further
  crashes.
"""

from collections.abc import Collection, Iterable, Mapping

from fireflyhitch_model.identity import find_part_position
from fireflyhitch_model.ids import ContentId, ProcessId
from fireflyhitch_routing.crashes import CrashTracker, ServerCrash, count_rounds

# Crashes after which a part is held if they happened under at least so many requests.
# One request alone is held by its whole content; its retries crash several servers.
CRASHES_TO_HOLD = 3
REQUESTS_TO_HOLD = 3
# The same for more crashes, which also decide between parts in the same prompts.
CERTAIN_CRASHES = 5
REQUESTS_IF_CERTAIN = 2
ROUNDS_TO_HOLD = 2
# Parts that have crashes in common with others by chance have a single one.
MIN_RIVAL_CRASHES = 2
# A part is not held if later parts explain at least this fraction of its crashes.
EXPLAINED_FRACTION = 2 / 3

Crashes = Mapping[ProcessId, ServerCrash]


def find_part_crashes(
    part: ContentId,
    tracker: CrashTracker,
    held: Mapping[ContentId, Iterable[ProcessId]],
) -> Crashes:
    """Return the crashes for which a part has to be held; none if it must not be.

    :param held: server processes that crashed under what is held already.
    """
    explained = {
        process
        for other, processes in held.items()
        if find_part_position(other) is not None
        for process in processes
    }
    crashes = _find_unexplained(part, tracker, explained)
    if not _suffices(crashes, tracker):
        return {}
    rivals = {
        other: _find_unexplained(other, tracker, explained).keys() & crashes.keys()
        for other in tracker.all()
        if other != part and other not in held and find_part_position(other) is not None
    }
    if _is_explained_by_later(part, crashes, rivals):
        return {}
    if len(crashes) < CERTAIN_CRASHES and crashes.keys() in rivals.values():
        return {}
    return crashes


def _find_unexplained(
    part: ContentId,
    tracker: CrashTracker,
    explained: Collection[ProcessId],
) -> dict[ProcessId, ServerCrash]:
    """Return a part's crashes but those that held parts explain."""
    suspect = tracker.find(part)
    if suspect is None:
        return {}
    return {
        process: crash
        for process, crash in suspect.find_attributable_crashes().items()
        if process not in explained
    }


def _suffices(crashes: Crashes, tracker: CrashTracker) -> bool:
    if len(crashes) < CRASHES_TO_HOLD:
        return False
    if count_rounds(crashes.values()) < ROUNDS_TO_HOLD:
        return False
    requests = count_requests(crashes.keys(), tracker)
    if len(crashes) >= CERTAIN_CRASHES:
        return requests >= REQUESTS_IF_CERTAIN
    return requests >= REQUESTS_TO_HOLD


def count_requests(processes: Collection[ProcessId], tracker: CrashTracker) -> int:
    """Return the least number of whole requests that may have crashed all of them.

    A process that crashed under no known request counts as one.
    """
    left = set(processes)
    known = [
        suspect.crashes.keys() & left
        for content, suspect in tracker.all().items()
        if find_part_position(content) is None
    ]
    requests = 0
    while left:
        explained = _find_largest(crashed & left for crashed in known)
        left -= explained or {min(left)}
        requests += 1
    return requests


def _find_largest(sets: Iterable[set[ProcessId]]) -> set[ProcessId]:
    return max(sets, key=len, default=set())


def _is_explained_by_later(
    part: ContentId,
    crashes: Crashes,
    rivals: Mapping[ContentId, Collection[ProcessId]],
) -> bool:
    position = find_part_position(part) or 0
    explained = {
        process
        for other, common in rivals.items()
        if (find_part_position(other) or 0) > position
        and len(common) >= MIN_RIVAL_CRASHES
        for process in common
    }
    return len(explained) >= EXPLAINED_FRACTION * len(crashes)
