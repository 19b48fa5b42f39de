"""Makes a failure domain's summary, and passes on those of the others."""

import asyncio
import random
from collections.abc import Callable

from loguru import logger

from fireflyhitch_model.ids import FailureDomainId
from fireflyhitch_model.records import immutable
from fireflyhitch_routing.crashes import CrashTracker
from fireflyhitch_routing.server_limits import ServerLimits
from fireflyhitch_serving.hubs import HubTracker
from fireflyhitch_serving.peer_state import Member, PeerState
from fireflyhitch_serving.peers import PeerRegistry
from fireflyhitch_serving.quotas import Quotas
from fireflyhitch_serving.server_statistics import sum_answers
from fireflyhitch_serving.summaries import (
    DomainSummary,
    SummaryTable,
    add_work,
    join_newest,
    join_parts,
    render_summaries,
)

# A hub's turn.
TURN_SECONDS = 0.25
SPREAD = 0.2
# Of the daemons that another domain's relay may be: the first by hash relays, the
# second as soon as the first is silent.
LIKELY_RELAYS = 2

Send = Callable[[bytes, list[str]], None]


@immutable
class RelayedTrackers:
    """What a hub tells by its own knowledge, rather than by its neighbours' news."""

    quotas: Quotas
    crashes: CrashTracker
    limits: ServerLimits


class SummaryRelay:
    """Joins and tells the own failure domain's state while this daemon is its hub."""

    def __init__(
        self,
        peers: PeerRegistry,
        hubs: HubTracker,
        book: SummaryTable,
        told: RelayedTrackers,
        now: Callable[[], float],
        send: Send,
        rng: random.Random,
    ) -> None:
        """Make a relay that has sent nothing.

        :param now: monotonic seconds.
        :param send: a datagram to daemons by name.
        """
        self._peers = peers
        self._hubs = hubs
        self._book = book
        self._told = told
        self._now = now
        self._send = send
        self._rng = rng
        self._was_hub = False
        self._sequence = 0
        self._joined: dict[str, int] = {}
        self._passed: dict[FailureDomainId, tuple[str, int]] = {}

    async def run(self) -> None:
        """Relay until cancelled."""
        while True:
            relays = self.relays()
            self._note_role(relays=relays)
            if relays:
                self.tell()
            await asyncio.sleep(
                TURN_SECONDS * self._rng.uniform(1 - SPREAD, 1 + SPREAD)
            )

    def _note_role(self, *, relays: bool) -> None:
        if relays == self._was_hub:
            return
        self._was_hub = relays
        logger.bind(
            domain=self._peers.own_domain, near=len(self._peers.listed_near())
        ).info('hub' if relays else 'no longer the hub')

    def relays(self) -> bool:
        """Tell whether this daemon is its failure domain's relay."""
        return self._peers.uses_summaries() and self._hubs.acts()

    def tell(self) -> None:
        """Tell the other hubs of the own domain, and the neighbours of all."""
        summary = self.summarise()
        if summary is None:
            return
        self.tell_others(summary)
        self.tell_neighbours(summary)

    def tell_others(self, summary: DomainSummary) -> None:
        """Send the own domain's summary to the hubs of the others."""
        live = self._book.live()
        daemons: list[str] = []
        for domain, listed in self._peers.group_far().items():
            likely = self._peers.rank('relay', listed)[:LIKELY_RELAYS]
            known = live.get(domain)
            if known is not None and known.relay not in likely:
                likely.append(known.relay)
            daemons.extend(likely)
        self._send(render_summaries([summary]), daemons)

    def tell_neighbours(self, summary: DomainSummary) -> None:
        """Tell the own domain's state, and what is new of other domains."""
        told: list[DomainSummary] = [summary]
        for domain, far in self._book.live().items():
            mark = (far.process, far.sequence)
            if self._passed.get(domain) != mark:
                self._passed[domain] = mark
                told.append(far)
        # To all that are listed: those that have lost their hub find this one so.
        near = [name for name in self._peers.listed_near() if name != self._peers.own]
        self._send(render_summaries(told), near)

    def summarise(self) -> DomainSummary | None:
        """Return the own domain's summary, once this daemon has told its own state."""
        own = self._peers.own_news
        if own is None:
            return None
        news = [own, *self._peers.heard_near().values()]
        self._sequence += 1
        return DomainSummary(
            domain=self._peers.own_domain,
            relay=self._peers.own,
            process=own.process,
            sequence=self._sequence,
            members={
                told.daemon: Member(told.sequence, told.hears_store, told.stopping)
                for told in news
            },
            work=add_work(news),
            customers=self._told.quotas.build_domain_reports(self._now()),
            fresh_parts=join_parts(self._pick_unjoined(news)),
            evidence={told.process: told.evidence for told in news if told.evidence},
            newest=join_newest(told.newest for told in news),
            store_settled=any(told.store_settled for told in news),
            wall=self._peers.wall(),
            answers=sum_answers(told.answers for told in news),
            crashes=self._told.crashes.tell(self._now(), heard=True),
            limits=self._told.limits.tell(self._now(), heard=True),
        )

    def _pick_unjoined(self, news: list[PeerState]) -> list[PeerState]:
        """Return the news whose prompt parts no summary had yet."""
        fresh = [
            told for told in news if self._joined.get(told.process) != told.sequence
        ]
        self._joined = {told.process: told.sequence for told in news}
        return fresh
