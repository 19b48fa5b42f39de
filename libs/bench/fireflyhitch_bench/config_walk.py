"""Arithmetic for 790 daemons: the real choices walked, real messages weighed.

No network is modelled. Who sends to whom comes from the functions that the
daemon calls, sizes from its encoder, and processor time per message from the
runs over loopback and from timing the functions that grow with the fleet.
"""

import timeit
from collections import defaultdict
from collections.abc import Callable
from dataclasses import dataclass
from datetime import timedelta

from fireflyhitch_bench.config_run import make_configuration
from fireflyhitch_membership.configuration import DIGEST_SECONDS, POLL_SECONDS
from fireflyhitch_membership.configuration_store import WATCH_TIMEOUT
from fireflyhitch_membership.heads import Body, make_body_key, make_head, pack_head
from fireflyhitch_membership.links import FRAME_OVERHEAD_BYTES
from fireflyhitch_membership.members import MemberTable
from fireflyhitch_membership.messages import (
    ConfigurationDigest,
    ConfigurationPull,
    ConfigurationUpdate,
    Mark,
    MarkKind,
    MemberRecord,
    MemberStatus,
    Probe,
    ProbeAnswer,
    Relay,
    StateUpdate,
)
from fireflyhitch_membership.probing import PERIOD_SECONDS
from fireflyhitch_membership.records import (
    EMPTY_RECORD,
    ConfigurationRecord,
    pack,
    pack_difference,
)
from fireflyhitch_membership.scope import (
    choose_first_hops,
    choose_gateways,
    choose_next_hops,
    choose_watchers,
)
from fireflyhitch_membership.wire import encode, encode_body
from fireflyhitch_model.clock import ManualClock
from fireflyhitch_model.ids import (
    ChangeId,
    DaemonId,
    FailureDomainId,
    Incarnation,
    Revision,
)
from fireflyhitch_model.peers import Daemon, PeerMessage, Scope
from fireflyhitch_settings.schema import Configuration

DAEMONS = 790
DOMAINS = 19
CHANGES_PER_SECOND = 42000 / timedelta(days=1).total_seconds()
# Failures and restarts of instances a day; each is marked once, and changes the
# member lists of its failure domain twice (gone, and back).
MARKS_PER_SECOND = (79 + 1700) / timedelta(days=1).total_seconds()
# What such a fleet's configuration may hold; an assumption.
DEPLOYMENTS = 40
CUSTOMERS = 400
WALKED_CHANGES = 40
# The body, the head, and the deletion of an old body.
WRITES_PER_CHANGE = 3
LARGE_NUMBER = 2**63
BASE64_GROWTH = 4 / 3


@dataclass(frozen=True, slots=True)
class Walk:
    """Figures for the fleet; bytes count both directions.

    :param heaviest: bytes a second of the daemon that carries and watches most.
    :param store_bytes: what a watcher receives from the store, per second.
    :param choices_core_share: core share of the functions that grow with size.
    """

    hops: int
    hops_dark: int
    frames_per_second: float
    bytes_mean: float
    bytes_heaviest: float
    store_bytes: float
    store_reads: float
    store_writes: float
    choices_core_share: float
    configuration_bytes: int
    parts: dict[str, float]


@dataclass(frozen=True, slots=True)
class _Sizes:
    probe: int
    answer: int
    digest: int
    pull: int
    update: int
    mark: int
    head: int


class _Tally:
    """Bytes and frames of each daemon, by what they are for."""

    def __init__(self) -> None:
        self.bytes: defaultdict[DaemonId, float] = defaultdict(float)
        self.parts: defaultdict[str, float] = defaultdict(float)
        self.frames = 0.0

    def add(
        self, part: str, sender: DaemonId, target: DaemonId, size: int, rate: float
    ) -> None:
        self.bytes[sender] += size * rate
        self.bytes[target] += size * rate
        self.parts[part] += 2 * size * rate
        self.frames += rate


def walk_fleet() -> Walk:
    """Walk a fleet of 790 daemons in 19 failure domains."""
    daemons = make_daemons()
    sizes = _weigh()
    tally = _Tally()
    _add_heartbeats(tally, daemons, sizes)
    _add_digests(tally, daemons, sizes)
    _add_changes(tally, daemons, sizes)
    _add_marks(tally, daemons, sizes)
    watchers = [
        one for domain in _domains(daemons) for one in choose_watchers(domain, daemons)
    ]
    store_bytes = sizes.head * BASE64_GROWTH * CHANGES_PER_SECOND
    store_bytes += sizes.head * BASE64_GROWTH / WATCH_TIMEOUT.total_seconds()
    for watcher in watchers:
        tally.bytes[watcher] += store_bytes
        tally.parts['store to watchers'] += store_bytes
    reads = 2 * len(watchers) / WATCH_TIMEOUT.total_seconds()
    # The others poll; a watcher sweeps with two reads as often.
    polls = (len(daemons) + len(watchers)) / POLL_SECONDS
    text = len(_next_record().text)
    return Walk(
        hops=_count_hops(daemons, entries_dark=False),
        hops_dark=_count_hops(daemons, entries_dark=True),
        frames_per_second=tally.frames / len(daemons),
        bytes_mean=sum(tally.bytes.values()) / len(daemons),
        bytes_heaviest=max(tally.bytes.values()),
        store_bytes=store_bytes,
        store_reads=reads + polls + CHANGES_PER_SECOND,
        store_writes=WRITES_PER_CHANGE * CHANGES_PER_SECOND,
        choices_core_share=_time_choices(daemons),
        configuration_bytes=text,
        parts={name: size / len(daemons) for name, size in tally.parts.items()},
    )


def make_daemons() -> list[Daemon]:
    """Return the fleet's daemons, spread evenly."""
    return [
        Daemon(
            DaemonId(f'entry-{number}'),
            FailureDomainId(f'domain-{number % DOMAINS}'),
            f'10.0.{number % DOMAINS}.{number // DOMAINS}:7400',
            f'10.0.{number % DOMAINS}.{number // DOMAINS}:8400',
        )
        for number in range(DAEMONS)
    ]


def _domains(daemons: list[Daemon]) -> list[FailureDomainId]:
    return sorted({one.failure_domain for one in daemons})


def _weigh() -> _Sizes:
    me = _as_record(make_daemons()[-1])
    mark = Mark(kind=MarkKind.LEAVING, key='i-0123456789abcdef0', number=3)
    seen = (Incarnation(3), MemberStatus.ALIVE)
    big = LARGE_NUMBER
    base, record = (
        EMPTY_RECORD.follow(Revision(1), ChangeId('x'), _large('1')),
        _next_record(),
    )
    place = Body(make_body_key(pack(record), record.revision), Revision(big))
    head = make_head(base, record, (place, place), place)
    relay = Relay(
        origin=me.daemon_id,
        number=big,
        scope=Scope.EVERYWHERE,
        inner=StateUpdate.kind,
        body=encode_body(StateUpdate(marks=(mark,))),
    )
    update = ConfigurationUpdate(
        revision=record.revision,
        change_id=record.change_id,
        content=record.content,
        difference=True,
        body=pack_difference(base, record),
    )
    return _Sizes(
        probe=_size(Probe(me=me, members=big, marks=big, seen=seen)),
        answer=_size(ProbeAnswer(me=me, members=big, marks=big, seen=seen)),
        digest=_size(ConfigurationDigest(revision=Revision(big), content=big)),
        pull=_size(ConfigurationPull(have=Revision(big), content=big)),
        update=_size(update),
        mark=_size(relay),
        head=len(pack_head(head)),
    )


def _add_heartbeats(tally: _Tally, daemons: list[Daemon], sizes: _Sizes) -> None:
    rate = 1 / PERIOD_SECONDS
    for sender, target, _far in _pairs(daemons):
        tally.add('heartbeats', sender, target, sizes.probe, rate)
        tally.add('heartbeats', target, sender, sizes.answer, rate)


def _add_digests(tally: _Tally, daemons: list[Daemon], sizes: _Sizes) -> None:
    rate = 1 / DIGEST_SECONDS
    for sender, target, _far in _pairs(daemons):
        tally.add('digests', sender, target, sizes.digest, rate)


def _add_changes(tally: _Tally, daemons: list[Daemon], sizes: _Sizes) -> None:
    for domain in _domains(daemons):
        members = [one for one in daemons if one.failure_domain == domain]
        for revision in range(WALKED_CHANGES):
            _add_change(tally, members, sizes, f'configuration/{revision}')


def _add_change(tally: _Tally, members: list[Daemon], sizes: _Sizes, key: str) -> None:
    rate = CHANGES_PER_SECOND / WALKED_CHANGES
    entries = frozenset(choose_watchers(members[0].failure_domain, members))
    pulled = set(entries)
    for member in members:
        here = member.daemon_id
        for hop in choose_next_hops(key, member, members, is_entry=here in entries):
            tally.add('changes', here, hop, sizes.digest, rate)
            if hop in pulled:
                continue
            pulled.add(hop)
            tally.add('changes', hop, here, sizes.pull, rate)
            tally.add('changes', here, hop, sizes.update, rate)


def _add_marks(tally: _Tally, daemons: list[Daemon], sizes: _Sizes) -> None:
    origin = daemons[0]
    arrived = {origin.daemon_id}
    by_id = {one.daemon_id: one for one in daemons}
    senders = [(origin, choose_first_hops('mark', origin, daemons, Scope.EVERYWHERE))]
    while senders:
        sender, hops = senders.pop()
        for hop in hops:
            rate = MARKS_PER_SECOND
            tally.add('leaving marks', sender.daemon_id, hop, sizes.mark, rate)
            if hop in arrived:
                continue
            arrived.add(hop)
            here = by_id[hop]
            is_entry = here.failure_domain != sender.failure_domain
            following = choose_next_hops('mark', here, daemons, is_entry=is_entry)
            senders.append((here, following))


def _pairs(daemons: list[Daemon]) -> list[tuple[DaemonId, DaemonId, bool]]:
    """Return who turns to whom in a period; turns come round evenly."""
    pairs: list[tuple[DaemonId, DaemonId, bool]] = []
    domains = _domains(daemons)
    for index, domain in enumerate(domains):
        members = [one.daemon_id for one in daemons if one.failure_domain == domain]
        following = members[1:] + members[:1]
        near = zip(members, following, strict=True)
        pairs.extend((one, other, False) for one, other in near)
        elsewhere = domains[(index + 1) % len(domains)]
        here, there = (choose_gateways(one, daemons) for one in (domain, elsewhere))
        far = zip(here, there, strict=True)
        pairs.extend((one, other, True) for one, other in far)
    return pairs


def _count_hops(daemons: list[Daemon], *, entries_dark: bool) -> int:
    """Return the hops of a change within a failure domain after its entry.

    :param entries_dark: the failure domain has no store; one carrier pulls
        from another failure domain, which is one hop more.
    """
    domain = _domains(daemons)[0]
    members = [one for one in daemons if one.failure_domain == domain]
    by_id = {one.daemon_id: one for one in members}
    if entries_dark:
        reached = dict.fromkeys(choose_gateways(domain, members)[:1], 1)
    else:
        reached = dict.fromkeys(choose_watchers(domain, members), 0)
    pending = list(reached)
    entries = frozenset(pending)
    while pending:
        here = pending.pop(0)
        hops = choose_next_hops('c', by_id[here], members, is_entry=here in entries)
        for hop in hops:
            if hop not in reached:
                reached[hop] = reached[here] + 1
                pending.append(hop)
    if len(reached) != len(members):
        raise RuntimeError('the tree does not reach all members')
    return max(reached.values())


def _time_choices(daemons: list[Daemon]) -> float:
    """Return the core share of what grows with the fleet, per daemon."""
    table = MemberTable(daemons[0], ManualClock())
    table.merge(_as_record(one) for one in daemons[1:])
    domain = daemons[0].failure_domain
    known = table.live()
    digests = _time(lambda: table.digests(domain))
    carriers = _time(lambda: choose_gateways(domain, known))
    hops = _time(lambda: choose_next_hops('k', daemons[0], known, is_entry=False))
    # A probe sent and one answered compare digests at either end, a carrier
    # does twice that; roles are looked up by probes, digests and the watch.
    return 8 * digests / PERIOD_SECONDS + 6 * carriers + hops * CHANGES_PER_SECOND


def _time(work: Callable[[], object]) -> float:
    rounds = 200
    return min(timeit.repeat(work, number=rounds, repeat=3)) / rounds


def _size(message: PeerMessage) -> int:
    return len(encode(message, ask=LARGE_NUMBER)) + FRAME_OVERHEAD_BYTES


def _large(note: str) -> Configuration:
    return make_configuration(DEPLOYMENTS, CUSTOMERS, note)


def _next_record() -> ConfigurationRecord:
    base = EMPTY_RECORD.follow(Revision(1), ChangeId('x'), _large('1'))
    return base.follow(Revision(2), ChangeId('y'), _large('2'))


def _as_record(daemon: Daemon) -> MemberRecord:
    return MemberRecord(
        daemon_id=daemon.daemon_id,
        domain=daemon.failure_domain,
        peer=daemon.peer_address,
        entry=daemon.entry_address,
        incarnation=daemon.incarnation,
    )
