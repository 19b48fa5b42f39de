"""Daemons' peer networks and keepers in processes of their own, and the store.

One process for all would share one interpreter lock, and 36 daemons wait for
each other on it until their probes time out.
"""

import multiprocessing
import random
import resource
import time
from collections.abc import Callable
from dataclasses import dataclass, field
from multiprocessing.connection import Connection
from typing import Any

from fireflyhitch_membership.configuration import (
    Accepted,
    ActiveConfiguration,
    ConfigurationManager,
)
from fireflyhitch_membership.links import LinkFilter, LinkOptions
from fireflyhitch_membership.messages import Mark
from fireflyhitch_membership.network import PeerNetwork
from fireflyhitch_model.clock import SystemClock
from fireflyhitch_model.hashing import hash_text
from fireflyhitch_model.ids import (
    ChangeId,
    DaemonId,
    FailureDomainId,
    Incarnation,
    InstanceId,
    Revision,
)
from fireflyhitch_model.peers import Daemon
from fireflyhitch_platform.etcd import EtcdKeyValueStore
from fireflyhitch_platform.rates import CallBudget
from fireflyhitch_settings.schema import Configuration
from fireflyhitch_standins.etcd_server import EtcdServer

DOMAINS = tuple(
    FailureDomainId(name) for name in ('gent', 'brugge', 'kortrijk', 'aalst')
)
# The failure domain that cannot reach the store.
DARK_DOMAIN = DOMAINS[-1]
# Nobody listens there, so that each call is refused.
DARK_STORE = 'http://127.0.0.1:9'
LOSS = 0.1
STOP_SECONDS = 10

# Forked, so that a process costs no import; the parent starts no thread.
_processes = multiprocessing.get_context('fork')


@dataclass(slots=True)
class NodeReport:
    """What a daemon did so far; times are the machine's monotonic seconds.

    :param applied: revisions in the order in which they came into force.
    :param marks: when each leaving mark became known.
    :param traffic: bytes in both directions, with headers.
    :param memory: the largest resident size, in bytes.
    """

    live: dict[str, FailureDomainId] = field(default_factory=dict)
    applied: list[tuple[Revision, float]] = field(default_factory=list)
    marks: dict[str, float] = field(default_factory=dict)
    traffic: int = 0
    frames: int = 0
    core_seconds: float = 0
    memory: int = 0

    def time_of(self, revision: Revision) -> float | None:
        """Return when this or a later revision came into force."""
        return next((at for one, at in self.applied if one >= revision), None)

    def reverts(self) -> int:
        """Return how often an older revision followed."""
        pairs = zip(self.applied, self.applied[1:], strict=False)
        return sum(later[0] <= earlier[0] for earlier, later in pairs)


class _Node:
    """The daemon's parts inside its process."""

    def __init__(
        self,
        name: str,
        domain: FailureDomainId,
        seed: int,
        seeds: tuple[str, ...],
        url: str,
    ) -> None:
        clock = SystemClock()
        options = LinkOptions(
            seeds=seeds,
            peer_key='bench',
            link_filter=_make_loss(seed + hash_text(name)),
        )
        daemon = Daemon(DaemonId(name), domain, '', f'{name}:80')
        self._report = NodeReport()
        self._network = PeerNetwork(daemon, options, clock)
        self._network.start()
        self._network.on_marks(self._note_marks)
        store = EtcdKeyValueStore(
            DARK_STORE if domain == DARK_DOMAIN else url, clock, CallBudget(clock)
        )
        self._keeper = ConfigurationManager(
            store, self._network, self._network.daemon, clock
        )
        self._keeper.on_change(self._note_change)
        self._keeper.start()

    def address(self) -> str:
        return self._network.address

    def propose(
        self, configuration: Configuration, expected: Revision, change: str
    ) -> tuple[Revision, float]:
        began = time.monotonic()
        result = self._keeper.propose(configuration, expected, ChangeId(change))
        if not isinstance(result, Accepted):
            raise RuntimeError(f'a lone operator was rejected: {result}')
        return result.revision, began

    def mark(self, instance: str) -> float:
        at = time.monotonic()
        self._report.marks[instance] = at
        self._network.mark_leaving(InstanceId(instance), Incarnation(1))
        return at

    def report(self) -> NodeReport:
        counts = self._network.counts
        self._report.live = {
            one.daemon_id: one.failure_domain for one in self._network.live()
        }
        self._report.traffic = counts.bytes_in + counts.bytes_out
        self._report.frames = counts.frames_out
        self._report.core_seconds = time.process_time()
        usage = resource.getrusage(resource.RUSAGE_SELF)
        self._report.memory = usage.ru_maxrss * 1024
        return self._report

    def stop(self) -> None:
        self._keeper.stop()
        self._network.stop()

    def _note_change(self, in_force: ActiveConfiguration) -> None:
        self._report.applied.append((in_force.revision, time.monotonic()))

    def _note_marks(self, marks: tuple[Mark, ...]) -> None:
        for mark in marks:
            self._report.marks.setdefault(mark.key, time.monotonic())


class RemoteNode:
    """A daemon in a process of its own."""

    def __init__(
        self,
        name: str,
        domain: FailureDomainId,
        seed: int,
        seeds: tuple[str, ...],
        url: str,
    ) -> None:
        self.name = name
        self.domain = domain
        self._process = _Remote(lambda: _Node(name, domain, seed, seeds, url))
        self.address: str = self._process.call('address')

    def propose(
        self, configuration: Configuration, expected: Revision, change: str
    ) -> tuple[Revision, float]:
        """Propose and return the revision and when the call began."""
        accepted: tuple[Revision, float] = self._process.call(
            'propose', configuration, expected, change
        )
        return accepted

    def mark(self, instance: str) -> float:
        """Mark an instance as leaving and return the time."""
        at: float = self._process.call('mark', instance)
        return at

    def report(self) -> NodeReport:
        """Return what the daemon did so far."""
        report: NodeReport = self._process.call('report')
        return report

    def ask_to_stop(self) -> None:
        """Have the process end."""
        self._process.ask_to_stop()

    def join(self) -> None:
        """Wait for the process's end."""
        self._process.join()


class _Store:
    def __init__(self) -> None:
        self._server = EtcdServer(SystemClock())
        self._server.start()

    def url(self) -> str:
        return self._server.url

    def stop(self) -> None:
        self._server.stop()


class RemoteStore:
    """The key-value stand-in in a process of its own."""

    def __init__(self) -> None:
        self._process = _Remote(_Store)
        self.url: str = self._process.call('url')

    def stop(self) -> None:
        """End the process."""
        self._process.ask_to_stop()
        self._process.join()


class _Remote:
    """An object in another process, called over a pipe."""

    def __init__(self, make: Callable[[], Any]) -> None:
        ours, theirs = _processes.Pipe()
        self._pipe = ours
        self._process = _processes.Process(
            target=_serve, args=(make, theirs), daemon=True
        )
        self._process.start()
        theirs.close()

    def call(self, method: str, *arguments: object) -> Any:
        self._pipe.send((method, arguments))
        return self._pipe.recv()

    def ask_to_stop(self) -> None:
        # Said, since the pipe's end stays open in processes forked later.
        self._pipe.send(('stop', ()))

    def join(self) -> None:
        self._process.join(STOP_SECONDS)
        if self._process.is_alive():
            self._process.kill()


def _serve(make: Callable[[], Any], pipe: Connection) -> None:
    held = make()
    method = ''
    while method != 'stop':
        method, arguments = pipe.recv()
        pipe.send(getattr(held, method)(*arguments))


def _make_loss(seed: int) -> LinkFilter:
    rng = random.Random(seed)
    return lambda _peer, _kind: rng.random() >= LOSS
