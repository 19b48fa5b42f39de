"""Duties by lease: at most one daemon plans or moves a deployment at a time."""

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
    """How long a duty is held and how often it is renewed.

    :param duration: how long the store keeps the key without a renewal.
    :param margin: how long before that the holder stops by its own clock; it
        covers what two clocks drift apart in one duration.
    :param renewal: time between renewals.
    :param candidates: how many daemons try to take a duty that nobody holds,
        so that the rate of reads does not grow with the number of daemons.
    """

    duration: timedelta = timedelta(seconds=9)
    margin: timedelta = timedelta(seconds=2)
    renewal: timedelta = timedelta(seconds=2)
    candidates: int = 3


@dataclass(frozen=True, slots=True)
class HeldDuty:
    """A duty that this daemon holds.

    :param fencing: creation revision of the duty's key.
    :param since: monotonic seconds at which the key was seen to be ours.
    :param until: monotonic seconds at which this daemon stops by itself.
    """

    fencing: FencingNumber
    since: float
    until: float


@dataclass(slots=True)
class _Claim:
    lease: LeaseId
    mark: bytes
    sent: float
    renewed: float
    held: HeldDuty | None = None


class DutyManager:
    """Takes, renews and gives up duties; ``holds`` may be asked by any thread."""

    def __init__(
        self,
        store: KeyValueStore,
        clock: Clock,
        daemon_id: DaemonId,
        live: Callable[[], tuple[Daemon, ...]],
        terms: LeaseTerms | None = None,
    ) -> None:
        """Make a keeper that holds nothing yet.

        :param live: the daemons thought alive, this one included.
        """
        self.terms = terms or LeaseTerms()
        self._store = store
        self._clock = clock
        self._daemon_id = daemon_id
        self._live = live
        self._duties: tuple[DutyId, ...] = ()
        self._claims: dict[DutyId, _Claim] = {}
        self._look_after: dict[DutyId, float] = {}
        self._stopped = threading.Event()
        self._thread: threading.Thread | None = None

    def set_duties(self, duties: Iterable[DutyId]) -> None:
        """Say which duties there are, from the configuration in force."""
        self._duties = tuple(duties)

    def holds(self, duty: DutyId) -> FencingNumber | None:
        """Return the fencing number if this daemon may act on a duty now."""
        held = self.find(duty)
        return held.fencing if held else None

    def find(self, duty: DutyId) -> HeldDuty | None:
        """Return since and until when this daemon holds a duty, if it does."""
        claim = self._claims.get(duty)
        if claim is None or claim.held is None:
            return None
        if self._clock.monotonic() >= claim.held.until:
            return None
        return claim.held

    def start(self) -> None:
        """Call ``step`` from a thread of its own until ``stop``."""
        self._thread = threading.Thread(target=self._run, name='duties', daemon=True)
        self._thread.start()

    def stop(self) -> None:
        """Give up all duties, so that others can take them at once."""
        self._stopped.set()
        if self._thread is not None:
            self._thread.join()
        for duty in tuple(self._claims):
            self._give_up(duty)

    def step(self) -> None:
        """Renew what is due, take what is free, give up what is gone."""
        for gone in self._claims.keys() - set(self._duties):
            self._give_up(gone)
        for duty in self._duties:
            try:
                self._tend(duty)
            except PlatformError as error:
                logger.bind(step=error.step.value, duty=duty).warning(
                    'duty not renewed or taken'
                )

    def _run(self) -> None:
        pause = self.terms.renewal / 4
        while not self._clock.wait(self._stopped, pause):
            self.step()

    def _tend(self, duty: DutyId) -> None:
        claim = self._claims.get(duty)
        if claim is None:
            self._campaign(duty)
        elif claim.held is None:
            self._settle(duty, claim)
        elif self._clock.monotonic() >= claim.renewed:
            self._renew(duty, claim)

    def _campaign(self, duty: DutyId) -> None:
        now = self._clock.monotonic()
        if now < self._look_after.get(duty, 0) or not self._is_candidate(duty):
            return
        # Held duties are looked at no more often than they are renewed: each
        # look is a read, at each candidate and for each deployment.
        self._look_after[duty] = now + self.terms.renewal.total_seconds()
        if self._store.get(_key(duty)) is not None:
            return
        # Counted from before the request is sent: the store starts to count
        # later, so this daemon always stops before the store lets go.
        sent = self._clock.monotonic()
        lease = self._store.grant_lease(self.terms.duration)
        mark = f'{self._daemon_id} {secrets.token_hex(NONCE_BYTES)}'.encode()
        claim = _Claim(lease, mark, sent, sent)
        self._claims[duty] = claim
        written = self._store.put_if(_key(duty), mark, ABSENT, lease)
        if isinstance(written, Written):
            self._hold(duty, claim, FencingNumber(written.revision))
        else:
            self._give_up(duty)

    def _settle(self, duty: DutyId, claim: _Claim) -> None:
        # The answer to the claim was lost. The mark is used once, so that a
        # key which bears it was written by this claim and by no older one.
        current = self._store.get(_key(duty))
        if current is not None and current.value == claim.mark:
            self._hold(duty, claim, FencingNumber(current.created))
        elif current is not None or self._has_lapsed(claim):
            self._give_up(duty)

    def _renew(self, duty: DutyId, claim: _Claim) -> None:
        sent = self._clock.monotonic()
        kept = self._store.keep_lease(claim.lease)
        # The key can be gone although the lease is there, for example after
        # the store was restored from a backup.
        if not kept or not _bears(self._store.get(_key(duty)), claim):
            self._give_up(duty)
            return
        claim.sent = sent
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
        until = claim.sent + (terms.duration - terms.margin).total_seconds()
        now = self._clock.monotonic()
        claim.held = HeldDuty(fencing, now if since is None else since, until)
        claim.renewed = claim.sent + terms.renewal.total_seconds()
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
            logger.bind(duty=duty).info('lease left to lapse')

    def _has_lapsed(self, claim: _Claim) -> bool:
        age = self._clock.monotonic() - claim.sent
        return age > self.terms.duration.total_seconds()

    def _is_candidate(self, duty: DutyId) -> bool:
        """Tell whether this daemon is among the first of distinct domains."""
        domains = {daemon.daemon_id: daemon.failure_domain for daemon in self._live()}
        chosen: dict[str, DaemonId] = {}
        for daemon_id in rank_by_hash(duty, domains):
            chosen.setdefault(domains[daemon_id], daemon_id)
            if len(chosen) >= self.terms.candidates:
                break
        return self._daemon_id in chosen.values()


def _key(duty: DutyId) -> str:
    return f'{KEY_PREFIX}{duty}'


def _bears(current: KeyValue | None, claim: _Claim) -> bool:
    return current is not None and current.value == claim.mark
