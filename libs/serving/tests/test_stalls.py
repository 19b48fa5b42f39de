"""Tests of peer messages after this process was frozen."""

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


class FrozenDaemon:
    """A daemon with one peer, and its clock."""

    def __init__(self) -> None:
        self.now = 0.0
        self.local_quotas = Quotas(QuotaSlack(), find_quota=lambda _: QUOTA)
        self.remote_quotas = Quotas(QuotaSlack(), find_quota=lambda _: QUOTA)
        self.detector = StallDetector(
            lambda: self.now, self.local_quotas.reset_peer_baselines
        )
        self.queued: list[object] = []

    def use_remote(self) -> None:
        """Have the customer use its rate at the peer, which reports it."""
        self.remote_quotas.take(BAKERY, 100, self.now)
        self.queued.append(self.remote_quotas.build_reports(self.now))
        self.now += 0.1

    def read_queued(self) -> None:
        """Apply the queued messages, as the channel does."""
        for reports in self.queued:
            if not self.detector.is_discarding():
                for customer, report in reports.items():  # type: ignore[attr-defined]
                    self.local_quotas.apply_report('remote', customer, report, self.now)
        self.queued.clear()


class TestResume:
    def test_peer_usage_during_a_freeze_is_not_applied_all_at_once(self) -> None:
        # An instance freezes for five seconds while a customer uses its rate elsewhere.
        # On resuming it reads fifty messages in one moment; all that they report was
        # subtracted from the bucket without the units accrued meanwhile, and the
        # customer's next requests were refused for three seconds.
        daemon = FrozenDaemon()
        for _ in range(20):
            daemon.use_remote()
            daemon.detector.tick()
            daemon.read_queued()
        for _ in range(50):
            daemon.use_remote()
        daemon.read_queued()
        daemon.detector.tick()
        daemon.now += DROP_SECONDS
        daemon.use_remote()
        daemon.read_queued()
        assert daemon.local_quotas.take(BAKERY, 800, daemon.now) is None

    def test_a_busy_loop_drops_nothing(self) -> None:
        daemon = FrozenDaemon()
        daemon.now = 0.8
        assert not daemon.detector.is_discarding()

    def test_messages_are_accepted_again_soon_after_a_stall(self) -> None:
        daemon = FrozenDaemon()
        daemon.now = 5.0
        assert daemon.detector.is_discarding()
        daemon.detector.tick()
        daemon.now = 5.0 + DROP_SECONDS
        assert not daemon.detector.is_discarding()


class TestChannel:
    def test_a_channel_drops_queued_messages(self) -> None:
        # The first message after a freeze is read before the loop's next iteration.
        seconds = [0.0]
        received: list[object] = []
        registry = PeerRegistry('d1', 'gent', ManualClock(), float)  # type: ignore[arg-type]
        channel = PeerChannel(
            registry,
            HubTracker(registry, ManualClock()),
            PeerHandlers(
                None,  # type: ignore[arg-type]
                received.append,
                lambda data: bool(received.append(data)),
                lambda: None,
            ),
            StallDetector(lambda: seconds[0], list),
            random.Random(1),  # noqa: S311
            ControlTraffic(),
        )
        seconds[0] = 5.0
        channel.datagram_received(b'\x01', ('127.0.0.1', 1))
        assert not received
