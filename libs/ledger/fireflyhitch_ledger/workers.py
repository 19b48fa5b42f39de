"""Threads that commit for other daemons and write pending records."""

import threading
from collections.abc import Callable
from datetime import timedelta
from queue import SimpleQueue

from loguru import logger

from fireflyhitch_model.clock import Clock
from fireflyhitch_model.states import Step

STOP_SECONDS = 5


class Workers:
    """A thread pool for the ledger's background work."""

    def __init__(self, count: int, clock: Clock) -> None:
        self._count = count
        self._clock = clock
        self._work: SimpleQueue[Callable[[], None] | None] = SimpleQueue()
        self._stopping = threading.Event()
        self._threads: list[threading.Thread] = []

    def start(self, settle: Callable[[], None], interval: timedelta) -> None:
        """Start the threads.

        :param settle: called once per interval.
        """
        for _ in range(self._count):
            self._spawn(self._run_queue)
        self._spawn(lambda: self._run_periodically(settle, interval))

    def stop(self) -> None:
        """Finish the queued work and stop the threads."""
        self._stopping.set()
        for _ in range(self._count):
            self._work.put(None)
        for thread in self._threads:
            thread.join(STOP_SECONDS)
        self._threads.clear()

    def submit(self, work: Callable[[], None]) -> None:
        """Run work on one of the threads, or synchronously if none was started."""
        if self._threads:
            self._work.put(work)
        else:
            work()

    def _spawn(self, target: Callable[[], None]) -> None:
        thread = threading.Thread(target=target, name='ledger', daemon=True)
        self._threads.append(thread)
        thread.start()

    def _run_queue(self) -> None:
        while True:
            work = self._work.get()
            if work is None:
                return
            _run_guarded(work)

    def _run_periodically(
        self, settle: Callable[[], None], interval: timedelta
    ) -> None:
        while not self._clock.wait(self._stopping, interval):
            _run_guarded(settle)


def _run_guarded(work: Callable[[], None]) -> None:
    try:
        work()
    except Exception:
        # If an error ended the thread, the other calls of its shards would hang
        # and records would stay pending until the daemon is restarted.
        logger.bind(step=Step.RECORD.value).exception('ledger work failed')
