"""Crash records in the store, for the case that all daemons are killed at once.

Daemons exchange crash records, and hold requests back once there are enough of them. If
all were killed again and again before that, servers would crash for ever. So the leader,
or while there is none its deputies, save the records below the hold as well.
"""

import asyncio
from collections.abc import Mapping

from loguru import logger

from fireflyhitch_model.clock import Clock
from fireflyhitch_model.eras import find_era
from fireflyhitch_model.errors import PlatformError
from fireflyhitch_model.external_values import parse_number
from fireflyhitch_model.ids import (
    ABSENT,
    ContentId,
    FailureDomainId,
    Revision,
    StoreEra,
)
from fireflyhitch_platform.keyvalue import Written
from fireflyhitch_routing.crashes import CrashReport, CrashTracker
from fireflyhitch_serving.deputies import LeaderDeputy
from fireflyhitch_serving.leases import LeaderLease
from fireflyhitch_serving.malformed import DECODE_ERRORS
from fireflyhitch_serving.packing import pack, unpack
from fireflyhitch_serving.peer_state import decode_crashes
from fireflyhitch_serving.peers import PeerRegistry
from fireflyhitch_serving.store import AsyncStore, Put
from fireflyhitch_serving.store_eras import EraTracker
from fireflyhitch_serving.store_health import StoreHealth

# No watch is triggered by keys with this prefix.
SAVED_CRASHES_PREFIX = 'fireflyhitch-crashes/'
CHECK_INTERVAL_SECONDS = 0.25
RETRY_SECONDS = 0.5
# Older records no longer tell anything of the servers of now.
MAX_AGE_SECONDS = 600.0

Reports = Mapping[ContentId, CrashReport]


class SavedCrashes:
    """Loads the saved crash records at first, and saves them when they change.

    A store that comes back from an older copy may lack some, or their key. Whoever saves
    them loads what it has then, and saves them again.
    """

    def __init__(
        self,
        tracker: CrashTracker,
        store: AsyncStore,
        lease: LeaderLease,
        deputy: LeaderDeputy,
        health: StoreHealth,
        clock: Clock,
        peers: PeerRegistry,
        eras: EraTracker,
    ) -> None:
        """Create it; nothing is loaded yet."""
        self._tracker = tracker
        self._store = store
        self._lease = lease
        self._deputy = deputy
        self._health = health
        self._clock = clock
        self._peers = peers
        self._key = make_key(peers.own_domain)
        self._eras = eras
        self._loaded_era: StoreEra | None = None
        self._revisions: dict[str, Revision] = {}
        self._saved: frozenset[tuple[ContentId, int]] = frozenset()

    async def run(self) -> None:
        """Load the records, then save those of all daemons while this one acts."""
        while True:
            await asyncio.sleep(CHECK_INTERVAL_SECONDS)
            try:
                await self._step()
            except PlatformError as error:
                self._health.record_failure(error)
                await asyncio.sleep(RETRY_SECONDS)

    async def _step(self) -> None:
        if self._loaded_era is None:
            await self._load()
        elif self._acts():
            if self._loaded_era != self._eras.current:
                await self._load()
            await self._save()

    def _acts(self) -> bool:
        if self._lease.current_leadership() is not None:
            return self._health.answers
        return self._deputy.acts()

    async def _load(self) -> None:
        listing = await self._health.track(self._store.list(SAVED_CRASHES_PREFIX))
        self._loaded_era = find_era(listing.revision)
        self._revisions = {item.key: item.revision for item in listing.items}
        self._saved = frozenset()
        for item in listing.items:
            reports = self._apply(item.key, item.value)
            if item.key == self._key:
                self._saved = _list_crashes(reports)

    def _apply(self, key: str, value: bytes) -> Reports:
        try:
            reports = _decode(value, self._peers.wall())
        except DECODE_ERRORS as error:
            logger.bind(key=key, error=repr(error)).error('malformed crash records')
            return {}
        self._tracker.apply_reports(reports, self._clock.monotonic())
        logger.bind(key=key, contents=len(reports)).info('crash records loaded')
        return reports

    async def _save(self) -> None:
        """Save the records if they have changed.

        Another daemon may have written them meanwhile; its records are merged.
        """
        reports = self._tracker.build_evidence(self._clock.monotonic())
        current = _list_crashes(reports)
        if current == self._saved:
            return
        value = pack({'at': self._peers.wall(), 'reports': reports})
        put = Put(self._key, value, self._revisions.get(self._key, ABSENT))
        result = await self._health.track(self._store.put([put]))
        if not isinstance(result, Written):
            await self._load()
            return
        self._revisions[self._key] = result.revision
        self._saved = current
        logger.bind(contents=len(reports)).info('crash records saved')


def make_key(domain: FailureDomainId) -> str:
    """Return the key of the records that a failure domain's daemons save."""
    return f'{SAVED_CRASHES_PREFIX}{domain}'


def _list_crashes(reports: Reports) -> frozenset[tuple[ContentId, int]]:
    return frozenset(
        (content, process)
        for content, report in reports.items()
        for process, _, _ in report.crashes
    )


def _decode(value: bytes, wall: float) -> dict[ContentId, CrashReport]:
    """Return saved reports with the ages that they have now.

    :raises ValueError: if they are malformed, as other errors of ``DECODE_ERRORS``.
    """
    message = unpack(value)
    elapsed = max(wall - parse_number(message['at']), 0)
    reports = {
        content: _add_age(elapsed, report)
        for content, report in decode_crashes(message['reports']).items()
    }
    return {content: report for content, report in reports.items() if report.crashes}


def _add_age(elapsed: float, report: CrashReport) -> CrashReport:
    crashes = [(process, age + elapsed, ran) for process, age, ran in report.crashes]
    completed_age = report.completed_age
    return CrashReport(
        [crash for crash in crashes if crash[1] <= MAX_AGE_SECONDS],
        None if completed_age is None else completed_age + elapsed,
    )
