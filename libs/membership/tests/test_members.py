"""Tests of the member table: merging, suspicion, leaving and summaries."""

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
    """Which of two records wins."""

    @settings(
        derandomize=True,
        max_examples=100,
        deadline=None,
        suppress_health_check=(HealthCheck.too_slow,),
    )
    @given(updates=st.lists(records, max_size=8), order=st.randoms())
    def test_order_of_updates_does_not_matter(self, updates, order):
        # Both are in the table at first, since dead or leaving daemons are never added.
        known = [make_record('b', incarnation=0), make_record('c', incarnation=0)]
        one, other = make_table(), make_table()
        one.merge(known + updates)
        shuffled = list(updates)
        order.shuffle(shuffled)
        other.merge(known + shuffled)
        assert live_ids(one) == live_ids(other)
        assert one.digests('gent') == other.digests('gent')

    def test_stale_report_does_not_revert_leaving(self):
        table = make_table()
        table.merge([make_record('b')])
        table.merge([make_record('b', status=MemberStatus.LEAVING)])
        assert not table.merge([make_record('b')])
        assert live_ids(table) == {'a'}

    def test_wrong_record_about_the_local_daemon_is_refuted(self):
        table = make_table()
        raised = table.merge(
            [make_record('a', incarnation=4, status=MemberStatus.DEAD)]
        )[0]
        assert (raised.incarnation, raised.status) == (5, MemberStatus.ALIVE)

    def test_leaving_daemon_stays_leaving_when_it_refutes(self):
        table = make_table()
        table.leave()
        raised = table.merge([make_record('a', status=MemberStatus.DEAD)])[0]
        assert raised.status is MemberStatus.LEAVING
        assert live_ids(table) == set()


class TestSuspicion:
    """Suspicion and its timeout, also around paused processes."""

    def test_paused_process_stays_live_if_it_resumes_in_time(self):
        """The paused daemon stays in the table, so no duty moves.

        It misses its probes and is suspected. It resumes within the suspicion timeout,
        sees the suspicion in a probe and refutes it by a higher incarnation, which all
        others accept.
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

    def test_unresponsive_daemon_is_declared_dead(self):
        clock = ManualClock()
        table = make_table(clock=clock)
        table.merge([make_record('b')])
        table.suspect('b')
        clock.advance(SUSPICION_TIMEOUT * 2)
        dead = table.expire()[0]
        assert dead.status is MemberStatus.DEAD
        assert live_ids(table) == {'a'}
        assert table.dead_addresses() == {'b:1'}

    def test_local_pause_does_not_expire_suspicions(self):
        """A daemon that resumes does not declare its suspects dead.

        It was paused while it suspected another daemon, so the suspicion looks overdue
        although the peer had no chance to refute it.
        """
        clock = ManualClock()
        table = make_table(clock=clock)
        table.merge([make_record('b')])
        table.suspect('b')
        clock.advance(SUSPICION_TIMEOUT * 10)
        table.restart_suspicions()
        assert not table.expire()


class TestScope:
    """All members of the local failure domain, a summary of the others."""

    def test_only_a_summary_of_other_domains_is_kept(self):
        table, remote = make_table(), make_table('b0', 'brugge')
        remote.merge([make_record(f'b{one}', 'brugge') for one in range(1, 30)])
        assert len(remote.live()) == 30
        table.merge(remote.differing('gent', {}))
        assert len(table.live()) == 1 + SUMMARY_MEMBERS
        assert table.digests('brugge')['brugge'] == remote.digests('gent')['brugge']

    @pytest.mark.parametrize('status', [MemberStatus.LEAVING, MemberStatus.DEAD])
    def test_difference_includes_dead_and_leaving_daemons(self, status):
        one, other = make_table(), make_table('b')
        for table in (one, other):
            table.merge([make_record('c'), other.own, one.own])
        one.merge([make_record('c', status=status)])
        other.merge(one.differing('gent', other.digests('gent')))
        assert live_ids(other) == {'a', 'b'}
        assert one.digests('gent') == other.digests('gent')
