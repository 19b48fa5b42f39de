"""Tests of what is believed after this process was frozen."""

import random

from fireflyhitch_model.clock import ManualClock
from fireflyhitch_model.ids import CustomerId
from fireflyhitch_serving.catalog import Customer, Quota
from fireflyhitch_serving.hubs import HubTracker
from fireflyhitch_serving.peer_channel import PeerChannel, PeerHandlers
from fireflyhitch_serving.peers import PeerRegistry
from fireflyhitch_serving.quotas import Quotas, QuotaSlack
from fireflyhitch_serving.stalls import DROP_SECONDS, StallDetector
from fireflyhitch_serving.traffic import ControlTraffic

QUOTA = Quota(1000, 2000, in_tokens=True, plain_tokens=200)
BAKERY = Customer(CustomerId('bakery'), QUOTA)


class Frozen:
    """A daemon that hears one peer, and its clock."""

    def __init__(self) -> None:
        self.now = 0.0
        self.here = Quotas(QuotaSlack(), find_quota=lambda _: QUOTA)
        self.there = Quotas(QuotaSlack(), find_quota=lambda _: QUOTA)
        self.watch = StallDetector(lambda: self.now, self.here.reset_peer_baselines)
        self.waiting: list[object] = []

    def use_there(self) -> None:
        """Have the customer use its rate at the peer, which tells so."""
        self.there.take(BAKERY, 100, self.now)
        self.waiting.append(self.there.build_reports(self.now))
        self.now += 0.1

    def read_waiting(self) -> None:
        """Read the messages that came, as the channel does."""
        for build_reports in self.waiting:
            if not self.watch.is_discarding():
                for customer, note in build_reports.items():  # type: ignore[attr-defined]
                    self.here.apply_report('there', customer, note, self.now)
        self.waiting.clear()


class TestWaking:
    def test_what_peers_did_in_a_freeze_is_not_taken_as_done_at_once(self) -> None:
        # An instance freezes for five seconds while a customer uses its rate elsewhere.
        # It wakes and reads fifty messages in one moment; all that they tell was taken
        # from the account without what filled it meanwhile, and the customer's next
        # requests were refused for three seconds.
        scene = Frozen()
        for _ in range(20):
            scene.use_there()
            scene.watch.tick()
            scene.read_waiting()
        for _ in range(50):
            scene.use_there()
        scene.read_waiting()
        scene.watch.tick()
        scene.now += DROP_SECONDS
        scene.use_there()
        scene.read_waiting()
        assert scene.here.take(BAKERY, 800, scene.now) is None

    def test_a_busy_loop_drops_nothing(self) -> None:
        scene = Frozen()
        scene.now = 0.8
        assert not scene.watch.is_discarding()

    def test_messages_are_taken_again_soon_after(self) -> None:
        scene = Frozen()
        scene.now = 5.0
        assert scene.watch.is_discarding()
        scene.watch.tick()
        scene.now = 5.0 + DROP_SECONDS
        assert not scene.watch.is_discarding()


class TestChannel:
    def test_a_channel_drops_what_waited(self) -> None:
        # The first message that is read after a freeze comes before the loop's turn.
        seconds = [0.0]
        taken: list[object] = []
        book = PeerRegistry('d1', 'gent', ManualClock(), float)  # type: ignore[arg-type]
        channel = PeerChannel(
            book,
            HubTracker(book, ManualClock()),
            PeerHandlers(
                None,  # type: ignore[arg-type]
                taken.append,
                lambda data: bool(taken.append(data)),
                lambda: None,
            ),
            StallDetector(lambda: seconds[0], list),
            random.Random(1),  # noqa: S311
            ControlTraffic(),
        )
        seconds[0] = 5.0
        channel.datagram_received(b'\x01', ('127.0.0.1', 1))
        assert not taken
