"""Keeps the moves of all deployments at one daemon."""

from collections.abc import Mapping, Sequence
from dataclasses import dataclass
from datetime import timedelta

from fireflyhitch_fleet.duties import DutyKeeper
from fireflyhitch_model.backends import BackendServer
from fireflyhitch_model.clock import Clock
from fireflyhitch_model.ids import DeploymentId, VersionId
from fireflyhitch_model.peers import Daemon, PeerMessenger
from fireflyhitch_platform.keyvalue import KeyValueStore
from fireflyhitch_rollout.evidence import EvidenceBook
from fireflyhitch_rollout.records import MoveReport
from fireflyhitch_rollout.shares import VersionPicker
from fireflyhitch_settings.schema import Configuration


@dataclass(frozen=True, slots=True)
class Supply:
    """What a deployment has to serve with, from the instance list and the fleet.

    :param servers: those that are ready and not leaving, of all versions.
    :param needed: how many servers carry the present traffic.
    :param start_time: from ordering an instance until it is ready, as measured,
        with the wait for the weight store.
    """

    servers: tuple[BackendServer, ...] = ()
    needed: int = 1
    start_time: timedelta = timedelta(minutes=3)


class MoveKeeper:
    """Takes part in all moves; ``step`` is called every half second or so.

    The holder of the duty ``moves/{deployment}`` raises shares and ends moves
    in the store; each daemon takes back a faulty version and keeps the date.
    """

    def __init__(
        self,
        here: Daemon,
        store: KeyValueStore,
        messenger: PeerMessenger,
        duties: DutyKeeper,
        evidence: EvidenceBook,
        picker: VersionPicker,
        clock: Clock,
    ) -> None:
        """Make a keeper without moves; the picker is updated by it alone."""

    def configure(self, configuration: Configuration, revision: int) -> None:
        """Follow a configuration; one of a lower revision is passed over."""

    def observe(self, supplies: Mapping[DeploymentId, Supply]) -> None:
        """Say what there is to serve with; to be called when it changes."""

    def step(self) -> None:
        """Judge the evidence, advance what this daemon holds, keep the dates."""

    def withdraw(
        self, deployment: DeploymentId, version: VersionId, evidence: Sequence[str]
    ) -> None:
        """Take a version back for a fault, here at once and then everywhere."""

    def moves(self) -> tuple[MoveReport, ...]:
        """Return the latest move of each deployment that has one."""
        raise NotImplementedError
