"""Starting and ending the processes of a development run, by their ids."""

import json
import os
import subprocess  # noqa: S404
import sys
import tempfile
from collections.abc import Sequence
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

STOP_SECONDS = 10


@dataclass(slots=True)
class Process:
    """A started process."""

    name: str
    popen: subprocess.Popen[str]
    _ready: dict[str, Any] | None = None

    @property
    def ready(self) -> dict[str, Any]:
        """Return the JSON object that it prints when it is ready; wait for it.

        :raises RuntimeError: if it ended instead.
        """
        if self._ready is None:
            assert self.popen.stdout is not None
            line = self.popen.stdout.readline()
            if not line:
                raise RuntimeError(f'{self.name} did not start; see its log')
            self._ready = json.loads(line)
        return self._ready

    @property
    def pid(self) -> int:
        """Return the process id."""
        return self.popen.pid


@dataclass(slots=True)
class ProcessGroup:
    """The processes of one run; leaving the context ends them all.

    :param directory: holds settings files and logs.
    """

    directory: Path = field(
        default_factory=lambda: Path(tempfile.mkdtemp(prefix='fireflyhitch-'))
    )
    processes: list[Process] = field(default_factory=list)

    def __enter__(self) -> 'ProcessGroup':
        """Return the group itself."""
        return self

    def __exit__(self, *_: object) -> None:
        """End all processes, last started first."""
        for process in reversed(self.processes):
            process.popen.terminate()
        for process in reversed(self.processes):
            self._wait(process)

    def start(self, name: str, module: str, arguments: Sequence[str] = ()) -> Process:
        """Start a module; several may start at once."""
        log = (self.directory / f'{name}.log').open('w', encoding='utf-8')
        popen = subprocess.Popen(  # noqa: S603
            [sys.executable, '-m', module, *arguments],
            stdout=subprocess.PIPE,
            stderr=log,
            text=True,
            env={**os.environ, 'PYTHONUNBUFFERED': '1'},
        )
        log.close()
        process = Process(name, popen)
        self.processes.append(process)
        return process

    def kill(self, process: Process) -> None:
        """End a process at once, as a reclaimed instance does."""
        process.popen.kill()
        process.popen.wait()
        self.processes.remove(process)

    def write(self, name: str, content: Any) -> Path:
        """Write a JSON file into the group's directory."""
        path = self.directory / name
        path.write_text(json.dumps(content, indent=2), encoding='utf-8')
        return path

    def _wait(self, process: Process) -> None:
        try:
            process.popen.wait(STOP_SECONDS)
        except subprocess.TimeoutExpired:
            process.popen.kill()
            process.popen.wait()
