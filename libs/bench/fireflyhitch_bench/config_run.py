"""Real peer networks and keepers over loopback, a process for each daemon."""

import random
import time
from collections.abc import Iterator
from contextlib import contextmanager
from dataclasses import dataclass, field

from fireflyhitch_bench.config_nodes import (
    DARK_DOMAIN,
    DOMAINS,
    NodeReport,
    RemoteNode,
    RemoteStore,
)
from fireflyhitch_model.ids import (
    ABSENT,
    CustomerId,
    DeploymentId,
    Revision,
    VersionId,
)
from fireflyhitch_settings.schema import (
    Configuration,
    Customer,
    ModelDeployment,
    ServiceDeployment,
)

# Of the rate to come: 42,000 changes a day.
SECONDS_PER_CHANGE = 2.0
CHANGES = 12
FIND_SECONDS = 40.0
SETTLE_SECONDS = 5.0


@dataclass(slots=True)
class RunResult:
    """What a run of one size showed.

    :param delays: seconds from the proposal's call until in force, by change and
        daemon; so the write to the store is counted, too.
    :param leaving: seconds until every daemon knew of a leaving mark.
    :param unfinished: changes and marks that some daemon had not got at the end.
    """

    daemons: int
    delays: list[float] = field(default_factory=list)
    leaving: list[float] = field(default_factory=list)
    reverted: int = 0
    unfinished: int = 0
    bytes_mean: float = 0
    bytes_most: float = 0
    core_mean: float = 0
    core_most: float = 0
    memory_most: int = 0
    seconds_per_frame: float = 0


def make_configuration(deployments: int, customers: int, note: str) -> Configuration:
    """Return a configuration of a size; the note makes each differ by one item."""
    services = tuple(
        ServiceDeployment(
            name=DeploymentId(f'service-{number}'),
            failure_domains=DOMAINS,
            version=VersionId('1'),
        )
        for number in range(deployments - 1)
    )
    model = ModelDeployment(
        name=DeploymentId('answers'), failure_domains=DOMAINS, version=VersionId(note)
    )
    people = tuple(
        Customer(
            customer_id=CustomerId(f'customer-{number}'),
            api_key_sha256=f'{random.Random(number).getrandbits(256):064x}',
        )
        for number in range(customers)
    )
    return Configuration(deployments=(model, *services), customers=people)


def run_size(daemons: int, seed: int) -> RunResult:
    """Run that many daemons in four failure domains through some changes."""
    result = RunResult(daemons)
    with _open_nodes(daemons, seed) as nodes:
        _wait_until_found(nodes)
        before = [node.report() for node in nodes]
        began = time.monotonic()
        accepted, marked = _act(nodes, daemons)
        time.sleep(SETTLE_SECONDS)
        elapsed = time.monotonic() - began
        after = [node.report() for node in nodes]
    _note_arrivals(result, after, accepted, marked)
    _note_costs(result, before, after, elapsed)
    return result


def _act(
    nodes: list[RemoteNode], note: int
) -> tuple[dict[Revision, float], dict[str, float]]:
    """Change and mark in turn.

    :returns: when each revision was proposed and each mark was made.
    """
    accepted: dict[Revision, float] = {}
    marked: dict[str, float] = {}
    lit = [node for node in nodes if node.domain != DARK_DOMAIN]
    revision = ABSENT
    for number in range(CHANGES):
        configuration = make_configuration(2, 5, f'{note}-{number}')
        proposer = lit[number % len(lit)]
        revision, at = proposer.propose(configuration, revision, f'change-{number}')
        accepted[revision] = at
        instance = f'engine-{number}'
        marked[instance] = nodes[number % len(nodes)].mark(instance)
        time.sleep(max(SECONDS_PER_CHANGE - (time.monotonic() - at), 0))
    return accepted, marked


def _note_arrivals(
    result: RunResult,
    reports: list[NodeReport],
    accepted: dict[Revision, float],
    marked: dict[str, float],
) -> None:
    for node in reports:
        for revision, since in accepted.items():
            at = node.time_of(revision)
            result.unfinished += at is None
            result.delays.extend([max(at - since, 0)] if at else [])
        result.reverted += node.reverts()
    for instance, since in marked.items():
        times = [report.marks.get(instance) for report in reports]
        result.unfinished += times.count(None)
        result.leaving.append(max(max(at or since for at in times) - since, 0))


def _note_costs(
    result: RunResult,
    before: list[NodeReport],
    after: list[NodeReport],
    elapsed: float,
) -> None:
    pairs = list(zip(before, after, strict=True))
    spent = [(last.traffic - first.traffic) / elapsed for first, last in pairs]
    cores = [
        (last.core_seconds - first.core_seconds) / elapsed for first, last in pairs
    ]
    frames = [(last.frames - first.frames) / elapsed for first, last in pairs]
    result.bytes_mean = sum(spent) / len(spent)
    result.bytes_most = max(spent)
    result.core_mean = sum(cores) / len(cores)
    result.core_most = max(cores)
    result.memory_most = max(report.memory for report in after)
    result.seconds_per_frame = sum(cores) / sum(frames)


def _wait_until_found(nodes: list[RemoteNode]) -> None:
    ends = time.monotonic() + FIND_SECONDS
    while time.monotonic() < ends:
        if all(_knows_its_place(node, nodes) for node in nodes):
            return
        time.sleep(1)
    raise RuntimeError('the daemons did not find each other')


def _knows_its_place(node: RemoteNode, nodes: list[RemoteNode]) -> bool:
    """Tell whether a daemon knows its whole domain and all other domains."""
    known = node.report().live
    near = {one.name for one in nodes if one.domain == node.domain}
    domains = {one.domain for one in nodes}
    return near <= known.keys() and domains <= set(known.values())


@contextmanager
def _open_nodes(daemons: int, seed: int) -> Iterator[list[RemoteNode]]:
    store = RemoteStore()
    nodes: list[RemoteNode] = []
    try:
        for number in range(daemons):
            domain = DOMAINS[number % len(DOMAINS)]
            seeds = tuple(node.address for node in nodes[:2])
            nodes.append(
                RemoteNode(f'{domain}-{number}', domain, seed, seeds, store.url)
            )
        yield nodes
    finally:
        _close(nodes, store)


def _close(nodes: list[RemoteNode], store: RemoteStore) -> None:
    for node in nodes:
        node.ask_to_stop()
    for node in nodes:
        node.join()
    store.stop()
