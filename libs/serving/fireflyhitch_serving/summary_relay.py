"""Builds a failure domain's summary, and forwards those of other domains."""

import asyncio
import random
from collections.abc import Callable

from loguru import logger

from fireflyhitch_model.ids import FailureDomainId
from fireflyhitch_model.records import immutable
from fireflyhitch_routing.announcements import AnnouncementTables
from fireflyhitch_routing.crashes import CrashTracker
from fireflyhitch_routing.service_demand import sum_services
from fireflyhitch_serving.hubs import HubTracker
from fireflyhitch_serving.peer_state import Member, PeerState
from fireflyhitch_serving.peers import PeerRegistry
from fireflyhitch_serving.quotas import Quotas
from fireflyhitch_serving.server_statistics import sum_answers
from fireflyhitch_serving.store_eras import EraTracker
from fireflyhitch_serving.summaries import (
    DomainSummary,
    SummaryTable,
    merge_parts,
    merge_time_factors,
    pack_summaries,
    sum_work,
)

# Interval between a hub's messages.
INTERVAL_SECONDS = 0.25
JITTER = 0.2
# Daemons that may be another domain's relay: the first by hash relays, the second as
# soon as the first is unresponsive.
LIKELY_RELAYS = 2

Send = Callable[[bytes, list[str]], None]


@immutable
class RelayedTrackers:
    """Components whose reports the hub builds from its own records.

    All other parts of a summary are merged from the members' states.
    """

    quotas: Quotas
    crashes: CrashTracker
    announcements: AnnouncementTables
    eras: EraTracker


class SummaryRelay:
    """Merges and broadcasts the failure domain's state while this daemon is its hub."""

    def __init__(
        self,
        peers: PeerRegistry,
        hubs: HubTracker,
        summaries: SummaryTable,
        trackers: RelayedTrackers,
        now: Callable[[], float],
        send: Send,
        rng: random.Random,
    ) -> None:
        """Create a relay that has sent nothing.

        :param now: returns monotonic seconds.
        :param send: sends a datagram to daemons by name.
        """
        self._peers = peers
        self._hubs = hubs
        self._summaries = summaries
        self._trackers = trackers
        self._now = now
        self._send = send
        self._rng = rng
        self._was_hub = False
        self._sequence = 0
        self._merged: dict[str, int] = {}
        self._forwarded: dict[FailureDomainId, tuple[str, int]] = {}

    async def run(self) -> None:
        """Broadcast summaries until cancelled."""
        while True:
            is_relay = self.is_relay()
            self._log_role(is_relay=is_relay)
            if is_relay:
                self.broadcast()
            await asyncio.sleep(
                INTERVAL_SECONDS * self._rng.uniform(1 - JITTER, 1 + JITTER)
            )

    def _log_role(self, *, is_relay: bool) -> None:
        if is_relay == self._was_hub:
            return
        self._was_hub = is_relay
        logger.bind(
            domain=self._peers.own_domain, near=len(self._peers.listed_local())
        ).info('hub' if is_relay else 'no longer the hub')

    def is_relay(self) -> bool:
        """Return whether this daemon is its failure domain's relay."""
        return self._peers.uses_summaries() and self._hubs.is_hub()

    def broadcast(self) -> None:
        """Send this domain's summary to the other hubs, and all new ones to members."""
        summary = self.build_summary()
        if summary is None:
            return
        self.send_to_domains(summary)
        self.send_to_members(summary)

    def send_to_domains(self, summary: DomainSummary) -> None:
        """Send this domain's summary to the hubs of the others."""
        live = self._summaries.live()
        daemons: list[str] = []
        for domain, listed in self._peers.group_remote().items():
            likely = self._peers.rank('relay', listed)[:LIKELY_RELAYS]
            known = live.get(domain)
            if known is not None and known.relay not in likely:
                likely.append(known.relay)
            daemons.extend(likely)
        self._send_summaries([summary], daemons)

    def send_to_members(self, summary: DomainSummary) -> None:
        """Send this domain's summary, and new summaries of other domains."""
        outgoing: list[DomainSummary] = [summary]
        for domain, remote in self._summaries.live().items():
            version = (remote.process, remote.sequence)
            if self._forwarded.get(domain) != version:
                self._forwarded[domain] = version
                outgoing.append(remote)
        # Sent to all listed daemons, so that those that have lost their hub find this
        # one.
        local = [name for name in self._peers.listed_local() if name != self._peers.own]
        self._send_summaries(outgoing, local)

    def _send_summaries(
        self, summaries: list[DomainSummary], daemons: list[str]
    ) -> None:
        for data in pack_summaries(summaries):
            self._send(data, daemons)

    def build_summary(self) -> DomainSummary | None:
        """Return this domain's summary, once this daemon has sent its own state."""
        own = self._peers.own_state
        if own is None:
            return None
        states = [own, *self._peers.responsive_local_states().values()]
        unmerged = self._pick_unmerged(states)
        eras = self._trackers.eras
        self._sequence += 1
        return DomainSummary(
            domain=self._peers.own_domain,
            relay=self._peers.own,
            process=own.process,
            sequence=self._sequence,
            members={
                state.daemon: Member(
                    state.sequence,
                    state.hears_store,
                    state.stopping,
                    state.reaches_servers,
                )
                for state in states
            },
            work=sum_work(states),
            customers=self._trackers.quotas.build_domain_reports(self._now()),
            fresh_parts=merge_parts(unmerged),
            evidence={
                state.process: state.evidence for state in states if state.evidence
            },
            newest=eras.merge_reports(state.newest for state in states),
            store_settled=any(
                state.store_settled and eras.is_current(state.newest)
                for state in states
            ),
            wall=self._peers.wall(),
            answers=sum_answers(state.answers for state in states),
            crashes=self._trackers.crashes.build_reports(
                self._now(), include_received=True
            ),
            announcements=self._trackers.announcements.build_reports(
                self._now(), include_received=True
            ),
            time_factors=merge_time_factors(unmerged),
            demand=sum_services(state.demand for state in states),
        )

    def _pick_unmerged(self, states: list[PeerState]) -> list[PeerState]:
        """Return the states whose news are in no summary yet."""
        fresh = [
            state
            for state in states
            if self._merged.get(state.process) != state.sequence
        ]
        self._merged = {state.process: state.sequence for state in states}
        return fresh
