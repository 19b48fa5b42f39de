"""Tests of daemons beside odd entries of other writers, below all keys that they read."""

import asyncio
import json
from collections.abc import Iterator
from contextlib import contextmanager
from pathlib import Path
from typing import TYPE_CHECKING

import pytest
from cluster import Cluster, answer_signed, run_scenario, wait_for
from loguru import logger

from fireflyhitch_serving.packing import pack
from fireflyhitch_users_platform.program import Program

if TYPE_CHECKING:
    from loguru import Message

DIGITS = b'9' * 5000
DEEP_LIST = b'[' * 100_000
DEEP_MAP = b'{"a":' * 100_000
PREFIXES = (
    'servers/',
    'op/evacuate/',
    'op/rollout/',
    'op/other/',
    'fireflyhitch/daemons/',
    'fireflyhitch/leader-',
    'fireflyhitch/moves/',
    'fireflyhitch/holds/',
    'fireflyhitch/other/',
    'fireflyhitch-usage/',
    'fireflyhitch-counts/',
    'fireflyhitch-crashes/',
)
SINGLE_KEYS = ('fireflyhitch/leader-era', 'fireflyhitch-usage-certainty')
ODD_SUFFIXES = (
    '',
    'a b',
    'é',
    '\ud800',
    '\x00\r\n',
    'a/b',
    '9' * 5000,
    '٣',
    '-1',
    '1e9',
    '²',
)
ODD_VALUES = (
    b'',
    b'\xff\xfe',
    b'null',
    b'true',
    b'"text"',
    b'7',
    b'1e999',
    b'NaN',
    b'[]',
    b'{}',
    b'[[1]]',
    b'{"a": {"1": {"b": []}}}',
    b'{"a": {"1": {"b": 1e999}}}',
    b'{"a": {"x": 1}}',
    b'{"a": 1e999}',
    b'{"a": NaN}',
    b'{"a": -1}',
    DIGITS,
    b'{"a": %b}' % DIGITS,
    b'{"a": {"%b": {"b": 1}}}' % DIGITS,
    DEEP_LIST,
    DEEP_MAP,
)
# By prefix, values of the right form with an odd part.
SHAPED_VALUES: dict[str, tuple[bytes, ...]] = {
    'fireflyhitch/daemons/': (
        b'127.0.0.1:0 gent 1',
        b'127.0.0.1:70000 gent 1',
        b'127.0.0.1:-1 gent 1',
        b'peer.example:80 gent 1',
        b'::1:80 gent 1',
        b'255.255.255.255:80 gent 1e999',
        b'240.0.0.1:80 gent NaN',
        b'127.0.0.1:9 \xff 1',
        b'127.0.0.1:9',
        b'127.0.0.1:9  ',
        b'127.0.0.1:%b gent' % DIGITS,
        b'127.0.0.1:9 g\x00\r\nent -5',
    ),
    'fireflyhitch/moves/': (
        b'{"order": [], "began": 1, "end": null}',
        b'{"order": 1, "began": "x", "end": null}',
        b'{"order": 1, "began": 1, "end": "gone"}',
        b'{"order": 1, "began": 1, "end": []}',
        b'{"order": 1e999, "began": NaN, "end": null}',
    ),
    'op/rollout/': (
        b'{"target": [], "duration_s": 1}',
        b'{"target": "v2", "duration_s": NaN}',
        b'{"target": "v2", "duration_s": "x"}',
        b'{"target": "v2", "duration_s": -1}',
        b'{"target": "v2", "duration_s": %b}' % DIGITS,
    ),
    'fireflyhitch-usage/': (json.dumps({'\ud800': 1}).encode(),),
    'fireflyhitch-counts/': (json.dumps({'\ud800': {1: {'a': 1}}}).encode(),),
    'fireflyhitch/holds/': (
        b'{"until": 1e999, "processes": []}',
        b'{"until": 4e9, "processes": [[]]}',
        b'{"until": 4e9, "processes": {"x": 1}}',
        b'{"until": 4e9, "processes": 7}',
        b'{"until": "4e9", "processes": "12"}',
        b'{"until": 4e9, "processes": [%b]}' % DIGITS,
    ),
    'fireflyhitch-crashes/': tuple(
        pack(value)
        for value in (
            7,
            {'at': 1e308, 'reports': {}},
            {'at': 'x', 'reports': {}},
            {'at': 4e9, 'reports': []},
            {'at': 4e9, 'reports': {'a': ([([1], 1.0, 1.0)], None)}},
            {'at': 4e9, 'reports': {'a': ([('x', 1.0, 1.0)], None)}},
            {'at': 4e9, 'reports': {'a': ([(1, 1.0, 'x')], None)}},
            {'at': 4e9, 'reports': {'a': ([(1, 1.0, 1.0)], float('inf'))}},
            {'at': 4e9, 'reports': {7: ([(1, 1.0, 1.0)], 1.0)}},
            {'at': 4e9, 'reports': {(): ([(1, 1.0, 1.0)], 1.0)}},
            {'at': 4e9, 'reports': {'b': ([(1, float('nan'), 1.0)], 1.0)}},
            {'at': 4e9, 'reports': {'b': ([(10**400, 1.0, 1.0)], 1.0)}},
            {'at': 4e9, 'reports': {'b': ([(1, 1.0, 10**400)], 1.0)}},
        )
    ),
}
FAILURES = ('change not applied', 'task failed', 'message not applied')
# In which a leader reads what it acts on, and writes for the first time.
SETTLED_SECONDS = 1.5
REQUESTS = 4


def list_entries() -> dict[str, bytes]:
    """Return odd entries, by key."""
    entries = dict.fromkeys(SINGLE_KEYS, b'\xff\xfe')
    for prefix in PREFIXES:
        entries |= {f'{prefix}{suffix}': b'{"a": 1}' for suffix in ODD_SUFFIXES}
        values = (*ODD_VALUES, *SHAPED_VALUES.get(prefix, ()))
        entries |= {f'{prefix}o{number}': value for number, value in enumerate(values)}
    return entries


@contextmanager
def collect_failures() -> Iterator[list[str]]:
    """Collect what daemons log of errors that nothing has foreseen."""
    failures: list[str] = []

    def collect(message: 'Message') -> None:
        record = message.record
        if record['message'] in FAILURES:
            error = record['exception'] and repr(record['exception'].value)
            failures.append(f'{record["extra"]!a:.200} {error!a:.200}')

    handler = logger.add(collect, level='WARNING')
    try:
        yield failures
    finally:
        logger.remove(handler)


def leads(program: Program) -> bool:
    """Tell whether a daemon leads."""
    return program._coordination.lease.current_leadership() is not None


async def check_serving(cluster: Cluster) -> None:
    """Check that a new server is followed, and that a leader has begun its work."""
    await cluster.add_server('i-2', answer_signed())
    programs = cluster.programs.values()
    await wait_for(lambda: any(leads(program) for program in programs))
    await asyncio.sleep(SETTLED_SECONDS)
    for daemon, program in cluster.programs.items():
        assert program.is_store_current
        assert program.store_state.count_servers() == 2
        for number in range(REQUESTS):
            got = await cluster.send_request(daemon, request_id=f'r{number}')
            assert got.status == 200


class TestEntries:
    @pytest.mark.parametrize('starts_later', [False, True], ids=['watch', 'list'])
    def test_odd_entries_end_no_view_and_no_duty(
        self, tmp_path: Path, *, starts_later: bool
    ) -> None:
        # Guards against an entry that ends what reads it, again and again.
        async def script(cluster: Cluster) -> None:
            if not starts_later:
                await cluster.start_serving('d1', 'd2')
            for key, value in list_entries().items():
                cluster.store.put_bytes(key, value)
            if starts_later:
                await cluster.start_serving('d1', 'd2')
            await check_serving(cluster)

        with collect_failures() as failures:
            run_scenario(tmp_path, script)
        assert not failures
