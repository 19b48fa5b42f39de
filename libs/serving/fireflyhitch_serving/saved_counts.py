"""Usage counts in the store, for the case that all daemons are killed at once."""

import json

from loguru import logger

from fireflyhitch_model.external_values import (
    PARSE_ERRORS,
    check_count,
    check_text,
    parse_integer,
)
from fireflyhitch_model.ids import ABSENT, CustomerId, FailureDomainId, Revision
from fireflyhitch_platform.keyvalue import Written
from fireflyhitch_serving.store import AsyncStore, Put
from fireflyhitch_serving.usage import UsageTracker, WindowCounts

# No watch is triggered by keys with this prefix.
SAVED_PREFIX = 'fireflyhitch-counts/'
SAVED_KEY = f'{SAVED_PREFIX}recent'


class SavedCounts:
    """Loads all saved counts, and saves some below one key."""

    def __init__(
        self, store: AsyncStore, tracker: UsageTracker, domain: FailureDomainId
    ) -> None:
        """Create it; nothing is loaded yet.

        :param domain: this daemon's, whose deputy has a key of its own.
        """
        self._store = store
        self._tracker = tracker
        self._deputy_key = _make_deputy_key(domain)
        self._revisions: dict[str, Revision] = {}

    async def load(self) -> None:
        """Merge all saved counts into the tracker.

        :raises PlatformError: if they cannot be read.
        """
        listing = await self._store.list(SAVED_PREFIX)
        self._revisions = {item.key: item.revision for item in listing.items}
        for item in listing.items:
            try:
                saved = _decode(item.value)
            except PARSE_ERRORS as error:
                logger.bind(key=item.key, error=repr(error)).error(
                    'malformed saved counts'
                )
                continue
            for process, counts in saved.items():
                self._tracker.merge_counts(process, counts)

    async def save(self, counts: dict[str, WindowCounts], *, as_deputy: bool) -> bool:
        """Save counts unless the key has been written by another daemon.

        :param as_deputy: whether this daemon acts in the leader's place.
        :returns: whether they were saved.
        :raises PlatformError: if it is not known whether they were.
        """
        key = self._deputy_key if as_deputy else SAVED_KEY
        value = json.dumps(counts).encode()
        put = Put(key, value, self._revisions.get(key, ABSENT))
        result = await self._store.put([put])
        if not isinstance(result, Written):
            return False
        self._revisions[key] = result.revision
        return True


def _make_deputy_key(domain: FailureDomainId) -> str:
    return f'{SAVED_PREFIX}deputy-{domain}'


def decode_window(value: bytes) -> dict[CustomerId, int]:
    """Return the counts of one window.

    :raises PARSE_ERRORS: if they are malformed.
    """
    return check_window(json.loads(value))


def _decode(value: bytes) -> dict[str, WindowCounts]:
    return {
        check_text(process): {
            parse_integer(window): check_window(counts)
            for window, counts in windows.items()
        }
        for process, windows in json.loads(value).items()
    }


def check_window(counts: dict[str, object]) -> dict[CustomerId, int]:
    """Return the counts of one window.

    :raises ValueError: if one is malformed.
    """
    return {
        CustomerId(check_text(name)): check_count(count)
        for name, count in counts.items()
    }
