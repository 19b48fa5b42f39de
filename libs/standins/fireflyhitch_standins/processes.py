"""Runs a stand-in as a separate process."""

import json
import signal
import threading
from typing import Protocol


class Startable(Protocol):
    """A stand-in that serves in its own threads."""

    @property
    def address(self) -> str:
        """Return ``host:port`` once started."""

    def start(self) -> None:
        """Listen and serve."""

    def stop(self) -> None:
        """Stop serving."""


def serve_until_stopped(server: Startable) -> None:
    """Serve until SIGTERM or SIGINT; print the address as a line of JSON."""
    stopped = threading.Event()
    signal.signal(signal.SIGTERM, lambda *_: stopped.set())
    signal.signal(signal.SIGINT, lambda *_: stopped.set())
    server.start()
    print(json.dumps({'address': server.address}), flush=True)  # noqa: WPS421
    stopped.wait()
    server.stop()
