"""Configuration exchange among peers: digests are sent, newer revisions pulled."""

import random
from concurrent.futures import ThreadPoolExecutor
from dataclasses import dataclass
from datetime import datetime, timedelta
from threading import Event, Lock

from fireflyhitch_membership.messages import (
    ConfigurationDigest,
    ConfigurationPull,
    ConfigurationUpdate,
    StatusAnswer,
    StatusRequest,
)
from fireflyhitch_membership.records import (
    EMPTY_RECORD,
    ConfigurationRecord,
    apply_difference,
    pack,
    pack_difference,
    unpack,
)
from fireflyhitch_membership.revisions import Adoption, RevisionTracker, Source
from fireflyhitch_membership.scope import (
    choose_gateways,
    choose_next_hops,
    members_of,
)
from fireflyhitch_model.clock import Clock
from fireflyhitch_model.errors import PeerError, PlatformError
from fireflyhitch_model.ids import ABSENT, DaemonId, FailureDomainId, Revision
from fireflyhitch_model.peers import Daemon, PeerMessenger

PULL_TIMEOUT = timedelta(seconds=0.5)
# Covers a lost request or answer; the next digest may take a second or two.
PULL_ATTEMPTS = 2
STATUS_TIMEOUT = timedelta(seconds=1)
STATUS_THREADS = 8
# Older reports of peers are left out of the status.
REPORT_TTL_SECONDS = 30.0


@dataclass(frozen=True, slots=True)
class DomainRevision:
    """The revision in force in a failure domain, as reported by one of its daemons.

    :param revision: ``None`` if no daemon there could be queried.
    :param lowest: the lowest revision reported within that failure domain.
    :param since: wall clock time at which the queried daemon applied it.
    """

    revision: Revision | None
    lowest: Revision | None
    since: datetime | None


@dataclass(frozen=True, slots=True)
class _Report:
    revision: Revision
    at: float


class ConfigurationSync:
    """Sends the local revision to peers, and pulls newer configurations from them.

    :param wake: set when a pull is pending.
    """

    def __init__(
        self,
        messenger: PeerMessenger,
        local_daemon: Daemon,
        revisions: RevisionTracker,
        clock: Clock,
        wake: Event,
    ) -> None:
        self._messenger = messenger
        self._local_daemon = local_daemon
        self._revisions = revisions
        self._clock = clock
        self._wake = wake
        self._rng = random.Random(local_daemon.daemon_id)
        self._lock = Lock()
        self._pending_pulls: dict[DaemonId, Revision] = {}
        self._reports: dict[DaemonId, _Report] = {}
        messenger.handle(ConfigurationDigest, self._receive_digest)
        messenger.handle(ConfigurationPull, self._answer_pull)
        messenger.handle(StatusRequest, self._answer_status)

    def gossip(self) -> None:
        """Send a digest to a random local peer, and as a gateway also to a remote one.

        This repairs the effects of lost messages: a peer with an older revision pulls,
        and one with a newer revision sends its own digest.
        """
        local_daemon = self._local_daemon
        live = self._messenger.live()
        local = [
            one for one in live if one.failure_domain == local_daemon.failure_domain
        ]
        self._send_digest([one.daemon_id for one in local])
        if local_daemon.daemon_id not in choose_gateways(
            local_daemon.failure_domain, live
        ):
            return
        domains = sorted(
            {one.failure_domain for one in live} - {local_daemon.failure_domain}
        )
        if domains:
            self._send_digest(choose_gateways(self._rng.choice(domains), live))

    def announce(self, *, is_entry: bool) -> None:
        """Send a digest to the next daemons in the failure domain's tree.

        :param is_entry: whether the revision entered the failure domain at this daemon.
        """
        record = self._revisions.record
        live = self._messenger.live()
        key = f'configuration/{record.revision}'
        for hop in choose_next_hops(key, self._local_daemon, live, is_entry=is_entry):
            self._messenger.tell(hop, self._digest())

    def pull_pending(self) -> None:
        """Pull from the peers that reported a newer revision, newest first."""
        with self._lock:
            wanted = sorted(
                self._pending_pulls.items(), key=lambda one: one[1], reverse=True
            )
            self._pending_pulls.clear()
        for peer, revision in wanted:
            for _ in range(PULL_ATTEMPTS):
                if revision > self._revisions.record.revision:
                    self.pull(peer)

    def pull(self, peer: DaemonId) -> bool:
        """Pull a newer configuration from a peer, as a difference if possible.

        :returns: whether a newer configuration was applied.
        """
        base = self._revisions.record
        update = self._ask(peer, base, whole=base.revision == ABSENT)
        record = _read_update(base, update, peer) if update else None
        if update is not None and update.difference and record is None:
            update = self._ask(peer, base, whole=True)
            record = _read_update(base, update, peer) if update else None
        if record is None:
            return False
        adopted = self._revisions.adopt(record, Source.PEER, peer)
        if adopted is not Adoption.ADOPTED:
            return False
        domain = self._domain_of(peer)
        self.announce(is_entry=domain != self._local_daemon.failure_domain)
        return True

    def pull_initial(self) -> None:
        """Pull from up to two peers, for a daemon without a configuration."""
        others = [
            one.daemon_id
            for one in self._messenger.live()
            if one.daemon_id != self._local_daemon.daemon_id
        ]
        for peer in self._rng.sample(others, min(2, len(others))):
            if self.pull(peer):
                return

    def ask_domains(self) -> dict[FailureDomainId, DomainRevision]:
        """Query one daemon of each failure domain for its revision in force."""
        live = self._messenger.live()
        domains = sorted({one.failure_domain for one in live})
        other_domains = [
            one for one in domains if one != self._local_daemon.failure_domain
        ]
        gateways = {one: choose_gateways(one, live) for one in other_domains}
        with ThreadPoolExecutor(STATUS_THREADS) as pool:
            answers = pool.map(self._ask_domain, gateways.values())
        found = dict(zip(other_domains, answers, strict=True))
        found[self._local_daemon.failure_domain] = _summarize(self._status())
        return found

    def _send_digest(self, candidates: list[DaemonId]) -> None:
        others = [one for one in candidates if one != self._local_daemon.daemon_id]
        if others:
            self._messenger.tell(self._rng.choice(others), self._digest())

    def _digest(self) -> ConfigurationDigest:
        record = self._revisions.record
        return ConfigurationDigest(revision=record.revision, content=record.content)

    def _receive_digest(self, sender: DaemonId, digest: ConfigurationDigest) -> None:
        local_record = self._revisions.record
        with self._lock:
            self._reports[sender] = _Report(digest.revision, self._clock.monotonic())
            if digest.revision > local_record.revision:
                self._pending_pulls[sender] = digest.revision
        if digest.revision > local_record.revision:
            self._wake.set()
        elif digest.revision < local_record.revision:
            self._messenger.tell(sender, self._digest())
        elif digest.content != local_record.content:
            self._revisions.report_divergence(digest.revision, sender)

    def _ask(
        self, peer: DaemonId, base: ConfigurationRecord, *, whole: bool
    ) -> ConfigurationUpdate | None:
        question = ConfigurationPull(
            have=base.revision, content=base.content, whole=whole
        )
        try:
            answer = self._messenger.ask(peer, question, PULL_TIMEOUT)
        except PeerError:
            return None
        if not isinstance(answer, ConfigurationUpdate):
            return None
        return answer if answer.revision > base.revision else None

    def _answer_pull(
        self, _sender: DaemonId, pull: ConfigurationPull
    ) -> ConfigurationUpdate:
        record = self._revisions.record
        if record.revision <= pull.have:
            return ConfigurationUpdate(revision=ABSENT)
        base = None if pull.whole else self._revisions.earlier(pull.have)
        by_difference = base is not None and base.content == pull.content
        body = (
            pack_difference(base or EMPTY_RECORD, record)
            if by_difference
            else pack(record)
        )
        return ConfigurationUpdate(
            revision=record.revision,
            change_id=record.change_id,
            content=record.content,
            difference=by_difference,
            body=body,
        )

    def _ask_domain(self, gateways: list[DaemonId]) -> DomainRevision:
        for gateway in gateways:
            try:
                answer = self._messenger.ask(gateway, StatusRequest(), STATUS_TIMEOUT)
            except PeerError:
                continue
            if isinstance(answer, StatusAnswer):
                return _summarize(answer)
        return DomainRevision(None, None, None)

    def _answer_status(
        self, _sender: DaemonId, _request: StatusRequest
    ) -> StatusAnswer:
        return self._status()

    def _status(self) -> StatusAnswer:
        domain = self._local_daemon.failure_domain
        members = frozenset(members_of(domain, self._messenger.live()))
        oldest = self._clock.monotonic() - REPORT_TTL_SECONDS
        revision = self._revisions.record.revision
        with self._lock:
            reported = [
                one.revision
                for daemon_id, one in self._reports.items()
                if daemon_id in members and one.at >= oldest
            ]
        in_force = self._revisions.in_force()
        return StatusAnswer(
            domain=domain,
            revision=revision,
            lowest=min(reported, default=revision),
            since=in_force.since if in_force else None,
        )

    def _domain_of(self, peer: DaemonId) -> FailureDomainId | None:
        for daemon in self._messenger.live():
            if daemon.daemon_id == peer:
                return daemon.failure_domain
        return None


def _read_update(
    base: ConfigurationRecord, update: ConfigurationUpdate, peer: DaemonId
) -> ConfigurationRecord | None:
    if update.difference:
        record = apply_difference(base, update.body, update.revision, update.change_id)
    else:
        record = _unpack_whole(update.body, peer)
    if record is None or record.content != update.content:
        return None
    return record


def _unpack_whole(body: bytes, peer: DaemonId) -> ConfigurationRecord | None:
    try:
        return unpack(body, peer)
    except PlatformError:
        return None


def _summarize(answer: StatusAnswer) -> DomainRevision:
    return DomainRevision(answer.revision, answer.lowest, answer.since)
