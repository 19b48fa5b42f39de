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

STOP_SECONDS = 30


@dataclass(slots=True)
class Process:
    """A started process that said that it is ready.

    :param ready: the JSON object that it printed when it was ready.
    """

    name: str
    popen: subprocess.Popen[str]
    ready: dict[str, Any]

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
        """Start a module and wait for its line that says it is ready.

        :raises RuntimeError: if it ended instead.
        """
        log = (self.directory / f'{name}.log').open('w', encoding='utf-8')
        popen = subprocess.Popen(  # noqa: S603
            [sys.executable, '-m', module, *arguments],
            stdout=subprocess.PIPE,
            stderr=log,
            text=True,
            env={**os.environ, 'PYTHONUNBUFFERED': '1'},
        )
        log.close()
        assert popen.stdout is not None
        line = popen.stdout.readline()
        if not line:
            raise RuntimeError(f'{name} did not start; see {self.directory}')
        process = Process(name, popen, json.loads(line))
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
