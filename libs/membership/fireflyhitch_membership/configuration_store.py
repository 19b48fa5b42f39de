"""Reads, watches and proposes configurations in the platform's store."""

import random
from collections.abc import Callable
from dataclasses import dataclass
from datetime import timedelta
from threading import Event

import tenacity
from loguru import logger

from fireflyhitch_membership.heads import (
    BODY_PREFIX,
    Body,
    Head,
    make_body_key,
    make_head,
    pack_head,
    revision_of_body,
    unpack_head,
)
from fireflyhitch_membership.records import (
    EMPTY_RECORD,
    ConfigurationRecord,
    pack,
    unpack,
)
from fireflyhitch_membership.revisions import (
    ActiveConfiguration,
    Adoption,
    RevisionTracker,
    Source,
)
from fireflyhitch_model.clock import Clock
from fireflyhitch_model.errors import PlatformError
from fireflyhitch_model.ids import ABSENT, ChangeId, Revision
from fireflyhitch_model.states import Outcome, Step
from fireflyhitch_platform.keyvalue import (
    Conflict,
    KeyValue,
    KeyValueStore,
    WatchCompacted,
    Written,
)
from fireflyhitch_settings.schema import Configuration

CONFIGURATION_KEY = 'fireflyhitch/configuration'
# Bounds the time until a watch that the store lost silently is renewed and a restored
# store is detected; 38 watchers cause two reads each per period.
WATCH_SECONDS = 20
WATCH_TIMEOUT = timedelta(seconds=WATCH_SECONDS)
PROPOSAL_ATTEMPTS = 4
MIN_RETRY_SECONDS = 0.1
MAX_RETRY_SECONDS = 1.0
MAX_DOUBLINGS = 16
BACKOFF_JITTER = (0.5, 1.0)


@dataclass(frozen=True, slots=True)
class Accepted:
    """The proposal was stored at this revision."""

    revision: Revision


@dataclass(frozen=True, slots=True)
class Rejected:
    """Another change was accepted first; nothing was written.

    :param current: the configuration on which a new proposal must be based, or
        ``None`` if there is none yet.
    """

    current: ActiveConfiguration | None


ProposalResult = Accepted | Rejected


@dataclass(frozen=True, slots=True)
class Proposal:
    """A change requested by an operator.

    :param expected: the revision that the operator saw, or 0 for none.
    """

    configuration: Configuration
    expected: Revision
    change_id: ChangeId


class StoredConfiguration:
    """Transfers configuration records between the store and this daemon.

    :param announce: called after a newer record was applied from the store.
    """

    def __init__(
        self,
        store: KeyValueStore,
        revisions: RevisionTracker,
        clock: Clock,
        announce: Callable[[], None],
    ) -> None:
        self._store = store
        self._revisions = revisions
        self._clock = clock
        self._announce = announce

    def read(self) -> Revision:
        """Read the store once and apply a newer configuration.

        :returns: the store revision from which to watch.
        :raises PlatformError: if the store cannot be read.
        """
        listing = self._store.get_prefix(CONFIGURATION_KEY)
        for item in listing.items:
            if item.key == CONFIGURATION_KEY:
                self._adopt(item.value)
        return listing.revision

    def watch(self, after: Revision) -> None:
        """Apply changes as they arrive until the watch's timeout.

        :raises PlatformError: if the store becomes unavailable.
        """
        try:
            for event in self._store.watch(CONFIGURATION_KEY, after, WATCH_TIMEOUT):
                if event.key != CONFIGURATION_KEY:
                    continue
                if event.value is None:
                    logger.bind(step=Step.STORE_WATCH.value).error(
                        'configuration was deleted from the store; current one kept'
                    )
                    continue
                self._adopt(event.value)
        except WatchCompacted:
            # The next round starts with a read, which covers the missed changes.
            logger.bind(step=Step.STORE_WATCH.value).info('watch compacted')

    def sweep(self) -> None:
        """Delete orphaned bodies of rejected proposals and crashed proposers.

        A body of a later revision than the head's is kept, since it may belong to a
        change that is being written.

        :raises PlatformError: if the store becomes unavailable.
        """
        stored = self._store.get(CONFIGURATION_KEY)
        if stored is None:
            return
        head = unpack_head(stored.value, CONFIGURATION_KEY)
        kept = frozenset(body.key for body in head.bodies)
        for item in self._store.get_prefix(BODY_PREFIX).items:
            if item.key not in kept and revision_of_body(item.key) <= head.revision:
                self._store.delete_if(item.key, item.revision)

    def propose(self, proposal: Proposal) -> ProposalResult:
        """Write a change if none was accepted since its base revision.

        A lost response is resolved by a retry: each attempt first looks for the change
        among the accepted ones. A delayed first write and a retry compare with the
        same revision and write the same content, so only one of them takes effect.
        Thus a change is never applied twice, and is only reported as rejected once
        its write can no longer take effect.

        :raises PlatformError: ``not-run`` or ``unknown``, see its ``outcome``.
        """
        unknown_outcomes: list[PlatformError] = []
        retrying = tenacity.Retrying(
            stop=tenacity.stop_after_attempt(PROPOSAL_ATTEMPTS),
            wait=tenacity.wait_random_exponential(
                multiplier=MIN_RETRY_SECONDS, max=MAX_RETRY_SECONDS
            ),
            retry=tenacity.retry_if_exception_type(PlatformError),
            sleep=self._sleep,
            reraise=True,
        )
        try:
            return retrying(self._attempt, proposal, unknown_outcomes)
        except PlatformError as error:
            raise PlatformError(
                'change not settled' if unknown_outcomes else 'change not accepted',
                step=Step.CONFIGURE,
                peer=error.peer,
                outcome=Outcome.UNKNOWN if unknown_outcomes else Outcome.NOT_RUN,
            ) from error

    def _attempt(
        self, proposal: Proposal, unknown_outcomes: list[PlatformError]
    ) -> ProposalResult:
        stored = self._store.get(CONFIGURATION_KEY)
        latest = self._latest(stored)
        accepted = latest.accepted_revision(proposal.change_id)
        if accepted:
            return Accepted(accepted)
        if latest.revision != proposal.expected:
            return Rejected(self._revisions.in_force())
        record = latest.follow(
            Revision(latest.revision + 1), proposal.change_id, proposal.configuration
        )
        # The body is written first, so that a head never refers to a missing body.
        body = self._put_body(record)
        head = make_head(latest, record, _bodies_of(stored), body)
        store_revision = stored.revision if stored else ABSENT
        try:
            written = self._store.put_if(
                CONFIGURATION_KEY, pack_head(head), store_revision
            )
        except PlatformError as error:
            if error.outcome is not Outcome.NOT_RUN:
                unknown_outcomes.append(error)
            raise
        if isinstance(written, Conflict):
            return self._resolve_conflict(written.current, proposal.change_id, body)
        self._offer(record, Source.PROPOSAL)
        for dropped in set(_bodies_of(stored)).difference(head.bodies):
            self._delete_body(dropped)
        return Accepted(record.revision)

    def _resolve_conflict(
        self, current: KeyValue | None, change_id: ChangeId, body: Body
    ) -> ProposalResult:
        accepted = self._latest(current).accepted_revision(change_id)
        if accepted:
            return Accepted(accepted)
        self._delete_body(body)
        return Rejected(self._revisions.in_force())

    def _put_body(self, record: ConfigurationRecord) -> Body:
        """Write the whole configuration under a key derived from its content.

        If an earlier attempt already wrote that key, its content is the same.
        """
        content = pack(record)
        key = make_body_key(content, record.revision)
        written = self._store.put_if(key, content, ABSENT)
        if isinstance(written, Written):
            return Body(key, written.revision)
        if written.current is None:
            raise PlatformError(
                'body is gone', step=Step.CONFIGURE, peer=key, outcome=Outcome.NOT_RUN
            )
        return Body(key, written.current.revision)

    def _delete_body(self, body: Body) -> None:
        try:
            self._store.delete_if(body.key, body.stored)
        except PlatformError as error:
            # Harmless: an orphaned body only takes some kilobytes in the store.
            logger.bind(step=error.step.value, peer=error.peer).info(
                'orphaned configuration body left in store', key=body.key
            )

    def _latest(self, stored: KeyValue | None) -> ConfigurationRecord:
        """Return the newer of the stored record and the one in force.

        The one in force is newer after the store was restored from a backup; a change
        based on it then updates the store.
        """
        stored_record = self._adopt(stored.value) if stored else EMPTY_RECORD
        in_force = self._revisions.record
        return (
            stored_record if stored_record.revision >= in_force.revision else in_force
        )

    def _adopt(self, content: bytes) -> ConfigurationRecord:
        head = unpack_head(content, CONFIGURATION_KEY)
        record = self._load(head)
        self._offer(record, Source.STORE)
        return record

    def _load(self, head: Head) -> ConfigurationRecord:
        """Return a head's record; read its body only if the difference does not apply."""
        in_force = self._revisions.record
        if (head.revision, head.content) == (in_force.revision, in_force.content):
            return in_force
        record = head.apply_to(in_force)
        if record is not None:
            return record
        key = head.bodies[-1].key if head.bodies else ''
        stored = self._store.get(key)
        whole = unpack(stored.value, key) if stored else EMPTY_RECORD
        if (whole.revision, whole.content) != (head.revision, head.content):
            raise PlatformError(
                'configuration body does not fit its head',
                step=Step.CONFIGURE,
                peer=key,
                outcome=Outcome.NOT_RUN,
            )
        return whole

    def _offer(self, record: ConfigurationRecord, source: Source) -> None:
        adoption = self._revisions.adopt(record, source, CONFIGURATION_KEY)
        if adoption is Adoption.ADOPTED:
            self._announce()

    def _sleep(self, seconds: float) -> None:
        self._clock.wait(Event(), timedelta(seconds=seconds))


def _bodies_of(stored: KeyValue | None) -> tuple[Body, ...]:
    return unpack_head(stored.value, CONFIGURATION_KEY).bodies if stored else ()


class Backoff:
    """Exponential backoff with jitter, so that daemons do not retry in lockstep."""

    def __init__(
        self, min_seconds: float, max_seconds: float, rng: random.Random
    ) -> None:
        self._min_seconds = min_seconds
        self._max_seconds = max_seconds
        self._rng = rng
        self.failures = 0

    def reset(self) -> bool:
        """Reset the backoff.

        :returns: whether there were failures since the last reset.
        """
        failed = self.failures > 0
        self.failures = 0
        return failed

    def next(self) -> timedelta:
        """Record a failure and return how long to wait."""
        ceiling = min(self._max_seconds, self._min_seconds * 2**self.failures)
        self.failures = min(self.failures + 1, MAX_DOUBLINGS)
        return timedelta(seconds=ceiling * self._rng.uniform(*BACKOFF_JITTER))
