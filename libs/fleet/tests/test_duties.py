"""Tests of duties by lease."""

from datetime import timedelta

from fireflyhitch_standins.faults import Fault

DUTY = 'capacity/answers'


def run(keepers, clock, seconds):
    for _ in range(int(seconds * 2)):
        clock.advance(timedelta(seconds=0.5))
        for keeper in keepers:
            keeper.step()


class TestDuty:
    """Who holds a duty."""

    def test_one_daemon_holds_it_and_renews(self, keepers, clock):
        run(keepers, clock, 60)
        holders = [keeper for keeper in keepers if keeper.holds(DUTY) is not None]
        assert len(holders) == 1
        fencing = holders[0].holds(DUTY)
        run(keepers, clock, 60)
        assert holders[0].holds(DUTY) == fencing

    def test_given_up_duty_is_taken_with_a_greater_number(self, keepers, clock):
        first, second = keepers
        first.step()
        before = first.holds(DUTY)
        first.stop()
        second.step()
        assert first.holds(DUTY) is None
        assert second.holds(DUTY) > before

    def test_paused_holder_has_stopped_before_the_next_begins(self, keepers, clock):
        """A holder is paused for longer than its lease, then goes on.

        Its key lapses and another daemon takes the duty. The first compares
        its clock with a time that was counted from before its last renewal, so
        it holds nothing when it wakes, before any call to the store.
        """
        first, second = keepers
        first.step()
        before = first.holds(DUTY)
        run([second], clock, 12)
        assert first.holds(DUTY) is None
        assert second.holds(DUTY) > before
        run(keepers, clock, 5)
        assert first.holds(DUTY) is None

    def test_slow_renewal_counts_from_before_it_was_sent(self, keepers, clock, store):
        """The store answers a renewal after three seconds.

        The lease may have been renewed at any time in them; the holder counts
        from the earliest, and so stops no later than the store lets go.
        """
        first = keepers[0]
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

    def test_lost_answer_to_the_claim_is_settled_by_reading(
        self, keepers, clock, store
    ):
        """The claim was written, but its answer was lost.

        The daemon does not hold the duty yet. At its next step it finds its own
        mark in the key and holds it with the key's creation revision.
        """
        first = keepers[0]
        store.faults.queue('put_if', Fault.LOST_ANSWER)
        first.step()
        assert first.holds(DUTY) is None
        first.step()
        assert first.holds(DUTY) == store.get(f'duties/{DUTY}').created

    def test_claim_that_never_arrived_is_tried_again(self, keepers, clock, store):
        first = keepers[0]
        store.faults.queue('put_if', Fault.LOST_REQUEST)
        run([first], clock, 20)
        assert first.holds(DUTY) is not None

    def test_nobody_takes_a_duty_while_the_store_is_out(self, keepers, clock, store):
        """The store is out for a minute.

        The holder stops at the end of its lease, nobody else begins, and after
        the outage one daemon takes the duty anew.
        """
        run(keepers, clock, 4)
        store.faults.stand('*', Fault.LOST_REQUEST)
        run(keepers, clock, 60)
        assert [keeper.holds(DUTY) for keeper in keepers] == [None, None]
        store.faults.lift()
        run(keepers, clock, 12)
        assert sum(keeper.holds(DUTY) is not None for keeper in keepers) == 1

    def test_key_gone_in_a_restored_store_ends_the_duty(self, keepers, clock, store):
        """The store is set back to a backup from before the duty was taken.

        The lease is still renewed, but the key is gone; the holder notices at
        its next renewal and claims the duty anew.
        """
        backup = store.dump()
        first = keepers[0]
        first.step()
        store.restore(*backup)
        clock.advance(timedelta(seconds=2.5))
        first.step()
        assert first.holds(DUTY) is None

    def test_wall_clock_jump_changes_nothing(self, keepers, clock):
        first = keepers[0]
        first.step()
        fencing = first.holds(DUTY)
        clock.jump_wall(timedelta(hours=1))
        run(keepers, clock, 10)
        assert first.holds(DUTY) == fencing
