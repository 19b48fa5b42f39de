"""Tests of what other daemons send or store, and this one cannot use."""

import asyncio
import json
import operator
import random
import tracemalloc
import zlib
from collections.abc import Callable
from decimal import Decimal
from typing import Any

import cbor2
import pytest
from daemons_scene import Daemons
from virtual_time import run_virtual

from fireflyhitch_model.clock import ManualClock
from fireflyhitch_model.external_values import (
    MAX_ID,
    MAX_NUMBER,
    parse_id,
    parse_integer,
)
from fireflyhitch_model.identity import identify_process
from fireflyhitch_model.ids import BackendServerId, ContentId, FailureDomainId
from fireflyhitch_routing.announcements import parse_number
from fireflyhitch_serving.fixed_counts import USAGE_PREFIX
from fireflyhitch_serving.holds import HOLDS_PREFIX
from fireflyhitch_serving.hubs import HubTracker
from fireflyhitch_serving.packing import unpack
from fireflyhitch_serving.peer_channel import PeerChannel, PeerHandlers
from fireflyhitch_serving.peer_state import PeerState, decode_state, encode_state
from fireflyhitch_serving.peers import PeerRegistry
from fireflyhitch_serving.registrations import DAEMONS_PREFIX, decode_registration
from fireflyhitch_serving.saved_counts import SAVED_PREFIX
from fireflyhitch_serving.stalls import StallDetector
from fireflyhitch_serving.traffic import ControlTraffic

GENT = FailureDomainId('gent')
NAN = float('nan')
HUGE = 10**400
PEER = ('127.0.0.1', 1)
SERVER = BackendServerId('i-1')
UNPACKED_BYTES = 100_000_000


def render_state(**changes: Any) -> bytes:
    state = PeerState('d2', 'd2/1', GENT, 1, 0, {}, {}, {}, {}, {}, {})
    return cbor2.dumps({**cbor2.loads(encode_state(state)), **changes})


def make_channel(receive: Callable[[PeerState], None]) -> PeerChannel:
    registry = PeerRegistry('d1', GENT, ManualClock(), float)
    return PeerChannel(
        registry,
        HubTracker(registry, ManualClock()),
        PeerHandlers(
            lambda: decode_state(render_state()),  # type: ignore[arg-type,return-value]
            receive,
            operator.not_,
            lambda: None,
        ),
        StallDetector(float, list),
        random.Random(1),  # noqa: S311
        ControlTraffic(),
    )


class TestNumbers:
    @pytest.mark.parametrize('parse', [parse_id, parse_integer])
    def test_a_decimal_number_is_not_expanded(
        self, parse: Callable[[object], int]
    ) -> None:
        # Guards against a few bytes of CBOR that become an integer of 400 MB.
        with pytest.raises(TypeError):
            parse(Decimal('1E+1000'))


class TestPackedValues:
    def test_a_small_value_does_not_unpack_to_a_large_one(self) -> None:
        # Guards against an entry, or a datagram, that takes the process's memory.
        packed = zlib.compress(cbor2.dumps(bytes(UNPACKED_BYTES)))
        tracemalloc.start()
        try:
            with pytest.raises(ValueError, match='larger'):
                unpack(packed)
            _, peak = tracemalloc.get_traced_memory()
        finally:
            tracemalloc.stop()
        assert peak < UNPACKED_BYTES / 2


class TestStates:
    @pytest.mark.parametrize(
        'crashes',
        [
            {'a': ([([1], 1.0, 1.0)], None)},
            {'a': ([(1, 1.0, 1.0)], 'x')},
            {'a': ([(1, 1.0, 1.0)], NAN)},
            {7: ([(1, 1.0, 1.0)], None)},
        ],
    )
    def test_a_state_with_an_unusable_crash_record_is_unreadable(
        self, crashes: dict[Any, Any]
    ) -> None:
        # Guards against records that the saving of crash records fails at.
        assert decode_state(render_state(crashes=crashes)) is None

    @pytest.mark.parametrize(
        'changes',
        [
            {'wall': 'noon'},
            {'wall': NAN},
            {'sequence': None},
            {'daemon': 7},
            {'failure_domain': []},
            {'work': {'i-1': ['a', 0]}},
            {'work': {'i-1': [HUGE, 0]}},
            {'customers': {'bakery': [NAN, 0, 0]}},
            {'answers': {'i-1': [1, 'b', 0]}},
            {'usage': {4: {'bakery': 'many'}}},
            {'evidence': {'v1': [None, 0, 0]}},
            {'newest': {'op/': 'first'}},
            {'announcements': {'limit': {'p': [1, NAN]}}},
            {'demand': {'chat': {0: ['x', 0]}}},
        ],
        ids=str,
    )
    def test_a_state_with_an_unusable_value_is_unreadable(
        self, changes: dict[str, Any]
    ) -> None:
        # Guards against a stored state that fails each step that uses it.
        assert decode_state(render_state()) is not None
        assert decode_state(render_state(**changes)) is None

    @pytest.mark.parametrize(
        'data', [b'', b'\x81' * 5000, b'\xff', cbor2.dumps([]), cbor2.dumps({})]
    )
    def test_bytes_that_hold_no_state_are_unreadable(self, data: bytes) -> None:
        assert decode_state(data) is None

    def test_a_state_may_report_large_eras(self) -> None:
        assert decode_state(render_state(newest={'op/': 4, 'era': MAX_ID})) is not None

    def test_sums_of_the_largest_numbers_of_callers_leave_a_state_readable(
        self,
    ) -> None:
        # Guards against a daemon that none of its peers hears any more.
        work = {'i-1': [100, 100 * MAX_NUMBER]}
        assert decode_state(render_state(work=work)) is not None

    @pytest.mark.parametrize('text', ['1e300', 'inf', 'nan', '-1'])
    def test_a_server_announces_nothing_that_peers_cannot_read(self, text: str) -> None:
        assert parse_number(text) is None

    def test_a_state_that_cannot_be_applied_raises_no_error(self) -> None:
        def fail(state: PeerState) -> None:
            raise ZeroDivisionError

        make_channel(fail).datagram_received(render_state(), PEER)


class TestRegistrations:
    @pytest.mark.parametrize(
        'value',
        [
            b'',
            b'\xff',
            b'127.0.0.1:1',
            b'127.0.0.1:70000 gent',
            b'127.0.0.1:1 gent inf',
        ],
    )
    def test_a_registration_with_an_unusable_value_is_invalid(
        self, value: bytes
    ) -> None:
        with pytest.raises(ValueError):  # noqa: PT011
            decode_registration(value)


class TestStoredValues:
    @pytest.mark.parametrize('value', [b'\xff', b'[]', b'{"a": 1}', b'[' * 100_000])
    def test_duties_go_on_beside_stored_values_that_are_malformed(
        self, value: bytes
    ) -> None:
        # Guards against a loop that fails on the same value whenever it is run again.
        failed: list[str] = []

        async def script() -> None:
            cluster = Daemons(1, gent=3)
            for prefix in (
                SAVED_PREFIX,
                USAGE_PREFIX,
                DAEMONS_PREFIX,
            ):
                cluster.store.put(f'{prefix}x', value)
            await cluster.start_all()
            await asyncio.sleep(5)
            assert sum(daemon.leads() for daemon in cluster.daemons.values()) == 1
            failed.extend(
                name
                for name, daemon in cluster.daemons.items()
                if daemon.has_ended_loop()
            )

        run_virtual(script())
        assert not failed

    def test_a_hold_under_servers_with_ids_of_64_bits_is_applied(self) -> None:
        # Guards against checks of numbers that leave out ids as they are.
        content = ContentId('crashing')

        async def script() -> None:
            cluster = Daemons(1, gent=3)
            await cluster.start_all()
            until = asyncio.get_running_loop().time() + 20
            hold = {'until': until, 'processes': [identify_process(SERVER, 1), MAX_ID]}
            cluster.store.put(f'{HOLDS_PREFIX}{content}', json.dumps(hold).encode())
            await asyncio.sleep(1)
            assert all(daemon.holds(content) for daemon in cluster.daemons.values())

        run_virtual(script())
