"""Tests of version moves over three daemons, a store and their links."""

from datetime import timedelta

import pytest

from fireflyhitch_model.errors import InvariantError
from fireflyhitch_rollout.moves import make_duty_id
from fireflyhitch_rollout.records import MoveEndReason, MoveState, merge_records
from fireflyhitch_settings.schema import VersionMove
from fireflyhitch_standins.faults import Fault

DONE = {'done'}
ROLLED_BACK = {'undone'}


def find_holder(site):
    duty = make_duty_id('answers')
    return next(node for node in site.nodes if node.duties.holds(duty) is not None)


def cut_off(site, node):
    for other in site.nodes:
        if other is not node:
            site.network.separate(node.messenger.daemon.daemon_id, name_of(other))


def name_of(node):
    return node.messenger.daemon.daemon_id


def read_stored(site):
    values, _ = site.store.dump()
    return values['moves/answers'].value.decode()


class TestCourse:
    """Moves without trouble."""

    def test_good_version_is_done_before_its_date(self, site):
        site.move(minutes=60)
        site.run(58 * 60, step=4)
        assert site.states() == DONE
        assert {site.serve(node) for node in site.nodes} == {'v2'}

    def test_bad_version_is_undone_everywhere_with_evidence(self, site):
        site.fault_rate = 0.5
        site.move()
        site.run(300)
        assert site.states() == ROLLED_BACK
        report = site.nodes[0].report
        assert report.reason is MoveEndReason.FAULT
        assert 'failing on' in report.evidence[0]
        assert '"undone"' in read_stored(site)

    def test_trial_share_is_on_few_servers(self, site):
        site.move()
        site.run(20)
        shares = site.nodes[0].picker.find('answers')
        assert 0 < shares.share < 0.01
        assert len(shares.servers) == 1

    def test_no_servers_of_the_new_version_end_it_undone(self, site):
        site.supply(5, 0)
        site.move(minutes=10)
        site.run(11 * 60, step=4)
        assert site.nodes[0].report.reason is MoveEndReason.NEVER_READY

    def test_no_traffic_ends_it_undone_and_says_so(self, site):
        site.move(minutes=10)
        site.run(11 * 60, step=4, calls=0)
        assert site.nodes[0].report.reason is MoveEndReason.UNPROVEN

    def test_withdrawn_version_stays_when_named_again(self, site):
        """The operator names the withdrawn version once more, with a new date.

        It gets no call; the second move is undone at once, with the reason.
        """
        site.fault_rate = 1
        site.move()
        site.run(300)
        site.fault_rate = 0
        site.move(minutes=90)
        site.run(60)
        assert site.nodes[0].report.reason is MoveEndReason.FAULTY_BEFORE
        assert {site.serve(node) for node in site.nodes} == {'v1'}


class TestOperators:
    """Conflicting changes in the middle of a move."""

    @pytest.fixture
    def moving(self, site):
        site.move(minutes=60)
        site.run(60)
        return site

    def test_move_taken_out_is_cancelled_at_once(self, moving):
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

    def test_date_brought_forward_past_the_way_back_is_undone(self, moving):
        moving.move(minutes=0.1)
        assert [node.share for node in moving.nodes] == [0, 0, 0]
        moving.run(10)
        assert moving.nodes[0].report.reason is MoveEndReason.BROUGHT_FORWARD

    def test_date_brought_forward_within_reach_is_kept(self, moving):
        moving.move(minutes=30)
        moving.run(29 * 60, step=4)
        assert moving.states() == DONE

    def test_daemon_with_an_older_configuration_follows_the_holder(self, moving):
        """Two operators race; one daemon has only heard of the first change.

        The holder writes the end under the second change, and the daemon that
        is behind takes it from the holder's word.
        """
        holder = find_holder(moving)
        behind = next(node for node in moving.nodes if node is not holder)
        ahead = [node for node in moving.nodes if node is not behind]
        moving.configure(nodes=ahead, move=None)
        moving.run(10)
        assert behind.report.reason is MoveEndReason.CANCELLED

    def test_holder_with_an_older_configuration_raises_nowhere_else(self, moving):
        """Only the holder has not heard that the operator took the move out.

        The others give the new version nothing from then on, whatever the
        holder tells them; when it hears of the change it ends the move.
        """
        holder = find_holder(moving)
        ahead = [node for node in moving.nodes if node is not holder]
        moving.configure(nodes=ahead, move=None)
        moving.run(30)
        assert [node.share for node in ahead] == [0, 0]
        moving.configure(move=None)
        moving.run(10)
        assert moving.states() == ROLLED_BACK

    def test_back_to_the_old_version_after_done(self, site):
        site.move(minutes=20)
        site.run(20 * 60, step=4)
        site.configure(version='v2', move=None)
        site.run(10)
        site.configure(version='v1')
        site.run(10)
        assert {site.serve(node) for node in site.nodes} == {'v1'}


class TestFaults:
    """Faults of the platform, the links and the clocks."""

    def test_cut_off_daemon_withdraws_and_does_not_raise(self, site):
        """One daemon is cut off from the store and its peers.

        It goes on with the share it knew, never more. When the version turns
        bad it takes it back by its own evidence, and so do the others. When
        the links are back, nobody gives the version work again.
        """
        site.move()
        site.run(60)
        alone = site.nodes[2]
        known = alone.share
        cut_off(site, alone)
        site.run(400)
        assert alone.share <= known
        site.fault_rate = 1
        site.run(1500)
        assert site.states() == ROLLED_BACK
        site.network.cut.clear()
        site.run(30)
        assert [node.share for node in site.nodes] == [0, 0, 0]

    def test_withdrawal_by_a_cut_off_daemon_wins_over_done(self, site):
        """A daemon that was cut off found the fault; the others were done.

        On its return its withdrawal wins at every daemon and in the store.
        """
        site.move(minutes=20)
        site.run(60)
        alone = site.nodes[2]
        cut_off(site, alone)
        alone.keeper.withdraw('answers', 'v2', ('seen here',))
        site.run(20 * 60, step=4)
        site.network.cut.clear()
        site.run(40)
        assert site.states() == ROLLED_BACK
        assert '"undone"' in read_stored(site)

    def test_store_outage_holds_the_share_and_the_date(self, site):
        """The store goes out in the trial and stays out past the date.

        Nobody raises, and at the last return each daemon goes back to the old
        version by its own clock. When the store is back the end is written.
        """
        site.move(minutes=20)
        site.run(60)
        known = max(node.share for node in site.nodes)
        site.store.faults.stand('*', Fault.LOST_REQUEST)
        site.run(15 * 60, step=4)
        assert max(node.share for node in site.nodes) <= known
        site.run(4 * 60 + 54)
        assert {node.report.reason for node in site.nodes} == {
            MoveEndReason.UNCONFIRMED
        }
        assert [node.share for node in site.nodes] == [0, 0, 0]
        site.store.faults.lift()
        site.run(60)
        assert '"undone"' in read_stored(site)

    def test_outage_in_the_middle_is_made_up_for(self, site):
        site.move(minutes=30)
        site.run(60)
        site.store.faults.stand('*', Fault.LOST_REQUEST)
        site.run(600, step=4)
        site.store.faults.lift()
        site.run(19 * 60, step=4)
        assert site.states() == DONE

    def test_lost_answer_to_a_write_is_read_back(self, site):
        """The record was written, but the answer did not come.

        The holder reads before it writes again, finds its record, and the move
        goes on from there.
        """
        site.move()
        lost = (Fault.LOST_ANSWER, Fault.LOST_ANSWER)
        site.store.faults.queue('put_if', Fault.NONE, *lost)
        site.run(60)
        assert site.states() == {'trial'}

    def test_paused_holder_raises_nothing_when_it_wakes(self, site):
        """The holder is paused past its lease while another takes over.

        When it wakes its lease has ended by its own clock, so it writes
        nothing, and follows the record of the new holder.
        """
        site.move()
        site.run(60)
        paused = find_holder(site)
        others = [node for node in site.nodes if node is not paused]
        for _ in range(20):
            site.step(2, nodes=others)
        writes = site.store.calls['put_if']
        paused.keeper.step()
        assert site.store.calls['put_if'] == writes
        assert find_holder(site) in others

    def test_evidence_lost_for_a_while_delays_but_decides(self, site):
        """No messages pass between the daemons for two minutes.

        Each judges by its own calls; the batches are sent again when the links
        are back, and the withdrawal then reaches all.
        """
        site.move()
        site.run(20)
        site.fault_rate = 0.6
        for node in site.nodes:
            cut_off(site, node)
        site.run(120)
        site.network.cut.clear()
        site.run(400)
        assert site.states() == ROLLED_BACK

    def test_batch_sent_again_counts_once(self, site):
        site.move()
        site.run(600)
        counts = [node.book.find_test('answers').count_new() for node in site.nodes]
        assert max(counts) - min(counts) <= 6

    def test_wall_clock_jump_ends_no_move(self, site):
        """A daemon's wall clock is an hour ahead for half a minute.

        The date is kept by the monotonic clock meanwhile: nobody goes back.
        """
        site.move(minutes=30)
        site.run(60)
        site.clock.jump_wall(timedelta(hours=1))
        site.run(30)
        assert site.states() == {'trial'}
        site.clock.jump_wall(timedelta(hours=-1))
        site.run(28 * 60, step=4)
        assert site.states() == DONE

    def test_reclaimed_new_servers_lower_the_share(self, site):
        """A wave takes four of five new servers in the middle of the shift.

        At once each daemon gives the new version no more than what is left of
        it can carry; the record's share is not changed by it.
        """
        site.move(minutes=20)
        site.run(60)
        while site.nodes[0].share < 0.5 and site.states() != DONE:
            site.run(4, step=4)
        assert site.nodes[0].share >= 0.5
        site.supply(5, 1)
        assert site.nodes[0].share == pytest.approx(0.2)

    def test_lost_way_back_brings_the_last_return_forward(self, site):
        site.move()
        site.run(10)
        early = site.nodes[0].report.last_return
        site.supply(2, 5)
        assert site.nodes[0].report.last_return == early - timedelta(minutes=3)

    def test_raise_without_the_lease_is_stopped(self, site):
        """A daemon would write a raise although its lease has just ended.

        The invariant stops it before the store is asked.
        """
        site.move()
        site.run(20)
        keeper = find_holder(site).keeper
        record = keeper._archive.find('answers')
        raised = record.model_copy(update={'state': MoveState.SHIFTING, 'step': 4})
        with pytest.raises(InvariantError):
            keeper._write(raised, record, 1)


class TestMerge:
    """Merging records that different daemons hold."""

    def test_withdrawn_wins_whatever_the_order(self, site):
        site.move()
        site.run(20)
        record = site.nodes[0].keeper._archive.find('answers')
        done = record.model_copy(update={'state': MoveState.DONE})
        withdrawn = record.model_copy(update={'withdrawn': ('v2',)})
        assert merge_records(done, withdrawn) == merge_records(withdrawn, done)
        assert merge_records(done, withdrawn).state is MoveState.ROLLED_BACK

    def test_new_attempt_is_ahead_of_the_old(self, site):
        site.move(minutes=1)
        site.run(120)
        move = VersionMove(
            to_version='v2', move_by=site.clock.now() + timedelta(minutes=20)
        )
        site.configure(move=move)
        site.run(19 * 60, step=4)
        assert site.states() == DONE
