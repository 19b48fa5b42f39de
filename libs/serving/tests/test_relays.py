"""Tests of changes that daemons pass on to each other."""

import asyncio
from collections.abc import Callable

from fireflyhitch_model.clock import ManualClock
from fireflyhitch_model.ids import FailureDomainId, Revision
from fireflyhitch_serving.changes import (
    Change,
    ChangeMessage,
    ChangeSpan,
    decode_changes,
    part_span,
    render_changes,
)
from fireflyhitch_serving.connections import Address
from fireflyhitch_serving.peer_state import PeerState
from fireflyhitch_serving.peers import PeerRegistry
from fireflyhitch_serving.relays import ChangeRelay

HERE = FailureDomainId('gent')
THERE = FailureDomainId('aalst')
LEAVING = Change('servers/i-1', b'{"state":"draining"}', Revision(9))
SPAN = ChangeSpan('servers/', [LEAVING], Revision(5), Revision(9))
PEER = 'gent-2/a1'


def tell(
    daemon: str, domain: FailureDomainId, *, hears_store: bool, sequence: int = 1
) -> PeerState:
    """Return a daemon's news."""
    return PeerState(
        daemon=daemon,
        process=f'{daemon}/a1',
        failure_domain=domain,
        sequence=sequence,
        wall=0,
        work={},
        customers={},
        usage={},
        fresh_parts={},
        evidence={},
        newest={},
        hears_store=hears_store,
    )


class Watcher:
    """A daemon that watches, with peers that it hears."""

    def __init__(self, *peers: PeerState) -> None:
        self.told: dict[str, list[Change]] = {}
        self.clock = ManualClock()
        self.book = PeerRegistry('gent-1', HERE, self.clock, float)
        for number, news in enumerate(peers):
            self.book.register(news.daemon, Address('127.0.0.1', 1 + number))
            self.book.take(news)
        self.relay = ChangeRelay(
            self.book, 'gent-1', 'gent-1/a1', self.clock, self._send, lambda: True
        )

    def play(self, script: Callable[[], None]) -> None:
        """Do something, and let what follows from it be sent."""

        async def run() -> None:
            script()
            await asyncio.sleep(0.01)

        asyncio.run(run())

    def _send(self, data: bytes, daemons: list[str]) -> None:
        message = decode_changes(data)
        assert message is not None
        for daemon in daemons:
            self.told.setdefault(daemon, []).extend(message.span.changes)


class TestDaemonsWithoutTheStore:
    """The callers of one daemon get 502 for requests that ran at nobody's.

    The store turns that daemon away and serves the others. A server leaves; all but
    that daemon learn of it, which goes on sending there until the server is gone.
    """

    def test_they_get_changes_from_those_who_hear_it(self) -> None:
        watcher = Watcher(tell('aalst-1', THERE, hears_store=False))
        watcher.play(lambda: watcher.relay.pass_on(SPAN))
        assert watcher.told == {'aalst-1': [LEAVING]}

    def test_they_get_what_came_before_anybody_knew(self) -> None:
        watcher = Watcher(tell('aalst-1', THERE, hears_store=True))
        watcher.play(lambda: watcher.relay.pass_on(SPAN))
        assert not watcher.told
        without = tell('aalst-1', THERE, hears_store=False, sequence=2)
        watcher.book.take(without)
        watcher.play(watcher.relay.update_group)
        assert watcher.told == {'aalst-1': [LEAVING]}

    def test_those_who_hear_it_watch_themselves(self) -> None:
        watcher = Watcher(tell('gent-2', HERE, hears_store=True))
        watcher.play(lambda: watcher.relay.pass_on(SPAN))
        assert not watcher.told


class TestMessages:
    def test_a_message_is_read_as_it_was_written(self) -> None:
        changes = [LEAVING, Change('a', None, Revision(8))]
        message = ChangeMessage(
            PEER, ChangeSpan('servers/', changes, Revision(5), Revision(9))
        )
        assert decode_changes(render_changes(message)) == message

    def test_parts_of_a_span_do_not_pass_for_the_whole(self) -> None:
        """Guards against a lost part of many changes that nobody misses."""
        span = ChangeSpan(
            'servers/', [LEAVING for _ in range(5)], Revision(5), Revision(9)
        )
        assert part_span(span, 5) == [span]
        parts = part_span(span, 2)
        assert [len(part.changes) for part in parts] == [2, 2, 1]
        assert all(part.after == part.upto for part in parts)


class TestUnequalInstances:
    """The callers of one instance wait longer for each first token than all others.

    Its link carries a twentieth of what others' do, and it was first by hash: it relays
    for its failure domain, and its callers' answers wait behind the messages.
    """

    def test_duties_go_to_instances_whose_links_carry_them(self) -> None:
        watcher = Watcher()
        names = [f'gent-{number}' for number in range(1, 16)]
        for name in names:
            watcher.book.set_link_rate(
                name, 200 if name in {'gent-4', 'gent-9'} else 10
            )
        for duty in ('relay', 'watch', 'help'):
            ranked = watcher.book.rank(duty, names)
            assert set(ranked[:2]) == {'gent-4', 'gent-9'}
            assert sorted(ranked) == sorted(names)

    def test_without_able_instances_the_others_do_them(self) -> None:
        watcher = Watcher()
        names = ['gent-1', 'gent-2', 'gent-3']
        assert sorted(watcher.book.rank('relay', names)) == names
