"""What this daemon sends and asks for control: messages to peers, calls to the platform."""

import asyncio
from collections import Counter
from dataclasses import dataclass, field

from loguru import logger

REPORT_SECONDS = 10.0


@dataclass(slots=True)
class ControlTraffic:
    """Counts since the last report.

    :param calls: to the platform, by kind.
    :param sent: datagrams to peers.
    :param received: datagrams of peers.
    """

    calls: Counter[str] = field(default_factory=Counter)
    sent: int = 0
    sent_bytes: int = 0
    received: int = 0
    received_bytes: int = 0

    def count_call(self, kind: str) -> None:
        """Count a call that is about to be made."""
        self.calls[kind] += 1

    def record_sent(self, size: int) -> None:
        """Count a datagram of so many bytes."""
        self.sent += 1
        self.sent_bytes += size

    def note_received(self, size: int) -> None:
        """Count a datagram of so many bytes."""
        self.received += 1
        self.received_bytes += size

    async def run(self) -> None:
        """Report until cancelled."""
        while True:
            await asyncio.sleep(REPORT_SECONDS)
            self.report()

    def report(self) -> None:
        """Tell what was counted, and begin anew."""
        logger.bind(
            calls=dict(self.calls),
            sent=self.sent,
            sent_bytes=self.sent_bytes,
            received=self.received,
            received_bytes=self.received_bytes,
        ).info('control traffic')
        self.calls.clear()
        self.sent = 0
        self.sent_bytes = 0
        self.received = 0
        self.received_bytes = 0
