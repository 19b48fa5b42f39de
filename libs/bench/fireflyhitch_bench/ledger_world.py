"""Daemons that send calls which may not be repeated, with faults at each step."""

import random
from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass
from datetime import timedelta
from enum import Enum

from fireflyhitch_ledger.keys import CallKey, digest_body
from fireflyhitch_ledger.ledger import Ledger
from fireflyhitch_ledger.operations import Answer
from fireflyhitch_ledger.results import Attempt, Claimed, Stored, build_refusal
from fireflyhitch_ledger.settings import DEFAULT_SETTINGS, LedgerSettings
from fireflyhitch_model.calls import Call
from fireflyhitch_model.clock import ManualClock
from fireflyhitch_model.errors import RequestError
from fireflyhitch_model.ids import (
    AttemptId,
    CustomerId,
    DaemonId,
    DeploymentId,
    FailureDomainId,
    IdempotencyKey,
    RequestId,
)
from fireflyhitch_model.peers import Daemon
from fireflyhitch_model.states import Outcome, Priority
from fireflyhitch_standins.keyvalue import MemoryKeyValueStore
from fireflyhitch_standins.peers import MemoryPeerNetwork

CUSTOMER = CustomerId('customer')
SERVICE = DeploymentId('bookings')
CALL_SECONDS = 30.0
CREATED = 201
UNAVAILABLE = 503
DAEMONS = 3
DOMAIN = FailureDomainId('domain')


class Stage(Enum):
    """The steps of a request at which a fault can strike."""

    ACCEPTED = 'accepted'
    CLAIMED = 'claimed'
    SENT = 'sent'
    FIRST_BYTE = 'first byte'
    MIDDLE = 'middle'
    LAST_BYTE = 'last byte'
    RECORDED = 'recorded'
    ANSWERED = 'answered'


class Killed(Exception):
    """The daemon ends in the middle of a call."""


class ConnectionLost(Exception):
    """The connection to the backend server broke."""


@dataclass(frozen=True, slots=True)
class Told:
    """What a caller was told.

    :param outcome: ``None`` if its connection broke without any answer.
    """

    status: int
    outcome: Outcome | None
    code: str = ''


NOTHING = Told(0, None)
At = Callable[[Stage], None]


@dataclass(slots=True)
class Booking:
    """One call to the service, under a key that others may share.

    :param at: is told of each step, and may break something.
    :param accepted: whether the service runs it, or refuses before execution.
    :ivar ran: whether this very call was run.
    """

    key: str
    at: At
    body: bytes = b''
    accepted: bool = True
    ran: bool = False


class BookingWorld:
    """Some daemons over one store, and a service that counts its runs."""

    def __init__(self, seed: int, settings: LedgerSettings = DEFAULT_SETTINGS) -> None:
        self.random = random.Random(seed)
        # The retries' jitter is drawn from the module's own generator; a seed
        # that failed would else not fail again.
        random.seed(seed)
        self.clock = ManualClock()
        self.store = MemoryKeyValueStore(self.clock)
        self.network = MemoryPeerNetwork()
        self.runs: Counter[str] = Counter()
        self.ledgers: dict[DaemonId, Ledger] = {}
        self._settings = settings
        self._attempts = 0
        for number in range(DAEMONS):
            self.start(DaemonId(f'daemon-{number}'))

    def start(self, name: DaemonId) -> None:
        """Start a daemon, or start it again without anything it knew."""
        self.network.dead.discard(name)
        messenger = self.network.join(Daemon(name, DOMAIN, '', ''))
        self.ledgers[name] = Ledger(
            name,
            self.store,
            messenger,
            self.clock,
            self._settings,
            self._name_attempt,
        )

    def kill(self, name: DaemonId) -> None:
        """End a daemon."""
        self.network.dead.add(name)

    def call(self, name: DaemonId, booking: Booking) -> Told:
        """Send a call through a daemon."""
        try:
            return self._carry(self.ledgers[name], booking)
        except RequestError as error:
            return Told(error.status, error.outcome, error.code)
        except Killed:
            self.kill(name)
            return NOTHING
        except ConnectionLost:
            return NOTHING

    def settle(self) -> None:
        """Have all daemons record what is left over."""
        for name, ledger in self.ledgers.items():
            if name not in self.network.dead:
                ledger.settle()

    def _carry(self, ledger: Ledger, booking: Booking) -> Told:
        booking.at(Stage.ACCEPTED)
        scoped = CallKey(CUSTOMER, SERVICE, IdempotencyKey(booking.key))
        digest = digest_body('POST', '/visits', booking.body)
        result = ledger.claim(scoped, digest, self._build_call())
        if isinstance(result, Stored):
            return Told(CREATED, Outcome.RAN)
        if not isinstance(result, Claimed):
            raise build_refusal(result)
        try:
            booking.at(Stage.CLAIMED)
        except ConnectionLost:
            ledger.record_not_run(result.attempt)
            return Told(UNAVAILABLE, Outcome.NOT_RUN, 'not_sent')
        ledger.mark_sent(result.attempt)
        return self._send(ledger, result.attempt, booking)

    def _send(self, ledger: Ledger, attempt: Attempt, booking: Booking) -> Told:
        booking.ran = booking.accepted
        self.runs[booking.key] += booking.accepted
        try:
            booking.at(Stage.SENT)
            if not booking.accepted:
                ledger.record_not_run(attempt, refused=True)
                return Told(UNAVAILABLE, Outcome.NOT_RUN, 'refused')
            for stage in (Stage.FIRST_BYTE, Stage.MIDDLE, Stage.LAST_BYTE):
                booking.at(stage)
        except ConnectionLost:
            ledger.record_unknown(attempt)
            return Told(UNAVAILABLE, Outcome.UNKNOWN, 'connection_lost')
        answer = Answer(status=CREATED, body=booking.key.encode())
        ledger.record_ran(attempt, answer)
        booking.at(Stage.RECORDED)
        booking.at(Stage.ANSWERED)
        return Told(CREATED, Outcome.RAN)

    def _build_call(self) -> Call:
        now = self.clock.monotonic()
        return Call(
            RequestId('request'),
            CUSTOMER,
            SERVICE,
            'POST /visits',
            Priority.NORMAL,
            0,
            0,
            (),
            now,
            now + CALL_SECONDS,
            repeatable=False,
        )

    def _name_attempt(self) -> AttemptId:
        self._attempts += 1
        return AttemptId(f'attempt-{self._attempts}')


def pass_by(stage: Stage) -> None:
    """Break nothing."""


def advance_after(world: BookingWorld, duration: timedelta) -> None:
    """Let time pass and settle, as the daemons' threads do."""
    world.clock.advance(duration)
    world.settle()
