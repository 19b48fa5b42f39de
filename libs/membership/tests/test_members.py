"""Tests of the member table: liveness, suspicion, leaving and scope."""

from datetime import timedelta

import pytest
from hypothesis import HealthCheck, given, settings
from hypothesis import strategies as st

from fireflyhitch_membership.members import SUSPICION_TIMEOUT, MemberTable
from fireflyhitch_membership.messages import MemberRecord, MemberStatus
from fireflyhitch_membership.scope import SUMMARY_MEMBERS
from fireflyhitch_model.clock import ManualClock
from fireflyhitch_model.peers import Daemon

records = st.builds(
    MemberRecord,
    daemon_id=st.sampled_from(('b', 'c')),
    domain=st.just('gent'),
    peer=st.just('b:1'),
    entry=st.just('b:2'),
    incarnation=st.integers(1, 3),
    status=st.sampled_from(MemberStatus),
)


def make_record(name, domain='gent', **changes):
    fields = {'peer': f'{name}:1', 'entry': f'{name}:2', 'incarnation': 1}
    return MemberRecord(daemon_id=name, domain=domain, **{**fields, **changes})


def make_table(name='a', domain='gent', clock=None):
    daemon = Daemon(name, domain, f'{name}:1', f'{name}:2')
    return MemberTable(daemon, clock or ManualClock())


def live_ids(table):
    return {daemon.daemon_id for daemon in table.live()}


class TestMerge:
    """Which news win."""

    @settings(
        derandomize=True,
        max_examples=100,
        deadline=None,
        suppress_health_check=(HealthCheck.too_slow,),
    )
    @given(news=st.lists(records, max_size=8), order=st.randoms())
    def test_order_of_news_does_not_matter(self, news, order):
        # Both are known at first, since what is gone is not taken in as new.
        known = [make_record('b', incarnation=0), make_record('c', incarnation=0)]
        one, other = make_table(), make_table()
        one.merge(known + news)
        shuffled = list(news)
        order.shuffle(shuffled)
        other.merge(known + shuffled)
        assert live_ids(one) == live_ids(other)
        assert one.digests('gent') == other.digests('gent')

    def test_late_report_does_not_bring_a_leaving_daemon_back(self):
        table = make_table()
        table.merge([make_record('b')])
        table.merge([make_record('b', status=MemberStatus.LEAVING)])
        assert not table.merge([make_record('b')])
        assert live_ids(table) == {'a'}

    def test_wrong_news_about_oneself_are_contradicted(self):
        table = make_table()
        raised = table.merge(
            [make_record('a', incarnation=4, status=MemberStatus.DEAD)]
        )[0]
        assert (raised.incarnation, raised.status) == (5, MemberStatus.ALIVE)

    def test_leaving_daemon_stays_leaving_when_it_contradicts(self):
        table = make_table()
        table.leave()
        raised = table.merge([make_record('a', status=MemberStatus.DEAD)])[0]
        assert raised.status is MemberStatus.LEAVING
        assert live_ids(table) == set()


class TestSuspicion:
    """What fits a paused process."""

    def test_paused_process_keeps_its_place_if_it_wakes_in_time(self):
        """The paused daemon stays in the list and no duty moves.

        It misses its probes and is suspected. Within the suspicion's time it
        wakes up, finds the suspicion in a probe and contradicts it by a higher
        incarnation, which all others accept.
        """
        clock = ManualClock()
        table, paused = make_table(clock=clock), make_table('b', clock=clock)
        table.merge([paused.own])
        suspicion = table.suspect('b')[0]
        clock.advance(SUSPICION_TIMEOUT - timedelta(seconds=1))
        assert not table.expire()
        assert 'b' in live_ids(table)
        table.merge(paused.merge([suspicion]))
        clock.advance(SUSPICION_TIMEOUT * 2)
        assert not table.expire()
        assert 'b' in live_ids(table)

    def test_silent_daemon_is_declared_dead(self):
        clock = ManualClock()
        table = make_table(clock=clock)
        table.merge([make_record('b')])
        table.suspect('b')
        clock.advance(SUSPICION_TIMEOUT * 2)
        dead = table.expire()[0]
        assert dead.status is MemberStatus.DEAD
        assert live_ids(table) == {'a'}
        assert table.dead_addresses() == {'b:1'}

    def test_own_pause_is_not_blamed_on_others(self):
        """A daemon that wakes up does not declare its suspects dead.

        It was stopped while it suspected another, so the suspicion looks
        overdue although only its own clock stood still for the peers.
        """
        clock = ManualClock()
        table = make_table(clock=clock)
        table.merge([make_record('b')])
        table.suspect('b')
        clock.advance(SUSPICION_TIMEOUT * 10)
        table.restart_suspicions()
        assert not table.expire()


class TestScope:
    """Detail within a failure domain, a summary of others."""

    def test_only_a_summary_of_other_domains_is_kept(self):
        table, far = make_table(), make_table('b0', 'brugge')
        far.merge([make_record(f'b{one}', 'brugge') for one in range(1, 30)])
        assert len(far.live()) == 30
        table.merge(far.differing('gent', {}))
        assert len(table.live()) == 1 + SUMMARY_MEMBERS
        assert table.digests('brugge')['brugge'] == far.digests('gent')['brugge']

    @pytest.mark.parametrize('status', [MemberStatus.LEAVING, MemberStatus.DEAD])
    def test_difference_carries_those_that_are_gone(self, status):
        one, other = make_table(), make_table('b')
        for table in (one, other):
            table.merge([make_record('c'), other.own, one.own])
        one.merge([make_record('c', status=status)])
        other.merge(one.differing('gent', other.digests('gent')))
        assert live_ids(other) == {'a', 'b'}
        assert one.digests('gent') == other.digests('gent')
