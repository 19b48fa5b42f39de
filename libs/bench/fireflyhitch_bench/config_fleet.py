"""Six configuration keepers of two failure domains over in-memory fakes."""

from collections.abc import Iterator
from dataclasses import dataclass, field
from datetime import timedelta

from fireflyhitch_membership.configuration import (
    Accepted,
    ConfigurationManager,
    ProposalResult,
)
from fireflyhitch_membership.configuration_store import CONFIGURATION_KEY
from fireflyhitch_membership.configuration_sync import REPORT_TTL_SECONDS
from fireflyhitch_membership.heads import unpack_head
from fireflyhitch_membership.records import unpack
from fireflyhitch_model.clock import ManualClock
from fireflyhitch_model.errors import PlatformError
from fireflyhitch_model.ids import (
    ABSENT,
    ChangeId,
    DaemonId,
    DeploymentId,
    FailureDomainId,
    LeaseId,
    Revision,
    VersionId,
)
from fireflyhitch_model.peers import Daemon
from fireflyhitch_model.states import Outcome, Step
from fireflyhitch_platform.keyvalue import (
    KeyValue,
    Listing,
    WatchEvent,
    WriteResult,
)
from fireflyhitch_settings.schema import Configuration, ServiceDeployment
from fireflyhitch_standins.keyvalue import MemoryKeyValueStore
from fireflyhitch_standins.peers import MemoryPeerNetwork

DOMAINS = (FailureDomainId('gent'), FailureDomainId('brugge'))
DAEMONS_PER_DOMAIN = 3
ROUND = timedelta(seconds=1)


def make_configuration(name: str) -> Configuration:
    """Return a small configuration that differs by its name."""
    deployment = ServiceDeployment(
        name=DeploymentId(name), failure_domains=DOMAINS, version=VersionId('1')
    )
    return Configuration(deployments=(deployment,), customers=())


class GatedStore:
    """One daemon's way to the store: cut off or not, and watches do not wait."""

    def __init__(self, store: MemoryKeyValueStore) -> None:
        self.cut = False
        self._store = store

    def get(self, key: str) -> KeyValue | None:
        """Read one key."""
        self._pass(Step.STORE_READ)
        return self._store.get(key)

    def get_prefix(self, prefix: str) -> Listing:
        """Read all keys below a prefix."""
        self._pass(Step.STORE_READ)
        return self._store.get_prefix(prefix)

    def put_if(
        self,
        key: str,
        value: bytes,
        expected: Revision,
        lease: LeaseId | None = None,
    ) -> WriteResult:
        """Write under a condition."""
        self._pass(Step.STORE_WRITE)
        return self._store.put_if(key, value, expected, lease)

    def delete_if(self, key: str, expected: Revision) -> WriteResult:
        """Delete under a condition."""
        self._pass(Step.STORE_WRITE)
        return self._store.delete_if(key, expected)

    def grant_lease(self, duration: timedelta) -> LeaseId:
        """Make a lease."""
        return self._store.grant_lease(duration)

    def keep_lease(self, lease: LeaseId) -> bool:
        """Renew a lease."""
        return self._store.keep_lease(lease)

    def revoke_lease(self, lease: LeaseId) -> None:
        """End a lease."""
        self._store.revoke_lease(lease)

    def watch(
        self, prefix: str, after: Revision, timeout: timedelta
    ) -> Iterator[WatchEvent]:
        """Yield what has changed, without waiting for more."""
        self._pass(Step.STORE_WATCH)
        return self._store.watch(prefix, after, timedelta())

    def _pass(self, step: Step) -> None:
        if self.cut:
            raise PlatformError(
                'cut off', step=step, peer='store', outcome=Outcome.NOT_RUN
            )


@dataclass
class Seat:
    """A daemon with its way to the store and its keeper.

    :param applied: all revisions that came into force, in order.
    """

    daemon: Daemon
    gate: GatedStore
    keeper: ConfigurationManager
    applied: list[Revision] = field(default_factory=list)
    paused: bool = False

    def revision(self) -> Revision:
        """Return the revision in force."""
        in_force = self.keeper.in_force()
        return in_force.revision if in_force else ABSENT


class Fleet:
    """The keepers, run in rounds of a second on one passed clock."""

    def __init__(self) -> None:
        self.clock = ManualClock()
        self.store = MemoryKeyValueStore(self.clock)
        self.peers = MemoryPeerNetwork()
        self.seats = [
            self._seat(domain, number)
            for domain in DOMAINS
            for number in range(DAEMONS_PER_DOMAIN)
        ]

    def run_round(self) -> None:
        """Let every daemon that is not paused do one round."""
        for seat in self.seats:
            if not seat.paused:
                seat.keeper.follow_store_once()
                seat.keeper.follow_peers_once()
        self.clock.advance(ROUND)

    def restart(self, index: int) -> None:
        """Replace a daemon by one that knows nothing."""
        old = self.seats[index]
        self.seats[index] = self._open_seat(old.daemon, old.gate)

    def propose(
        self, index: int, name: str, expected: Revision
    ) -> ProposalResult | Outcome:
        """Propose at a daemon.

        :returns: the result, or the outcome that the error tells.
        """
        keeper = self.seats[index].keeper
        try:
            return keeper.propose(make_configuration(name), expected, ChangeId(name))
        except PlatformError as error:
            return error.outcome

    def revisions(self) -> list[Revision]:
        """Return what is in force at each daemon."""
        return [seat.revision() for seat in self.seats]

    def agree(self) -> bool:
        """Tell whether what the store holds is in force everywhere."""
        stored, _revision = self.store.dump()
        head = unpack_head(stored[CONFIGURATION_KEY].value, 'store')
        record = unpack(stored[head.bodies[-1].key].value, 'store')
        return all(
            one is not None
            and one.revision == record.revision
            and one.configuration == record.configuration
            for one in (seat.keeper.in_force() for seat in self.seats)
        )

    def pass_time(self) -> None:
        """Let what was heard of peers go out of date, and hear anew."""
        self.clock.advance(timedelta(seconds=REPORT_TTL_SECONDS))
        for _ in range(DAEMONS_PER_DOMAIN):
            self.run_round()

    def of_domain(self, domain: FailureDomainId) -> list[Seat]:
        """Return the daemons of a failure domain."""
        return [one for one in self.seats if one.daemon.failure_domain == domain]

    def _seat(self, domain: FailureDomainId, number: int) -> Seat:
        name = f'{domain}-{number}'
        daemon = Daemon(DaemonId(name), domain, f'{name}:1', f'{name}:2')
        return self._open_seat(daemon, GatedStore(self.store))

    def _open_seat(self, daemon: Daemon, gate: GatedStore) -> Seat:
        messenger = self.peers.join(daemon)
        keeper = ConfigurationManager(gate, messenger, daemon, self.clock)
        seat = Seat(daemon, gate, keeper)
        keeper.on_change(lambda in_force: seat.applied.append(in_force.revision))
        return seat


def is_accepted(result: ProposalResult | Outcome) -> bool:
    """Tell whether a proposal was accepted."""
    return isinstance(result, Accepted)
