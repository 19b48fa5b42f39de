"""Duties under a lease: tasks that at most one daemon performs at a time.

Planning a deployment's capacity and managing its version move are such duties.
"""

import secrets
import threading
from collections.abc import Callable, Iterable
from dataclasses import dataclass
from datetime import timedelta

from loguru import logger

from fireflyhitch_model.clock import Clock
from fireflyhitch_model.errors import PlatformError
from fireflyhitch_model.hashing import rank_by_hash
from fireflyhitch_model.ids import (
    ABSENT,
    DaemonId,
    DutyId,
    FencingNumber,
    LeaseId,
)
from fireflyhitch_model.peers import Daemon
from fireflyhitch_platform.keyvalue import KeyValue, KeyValueStore, Written

KEY_PREFIX = 'duties/'
NONCE_BYTES = 8


@dataclass(frozen=True, slots=True)
class LeaseTerms:
    """Durations and number of candidates of a lease.

    :param duration: time that the store keeps the key without a renewal.
    :param margin: time before expiry at which the holder stops by its own clock;
        covers the drift between two clocks within one duration.
    :param renewal: time between renewals.
    :param candidates: number of daemons that try to take a free duty; limited so
        that the rate of reads does not grow with the number of daemons.
    """

    duration: timedelta = timedelta(seconds=9)
    margin: timedelta = timedelta(seconds=2)
    renewal: timedelta = timedelta(seconds=2)
    candidates: int = 3


@dataclass(frozen=True, slots=True)
class HeldDuty:
    """A duty that this daemon holds.

    :param fencing: creation revision of the duty's key.
    :param since: monotonic seconds at which this daemon saw that it owns the key.
    :param until: monotonic seconds at which this daemon stops acting on the duty.
    """

    fencing: FencingNumber
    since: float
    until: float


@dataclass(slots=True)
class _Claim:
    lease: LeaseId
    key_value: bytes
    sent_at: float
    renew_at: float
    held: HeldDuty | None = None


class DutyManager:
    """Acquires, renews and releases duties; ``holds`` is thread-safe."""

    def __init__(
        self,
        store: KeyValueStore,
        clock: Clock,
        daemon_id: DaemonId,
        live: Callable[[], tuple[Daemon, ...]],
        terms: LeaseTerms | None = None,
    ) -> None:
        """Create a manager that holds no duties.

        :param live: returns the daemons considered alive, including this one.
        """
        self.terms = terms or LeaseTerms()
        self._store = store
        self._clock = clock
        self._daemon_id = daemon_id
        self._live = live
        self._duties: tuple[DutyId, ...] = ()
        self._claims: dict[DutyId, _Claim] = {}
        self._next_read: dict[DutyId, float] = {}
        self._stopped = threading.Event()
        self._thread: threading.Thread | None = None

    def set_duties(self, duties: Iterable[DutyId]) -> None:
        """Set the duties to acquire, from the configuration in force."""
        self._duties = tuple(duties)

    def holds(self, duty: DutyId) -> FencingNumber | None:
        """Return the fencing number if this daemon may act on a duty now."""
        held = self.find(duty)
        return held.fencing if held else None

    def find(self, duty: DutyId) -> HeldDuty | None:
        """Return a duty if this daemon holds it."""
        claim = self._claims.get(duty)
        if claim is None or claim.held is None:
            return None
        if self._clock.monotonic() >= claim.held.until:
            return None
        return claim.held

    def start(self) -> None:
        """Call ``step`` periodically from a new thread until ``stop``."""
        self._thread = threading.Thread(target=self._run, name='duties', daemon=True)
        self._thread.start()

    def stop(self) -> None:
        """Release all duties, so that others can acquire them at once."""
        self._stopped.set()
        if self._thread is not None:
            self._thread.join()
        for duty in tuple(self._claims):
            self._give_up(duty)

    def step(self) -> None:
        """Renew held duties, acquire free ones and release removed ones."""
        for removed in self._claims.keys() - set(self._duties):
            self._give_up(removed)
        for duty in self._duties:
            try:
                self._maintain(duty)
            except PlatformError as error:
                logger.bind(step=error.step.value, duty=duty).warning(
                    'duty not renewed or taken'
                )

    def _run(self) -> None:
        pause = self.terms.renewal / 4
        while not self._clock.wait(self._stopped, pause):
            self.step()

    def _maintain(self, duty: DutyId) -> None:
        claim = self._claims.get(duty)
        if claim is None:
            self._campaign(duty)
        elif claim.held is None:
            self._resolve_claim(duty, claim)
        elif self._clock.monotonic() >= claim.renew_at:
            self._renew(duty, claim)

    def _campaign(self, duty: DutyId) -> None:
        now = self._clock.monotonic()
        if now < self._next_read.get(duty, 0) or not self._is_candidate(duty):
            return
        # A duty held elsewhere is read no more often than it is renewed, since each
        # candidate reads the duty of each deployment.
        self._next_read[duty] = now + self.terms.renewal.total_seconds()
        if self._store.get(_key(duty)) is not None:
            return
        # The lease is timed from before the request is sent. The store's time starts
        # later, so this daemon always stops before the lease expires in the store.
        sent_at = self._clock.monotonic()
        lease = self._store.grant_lease(self.terms.duration)
        key_value = f'{self._daemon_id} {secrets.token_hex(NONCE_BYTES)}'.encode()
        claim = _Claim(lease, key_value, sent_at, sent_at)
        self._claims[duty] = claim
        written = self._store.put_if(_key(duty), key_value, ABSENT, lease)
        if isinstance(written, Written):
            self._hold(duty, claim, FencingNumber(written.revision))
        else:
            self._give_up(duty)

    def _resolve_claim(self, duty: DutyId, claim: _Claim) -> None:
        # The response to the claim was lost. The value contains a nonce, so a key with
        # this value was written by this claim and by no older one.
        current = self._store.get(_key(duty))
        if current is not None and current.value == claim.key_value:
            self._hold(duty, claim, FencingNumber(current.created))
        elif current is not None or self._has_expired(claim):
            self._give_up(duty)

    def _renew(self, duty: DutyId, claim: _Claim) -> None:
        sent_at = self._clock.monotonic()
        kept = self._store.keep_lease(claim.lease)
        # The key can be missing although the lease exists, for example after the
        # store was restored from a backup.
        if not kept or not _was_written_by(self._store.get(_key(duty)), claim):
            self._give_up(duty)
            return
        claim.sent_at = sent_at
        if claim.held is not None:
            self._hold(duty, claim, claim.held.fencing, claim.held.since)

    def _hold(
        self,
        duty: DutyId,
        claim: _Claim,
        fencing: FencingNumber,
        since: float | None = None,
    ) -> None:
        terms = self.terms
        until = claim.sent_at + (terms.duration - terms.margin).total_seconds()
        now = self._clock.monotonic()
        claim.held = HeldDuty(fencing, now if since is None else since, until)
        claim.renew_at = claim.sent_at + terms.renewal.total_seconds()
        if since is None:
            logger.bind(duty=duty, fencing=fencing).info('duty taken')

    def _give_up(self, duty: DutyId) -> None:
        claim = self._claims.pop(duty, None)
        if claim is None:
            return
        logger.bind(duty=duty).info('duty given up')
        try:
            self._store.revoke_lease(claim.lease)
        except PlatformError:
            logger.bind(duty=duty).info('lease left to expire')

    def _has_expired(self, claim: _Claim) -> bool:
        age = self._clock.monotonic() - claim.sent_at
        return age > self.terms.duration.total_seconds()

    def _is_candidate(self, duty: DutyId) -> bool:
        """Return whether this daemon is a candidate: one per domain, by rank."""
        domains = {daemon.daemon_id: daemon.failure_domain for daemon in self._live()}
        chosen: dict[str, DaemonId] = {}
        for daemon_id in rank_by_hash(duty, domains):
            chosen.setdefault(domains[daemon_id], daemon_id)
            if len(chosen) >= self.terms.candidates:
                break
        return self._daemon_id in chosen.values()


def _key(duty: DutyId) -> str:
    return f'{KEY_PREFIX}{duty}'


def _was_written_by(current: KeyValue | None, claim: _Claim) -> bool:
    return current is not None and current.value == claim.key_value
