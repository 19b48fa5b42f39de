"""Table of known daemons, with the rules that merge records about them."""

from collections.abc import Iterable
from dataclasses import dataclass
from datetime import timedelta
from threading import RLock

from fireflyhitch_membership.messages import MemberRecord, MemberStatus
from fireflyhitch_membership.scope import choose_summary
from fireflyhitch_model.clock import Clock
from fireflyhitch_model.hashing import hash_text
from fireflyhitch_model.ids import DaemonId, FailureDomainId, Incarnation
from fireflyhitch_model.peers import Daemon

# A process paused for less than this is suspected but not removed: once it resumes,
# it sees the suspicion in the next probe and refutes it.
SUSPICION_TIMEOUT = timedelta(seconds=5)
# Longer than partitions between regions last, so that a side that reconnects does
# not reintroduce a daemon that has left.
GONE_RETENTION = timedelta(hours=1)
# Statuses in which a daemon is assigned work and duties.
SERVING_STATUSES = frozenset((MemberStatus.ALIVE, MemberStatus.SUSPECT))


@dataclass(slots=True)
class _Entry:
    record: MemberRecord
    changed: float


class MemberTable:
    """Members by id: all of the local failure domain, a summary of each other domain.

    The higher incarnation wins, and within one incarnation the higher status. Only
    a daemon itself raises its incarnation, so a stale report cannot revert its
    departure.
    """

    def __init__(self, daemon: Daemon, clock: Clock) -> None:
        self._lock = RLock()
        self._clock = clock
        self._entries: dict[DaemonId, _Entry] = {}
        self._own = MemberRecord(
            daemon_id=daemon.daemon_id,
            domain=daemon.failure_domain,
            peer=daemon.peer_address,
            entry=daemon.entry_address,
            incarnation=daemon.incarnation,
        )
        self._live: tuple[Daemon, ...] | None = None

    @property
    def own(self) -> MemberRecord:
        """Return this daemon's record."""
        return self._own

    def set_address(self, address: str) -> None:
        """Set the address on which this daemon accepts links."""
        with self._lock:
            self._own = self._own.model_copy(update={'peer': address})
            self._live = None

    def leave(self) -> MemberRecord:
        """Mark this daemon as leaving; this cannot be reverted."""
        with self._lock:
            return self._change_own(status=MemberStatus.LEAVING)

    def merge(self, records: Iterable[MemberRecord]) -> tuple[MemberRecord, ...]:
        """Merge records into the table.

        :returns: the records that changed, including the local one if its incarnation
            was raised to refute a wrong record about this daemon.
        """
        with self._lock:
            changed = [
                change
                for record in records
                for change in self._merge_one(record)
                if change
            ]
            if changed:
                self._prune()
            return tuple(changed)

    def suspect(self, daemon_id: DaemonId) -> tuple[MemberRecord, ...]:
        """Mark as suspect a daemon that answered neither direct nor indirect probes."""
        with self._lock:
            entry = self._entries.get(daemon_id)
            if entry is None or entry.record.status is not MemberStatus.ALIVE:
                return ()
            return self._merge_one(_with_status(entry.record, MemberStatus.SUSPECT))

    def expire(self) -> tuple[MemberRecord, ...]:
        """Declare overdue suspects dead and delete records past their retention."""
        now = self._clock.monotonic()
        with self._lock:
            died: list[MemberRecord] = []
            for entry in tuple(self._entries.values()):
                age = timedelta(seconds=now - entry.changed)
                status = entry.record.status
                if status is MemberStatus.SUSPECT and age > SUSPICION_TIMEOUT:
                    dead = _with_status(entry.record, MemberStatus.DEAD)
                    died.extend(self._merge_one(dead))
                elif status not in SERVING_STATUSES and age > GONE_RETENTION:
                    self._entries.pop(entry.record.daemon_id)
            return tuple(died)

    def restart_suspicions(self) -> None:
        """Restart the timeouts of all suspicions after this process was paused.

        Otherwise a daemon that resumes finds all suspicions overdue and declares half
        of the fleet dead, although only this process was unresponsive.
        """
        now = self._clock.monotonic()
        with self._lock:
            for entry in self._entries.values():
                entry.changed = now

    def get(self, daemon_id: DaemonId) -> MemberRecord | None:
        """Return the record of another daemon."""
        entry = self._entries.get(daemon_id)
        return entry.record if entry else None

    def live(self) -> tuple[Daemon, ...]:
        """Return the serving daemons, including this one unless it is leaving."""
        view = self._live
        if view is None:
            with self._lock:
                view = tuple(record.as_daemon() for record in self.serving())
                self._live = view
        return view

    def serving(self) -> list[MemberRecord]:
        """Return the records of the daemons that ``live`` returns."""
        with self._lock:
            records = [self._own, *(one.record for one in self._entries.values())]
        return [record for record in records if record.status in SERVING_STATUSES]

    def domains(self) -> frozenset[FailureDomainId]:
        """Return the failure domains of all recorded daemons, live or not."""
        with self._lock:
            return frozenset(one.record.domain for one in self._entries.values())

    def suspects(self) -> tuple[DaemonId, ...]:
        """Return the ids of the suspected daemons."""
        with self._lock:
            return tuple(
                daemon_id
                for daemon_id, entry in self._entries.items()
                if entry.record.status is MemberStatus.SUSPECT
            )

    def dead_addresses(self) -> frozenset[str]:
        """Return the addresses of daemons that were declared dead."""
        with self._lock:
            return frozenset(
                entry.record.peer
                for entry in self._entries.values()
                if entry.record.status is MemberStatus.DEAD
            )

    def digests(self, domain: FailureDomainId) -> dict[FailureDomainId, int]:
        """Return a hash per failure domain of the members visible to a peer.

        :param domain: the failure domain of the peer that compares digests.
        """
        with self._lock:
            found: dict[FailureDomainId, int] = {}
            for record in self._visible_from(domain):
                found[record.domain] = found.get(record.domain, 0) ^ _hash(record)
            return found

    def differing(
        self, domain: FailureDomainId, remote: dict[FailureDomainId, int]
    ) -> tuple[MemberRecord, ...]:
        """Return the records of the failure domains whose digests differ from a peer's.

        Records of dead and leaving daemons are included, since the difference may
        consist of nothing else.
        """
        with self._lock:
            local = self.digests(domain)
            differ = {
                one
                for one in local.keys() | remote.keys()
                if local.get(one) != remote.get(one)
            }
            inactive = [
                entry.record
                for entry in self._entries.values()
                if entry.record.status not in SERVING_STATUSES
            ]
            candidates = [*self._visible_from(domain), *inactive, self._own]
            chosen = {
                record.daemon_id: record
                for record in candidates
                if record.domain in differ
            }
            return tuple(chosen.values())

    def _merge_one(self, record: MemberRecord) -> tuple[MemberRecord, ...]:
        if record.daemon_id == self._own.daemon_id:
            return self._refute(record)
        known = self._entries.get(record.daemon_id)
        if known is None and record.status not in SERVING_STATUSES:
            return ()
        if known is not None and _rank(record) <= _rank(known.record):
            return ()
        self._entries[record.daemon_id] = _Entry(record, self._clock.monotonic())
        self._live = None
        return (record,)

    def _refute(self, record: MemberRecord) -> tuple[MemberRecord, ...]:
        if _rank(record) <= _rank(self._own) and record.peer == self._own.peer:
            return ()
        if record.incarnation < self._own.incarnation:
            return ()
        raised = Incarnation(record.incarnation + 1)
        return (self._change_own(incarnation=raised),)

    def _change_own(self, **changes: Incarnation | MemberStatus) -> MemberRecord:
        self._own = self._own.model_copy(update=changes)
        self._live = None
        return self._own

    def _visible_from(self, domain: FailureDomainId) -> list[MemberRecord]:
        serving = self.serving()
        if domain == self._own.domain:
            return serving
        local = [one.daemon_id for one in serving if one.domain == self._own.domain]
        chosen = frozenset(choose_summary(self._own.domain, local))
        return [
            record
            for record in serving
            if record.domain != self._own.domain or record.daemon_id in chosen
        ]

    def _prune(self) -> None:
        """Delete members of other failure domains that are not in their summary."""
        by_domain: dict[FailureDomainId, list[DaemonId]] = {}
        for record in self.serving():
            if record.domain != self._own.domain:
                by_domain.setdefault(record.domain, []).append(record.daemon_id)
        for domain, members in by_domain.items():
            kept = frozenset(choose_summary(domain, members))
            for member in members:
                if member not in kept:
                    self._entries.pop(member)
                    self._live = None


def _rank(record: MemberRecord) -> tuple[int, int]:
    return (record.incarnation, record.status)


def _with_status(record: MemberRecord, status: MemberStatus) -> MemberRecord:
    return record.model_copy(update={'status': status})


def _hash(record: MemberRecord) -> int:
    # Excludes the status: a suspicion is resolved within seconds, and comparing it
    # would make all members exchange their lists in the meantime.
    return hash_text(f'{record.daemon_id}/{record.incarnation}')
