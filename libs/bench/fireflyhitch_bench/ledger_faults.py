"""Random faults at random steps of calls that may not be repeated."""

from collections import Counter
from datetime import timedelta

from fireflyhitch_bench.ledger_world import (
    At,
    Booking,
    BookingWorld,
    ConnectionLost,
    Killed,
    Stage,
    Told,
    pass_by,
)
from fireflyhitch_model.ids import DaemonId
from fireflyhitch_model.states import Outcome
from fireflyhitch_standins.faults import Fault

FAULTS = (Fault.REFUSED, Fault.LOST_REQUEST, Fault.LOST_ANSWER)
STAGES = tuple(Stage)
MOST_REPEATS = 4
MOST_STORE_FAULTS = 8
FAULTY_SHARE = 0.6
REFUSED_SHARE = 0.1
OTHER_BODY_SHARE = 0.05
CUT_SHARE = 0.1
PAUSES = (1, 6, 20, 60)


class FaultyBookings:
    """Calls and their repeats, and what their callers were told."""

    def __init__(self, seed: int) -> None:
        self.world = BookingWorld(seed)
        self.told: dict[str, list[Told]] = {}
        self.false_not_run = 0
        self._random = self.world.random

    def run_call(self, key: str) -> None:
        """Send one call with its repeats, each through any daemon."""
        for _ in range(self._random.randint(1, MOST_REPEATS)):
            self.world.settle()
            self._send(key, at=self._draw_fault(key))
            self._mend()

    def count(self) -> Counter[str]:
        """Return what became of all calls."""
        totals = Counter(calls=len(self.told), false_not_run=self.false_not_run)
        for key, answers in self.told.items():
            runs = self.world.runs[key]
            totals['runs'] += runs
            totals['doubled'] += runs > 1
            totals['answers'] += len(answers)
            totals['false_ran'] += not runs and _is_any_ran(answers)
            for told in answers:
                name = told.outcome.value if told.outcome else 'cut off'
                totals[f'told {name}'] += 1
        return totals

    def _send(self, key: str, at: At) -> None:
        alive = [
            one for one in self.world.ledgers if one not in self.world.network.dead
        ]
        name = self._random.choice(alive)
        other = self._random.random() < OTHER_BODY_SHARE
        booking = Booking(
            key,
            at,
            b'other' if other else b'',
            accepted=self._random.random() >= REFUSED_SHARE,
        )
        told = self.world.call(name, booking)
        self.false_not_run += booking.ran and told.outcome is Outcome.NOT_RUN
        self.told.setdefault(key, []).append(told)

    def _draw_fault(self, key: str) -> At:
        if self._random.random() > FAULTY_SHARE:
            return pass_by
        stage = self._random.choice(STAGES)
        strike = self._random.choice(
            (
                self._kill,
                self._pause,
                self._lose_connection,
                self._break_store,
                self._cut_links,
                self._kill_another,
                lambda: self._send(key, pass_by),
            )
        )

        def at(reached: Stage) -> None:
            if reached is stage:
                strike()

        return at

    def _kill(self) -> None:
        raise Killed

    def _pause(self) -> None:
        self.world.clock.advance(timedelta(seconds=self._random.choice(PAUSES)))

    def _lose_connection(self) -> None:
        raise ConnectionLost

    def _break_store(self) -> None:
        for operation in ('get', 'put_if'):
            count = self._random.randint(0, MOST_STORE_FAULTS)
            faults = [self._random.choice(FAULTS) for _ in range(count)]
            self.world.store.faults.queue(operation, *faults)

    def _cut_links(self) -> None:
        names = list(self.world.ledgers)
        self.world.network.cut.add(
            (self._random.choice(names), self._random.choice(names))
        )

    def _kill_another(self) -> None:
        name = DaemonId(self._random.choice(list(self.world.ledgers)))
        self.world.kill(name)

    def _mend(self) -> None:
        for name in tuple(self.world.network.dead):
            self.world.start(name)
        if self._random.random() < CUT_SHARE:
            self.world.network.cut.clear()
            self.world.store.faults.clear_all()


def _is_any_ran(answers: list[Told]) -> bool:
    return any(told.outcome is Outcome.RAN for told in answers)


def run_faults(seed: int, calls: int) -> Counter[str]:
    """Send calls with random faults and return what became of them."""
    bookings = FaultyBookings(seed)
    for number in range(calls):
        bookings.run_call(f'call-{number}')
    return bookings.count()
