"""Tests of the configuration manager with in-memory store and peers."""

from datetime import timedelta

import pytest

from fireflyhitch_membership.configuration import (
    Accepted,
    ConfigurationManager,
    Rejected,
)
from fireflyhitch_membership.configuration_store import CONFIGURATION_KEY
from fireflyhitch_membership.heads import BODY_PREFIX, MAX_BODIES
from fireflyhitch_model.clock import ManualClock
from fireflyhitch_model.errors import PlatformError
from fireflyhitch_model.ids import ABSENT
from fireflyhitch_model.peers import Daemon
from fireflyhitch_model.states import Outcome
from fireflyhitch_settings.schema import Configuration, ServiceDeployment
from fireflyhitch_standins.faults import Fault
from fireflyhitch_standins.keyvalue import MemoryKeyValueStore
from fireflyhitch_standins.peers import MemoryPeerNetwork

# Each change writes its body and then its head; the head's write accepts the change.
WRITES = 2
LOST_HEAD_ANSWER = (Fault.NONE, Fault.LOST_ANSWER)


def make_configuration(name):
    deployment = ServiceDeployment(name=name, failure_domains=('gent',), version='1')
    return Configuration(deployments=(deployment,), customers=())


class Site:
    """A store with the managers that tests add."""

    def __init__(self):
        self.clock = ManualClock()
        self.store = MemoryKeyValueStore(self.clock)
        self.peers = MemoryPeerNetwork()

    def add(self, name, domain='gent'):
        daemon = Daemon(name, domain, f'{name}:1', f'{name}:2')
        messenger = self.peers.join(daemon)
        return ConfigurationManager(self.store, messenger, daemon, self.clock)


@pytest.fixture
def site():
    return Site()


@pytest.fixture
def manager(site):
    made = site.add('a')
    for number, name in enumerate(('one', 'two', 'three')):
        made.propose(make_configuration(name), number, name)
    return made


def revision_of(manager):
    in_force = manager.in_force()
    return in_force.revision if in_force else ABSENT


class TestProposals:
    """Proposals end as accepted, rejected or unknown."""

    def test_lost_response_is_resolved_by_the_change_id(self, site, manager):
        """The change is reported as accepted at its revision.

        The write takes effect, but its response is lost. The manager looks for the
        change id among the accepted changes before it writes again.
        """
        site.store.faults.queue('put_if', *LOST_HEAD_ANSWER)
        assert manager.propose(make_configuration('x'), 3, 'x') == Accepted(4)
        assert site.store.calls['put_if'] == 4 * WRITES

    def test_lost_response_is_resolved_after_another_change(self, site, manager):
        """The change is reported as accepted although another one followed.

        The write takes effect, its response is lost, and another operator's change is
        accepted before the manager reads again. The list of recent changes still
        contains the first one.
        """
        other = site.add('b')
        other.follow_store_once()
        site.store.faults.queue('put_if', *LOST_HEAD_ANSWER)

        def propose_concurrently(operation):
            if operation == 'get' and site.store.calls['put_if'] == 4 * WRITES:
                site.store.faults.before(None)
                other.propose(make_configuration('y'), 4, 'y')

        site.store.faults.before(propose_concurrently)
        assert manager.propose(make_configuration('x'), 3, 'x') == Accepted(4)
        assert revision_of(manager) == 5

    def test_rejected_operator_gets_the_configuration_in_force(self, site, manager):
        other = site.add('b')
        result = other.propose(make_configuration('x'), 2, 'x')
        assert isinstance(result, Rejected)
        assert result.current.configuration == make_configuration('three')

    def test_repeated_change_gives_the_same_result(self, manager):
        assert manager.propose(make_configuration('two'), 1, 'two') == Accepted(2)
        assert revision_of(manager) == 3

    @pytest.mark.parametrize(
        ('fault', 'outcome'),
        [(Fault.REFUSED, Outcome.NOT_RUN), (Fault.LOST_REQUEST, Outcome.UNKNOWN)],
    )
    def test_failed_proposal_reports_its_outcome(self, site, manager, fault, outcome):
        site.store.faults.queue('put_if', *(Fault.NONE, fault) * 9)
        with pytest.raises(PlatformError) as caught:
            manager.propose(make_configuration('x'), 3, 'x')
        assert caught.value.outcome is outcome

    def test_unknown_body_write_is_reported_as_not_run(self, site, manager):
        """Only the head's write accepts a change, so a lost body response is "not run"."""
        site.store.faults.set_persistent('put_if', Fault.LOST_ANSWER)
        with pytest.raises(PlatformError) as caught:
            manager.propose(make_configuration('x'), 3, 'x')
        assert caught.value.outcome is Outcome.NOT_RUN
        site.store.faults.clear_all()
        assert manager.propose(make_configuration('y'), 3, 'y') == Accepted(4)

    def test_old_bodies_are_deleted(self, site, manager):
        for number in range(3, 9):
            manager.propose(make_configuration(f'n{number}'), number, f'n{number}')
        manager.propose(make_configuration('late'), 3, 'late')
        assert len(site.store.get_prefix(BODY_PREFIX).items) == MAX_BODIES

    def test_orphaned_bodies_are_swept(self, site, manager):
        """A proposer that crashes between body and head leaves an orphaned body.

        One body belongs to a rejected change, another to a change that is being
        written; the watcher's sweep deletes only the first.
        """
        orphaned, pending = f'{BODY_PREFIX}3-x', f'{BODY_PREFIX}4-x'
        for key in (orphaned, pending):
            site.store.put_if(key, b'', ABSENT)
        site.clock.advance(timedelta(minutes=10))
        manager.follow_store_once()
        kept = [item.key for item in site.store.get_prefix(BODY_PREFIX).items]
        assert pending in kept
        assert orphaned not in kept
        assert len(kept) == MAX_BODIES + 1

    def test_outcome_stays_unknown_after_later_refusals(self, site, manager):
        """The outcome is unknown, since the first write may still take effect.

        The first attempt fails without a response, and all later ones are refused.
        """
        refusals = (Fault.REFUSED for _ in range(9))
        faults = (Fault.NONE, Fault.LOST_REQUEST, *refusals)
        site.store.faults.queue('put_if', *faults)
        with pytest.raises(PlatformError) as caught:
            manager.propose(make_configuration('x'), 3, 'x')
        assert caught.value.outcome is Outcome.UNKNOWN


class TestStaleStore:
    """A store that was restored or wiped, or whose key was deleted."""

    def test_restored_store_is_refused_until_the_next_change(self, site, manager):
        """The configuration in force does not revert, and operators can change it.

        The store is restored from a backup two changes old. Daemons that read it keep
        their configuration. The next change, based on the one in force, updates the
        store.
        """
        backup = MemoryKeyValueStore(site.clock)
        old = Site()
        old.store = backup
        old.add('z').propose(make_configuration('one'), ABSENT, 'one')
        site.store.restore(*backup.dump())
        manager.follow_store_once()
        assert revision_of(manager) == 3
        late = site.add('b')
        late.follow_peers_once()
        late.follow_peers_once()
        assert revision_of(late) == 3
        assert manager.propose(make_configuration('x'), 3, 'x') == Accepted(4)
        late.follow_store_once()
        assert revision_of(late) == 4

    def test_wiped_store_and_deleted_key_change_nothing(self, site, manager):
        stored = site.store.get(CONFIGURATION_KEY)
        site.store.delete_if(CONFIGURATION_KEY, stored.revision)
        manager.follow_store_once()
        site.store.restore({}, 1)
        manager.follow_store_once()
        assert revision_of(manager) == 3
        assert manager.propose(make_configuration('x'), 3, 'x') == Accepted(4)


class TestStart:
    """How a daemon without a configuration obtains one."""

    def test_daemon_that_starts_in_an_outage_loads_from_peers(self, site, manager):
        site.store.faults.set_persistent('*', Fault.REFUSED)
        late = site.add('b', 'brugge')
        late.follow_store_once()
        assert late.in_force() is None
        late.follow_peers_once()
        assert revision_of(late) == 3

    def test_daemon_without_any_source_has_nothing_in_force(self, site):
        site.store.faults.set_persistent('*', Fault.REFUSED)
        alone = site.add('a')
        waits = [alone.follow_store_once() for _ in range(9)]
        alone.follow_peers_once()
        assert alone.in_force() is None
        assert waits[0] < timedelta(seconds=1) < waits[-1]
        assert max(waits) <= timedelta(seconds=15)

    def test_merged_snapshot_puts_its_configuration_in_force(self, site, manager):
        late = site.add('b')
        late.snapshot_section().merge(manager.snapshot_section().produce())
        assert late.in_force().configuration == make_configuration('three')


class TestWatching:
    """Which daemons call the store, and how often."""

    def test_two_daemons_of_a_failure_domain_watch_the_store(self, site):
        managers = [site.add(f'd{number}') for number in range(9)]
        assert sum(one.is_watcher() for one in managers) == 2

    def test_other_daemons_poll_once_and_then_rarely(self, site, manager):
        """Head and body are read once and then rarely, to limit the store's load."""
        idle = next(
            one
            for one in (site.add(f'd{number}') for number in range(9))
            if not one.is_watcher()
        )
        before = site.store.calls.total()
        for _ in range(60):
            idle.follow_store_once()
            site.clock.advance(timedelta(seconds=1))
        assert site.store.calls.total() - before == 2

    def test_change_during_a_watch_is_applied_at_once(self, site, manager):
        applied = []
        manager.on_change(lambda one: applied.append(one.revision))
        other = site.add('b')
        polls = []

        def change_at_third_poll(operation):
            polls.append(operation)
            if polls.count('watch') == 3:
                site.store.faults.before(None)
                other.propose(make_configuration('x'), 3, 'x')

        site.store.faults.before(change_at_third_poll)
        began = site.clock.monotonic()
        manager.follow_store_once()
        assert applied == [4]
        assert site.clock.monotonic() - began >= 20


class TestBodies:
    """When the whole configuration is read from its body."""

    def test_watcher_of_each_change_reads_no_body(self, site, manager):
        other = site.add('b')
        other.follow_store_once()
        manager.propose(make_configuration('x'), 3, 'x')
        before = site.store.calls['get']
        other.follow_store_once()
        assert revision_of(other) == 4
        assert site.store.calls['get'] == before

    def test_missing_body_keeps_the_configuration_in_force(self, site, manager):
        """A head without its body is a store error and is never partly applied."""
        other = site.add('b')
        other.follow_store_once()
        for number, name in ((3, 'x'), (4, 'y')):
            manager.propose(make_configuration(name), number, name)
        for body in site.store.get_prefix(BODY_PREFIX).items:
            site.store.delete_if(body.key, body.revision)
        assert other.follow_store_once() > timedelta()
        assert revision_of(other) == 3


class TestSync:
    """Exchange from peer to peer."""

    def test_daemon_many_revisions_behind_pulls_the_whole(self, site, manager):
        late = site.add('b')
        late.follow_peers_once()
        for number in range(3, 40):
            name = f'n{number}'
            manager.propose(make_configuration(name), number, name)
        site.clock.advance(timedelta(seconds=2))
        late.follow_peers_once()
        late.follow_peers_once()
        assert late.in_force().configuration == manager.in_force().configuration

    def test_change_of_order_alone_arrives_exactly(self, site, manager):
        """A difference does not encode the order of items, so the whole is pulled."""
        late = site.add('b')
        one, other = (make_configuration(name).deployments for name in ('x', 'y'))
        for number, order in ((3, one + other), (4, other + one)):
            wanted = Configuration(deployments=order, customers=())
            manager.propose(wanted, number, f'order {number}')
            late.follow_peers_once()
            assert late.in_force().configuration == wanted

    def test_status_lists_domains_that_cannot_be_queried(self, site, manager):
        site.add('b', 'brugge').follow_store_once()
        site.add('c', 'aalst')
        site.peers.disconnect('a', 'c')
        revisions = manager.revisions_by_failure_domain()
        assert {name: one.revision for name, one in revisions.items()} == {
            'gent': 3,
            'brugge': 3,
            'aalst': None,
        }
