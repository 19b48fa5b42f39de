"""The configuration in force: read, proposed, spread, never taken back."""

from collections.abc import Callable
from dataclasses import dataclass
from datetime import datetime

from fireflyhitch_membership.snapshots import Section
from fireflyhitch_model.clock import Clock
from fireflyhitch_model.ids import ChangeId, FailureDomainId, Revision
from fireflyhitch_model.peers import Daemon, PeerMessenger
from fireflyhitch_platform.keyvalue import KeyValueStore
from fireflyhitch_settings.schema import Configuration


@dataclass(frozen=True, slots=True)
class InForce:
    """A configuration in force at this daemon.

    :param since: wall time at which this daemon applied it.
    """

    revision: Revision
    configuration: Configuration
    change_id: ChangeId
    since: datetime


@dataclass(frozen=True, slots=True)
class Accepted:
    """The proposal is in the store at this revision."""

    revision: Revision


@dataclass(frozen=True, slots=True)
class Rejected:
    """Another change came first; nothing was written.

    :param current: what the proposal has to start from (``None``: nothing yet).
    """

    current: InForce | None


ProposalResult = Accepted | Rejected


@dataclass(frozen=True, slots=True)
class DomainRevision:
    """What a failure domain has in force, as told by one of its daemons.

    :param revision: ``None`` if no daemon there could be asked.
    :param lowest: the lowest revision heard of within that failure domain.
    :param since: wall time at which the asked daemon applied it.
    """

    revision: Revision | None
    lowest: Revision | None
    since: datetime | None


class ConfigurationKeeper:
    """Keeps one daemon's configuration at the highest accepted revision."""

    def __init__(
        self,
        store: KeyValueStore,
        messenger: PeerMessenger,
        here: Daemon,
        clock: Clock,
    ) -> None:
        raise NotImplementedError

    def start(self) -> None:
        """Start the threads that watch the store and talk to peers."""
        raise NotImplementedError

    def stop(self) -> None:
        """End the threads; a waiting watch is left to its own timeout."""
        raise NotImplementedError

    def in_force(self) -> InForce | None:
        """Return what is in force; ``None`` while no source could be read."""
        raise NotImplementedError

    def on_change(self, callback: Callable[[InForce], None]) -> None:
        """Have a callback called after each change, in one of the threads."""
        raise NotImplementedError

    def propose(
        self,
        configuration: Configuration,
        expected_revision: Revision,
        change_id: ChangeId,
    ) -> ProposalResult:
        """Write a configuration if nothing came since the expected revision.

        Proposing the same change id again gives the same answer.

        :param expected_revision: the revision that the operator saw; 0: none.
        :raises PlatformError: ``not-run`` if it was certainly not accepted,
            ``unknown`` if the store went away before that was settled.
        """
        raise NotImplementedError

    def revisions_by_failure_domain(self) -> dict[FailureDomainId, DomainRevision]:
        """Ask one daemon of each failure domain what is in force there."""
        raise NotImplementedError

    def snapshot_section(self) -> Section:
        """Return the section that holds the configuration in force."""
        raise NotImplementedError
