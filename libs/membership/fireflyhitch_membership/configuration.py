"""Reads, proposes and distributes the configuration, which never reverts."""

import random
import threading
from collections.abc import Callable
from datetime import timedelta

from loguru import logger

from fireflyhitch_membership.configuration_store import (
    Accepted,
    Backoff,
    Proposal,
    ProposalResult,
    Rejected,
    StoredConfiguration,
)
from fireflyhitch_membership.configuration_sync import ConfigurationSync, DomainRevision
from fireflyhitch_membership.records import pack, unpack
from fireflyhitch_membership.revisions import (
    ActiveConfiguration,
    RevisionTracker,
    Source,
)
from fireflyhitch_membership.scope import choose_watchers
from fireflyhitch_membership.snapshots import Section
from fireflyhitch_model.clock import Clock
from fireflyhitch_model.errors import PlatformError
from fireflyhitch_model.ids import ABSENT, ChangeId, FailureDomainId, Revision
from fireflyhitch_model.peers import Daemon, PeerMessenger
from fireflyhitch_model.states import Step
from fireflyhitch_platform.keyvalue import KeyValueStore
from fireflyhitch_settings.schema import Configuration

# Re-exports the result types of the manager's methods.
__all__ = (  # noqa: WPS410
    'Accepted',
    'ConfigurationManager',
    'DomainRevision',
    'ActiveConfiguration',
    'ProposalResult',
    'Rejected',
)

DIGEST_SECONDS = 1.0
# The delay within which a daemon detects that it has become a watcher.
ROLE_SECONDS = 1.0
# Fallback for a daemon that receives no changes from peers; 790 daemons cause three
# store reads a second.
POLL_SECONDS = 300.0
# A daemon without a configuration asks its peers before the store.
FIRST_POLL_SECONDS = 1.0
MIN_BACKOFF_SECONDS = 0.5
MAX_BACKOFF_SECONDS = 15.0
JITTER = (0.75, 1.25)
STOP_SECONDS = 1.0


class ConfigurationManager:
    """Maintains one daemon's configuration at the highest accepted revision.

    :param local_daemon: the daemon of this process.
    """

    def __init__(
        self,
        store: KeyValueStore,
        messenger: PeerMessenger,
        local_daemon: Daemon,
        clock: Clock,
    ) -> None:
        self._messenger = messenger
        self._local_daemon = local_daemon
        self._clock = clock
        self._stopping = threading.Event()
        self._wake = threading.Event()
        self._revisions = RevisionTracker(clock)
        self._stored = StoredConfiguration(
            store, self._revisions, clock, self._announce
        )
        self._sync = ConfigurationSync(
            messenger, local_daemon, self._revisions, clock, self._wake
        )
        self._rng = random.Random(local_daemon.daemon_id)
        self._backoff = Backoff(MIN_BACKOFF_SECONDS, MAX_BACKOFF_SECONDS, self._rng)
        self._next_poll = clock.monotonic() + self._jitter(FIRST_POLL_SECONDS)
        self._next_gossip = clock.monotonic()
        self._next_sweep = clock.monotonic() + self._jitter(POLL_SECONDS)
        self._threads: list[threading.Thread] = []

    def start(self) -> None:
        """Start the threads that watch the store and exchange state with peers."""
        loops = (
            (self.follow_store_once, self._stopping),
            (self.follow_peers_once, self._wake),
        )
        for arguments in loops:
            thread = threading.Thread(
                target=self._run_loop, args=arguments, name='configuration', daemon=True
            )
            self._threads.append(thread)
            thread.start()

    def stop(self) -> None:
        """Stop the threads; a pending watch ends by its own timeout."""
        self._stopping.set()
        self._wake.set()
        for thread in self._threads:
            thread.join(STOP_SECONDS)

    def in_force(self) -> ActiveConfiguration | None:
        """Return the configuration in force, or ``None`` until a source was read."""
        return self._revisions.in_force()

    def on_change(self, callback: Callable[[ActiveConfiguration], None]) -> None:
        """Register a callback to be called after each change, in one of the threads."""
        self._revisions.on_change(callback)

    def propose(
        self,
        configuration: Configuration,
        expected_revision: Revision,
        change_id: ChangeId,
    ) -> ProposalResult:
        """Write a configuration if no change was accepted since the expected revision.

        Proposing the same change id again gives the same result.

        :param expected_revision: the revision that the operator saw, or 0 for none.
        :raises PlatformError: ``not-run`` if it was certainly not accepted,
            ``unknown`` if the store failed before the outcome was known.
        """
        return self._stored.propose(
            Proposal(configuration, expected_revision, change_id)
        )

    def revisions_by_failure_domain(self) -> dict[FailureDomainId, DomainRevision]:
        """Query one daemon of each failure domain for its revision in force."""
        return self._sync.ask_domains()

    def snapshot_section(self) -> Section:
        """Return the snapshot section for the configuration in force."""
        return Section('configuration', self._produce_snapshot, self._merge_snapshot)

    def is_watcher(self) -> bool:
        """Return whether this daemon watches the store for its failure domain."""
        domain = self._local_daemon.failure_domain
        return self._local_daemon.daemon_id in choose_watchers(
            domain, self._messenger.live()
        )

    def follow_store_once(self) -> timedelta:
        """Read the store if this daemon is a watcher or its poll is due.

        A watcher also watches the store until the watch's timeout.

        :returns: how long to wait before the next round.
        """
        watches = self.is_watcher()
        if not watches and self._clock.monotonic() < self._next_poll:
            return timedelta(seconds=self._jitter(ROLE_SECONDS))
        try:
            store_revision = self._stored.read()
            self._on_success()
            if watches:
                self._sweep()
                self._stored.watch(store_revision)
        except PlatformError as error:
            return self._on_failure(error)
        return timedelta()

    def follow_peers_once(self) -> timedelta:
        """Run pending pulls, and send a digest to a peer every second.

        :returns: how long to wait unless a pull becomes pending earlier.
        """
        self._wake.clear()
        self._sync.pull_pending()
        now = self._clock.monotonic()
        if now >= self._next_gossip:
            self._next_gossip = now + self._jitter(DIGEST_SECONDS)
            self._sync.gossip()
            if self._revisions.record.revision == ABSENT:
                self._sync.pull_initial()
        pause = self._next_gossip - self._clock.monotonic()
        return timedelta(seconds=max(pause, 0))

    def _sweep(self) -> None:
        now = self._clock.monotonic()
        if now >= self._next_sweep:
            self._next_sweep = now + self._jitter(POLL_SECONDS)
            self._stored.sweep()

    def _announce(self) -> None:
        self._sync.announce(is_entry=True)

    def _on_success(self) -> None:
        if self._backoff.reset():
            logger.bind(step=Step.STORE_READ.value).info('store reachable again')
        is_unconfigured = self._revisions.record.revision == ABSENT
        period = MAX_BACKOFF_SECONDS if is_unconfigured else POLL_SECONDS
        self._next_poll = self._clock.monotonic() + self._jitter(period)

    def _on_failure(self, error: PlatformError) -> timedelta:
        if self._backoff.failures == 0:
            logger.bind(step=error.step.value, peer=error.peer).warning(
                'store cannot be reached', error=error.message
            )
        delay = self._backoff.next()
        self._next_poll = self._clock.monotonic() + delay.total_seconds()
        return delay

    def _run_loop(self, work: Callable[[], timedelta], wake: threading.Event) -> None:
        while not self._stopping.is_set():
            try:
                pause = work()
            except Exception as error:
                # An error in one round, also one in a callback, must not stop the
                # thread: the configuration would never be updated again.
                logger.bind(step=Step.CONFIGURE.value).error(
                    'configuration round failed', error=repr(error)
                )
                pause = timedelta(seconds=ROLE_SECONDS)
            self._clock.wait(wake, pause)

    def _jitter(self, seconds: float) -> float:
        return seconds * self._rng.uniform(*JITTER)

    def _produce_snapshot(self) -> bytes:
        record = self._revisions.record
        return pack(record) if record.revision != ABSENT else b''

    def _merge_snapshot(self, content: bytes) -> None:
        if not content:
            return
        try:
            record = unpack(content, 'snapshot')
        except PlatformError as error:
            raise ValueError('unreadable configuration') from error
        self._revisions.adopt(record, Source.SNAPSHOT)
