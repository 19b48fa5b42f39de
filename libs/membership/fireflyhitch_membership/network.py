"""Peer links and membership behind one object."""

import ssl
from collections.abc import Callable
from dataclasses import dataclass, field
from datetime import timedelta

from fireflyhitch_membership.messages import Mark
from fireflyhitch_membership.snapshots import Section
from fireflyhitch_model.clock import Clock
from fireflyhitch_model.ids import (
    DaemonId,
    DeploymentId,
    FailureDomainId,
    Incarnation,
    InstanceId,
    VersionId,
)
from fireflyhitch_model.instances import InstanceListing
from fireflyhitch_model.peers import Daemon, Handler, PeerMessage, Scope, SomeMessage

# Decides whether a frame of a kind goes out to a peer; for tests of lost messages.
LinkFilter = Callable[[DaemonId, str], bool]


@dataclass(frozen=True, slots=True)
class LinkOptions:
    """What the links are made of.

    :param seeds: addresses (``host:port``) to ask first.
    :param peer_key: shared by all daemons; each side proves that it knows it.
    :param server_tls: given, links are accepted by TLS only.
    :param client_tls: given, links are opened by TLS.
    :param link_filter: for tests; ``None`` lets all frames pass.
    """

    seeds: tuple[str, ...]
    peer_key: str
    host: str = '127.0.0.1'
    port: int = 0
    server_tls: ssl.SSLContext | None = None
    client_tls: ssl.SSLContext | None = None
    link_filter: LinkFilter | None = field(default=None, compare=False)


class PeerNetwork:
    """Implements ``PeerMessenger``; safe to call from any thread.

    :param daemon: this daemon; its ``peer_address`` is replaced by the real
        one if its port is 0.
    """

    def __init__(self, daemon: Daemon, options: LinkOptions, clock: Clock) -> None:
        raise NotImplementedError

    @property
    def address(self) -> str:
        """Return ``host:port`` of the listener; valid after ``start``."""
        raise NotImplementedError

    @property
    def daemon(self) -> Daemon:
        """Return this daemon as peers see it."""
        raise NotImplementedError

    def start(self) -> None:
        """Listen and start the thread; returns when peers can connect."""
        raise NotImplementedError

    def stop(self) -> None:
        """Close all links and end the thread."""
        raise NotImplementedError

    def live(self) -> tuple[Daemon, ...]:
        """Return the daemons thought alive and not leaving, this one included."""
        raise NotImplementedError

    def tell(self, peer: DaemonId, message: PeerMessage) -> None:
        """Send without an answer; dropped if the peer's queue is full."""
        raise NotImplementedError

    def spread(self, message: PeerMessage, scope: Scope) -> None:
        """Send to all daemons within the scope, without an answer."""
        raise NotImplementedError

    def ask(
        self, peer: DaemonId, message: PeerMessage, timeout: timedelta
    ) -> PeerMessage:
        """Send and wait for the answer.

        :raises PeerError: if the peer is cut off or does not answer in time.
        """
        raise NotImplementedError

    def handle(self, kind: type[SomeMessage], handler: Handler[SomeMessage]) -> None:
        """Have a handler called for each message of a kind, in a pool's thread."""
        raise NotImplementedError

    def understand(self, *kinds: type[PeerMessage]) -> None:
        """Register kinds that come only as answers to an ask."""
        raise NotImplementedError

    def announce_leaving(self) -> None:
        """Tell all that this daemon leaves; it is never taken back."""
        raise NotImplementedError

    def mark_leaving(self, instance: InstanceId, incarnation: Incarnation) -> None:
        """Mark an instance as leaving, up to an incarnation, and tell all."""
        raise NotImplementedError

    def is_leaving(self, instance: InstanceId, incarnation: Incarnation) -> bool:
        """Tell whether an instance is marked as leaving; cheap."""
        raise NotImplementedError

    def leaving(self) -> dict[InstanceId, Incarnation]:
        """Return the marked instances, with the highest marked incarnation."""
        raise NotImplementedError

    def mark_withdrawn(self, deployment: DeploymentId, version: VersionId) -> None:
        """Mark a version as withdrawn and tell all."""
        raise NotImplementedError

    def withdrawn(self) -> frozenset[tuple[DeploymentId, VersionId]]:
        """Return the withdrawn versions."""
        raise NotImplementedError

    def update_instance_list(self, listing: InstanceListing) -> None:
        """Take in the list: entry instances to ask, leaving ones to mark."""
        raise NotImplementedError

    def on_members(self, callback: Callable[[], None]) -> None:
        """Have a callback called after ``live()`` changed, in a pool's thread."""
        raise NotImplementedError

    def on_marks(self, callback: Callable[[tuple[Mark, ...]], None]) -> None:
        """Have a callback called with new marks, in a pool's thread."""
        raise NotImplementedError

    def unreachable_domains(self) -> frozenset[FailureDomainId]:
        """Return the failure domains of which no daemon is thought alive."""
        raise NotImplementedError

    def snapshot_section(self) -> Section:
        """Return the section that holds members and marks."""
        raise NotImplementedError
