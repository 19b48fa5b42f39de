"""Tests of version moves with three daemons, a store and a network."""

from datetime import timedelta

import pytest

from fireflyhitch_model.errors import InvariantError
from fireflyhitch_rollout.moves import make_duty_id
from fireflyhitch_rollout.records import MoveEndReason, MoveState, merge_records
from fireflyhitch_settings.schema import VersionMove
from fireflyhitch_standins.faults import Fault

DONE = {'done'}
ROLLED_BACK = {'undone'}


def find_holder(cluster):
    duty = make_duty_id('answers')
    return next(node for node in cluster.nodes if node.duties.holds(duty) is not None)


def cut_off(cluster, node):
    for other in cluster.nodes:
        if other is not node:
            cluster.network.disconnect(node.messenger.daemon.daemon_id, get_id(other))


def get_id(node):
    return node.messenger.daemon.daemon_id


def read_stored(cluster):
    values, _ = cluster.store.dump()
    return values['moves/answers'].value.decode()


class TestWithoutFaults:
    """Moves without platform faults."""

    def test_good_version_is_done_before_the_deadline(self, cluster):
        cluster.move(minutes=60)
        cluster.run(58 * 60, step=4)
        assert cluster.states() == DONE
        assert {cluster.serve(node) for node in cluster.nodes} == {'v2'}

    def test_bad_version_is_rolled_back_everywhere_with_evidence(self, cluster):
        cluster.fault_rate = 0.5
        cluster.move()
        cluster.run(300)
        assert cluster.states() == ROLLED_BACK
        report = cluster.nodes[0].report
        assert report.reason is MoveEndReason.FAULT
        assert 'failing on' in report.evidence[0]
        assert '"undone"' in read_stored(cluster)

    def test_trial_share_is_on_few_servers(self, cluster):
        cluster.move()
        cluster.run(20)
        shares = cluster.nodes[0].picker.find('answers')
        assert 0 < shares.share < 0.01
        assert len(shares.servers) == 1

    def test_move_without_new_servers_is_rolled_back(self, cluster):
        cluster.supply(5, 0)
        cluster.move(minutes=10)
        cluster.run(11 * 60, step=4)
        assert cluster.nodes[0].report.reason is MoveEndReason.NEVER_READY

    def test_move_without_traffic_is_rolled_back_as_unproven(self, cluster):
        cluster.move(minutes=10)
        cluster.run(11 * 60, step=4, calls=0)
        assert cluster.nodes[0].report.reason is MoveEndReason.UNPROVEN

    def test_withdrawn_version_stays_withdrawn_when_named_again(self, cluster):
        """The operator names the withdrawn version again, with a new deadline.

        It gets no calls, and the second move is rolled back at once with the reason.
        """
        cluster.fault_rate = 1
        cluster.move()
        cluster.run(300)
        cluster.fault_rate = 0
        cluster.move(minutes=90)
        cluster.run(60)
        assert cluster.nodes[0].report.reason is MoveEndReason.FAULTY_BEFORE
        assert {cluster.serve(node) for node in cluster.nodes} == {'v1'}


class TestOperators:
    """Conflicting configuration changes during a move."""

    @pytest.fixture
    def moving(self, cluster):
        cluster.move(minutes=60)
        cluster.run(60)
        return cluster

    def test_removed_move_is_cancelled_at_once(self, moving):
        moving.configure(move=None)
        assert [node.share for node in moving.nodes] == [0, 0, 0]
        moving.run(10)
        assert moving.nodes[0].report.reason is MoveEndReason.CANCELLED

    def test_other_version_replaces_the_move(self, moving):
        moving.move('v3', minutes=60)
        assert [node.share for node in moving.nodes] == [0, 0, 0]
        moving.run(10)
        report = moving.nodes[0].report
        assert (report.from_version, report.to_version) == ('v1', 'v3')

    def test_new_version_made_current_is_done(self, moving):
        moving.configure(version='v2')
        moving.run(10)
        assert moving.nodes[0].report.reason is MoveEndReason.CONFIRMED
        assert moving.serve(moving.nodes[0]) == 'v2'

    def test_new_deadline_too_early_for_a_rollback_ends_the_move(self, moving):
        moving.move(minutes=0.1)
        assert [node.share for node in moving.nodes] == [0, 0, 0]
        moving.run(10)
        assert moving.nodes[0].report.reason is MoveEndReason.BROUGHT_FORWARD

    def test_earlier_deadline_within_reach_is_met(self, moving):
        moving.move(minutes=30)
        moving.run(29 * 60, step=4)
        assert moving.states() == DONE

    def test_daemon_with_an_older_configuration_follows_the_holder(self, moving):
        """One daemon has received only the first of two operators' changes.

        The holder writes the end according to the second change, and the lagging
        daemon applies the record that it receives from the holder.
        """
        holder = find_holder(moving)
        outdated = next(node for node in moving.nodes if node is not holder)
        updated = [node for node in moving.nodes if node is not outdated]
        moving.configure(nodes=updated, move=None)
        moving.run(10)
        assert outdated.report.reason is MoveEndReason.CANCELLED

    def test_others_ignore_raises_of_a_holder_with_an_older_configuration(self, moving):
        """Only the holder has not received the removal of the move.

        The others send the new version no requests from then on, whatever the
        holder broadcasts. Once it receives the change it ends the move.
        """
        holder = find_holder(moving)
        updated = [node for node in moving.nodes if node is not holder]
        moving.configure(nodes=updated, move=None)
        moving.run(30)
        assert [node.share for node in updated] == [0, 0]
        moving.configure(move=None)
        moving.run(10)
        assert moving.states() == ROLLED_BACK

    def test_old_version_can_be_restored_after_done(self, cluster):
        cluster.move(minutes=20)
        cluster.run(20 * 60, step=4)
        cluster.configure(version='v2', move=None)
        cluster.run(10)
        cluster.configure(version='v1')
        cluster.run(10)
        assert {cluster.serve(node) for node in cluster.nodes} == {'v1'}


class TestFaults:
    """Faults of the platform, the network and the clocks."""

    def test_cut_off_daemon_withdraws_and_does_not_raise(self, cluster):
        """One daemon is partitioned from the store and its peers.

        It keeps at most its last share. When the version starts to fail, it and
        the others withdraw the version on their own evidence. After the partition
        heals, no daemon sends the version requests again.
        """
        cluster.move()
        cluster.run(60)
        isolated = cluster.nodes[2]
        last_share = isolated.share
        cut_off(cluster, isolated)
        cluster.run(400)
        assert isolated.share <= last_share
        cluster.fault_rate = 1
        cluster.run(1500)
        assert cluster.states() == ROLLED_BACK
        cluster.network.cut.clear()
        cluster.run(30)
        assert [node.share for node in cluster.nodes] == [0, 0, 0]

    def test_withdrawal_by_a_cut_off_daemon_wins_over_done(self, cluster):
        """A partitioned daemon finds a fault while the others complete the move.

        After the partition heals, its withdrawal wins at every daemon and in the
        store.
        """
        cluster.move(minutes=20)
        cluster.run(60)
        isolated = cluster.nodes[2]
        cut_off(cluster, isolated)
        isolated.manager.withdraw('answers', 'v2', ('local evidence',))
        cluster.run(20 * 60, step=4)
        cluster.network.cut.clear()
        cluster.run(40)
        assert cluster.states() == ROLLED_BACK
        assert '"undone"' in read_stored(cluster)

    def test_store_outage_freezes_shares_and_keeps_the_deadline(self, cluster):
        """The store fails during the trial until after the deadline.

        No daemon raises a share, and at the rollback deadline each one returns to
        the old version by its own clock. After the outage the end is written.
        """
        cluster.move(minutes=20)
        cluster.run(60)
        last_share = max(node.share for node in cluster.nodes)
        cluster.store.faults.set_persistent('*', Fault.LOST_REQUEST)
        cluster.run(15 * 60, step=4)
        assert max(node.share for node in cluster.nodes) <= last_share
        cluster.run(4 * 60 + 54)
        assert {node.report.reason for node in cluster.nodes} == {
            MoveEndReason.UNCONFIRMED
        }
        assert [node.share for node in cluster.nodes] == [0, 0, 0]
        cluster.store.faults.clear_all()
        cluster.run(60)
        assert '"undone"' in read_stored(cluster)

    def test_move_catches_up_after_an_outage(self, cluster):
        cluster.move(minutes=30)
        cluster.run(60)
        cluster.store.faults.set_persistent('*', Fault.LOST_REQUEST)
        cluster.run(600, step=4)
        cluster.store.faults.clear_all()
        cluster.run(19 * 60, step=4)
        assert cluster.states() == DONE

    def test_lost_response_to_a_write_is_resolved_by_reading(self, cluster):
        """The record is written, but the response is lost.

        The holder reads before it writes again, finds its record and continues
        the move.
        """
        cluster.move()
        lost = (Fault.LOST_ANSWER, Fault.LOST_ANSWER)
        cluster.store.faults.queue('put_if', Fault.NONE, *lost)
        cluster.run(60)
        assert cluster.states() == {'trial'}

    def test_paused_holder_raises_nothing_on_resume(self, cluster):
        """The holder is paused past its lease while another daemon takes over.

        On resume its lease has expired by its own clock, so it writes nothing and
        applies the new holder's record.
        """
        cluster.move()
        cluster.run(60)
        paused = find_holder(cluster)
        others = [node for node in cluster.nodes if node is not paused]
        for _ in range(20):
            cluster.step(2, nodes=others)
        writes = cluster.store.calls['put_if']
        paused.manager.step()
        assert cluster.store.calls['put_if'] == writes
        assert find_holder(cluster) in others

    def test_lost_evidence_only_delays_the_withdrawal(self, cluster):
        """The daemons exchange no messages for two minutes.

        Each evaluates only its own calls. Afterwards the batches are sent again,
        and the withdrawal reaches all daemons.
        """
        cluster.move()
        cluster.run(20)
        cluster.fault_rate = 0.6
        for node in cluster.nodes:
            cut_off(cluster, node)
        cluster.run(120)
        cluster.network.cut.clear()
        cluster.run(400)
        assert cluster.states() == ROLLED_BACK

    def test_repeated_batch_counts_once(self, cluster):
        cluster.move()
        cluster.run(600)
        counts = [
            node.collector.find_test('answers').count_new_calls()
            for node in cluster.nodes
        ]
        assert max(counts) - min(counts) <= 6

    def test_wall_clock_jump_does_not_end_a_move(self, cluster):
        """The wall clock is an hour ahead for half a minute.

        Meanwhile the deadline follows the monotonic clock, so no daemon rolls the
        move back.
        """
        cluster.move(minutes=30)
        cluster.run(60)
        cluster.clock.jump_wall_clock(timedelta(hours=1))
        cluster.run(30)
        assert cluster.states() == {'trial'}
        cluster.clock.jump_wall_clock(timedelta(hours=-1))
        cluster.run(28 * 60, step=4)
        assert cluster.states() == DONE

    def test_reclaimed_new_servers_lower_the_share(self, cluster):
        """Four of five new servers are reclaimed during the shift.

        Each daemon immediately limits the new version to what its remaining
        server can carry; the recorded share does not change.
        """
        cluster.move(minutes=20)
        cluster.run(60)
        while cluster.nodes[0].share < 0.5 and cluster.states() != DONE:
            cluster.run(4, step=4)
        assert cluster.nodes[0].share >= 0.5
        cluster.supply(5, 1)
        assert cluster.nodes[0].share == pytest.approx(0.2)

    def test_lost_old_servers_bring_the_rollback_deadline_forward(self, cluster):
        cluster.move()
        cluster.run(10)
        before = cluster.nodes[0].report.last_return
        cluster.supply(2, 5)
        assert cluster.nodes[0].report.last_return == before - timedelta(minutes=3)

    def test_raise_without_the_lease_violates_an_invariant(self, cluster):
        """A daemon tries to write a raise just after its lease expired.

        The invariant check fails before the request to the store.
        """
        cluster.move()
        cluster.run(20)
        manager = find_holder(cluster).manager
        record = manager._records.find('answers')
        raised = record.model_copy(update={'state': MoveState.SHIFTING, 'step': 4})
        with pytest.raises(InvariantError):
            manager._write(raised, record, 1)


class TestMerge:
    """Merging records of different daemons."""

    def test_withdrawn_wins_in_either_order(self, cluster):
        cluster.move()
        cluster.run(20)
        record = cluster.nodes[0].manager._records.find('answers')
        done = record.model_copy(update={'state': MoveState.DONE})
        withdrawn = record.model_copy(update={'withdrawn': ('v2',)})
        assert merge_records(done, withdrawn) == merge_records(withdrawn, done)
        assert merge_records(done, withdrawn).state is MoveState.ROLLED_BACK

    def test_later_move_supersedes_a_rolled_back_one(self, cluster):
        cluster.move(minutes=1)
        cluster.run(120)
        move = VersionMove(
            to_version='v2', move_by=cluster.clock.now() + timedelta(minutes=20)
        )
        cluster.configure(move=move)
        cluster.run(19 * 60, step=4)
        assert cluster.states() == DONE
