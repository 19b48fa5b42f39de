"""Tests of hand-overs between daemons, with and without faults."""

import cbor2
import pytest

from fireflyhitch_model.errors import InvariantError
from fireflyhitch_model.ids import CustomerId
from fireflyhitch_recovery.answers import AnswerEnd, LogState
from fireflyhitch_recovery.messages import Confirm, Transfer, WireRequest


class DaemonKilled(Exception):
    """Stops a daemon in the middle of a hand-over."""


def ids(*tracked):
    return tuple(one.accepted.call.request_id for one in tracked)


class TestHandOver:
    """Hand-overs without faults."""

    def test_request_moves_to_another_failure_domain_with_its_answer(self, cluster):
        tracked = cluster.accept()
        report = cluster.nodes['a1'].move(tracked)
        assert report.moved == ids(tracked)
        holder = cluster.holder(tracked)
        assert holder in ('b1', 'c1')
        taken_over = cluster.nodes[holder].taken_over[-1]
        assert taken_over.log.read_after(0).events == (b'1', b'2')
        assert taken_over.placement == tracked.placement
        assert tracked.log.state is LogState.MOVED

    def test_caller_reads_no_event_that_the_peer_did_not_receive(self, cluster):
        tracked = cluster.accept()
        real_ask = cluster.network.messengers['a1'].ask
        relayed = []

        def generate_meanwhile(peer, message, timeout):
            if isinstance(message, (Transfer, Confirm)):
                relayed.append(tracked.log.current().append(b'3'))
            return real_ask(peer, message, timeout)

        cluster.network.messengers['a1'].ask = generate_meanwhile
        cluster.nodes['a1'].move(tracked)
        assert relayed == [False, False]
        assert tracked.log.read_after(0).events == (b'1', b'2')

    def test_any_daemon_finds_a_request_before_and_after_its_move(self, cluster):
        tracked = cluster.accept()
        for node in cluster.nodes.values():
            assert node.locate(tracked) == 'a1'
        cluster.nodes['a1'].move(tracked)
        holder = cluster.holder(tracked)
        cluster.kill('a1')
        for node in cluster.nodes.values():
            assert node.locate(tracked) == holder

    def test_request_that_stays_with_a_leaving_daemon_is_found(self, cluster):
        """A leaving daemon finishes a request, and its peers no longer list it as live.

        A caller that reconnects through a peer must still be directed to it.
        """
        tracked = cluster.accept()
        for messenger in cluster.network.messengers.values():
            everybody = messenger.live()
            staying = tuple(one for one in everybody if one.daemon_id != 'a1')
            messenger.live = staying.__iter__
        cluster.nodes['a1'].hand_over.replicate(ids(tracked))
        for name in ('a2', 'b1', 'c1'):
            assert cluster.nodes[name].locate(tracked) == 'a1'

    def test_other_customers_do_not_find_a_request(self, cluster):
        tracked = cluster.accept()
        find = cluster.nodes['a1'].in_flight.find_for_customer
        assert find(*ids(tracked), CustomerId('customer')) is tracked
        assert find(*ids(tracked), CustomerId('other')) is None

    def test_requests_spread_over_peers_with_capacity(self, make_cluster):
        cluster = make_cluster(batch_requests=2)
        for name in ('b1', 'c1'):
            cluster.nodes[name].capacity = 5
        tracked = [cluster.accept() for _ in range(8)]
        assert len(cluster.nodes['a1'].move(*tracked).moved) == 8
        assert len(cluster.nodes['b1'].taken_over) in (3, 4, 5)

    def test_peers_memory_is_bounded(self, make_cluster):
        cluster = make_cluster(max_total_bytes=3000, batch_requests=2)
        cluster.nodes['a2'].capacity = 0
        tracked = [cluster.accept(body=bytes(1000)) for _ in range(8)]
        report = cluster.nodes['a1'].move(*tracked)
        assert len(report.moved) == 4
        for name in ('b1', 'c1'):
            assert cluster.nodes[name].hand_over.handover_receiver.count_bytes() <= 3000
        left = [one for one in tracked if ids(one)[0] in report.left]
        assert {one.log.state for one in left} == {LogState.OPEN}
        for taken_over in cluster.nodes['b1'].taken_over:
            cluster.nodes['b1'].in_flight.finish(taken_over, AnswerEnd.COMPLETE)
        assert cluster.nodes['b1'].hand_over.handover_receiver.count_bytes() == 0
        assert len(cluster.nodes['a1'].move(*left).moved) == 2

    def test_request_above_the_message_size_limit_is_not_moved(self, make_cluster):
        cluster = make_cluster(max_request_bytes=5000)
        large = cluster.accept(body=bytes(6000))
        small = cluster.accept()
        report = cluster.nodes['a1'].move(large, small)
        assert (report.moved, report.left) == (ids(small), ids(large))

    def test_request_can_be_handed_over_twice(self, cluster):
        tracked = cluster.accept()
        cluster.nodes['a1'].move(tracked)
        holder = cluster.holder(tracked)
        cluster.nodes[holder].move(tracked)
        second = cluster.holder(tracked)
        assert second != holder
        assert cluster.nodes['a2'].locate(tracked) == second

    def test_messages_round_trip(self, cluster):
        tracked = cluster.accept(events=(b'\xff',))
        wire = WireRequest.pack(tracked, tracked.log.copy(), 3, 5.0)
        message = Transfer(requests=(wire,))
        decoded = cbor2.loads(cbor2.dumps(message.model_dump()))
        assert Transfer.model_validate(decoded) == message

    def test_times_are_converted_to_the_receivers_clock(self, cluster):
        tracked = cluster.accept()
        wire = WireRequest.pack(tracked, tracked.log.copy(), 1, 10.0)
        call = wire.unpack_accepted(1000.0).call
        assert (call.arrived, call.deadline) == (990.0, 1050.0)

    def test_second_registration_violates_the_invariant(self, cluster):
        tracked = cluster.accept()
        with pytest.raises(InvariantError):
            cluster.nodes['a1'].in_flight.register(tracked.accepted)

    def test_peer_of_the_same_failure_domain_is_the_fallback(self, cluster):
        for peer in ('b1', 'c1'):
            cluster.nodes[peer].capacity = 0
        tracked = cluster.accept()
        cluster.nodes['a1'].move(tracked)
        assert cluster.holder(tracked) == 'a2'

    def test_answer_that_ends_during_its_hand_over_is_the_peers(self, cluster):
        """The last event is appended while the request is held for the hand-over.

        The caller has not read that event and is directed to the peer, so this
        daemon must no longer count as the request's location.
        """
        tracked = cluster.accept()
        real_ask = cluster.network.messengers['a1'].ask

        def end_meanwhile(peer, message, timeout):
            if isinstance(message, Confirm):
                tracked.log.current().append(b'3')
                cluster.nodes['a1'].in_flight.finish(tracked, AnswerEnd.COMPLETE)
            return real_ask(peer, message, timeout)

        cluster.network.messengers['a1'].ask = end_meanwhile
        cluster.nodes['a1'].move(tracked)
        assert cluster.nodes['a1'].locate(tracked) == cluster.holder(tracked)


class TestFaults:
    """Hand-overs in which a daemon crashes or a link fails."""

    def test_unresponsive_peer_is_skipped(self, cluster):
        tracked = cluster.accept()
        cluster.network.disconnect('a1', 'b1')
        cluster.nodes['a1'].move(tracked)
        assert cluster.holders(tracked) == ['c1']

    def test_request_stays_if_no_peer_is_reachable(self, cluster):
        """All peers are unreachable until the hand-over times out.

        The answer must continue here, including the events appended during the
        hold.
        """
        tracked = cluster.accept()
        for peer in ('a2', 'b1', 'c1'):
            cluster.network.disconnect('a1', peer)
        report = cluster.nodes['a1'].move(tracked)
        assert report.left == ids(tracked)
        assert tracked.log.current().append(b'3')

    def test_lost_confirmation_leaves_one_answer(self, cluster):
        """A peer takes a request over, but its replies are lost.

        The sender continues and moves the request to another peer. The first
        peer must receive the new location and release its copy.
        """
        tracked = cluster.accept()
        real_ask = cluster.network.messengers['a1'].ask
        confirms = []

        def lose_first_confirmation(peer, message, timeout):
            if isinstance(message, Confirm) and not confirms:
                confirms.append(peer)
            if confirms and peer == confirms[0]:
                cluster.drop_replies('a1', peer)
            return real_ask(peer, message, timeout)

        cluster.network.messengers['a1'].ask = lose_first_confirmation
        cluster.nodes['a1'].move(tracked)
        holder = cluster.holder(tracked)
        assert holder != confirms[0]
        dropped = cluster.nodes[confirms[0]].taken_over[-1]
        assert dropped.log.state is LogState.MOVED

    def test_peer_continues_if_the_sender_crashes_after_its_transfer(self, cluster):
        """The sender crashes between transfer and confirmation.

        After the confirmation timeout the peer finds the sender gone and must
        continue the request from what the caller can have read.
        """
        tracked = cluster.accept()
        real_ask = cluster.network.messengers['a1'].ask

        def crash_before_confirming(peer, message, timeout):
            if isinstance(message, Confirm):
                raise DaemonKilled
            return real_ask(peer, message, timeout)

        cluster.network.messengers['a1'].ask = crash_before_confirming
        with pytest.raises(DaemonKilled):
            cluster.nodes['a1'].move(tracked)
        cluster.kill('a1')
        assert not cluster.holders(tracked)
        cluster.advance(3)
        for node in cluster.nodes.values():
            node.check()
        holder = cluster.holder(tracked)
        assert cluster.nodes['a2'].locate(tracked) == holder

    def test_request_moves_again_if_the_peer_crashes(self, cluster):
        """The peer crashes while the sender is still running.

        The sender must detect this and hand the request over to a second peer.
        """
        tracked = cluster.accept()
        cluster.nodes['a1'].move(tracked)
        first = cluster.holder(tracked)
        cluster.kill(first)
        cluster.nodes['a1'].check()
        second = cluster.holder(tracked)
        assert second not in ('a1', first)
        assert cluster.nodes[second].taken_over[0].log.read_after(0).events == (
            b'1',
            b'2',
        )

    def test_returned_request_is_not_restored_again(self, cluster):
        """A peer hands a request back to its sender and crashes later.

        The sender answers the request already and must not start a second
        answer to it.
        """
        tracked = cluster.accept()
        cluster.nodes['c1'].capacity = 0
        cluster.nodes['a2'].capacity = 0
        cluster.nodes['a1'].move(tracked)
        cluster.nodes['b1'].move(tracked)
        assert cluster.holder(tracked) == 'a1'
        cluster.kill('b1')
        cluster.nodes['a1'].check()
        assert cluster.holder(tracked) == 'a1'
        assert len(cluster.nodes['a1'].taken_over) == 1

    def test_request_is_answered_here_if_no_peer_is_left(self, cluster):
        tracked = cluster.accept()
        cluster.nodes['a1'].move(tracked)
        for name in ('a2', 'b1', 'c1'):
            cluster.kill(name)
        cluster.nodes['a1'].check()
        assert cluster.holders(tracked) == ['a1']
        assert cluster.nodes['a1'].taken_over

    def test_replicated_request_survives_an_early_crash(self, cluster):
        """A request could finish in time, but its daemon crashes first.

        The peer with the replica must detect the crash and continue the request.
        """
        tracked = cluster.accept()
        assert cluster.nodes['a1'].hand_over.replicate(ids(tracked)) == ids(tracked)
        tracked.log.current().append(b'3')
        cluster.advance(3)
        for node in cluster.nodes.values():
            node.check()
        assert cluster.holders(tracked) == ['a1']
        cluster.kill('a1')
        cluster.advance(3)
        for survivor in cluster.nodes.values():
            survivor.check()
        assert len(cluster.holders(tracked)) == 1

    def test_replica_is_refreshed_after_a_change_of_engine(self, cluster):
        """A replicated request changes its engine, and then its daemon crashes.

        The peer must continue from the newer replica: the first one lacks the
        events that the caller has read from the second engine.
        """
        tracked = cluster.accept()
        cluster.nodes['a1'].hand_over.replicate(ids(tracked))
        tracked.log.open_attempt().append(b'3')
        cluster.nodes['a1'].check()
        cluster.kill('a1')
        cluster.advance(3)
        for node in cluster.nodes.values():
            node.check()
        holder = cluster.nodes[cluster.holder(tracked)]
        assert holder.find(tracked).log.read_after(0).events == (b'1', b'2', b'3')

    def test_replica_moves_away_from_a_leaving_peer(self, cluster):
        """The peer that holds a replica starts to leave, too.

        It refuses the next copy, which must go to another peer.
        """
        tracked = cluster.accept()
        cluster.nodes['a1'].hand_over.replicate(ids(tracked))
        replica_holders = [
            node
            for node in cluster.nodes.values()
            if node.hand_over.handover_receiver.count_unconfirmed()
        ]
        replica_holders[0].capacity = 0
        cluster.nodes['a1'].check()
        assert not replica_holders[0].hand_over.handover_receiver.count_unconfirmed()
        cluster.kill('a1')
        cluster.advance(3)
        for node in list(cluster.nodes.values()):
            node.check()
        assert cluster.holder(tracked) != replica_holders[0].name

    def test_replica_is_withdrawn_when_the_request_ends(self, cluster):
        tracked = cluster.accept()
        cluster.nodes['a1'].hand_over.replicate(ids(tracked))
        cluster.nodes['a1'].in_flight.finish(tracked, AnswerEnd.COMPLETE)
        kept = [
            node.hand_over.handover_receiver.count_unconfirmed()
            for node in cluster.nodes.values()
        ]
        assert sum(kept) == 0

    def test_request_lost_with_its_daemon_is_not_found(self, cluster):
        tracked = cluster.accept()
        cluster.kill('a1')
        assert not any(node.locate(tracked) for node in cluster.nodes.values())


class TestRetention:
    """Retention of finished answers."""

    def test_finished_answer_is_kept_for_a_while(self, cluster):
        tracked = cluster.accept()
        node = cluster.nodes['a1']
        node.in_flight.finish(tracked, AnswerEnd.COMPLETE)
        assert node.find(tracked).log.end is AnswerEnd.COMPLETE
        assert not node.in_flight.list()
        cluster.advance(121)
        assert node.find(tracked) is None
