"""Tests of the peer network over the loopback interface."""

import socket
import ssl
import threading
import time
from datetime import timedelta
from typing import ClassVar

import pytest
import trustme

from fireflyhitch_membership import members, probing
from fireflyhitch_membership.links import LinkOptions
from fireflyhitch_membership.messages import MemberRecord
from fireflyhitch_membership.network import PeerNetwork
from fireflyhitch_membership.snapshots import Section, SnapshotExchange
from fireflyhitch_model.clock import SystemClock
from fireflyhitch_model.errors import PeerError
from fireflyhitch_model.instances import Instance, InstanceListing
from fireflyhitch_model.peers import Daemon, PeerMessage, Scope
from fireflyhitch_model.states import InstanceRole, InstanceState, MachineClass

TIMEOUT_SECONDS = 20
SECOND = timedelta(seconds=1)


class Echo(PeerMessage):
    kind: ClassVar[str] = 'test-echo'
    text: str


def wait_until(holds):
    ends = time.monotonic() + TIMEOUT_SECONDS
    while not holds():
        assert time.monotonic() < ends, 'timed out waiting for condition'
        time.sleep(0.01)


class Cluster:
    """Networks whose links can be cut, stopped at the end of the test."""

    def __init__(self):
        self.networks = []
        self.cut = False
        self.lost = set()

    def filter_frame(self, sender, kind):
        if self.cut:
            self.lost.add((sender, kind))
        return not self.cut

    def add(self, name, domain, key='key', seeds=None, **tls):
        first = tuple(one.address for one in self.networks[:1])
        options = LinkOptions(
            seeds=first if seeds is None else seeds,
            peer_key=key,
            link_filter=lambda _peer, kind: self.filter_frame(name, kind),
            **tls,
        )
        daemon = Daemon(name, domain, '127.0.0.1:0', f'{name}:80')
        network = PeerNetwork(daemon, options, SystemClock())
        network.start()
        self.networks.append(network)
        return network

    def settle(self):
        count = len(self.networks)
        wait_until(lambda: all(len(one.live()) == count for one in self.networks))


@pytest.fixture
def cluster():
    made = Cluster()
    yield made
    for network in made.networks:
        network.stop()


@pytest.fixture
def three(cluster):
    networks = [cluster.add(name, 'gent') for name in ('a', 'b')]
    networks.append(cluster.add('c', 'brugge'))
    cluster.settle()
    return networks


class TestMessages:
    """Sending, asking and broadcasting."""

    def test_request_gets_its_answer(self, three):
        three[2].handle(Echo, lambda sender, echo: Echo(text=f'{sender}: {echo.text}'))
        assert three[0].ask('c', Echo(text='hi'), SECOND) == Echo(text='a: hi')

    def test_unanswered_and_unknown_peers_are_errors(self, three):
        three[1].handle(Echo, lambda _sender, _echo: None)
        for peer in ('b', 'nobody'):
            with pytest.raises(PeerError) as caught:
                three[0].ask(peer, Echo(text=''), timedelta(milliseconds=100))
            assert caught.value.peer == peer

    def test_broadcast_reaches_each_daemon_of_its_scope_once(self, three):
        arrived = []
        done = threading.Event()

        def make_handler(name):
            def handler(sender, echo):
                arrived.append((name, sender, echo.text))
                if echo.text == 'last':
                    done.set()

            return handler

        for network in three:
            network.handle(Echo, make_handler(network.daemon.daemon_id))
        three[0].broadcast(Echo(text='near'), Scope.FAILURE_DOMAIN)
        three[0].broadcast(Echo(text='all'), Scope.EVERYWHERE)
        wait_until(lambda: len(arrived) == 3)
        three[2].tell('b', Echo(text='last'))
        assert done.wait(TIMEOUT_SECONDS)
        assert sorted(arrived) == [
            ('b', 'a', 'all'),
            ('b', 'a', 'near'),
            ('b', 'c', 'last'),
            ('c', 'a', 'all'),
        ]

    def test_unresponsive_peer_does_not_delay_another(self, three):
        """Requests to others are answered while one peer is unresponsive.

        The peer's port accepts connections but never answers. It is sent more messages
        than its queue holds; the excess is dropped, and only its own writer waits.
        """
        with socket.create_server(('127.0.0.1', 0)) as unresponsive:
            address = f'127.0.0.1:{unresponsive.getsockname()[1]}'
            unresponsive_peer = MemberRecord(
                daemon_id='ghost', domain='gent', peer=address, entry='', incarnation=1
            )
            three[0]._members.merge([unresponsive_peer])
            three[1].handle(Echo, lambda _sender, echo: echo)
            for number in range(1000):
                three[0].tell('ghost', Echo(text=str(number)))
            assert three[0].ask('b', Echo(text='hi'), SECOND) == Echo(text='hi')
            assert three[0].counts.dropped > 0

    def test_failing_handler_leaves_the_link_in_place(self, three):
        def fail(_sender, echo):
            if echo.text == 'bad':
                raise ValueError(echo.text)
            return echo

        three[1].handle(Echo, fail)
        with pytest.raises(PeerError):
            three[0].ask('b', Echo(text='bad'), timedelta(milliseconds=100))
        assert three[0].ask('b', Echo(text='good'), SECOND) == Echo(text='good')


class TestLifetime:
    """Starting and stopping."""

    def test_network_that_never_started_can_be_stopped(self):
        options = LinkOptions(seeds=(), peer_key='key')
        network = PeerNetwork(Daemon('a', 'gent', '', ''), options, SystemClock())
        network.stop()

    def test_network_starts_without_responsive_seeds(self, cluster):
        with socket.create_server(('127.0.0.1', 0)) as unresponsive:
            address = f'127.0.0.1:{unresponsive.getsockname()[1]}'
            alone = cluster.add('a', 'gent', seeds=(address, '127.0.0.1:9'))
        assert [one.daemon_id for one in alone.live()] == ['a']


class TestAccess:
    """Authentication of peers."""

    def test_daemon_without_the_key_is_rejected(self, cluster):
        inside = cluster.add('a', 'gent')
        outsider = cluster.add('x', 'gent', key='guess')
        with pytest.raises(PeerError):
            outsider._call(outsider._links.open_link(inside.address), TIMEOUT_SECONDS)
        assert [one.daemon_id for one in inside.live()] == ['a']
        assert [one.daemon_id for one in outsider.live()] == ['x']

    def test_daemons_connect_by_mutual_tls_and_reject_plain_links(self, cluster):
        authority = trustme.CA()
        certificate = authority.issue_cert('127.0.0.1')
        server = ssl.create_default_context(ssl.Purpose.CLIENT_AUTH)
        server.verify_mode = ssl.CERT_REQUIRED
        client = ssl.create_default_context()
        for context in (server, client):
            authority.configure_trust(context)
            certificate.configure_cert(context)
        for name in ('a', 'b'):
            cluster.add(name, 'gent', server_tls=server, client_tls=client)
        cluster.settle()
        plain = cluster.add('c', 'gent', seeds=())
        with pytest.raises(PeerError):
            plain._call(
                plain._links.open_link(cluster.networks[0].address), TIMEOUT_SECONDS
            )


class TestLeaving:
    """Leaving marks and leaving daemons."""

    def test_stale_list_does_not_revert_a_mark(self, three):
        """The instance gets no new work although the list still shows it as live.

        One daemon marks the instance, and all receive the mark. Another then reads the
        stale list. Only a higher incarnation, of a restarted instance, is free of the
        mark.
        """
        three[0].mark_leaving('engine', 2)
        wait_until(lambda: all(one.is_leaving('engine', 2) for one in three))
        live = Instance(
            'engine',
            InstanceRole.BACKEND,
            InstanceState.LIVE,
            'gent',
            'e:1',
            MachineClass.RECLAIMABLE,
            incarnation=2,
        )
        three[1].update_instance_list(InstanceListing((live,)))
        assert three[1].leaving() == {'engine': 2}
        assert not three[1].is_leaving('engine', 3)

    def test_leaving_daemon_is_removed_from_all_lists(self, three):
        changed = threading.Event()
        three[2].on_members(changed.set)
        three[0].announce_leaving()
        wait_until(lambda: all(len(one.live()) == 2 for one in three))
        assert changed.wait(TIMEOUT_SECONDS)

    def test_partitioned_sides_merge_their_marks(self, cluster, three):
        """After a partition each side has the other's marks.

        All messages are lost while one side marks an instance and the other withdraws
        a version. Once the links work again, the digests in heartbeats differ, and both
        sides pull the missing marks.
        """
        cluster.cut = True
        three[0].mark_leaving('engine', 1)
        three[2].mark_withdrawn('chat', '2')
        wait_until(lambda: cluster.lost >= {('a', 'relay'), ('c', 'relay')})
        cluster.cut = False
        wait_until(lambda: all(one.is_leaving('engine', 1) for one in three))
        wait_until(lambda: all(one.is_withdrawn('chat', '2') for one in three))

    def test_sides_that_declared_each_other_dead_reconnect(
        self, cluster, three, monkeypatch
    ):
        """After a long partition the members are live again and all marks are kept.

        The partition outlasts the suspicion timeout, so all daemons declare each other
        dead. Once it ends, dead daemons are contacted again, see their status in a
        probe and refute it by a higher incarnation. Marks made meanwhile are merged.
        """
        monkeypatch.setattr(probing, 'PROBE_TIMEOUT', SECOND / 5)
        monkeypatch.setattr(probing, 'INDIRECT_TIMEOUT', SECOND / 5)
        monkeypatch.setattr(members, 'SUSPICION_TIMEOUT', SECOND / 2)
        cluster.cut = True
        wait_until(lambda: all(len(one.live()) == 1 for one in three))
        assert three[0].unreachable_domains() == {'brugge'}
        three[0].mark_leaving('engine', 1)
        three[2].announce_leaving()
        cluster.cut = False
        wait_until(lambda: all(one.is_leaving('engine', 1) for one in three))
        wait_until(lambda: all(len(one.live()) == 2 for one in three))
        for each in three:
            assert {one.daemon_id for one in each.live()} == {'a', 'b'}


class TestSnapshots:
    """Soft state for a replacement daemon."""

    def test_replacement_starts_warm(self, cluster):
        """A daemon can request a snapshot as soon as its network has started."""
        first = cluster.add('a', 'gent')
        first.mark_leaving('engine', 1)
        merged = []
        second = cluster.add('b', 'gent')
        for network, content in ((first, b'statistics'), (second, b'')):
            exchange = SnapshotExchange(network, network.daemon)
            exchange.add(network.snapshot_section())
            exchange.add(Section('routing', lambda held=content: held, merged.append))
        assert exchange.warm_up(SECOND) == 'a'
        assert merged == [b'statistics']
        assert second.is_leaving('engine', 1)
