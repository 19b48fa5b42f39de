"""Tests of duties under a lease."""

from datetime import timedelta

from fireflyhitch_standins.faults import Fault

DUTY = 'capacity/answers'


def run(managers, clock, seconds):
    for _ in range(int(seconds * 2)):
        clock.advance(timedelta(seconds=0.5))
        for manager in managers:
            manager.step()


class TestDuty:
    """Which daemon holds a duty."""

    def test_one_daemon_holds_it_and_renews(self, managers, clock):
        run(managers, clock, 60)
        holders = [manager for manager in managers if manager.holds(DUTY) is not None]
        assert len(holders) == 1
        fencing = holders[0].holds(DUTY)
        run(managers, clock, 60)
        assert holders[0].holds(DUTY) == fencing

    def test_released_duty_is_taken_with_a_greater_fencing_number(
        self, managers, clock
    ):
        first, second = managers
        first.step()
        before = first.holds(DUTY)
        first.stop()
        second.step()
        assert first.holds(DUTY) is None
        assert second.holds(DUTY) > before

    def test_paused_holder_has_stopped_before_its_successor_starts(
        self, managers, clock
    ):
        """A holder is paused for longer than its lease, then resumes.

        Its key expires and another daemon takes the duty. The first one times its
        lease from before its last renewal, so on resume it holds nothing, even
        before any call to the store.
        """
        first, second = managers
        first.step()
        before = first.holds(DUTY)
        run([second], clock, 12)
        assert first.holds(DUTY) is None
        assert second.holds(DUTY) > before
        run(managers, clock, 5)
        assert first.holds(DUTY) is None

    def test_slow_renewal_counts_from_before_it_was_sent(self, managers, clock, store):
        """The store responds to a renewal after three seconds.

        The lease may have been renewed at any time in between. The holder assumes
        the earliest, so it stops no later than the lease expires in the store.
        """
        first = managers[0]
        first.step()
        clock.advance(timedelta(seconds=2.5))

        def delay(operation):
            if operation == 'keep_lease':
                clock.advance(timedelta(seconds=3))

        store.faults.before(delay)
        began = clock.monotonic()
        first.step()
        terms = first.terms
        length = (terms.duration - terms.margin).total_seconds()
        assert first.find(DUTY).until == began + length

    def test_lost_response_to_the_claim_is_resolved_by_reading(
        self, managers, clock, store
    ):
        """The claim is written, but the response is lost.

        The daemon does not hold the duty yet. In its next step it finds its own
        value in the key and holds the duty with the key's creation revision.
        """
        first = managers[0]
        store.faults.queue('put_if', Fault.LOST_ANSWER)
        first.step()
        assert first.holds(DUTY) is None
        first.step()
        assert first.holds(DUTY) == store.get(f'duties/{DUTY}').created

    def test_lost_claim_is_retried(self, managers, clock, store):
        first = managers[0]
        store.faults.queue('put_if', Fault.LOST_REQUEST)
        run([first], clock, 20)
        assert first.holds(DUTY) is not None

    def test_no_daemon_takes_a_duty_during_a_store_outage(self, managers, clock, store):
        """The store is unavailable for a minute.

        The holder stops at the end of its lease and no other daemon starts. After
        the outage one daemon takes the duty again.
        """
        run(managers, clock, 4)
        store.faults.set_persistent('*', Fault.LOST_REQUEST)
        run(managers, clock, 60)
        assert [manager.holds(DUTY) for manager in managers] == [None, None]
        store.faults.clear_all()
        run(managers, clock, 12)
        assert sum(manager.holds(DUTY) is not None for manager in managers) == 1

    def test_key_missing_after_a_restore_ends_the_duty(self, managers, clock, store):
        """The store is restored from a backup made before the duty was taken.

        The lease can still be renewed, but the key is missing. The holder detects
        this at its next renewal and gives up the duty, which can then be claimed again.
        """
        backup = store.dump()
        first = managers[0]
        first.step()
        store.restore(*backup)
        clock.advance(timedelta(seconds=2.5))
        first.step()
        assert first.holds(DUTY) is None

    def test_wall_clock_jump_changes_nothing(self, managers, clock):
        first = managers[0]
        first.step()
        fencing = first.holds(DUTY)
        clock.jump_wall_clock(timedelta(hours=1))
        run(managers, clock, 10)
        assert first.holds(DUTY) == fencing
