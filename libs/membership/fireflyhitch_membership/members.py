"""The daemons that a daemon knows, and how news about them merge."""

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

# A process stopped for less is suspected but keeps its place: on waking up it
# finds the suspicion in the next probe and contradicts it.
SUSPICION_TIMEOUT = timedelta(seconds=5)
# Longer than regions lose each other, so that a side that comes back does not
# bring a leaving daemon back.
GONE_RETENTION = timedelta(hours=1)
# The statuses under which a daemon gets work and duties.
SERVING_STATUSES = frozenset((MemberStatus.ALIVE, MemberStatus.SUSPECT))


@dataclass(slots=True)
class _Entry:
    record: MemberRecord
    changed: float


class MemberTable:
    """Members by id: all of the own failure domain, a summary of the others.

    The higher incarnation wins, and within one the higher status. Only a daemon
    itself raises its incarnation, so no lagging report can undo its leaving.
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
        """Set the address at which this daemon accepts links."""
        with self._lock:
            self._own = self._own.model_copy(update={'peer': address})
            self._live = None

    def leave(self) -> MemberRecord:
        """Mark this daemon as leaving, for good."""
        with self._lock:
            return self._change_own(status=MemberStatus.LEAVING)

    def merge(self, records: Iterable[MemberRecord]) -> tuple[MemberRecord, ...]:
        """Take records in.

        :returns: what changed; with the own record if it had to be raised
            against news that are wrong about this daemon.
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
        """Note that a daemon answered neither directly nor by others."""
        with self._lock:
            entry = self._entries.get(daemon_id)
            if entry is None or entry.record.status is not MemberStatus.ALIVE:
                return ()
            return self._merge_one(_with_status(entry.record, MemberStatus.SUSPECT))

    def expire(self) -> tuple[MemberRecord, ...]:
        """Declare dead whom suspicion lasted for too long; forget the long gone."""
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
        """Give suspects their full time again, after this process was paused.

        Without it a daemon that wakes up finds all suspicions overdue and
        declares half of the fleet dead, although only it was away.
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
        """Return the serving daemons, this one included unless it leaves."""
        view = self._live
        if view is None:
            with self._lock:
                view = tuple(record.as_daemon() for record in self.serving())
                self._live = view
        return view

    def serving(self) -> list[MemberRecord]:
        """Return the records behind ``live``."""
        with self._lock:
            records = [self._own, *(one.record for one in self._entries.values())]
        return [record for record in records if record.status in SERVING_STATUSES]

    def domains(self) -> frozenset[FailureDomainId]:
        """Return all failure domains heard of, with or without live daemons."""
        with self._lock:
            return frozenset(one.record.domain for one in self._entries.values())

    def suspects(self) -> tuple[DaemonId, ...]:
        """Return the daemons under suspicion."""
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
        """Return a hash per failure domain over what that domain should know.

        :param domain: the failure domain of the peer that compares.
        """
        with self._lock:
            found: dict[FailureDomainId, int] = {}
            for record in self._visible_from(domain):
                found[record.domain] = found.get(record.domain, 0) ^ _hash(record)
            return found

    def differing(
        self, domain: FailureDomainId, remote: dict[FailureDomainId, int]
    ) -> tuple[MemberRecord, ...]:
        """Return the records of failure domains that differ from a peer's.

        Those that are gone go along, since only they explain the difference.
        """
        with self._lock:
            local = self.digests(domain)
            differ = {
                one
                for one in local.keys() | remote.keys()
                if local.get(one) != remote.get(one)
            }
            gone = [
                entry.record
                for entry in self._entries.values()
                if entry.record.status not in SERVING_STATUSES
            ]
            known = [*self._visible_from(domain), *gone, self._own]
            chosen = {
                record.daemon_id: record for record in known if record.domain in differ
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
        """Keep only the summary of other failure domains."""
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
    # Without the status: a suspicion ends within seconds one way or the other,
    # and comparing it would have all members exchange their lists meanwhile.
    return hash_text(f'{record.daemon_id}/{record.incarnation}')
