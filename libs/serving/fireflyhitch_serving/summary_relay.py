"""Makes a failure domain's summary, and passes on those of the others."""

import asyncio
import random
from collections.abc import Callable

from fireflyhitch_model.ids import FailureDomainId
from fireflyhitch_serving.peer_news import PeerNews
from fireflyhitch_serving.peers import PeerBook
from fireflyhitch_serving.quotas import Quotas
from fireflyhitch_serving.summaries import (
    DomainSummary,
    SummaryBook,
    add_work,
    join_newest,
    join_parts,
    render_summaries,
)

# A relay's turn. With 19 daemons in a domain it sends some 80 messages of 2 to 5 kB a
# second to its neighbours, a third of what the slowest instances' links carry.
TURN_SECONDS = 0.25
SPREAD = 0.2
# Of the daemons that another domain's relay may be: the first by hash relays, the
# second as soon as the first is silent.
LIKELY_RELAYS = 2

Send = Callable[[bytes, list[str]], None]


class SummaryRelay:
    """Relays for the own failure domain while this daemon is first by hash."""

    def __init__(
        self,
        own: str,
        peers: PeerBook,
        book: SummaryBook,
        quotas: Quotas,
        now: Callable[[], float],
        send: Send,
        draw: random.Random,
    ) -> None:
        """Make a relay that has sent nothing.

        :param now: monotonic seconds.
        :param send: a datagram to daemons by name.
        """
        self._own = own
        self._peers = peers
        self._book = book
        self._quotas = quotas
        self._now = now
        self._send = send
        self._draw = draw
        self._sequence = 0
        self._joined: dict[str, int] = {}
        self._passed: dict[FailureDomainId, tuple[str, int]] = {}

    async def run(self) -> None:
        """Relay until cancelled."""
        while True:
            if self._peers.uses_summaries() and self.relays():
                self.tell_others()
                self.tell_neighbours()
            await asyncio.sleep(
                TURN_SECONDS * self._draw.uniform(1 - SPREAD, 1 + SPREAD)
            )

    def relays(self) -> bool:
        """Tell whether this daemon is its failure domain's relay."""
        near = [
            daemon
            for daemon, news in self._peers.heard_near().items()
            if not news.stopping
        ]
        return self._peers.rank('relay', [self._own, *near])[0] == self._own

    def tell_others(self) -> None:
        """Send the own domain's summary to the relays of the others."""
        summary = self.summarise()
        if summary is None:
            return
        live = self._book.live()
        daemons: list[str] = []
        for domain, listed in self._peers.group_far().items():
            likely = self._peers.rank('relay', listed)[:LIKELY_RELAYS]
            known = live.get(domain)
            if known is not None and known.relay not in likely:
                likely.append(known.relay)
            daemons.extend(likely)
        self._send(render_summaries([summary]), daemons)

    def tell_neighbours(self) -> None:
        """Pass on what was heard of other domains since the last turn."""
        self._book.note_relayed()
        fresh: list[DomainSummary] = []
        for domain, summary in self._book.live().items():
            mark = (summary.process, summary.sequence)
            if self._passed.get(domain) != mark:
                self._passed[domain] = mark
                fresh.append(summary)
        # Without anything new as well: it tells that the relay is there.
        self._send(render_summaries(fresh), list(self._peers.heard_near()))

    def summarise(self) -> DomainSummary | None:
        """Return the own domain's summary, once this daemon has told its own state."""
        own = self._peers.own_news
        if own is None:
            return None
        news = [own, *self._peers.heard_near().values()]
        self._sequence += 1
        return DomainSummary(
            domain=self._peers.own_domain,
            relay=self._own,
            process=own.process,
            sequence=self._sequence,
            daemons=[told.daemon for told in news],
            work=add_work(news),
            customers=self._quotas.domain_notes(self._now()),
            fresh_parts=join_parts(self._pick_unjoined(news)),
            evidence={told.process: told.evidence for told in news if told.evidence},
            newest=join_newest(told.newest for told in news),
            store_settled=any(told.store_settled for told in news),
        )

    def _pick_unjoined(self, news: list[PeerNews]) -> list[PeerNews]:
        """Return the news whose prompt parts no summary had yet."""
        fresh = [
            told for told in news if self._joined.get(told.process) != told.sequence
        ]
        self._joined = {told.process: told.sequence for told in news}
        return fresh
