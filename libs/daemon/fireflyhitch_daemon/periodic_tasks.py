"""Runs a daemon's periodic tasks, such as polling the platform and engines."""

import threading
from collections.abc import Callable, Sequence
from concurrent.futures import ThreadPoolExecutor
from dataclasses import dataclass
from datetime import timedelta

from loguru import logger

from fireflyhitch_model.clock import Clock
from fireflyhitch_model.errors import FireflyhitchError
from fireflyhitch_model.states import Step

WORKERS = 8
TICK = timedelta(seconds=0.1)


@dataclass(slots=True)
class Task:
    """An action that is run at an interval.

    :param due: monotonic time in seconds of the next run.
    """

    name: str
    step: Step
    interval: timedelta
    action: Callable[[], None]
    due: float = 0
    running: bool = False


class PeriodicTasks:
    """Runs tasks on a thread pool; a task that hangs delays no other."""

    def __init__(self, clock: Clock, tasks: Sequence[Task]) -> None:
        self._clock = clock
        self._tasks = tasks
        self._stopping = threading.Event()
        self._workers = ThreadPoolExecutor(WORKERS, 'upkeep')
        self._thread = threading.Thread(target=self._run, name='upkeep', daemon=True)

    def start(self) -> None:
        """Start the threads."""
        self._thread.start()

    def stop(self) -> None:
        """Start no further tasks; running ones complete by themselves."""
        self._stopping.set()
        self._thread.join()
        self._workers.shutdown(wait=False, cancel_futures=True)

    def _run(self) -> None:
        while not self._stopping.is_set():
            now = self._clock.monotonic()
            for due in [task for task in self._tasks if now >= task.due]:
                self._submit(due, now)
            self._clock.wait(self._stopping, TICK)

    def _submit(self, task: Task, now: float) -> None:
        if task.running:
            return
        task.running = True
        task.due = now + task.interval.total_seconds()
        self._workers.submit(self._run_task, task)

    def _run_task(self, task: Task) -> None:
        try:
            task.action()
        except FireflyhitchError as error:
            logger.bind(step=error.step.value, peer=error.peer, task=task.name).warning(
                error.message
            )
        except Exception:
            # An error in one run must not stop later runs: a daemon that no longer
            # reads reclaim notices would serve until its instance is reclaimed.
            logger.bind(step=task.step.value, task=task.name).exception('task failed')
        finally:
            task.running = False
