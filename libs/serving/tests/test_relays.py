"""Tests of changes that daemons broadcast to each other."""

import asyncio
from collections.abc import Callable

from fireflyhitch_model.clock import ManualClock
from fireflyhitch_model.eras import UNKNOWN_ERA
from fireflyhitch_model.ids import FailureDomainId, Revision
from fireflyhitch_serving.changes import (
    Change,
    ChangeMessage,
    ChangeSpan,
    decode_changes,
    encode_changes,
    split_span,
)
from fireflyhitch_serving.connections import Address
from fireflyhitch_serving.peer_state import PeerState
from fireflyhitch_serving.peers import PeerRegistry
from fireflyhitch_serving.relays import ChangeRelay

LOCAL = FailureDomainId('gent')
REMOTE = FailureDomainId('aalst')
LEAVING = Change('servers/i-1', b'{"state":"draining"}', Revision(9))
SPAN = ChangeSpan('servers/', [LEAVING], Revision(5), Revision(9))
PEER = 'gent-2/a1'


def make_state(
    daemon: str, domain: FailureDomainId, *, hears_store: bool, sequence: int = 1
) -> PeerState:
    """Return a daemon's state."""
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
    """A daemon that watches, with responsive peers."""

    def __init__(self, *peers: PeerState) -> None:
        self.sent_changes: dict[str, list[Change]] = {}
        self.clock = ManualClock()
        self.registry = PeerRegistry('gent-1', LOCAL, self.clock, float)
        for number, state in enumerate(peers):
            self.registry.register(state.daemon, Address('127.0.0.1', 1 + number))
            self.registry.receive(state)
        self.relay = ChangeRelay(
            self.registry, 'gent-1', 'gent-1/a1', self.clock, self._send, lambda: True
        )

    def run_script(self, script: Callable[[], None]) -> None:
        """Run a script, and wait until its datagrams are sent."""

        async def run() -> None:
            script()
            await asyncio.sleep(0.01)

        asyncio.run(run())

    def _send(self, data: bytes, daemons: list[str]) -> None:
        message = decode_changes(data, UNKNOWN_ERA)
        assert message is not None
        for daemon in daemons:
            self.sent_changes.setdefault(daemon, []).extend(message.span.changes)


class TestDaemonsWithoutTheStore:
    """The store refuses one daemon and serves the others while a server leaves.

    Without broadcasts that daemon keeps sending to the server until it is gone, and its
    callers get 502 for requests that ran nowhere.
    """

    def test_they_receive_broadcast_changes(self) -> None:
        watcher = Watcher(make_state('aalst-1', REMOTE, hears_store=False))
        watcher.run_script(lambda: watcher.relay.broadcast(SPAN))
        assert watcher.sent_changes == {'aalst-1': [LEAVING]}

    def test_they_receive_changes_from_before_their_loss_was_reported(self) -> None:
        watcher = Watcher(make_state('aalst-1', REMOTE, hears_store=True))
        watcher.run_script(lambda: watcher.relay.broadcast(SPAN))
        assert not watcher.sent_changes
        unreachable = make_state('aalst-1', REMOTE, hears_store=False, sequence=2)
        watcher.registry.receive(unreachable)
        watcher.run_script(watcher.relay.update_group)
        assert watcher.sent_changes == {'aalst-1': [LEAVING]}

    def test_watchers_with_store_access_receive_nothing(self) -> None:
        watcher = Watcher(make_state('gent-2', LOCAL, hears_store=True))
        watcher.run_script(lambda: watcher.relay.broadcast(SPAN))
        assert not watcher.sent_changes


class TestMessages:
    def test_encoding_round_trip(self) -> None:
        changes = [LEAVING, Change('a', None, Revision(8))]
        message = ChangeMessage(
            PEER, ChangeSpan('servers/', changes, Revision(5), Revision(9))
        )
        assert decode_changes(encode_changes(message), UNKNOWN_ERA) == message

    def test_parts_of_a_span_do_not_claim_completeness(self) -> None:
        """Guards against losing one part of many changes without noticing."""
        span = ChangeSpan(
            'servers/', [LEAVING for _ in range(5)], Revision(5), Revision(9)
        )
        assert split_span(span, 5) == [span]
        parts = split_span(span, 2)
        assert [len(part.changes) for part in parts] == [2, 2, 1]
        assert all(part.after == part.upto for part in parts)


class TestUnequalInstances:
    """The instance with the slowest link is first by hash, and relays for its domain.

    Its link carries a twentieth of the others' rate, so its callers' answers queue
    behind the messages, and each first token comes later than elsewhere.
    """

    def test_instances_with_fast_links_rank_first(self) -> None:
        watcher = Watcher()
        names = [f'gent-{number}' for number in range(1, 16)]
        for name in names:
            watcher.registry.set_link_rate(
                name, 200 if name in {'gent-4', 'gent-9'} else 10
            )
        for duty in ('relay', 'watch', 'help'):
            ranked = watcher.registry.rank(duty, names)
            assert set(ranked[:2]) == {'gent-4', 'gent-9'}
            assert sorted(ranked) == sorted(names)

    def test_slow_links_are_ranked_if_there_are_no_others(self) -> None:
        watcher = Watcher()
        names = ['gent-1', 'gent-2', 'gent-3']
        assert sorted(watcher.registry.rank('relay', names)) == names
