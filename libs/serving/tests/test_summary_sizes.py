"""Tests that summaries fit into datagrams, whatever has happened."""

import random

from fireflyhitch_model.ids import (
    BackendServerId,
    ContentId,
    FailureDomainId,
    ProcessId,
)
from fireflyhitch_routing.crashes import CrashReport
from fireflyhitch_serving.peers import MAX_DATAGRAM_BYTES
from fireflyhitch_serving.server_statistics import AnswerCounts
from fireflyhitch_serving.servers import InFlight
from fireflyhitch_serving.summaries import (
    DomainSummary,
    decode_summaries,
    encode_summaries,
    pack_summaries,
)

DOMAINS = ('gent', 'brugge', 'kortrijk', 'aalst')
SERVERS = 140


def make_summary(
    domain: str, crashes: int, rng: random.Random, servers: int = SERVERS
) -> DomainSummary:
    """Return a domain's summary with records of so many crashes."""
    names = [BackendServerId(f'i-{rng.getrandbits(40):010x}') for _ in range(servers)]
    return DomainSummary(
        FailureDomainId(domain),
        f'{domain}-1',
        f'{domain}-1/1',
        1,
        members={},
        work={
            name: InFlight(rng.randrange(9), rng.randrange(20_000)) for name in names
        },
        customers={},
        fresh_parts={},
        evidence={},
        newest={},
        store_settled=True,
        answers={
            name: AnswerCounts(rng.random() * 9, rng.random(), rng.random()).quantize()
            for name in names
        },
        crashes={
            ContentId(f'{rng.getrandbits(64):016x}'): CrashReport(
                [(ProcessId(rng.getrandbits(64)), rng.random(), rng.random())]
            )
            for _ in range(crashes)
        },
    )


class TestSizes:
    def test_summaries_of_all_domains_arrive_after_many_crashes(self) -> None:
        # A quarter of the servers crashed. The hubs' messages became too large to be
        # sent, all daemons took all hubs for gone, and ones on slow links took over.
        rng = random.Random(1)  # noqa: S311
        summaries = [make_summary(domain, 600, rng) for domain in DOMAINS]
        datagrams = pack_summaries(summaries)
        assert len(encode_summaries(summaries)) > MAX_DATAGRAM_BYTES
        assert all(len(data) <= MAX_DATAGRAM_BYTES for data in datagrams)
        decoded = [one for data in datagrams for one in decode_summaries(data) or ()]
        assert decoded == summaries

    def test_a_domain_that_is_too_large_alone_is_told_without_its_details(self) -> None:
        rng = random.Random(1)  # noqa: S311
        summary = make_summary('gent', 5_000, rng)
        datagrams = pack_summaries([summary])
        assert [len(data) <= MAX_DATAGRAM_BYTES for data in datagrams] == [True]
        decoded = decode_summaries(datagrams[0]) or ()
        assert [one.work for one in decoded] == [summary.work]

    def test_a_summary_stays_well_below_the_limit_in_steady_state(self) -> None:
        rng = random.Random(1)  # noqa: S311
        data = encode_summaries([make_summary('gent', 0, rng)])
        assert len(data) < MAX_DATAGRAM_BYTES / 8


class TestMalformed:
    def test_garbage_is_no_summary(self) -> None:
        data = encode_summaries([make_summary('gent', 0, random.Random(1), 1)])  # noqa: S311
        assert decode_summaries(data[:-1]) is None
        assert decode_summaries(b'') is None
