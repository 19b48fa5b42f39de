"""The configuration in force at this daemon, whose revision only increases."""

from collections.abc import Callable
from dataclasses import dataclass
from datetime import datetime
from enum import Enum
from threading import Lock

import cachetools
from loguru import logger
from pydantic import ValidationError

from fireflyhitch_membership.records import EMPTY_RECORD, ConfigurationRecord
from fireflyhitch_model.clock import Clock
from fireflyhitch_model.ids import ChangeId, Revision
from fireflyhitch_model.invariants import Invariant, invariant
from fireflyhitch_model.states import Step
from fireflyhitch_settings.schema import Configuration

# Enough for peers a few seconds behind, at one change every two seconds.
MAX_EARLIER_RECORDS = 16


class Source(Enum):
    """The source of a configuration."""

    STORE = 'store'
    PROPOSAL = 'proposal'
    PEER = 'peer'
    SNAPSHOT = 'snapshot'


class Adoption(Enum):
    """The result of offering a record."""

    ADOPTED = 'adopted'
    KNOWN = 'known'
    OLDER = 'older'
    DIVERGENT = 'divergent'
    INVALID = 'invalid'


@dataclass(frozen=True, slots=True)
class ActiveConfiguration:
    """A configuration in force at this daemon.

    :param since: wall clock time at which this daemon applied it.
    """

    revision: Revision
    configuration: Configuration
    change_id: ChangeId
    since: datetime


class RevisionTracker:
    """Holds the record in force; safe to use from any thread."""

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._lock = Lock()
        self._record = EMPTY_RECORD
        self._in_force: ActiveConfiguration | None = None
        self._last_refusal = ''
        self._callbacks: list[Callable[[ActiveConfiguration], None]] = []
        self._earlier: cachetools.LRUCache[Revision, ConfigurationRecord] = (
            cachetools.LRUCache(MAX_EARLIER_RECORDS)
        )

    @property
    def record(self) -> ConfigurationRecord:
        """Return the record in force, with revision 0 if there is none."""
        return self._record

    def in_force(self) -> ActiveConfiguration | None:
        """Return the configuration in force, or ``None``."""
        return self._in_force

    def earlier(self, revision: Revision) -> ConfigurationRecord | None:
        """Return a recent earlier record, or ``None`` if it is no longer kept."""
        with self._lock:
            return self._earlier.get(revision)

    def on_change(self, callback: Callable[[ActiveConfiguration], None]) -> None:
        """Register a callback to be called after each change."""
        self._callbacks.append(callback)

    def adopt(
        self, record: ConfigurationRecord, source: Source, peer: str | None = None
    ) -> Adoption:
        """Put a record in force if it is newer.

        :param peer: where it came from, for the log.
        """
        try:
            configuration = record.configuration
        except ValidationError as error:
            self._log_refusal(f'invalid configuration {record.revision}', source, peer)
            logger.bind(step=Step.CONFIGURE.value).debug('errors', error=str(error))
            return Adoption.INVALID
        with self._lock:
            adoption = self._compare(record)
            if adoption is Adoption.ADOPTED:
                changed = self._replace(record, configuration)
        if adoption is not Adoption.ADOPTED:
            self._report(adoption, record, source, peer)
            return adoption
        self._last_refusal = ''
        logger.bind(step=Step.CONFIGURE.value, peer=peer, source=source.value).info(
            'configuration in force', revision=record.revision
        )
        for callback in tuple(self._callbacks):
            callback(changed)
        return adoption

    def report_divergence(self, revision: Revision, peer: str) -> None:
        """Log that a peer has different content under the same revision."""
        text = f'another configuration {revision} than the one in force'
        self._log_refusal(text, Source.PEER, peer)

    def _compare(self, record: ConfigurationRecord) -> Adoption:
        if record.revision > self._record.revision:
            return Adoption.ADOPTED
        if record.revision < self._record.revision:
            return Adoption.OLDER
        same = record.content == self._record.content
        return Adoption.KNOWN if same else Adoption.DIVERGENT

    def _replace(
        self, record: ConfigurationRecord, configuration: Configuration
    ) -> ActiveConfiguration:
        before = self._record.revision
        invariant(
            record.revision > before,
            Invariant.REVISION_GROWS,
            f'{before} to {record.revision}',
            step=Step.CONFIGURE,
        )
        self._record = record
        self._earlier[record.revision] = record
        self._in_force = ActiveConfiguration(
            record.revision, configuration, record.change_id, self._clock.now()
        )
        return self._in_force

    def _report(
        self,
        adoption: Adoption,
        record: ConfigurationRecord,
        source: Source,
        peer: str | None,
    ) -> None:
        if adoption is Adoption.OLDER and source is Source.STORE:
            # Applying a store restored from a backup would revert customers' traffic
            # to outdated settings. The next accepted change updates the store.
            current = self._record.revision
            text = f'store holds {record.revision}, older than {current} in force'
            self._log_refusal(text, source, peer)
        if adoption is Adoption.DIVERGENT:
            text = f'another configuration {record.revision} than the one in force'
            self._log_refusal(text, source, peer)

    def _log_refusal(self, text: str, source: Source, peer: str | None) -> None:
        if text == self._last_refusal:
            return
        self._last_refusal = text
        logger.bind(step=Step.CONFIGURE.value, peer=peer, source=source.value).error(
            'configuration refused', reason=text
        )
