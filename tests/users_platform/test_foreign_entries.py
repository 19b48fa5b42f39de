"""Tests of entries in the store that other writers have left, and of unusable values."""

import asyncio
import json
from pathlib import Path
from types import SimpleNamespace
from typing import Any, cast

import pytest
from cluster import Cluster, answer_signed, make_configuration, run_scenario

from fireflyhitch_model.ids import BackendServerId, DeploymentId, Revision
from fireflyhitch_serving.connections import Address, ResponseHead
from fireflyhitch_serving.servers import ServerRegistry
from fireflyhitch_standins.users_formats import render_server_entry
from fireflyhitch_users_platform.configuration import ConfigurationError, read_catalog
from fireflyhitch_users_platform.edge import PlatformEdge
from fireflyhitch_users_platform.moves import read_order
from fireflyhitch_users_platform.registry import read_server
from fireflyhitch_users_platform.store_state import StoreConsumers, StoreState

HERE = Address('127.0.0.1', 9000)
SERVER = BackendServerId('i-1')
INFINITE = float('inf')
HUGE = 10**400
DEEP = b'[' * 100_000
# As ``drain_ms`` of the platform: a server goes on serving for so long.
DRAIN_SECONDS = 2.0
REQUESTS = 6
FOREIGN_ENTRIES: list[dict[str, Any]] = [
    {'cold_remaining_ms': INFINITE},
    {'cold_remaining_ms': HUGE},
    {'slots': INFINITE},
    {'slots': HUGE},
    {'slots': 0},
    {'born': -INFINITE},
    {'leaves_ms': float('nan')},
    {'leaves_ms': []},
    {'address': '127.0.0.1:70000'},
    {'address': 'replica.example:80'},
    {'address': '127.0.0.1'},
    {'service': 'a\r\nX-Other: b'},
    {'zone': '\ud800'},
    {'version': None},
    {'state': 'gone'},
]


def name_fields(changes: dict[str, Any]) -> str:
    return ' '.join(changes)


def make_entry(**changes: Any) -> dict[str, Any]:
    return {**render_server_entry(HERE), **changes}


def render_entry(**changes: Any) -> bytes:
    return json.dumps(make_entry(**changes)).encode()


class TestServerEntries:
    @pytest.mark.parametrize('changes', FOREIGN_ENTRIES, ids=name_fields)
    def test_an_entry_with_an_unusable_value_names_no_server(
        self, changes: dict[str, Any]
    ) -> None:
        # Guards against an error that leaves the reader, or a later step that fails.
        assert read_server(SERVER, render_entry()) is not None
        assert read_server(SERVER, render_entry(**changes)) is None

    @pytest.mark.parametrize('value', [b'\xff', b'', b'7', b'[]', b'1e999', DEEP])
    def test_bytes_that_hold_no_entry_name_no_server(self, value: bytes) -> None:
        assert read_server(SERVER, value) is None

    @pytest.mark.parametrize('server', ['', 'a b\r\nX: 1', 'café'])
    def test_an_id_that_no_header_can_bear_names_no_server(self, server: str) -> None:
        assert read_server(BackendServerId(server), render_entry()) is None


class TestOrders:
    @pytest.mark.parametrize(
        'value', [b'{"target": "v2", "duration_s": 1e999}', b'7', b'[]', DEEP]
    )
    def test_an_order_without_a_usable_duration_is_malformed(
        self, value: bytes
    ) -> None:
        assert read_order(DeploymentId('chat'), value, Revision(1)) is None


class TestConfiguration:
    @pytest.mark.parametrize(
        'field', ['timeout_ms', 'latency_target_ms', 'attempts', 'priority']
    )
    def test_an_infinite_number_refuses_a_configuration(self, field: str) -> None:
        # Guards against an error that ends the view of the operators' keys.
        changed = make_configuration()
        changed['routes'][0][field] = INFINITE
        with pytest.raises(ConfigurationError):
            read_catalog(json.dumps(changed).encode())

    @pytest.mark.parametrize('field', ['name', 'host', 'prefix', 'service'])
    @pytest.mark.parametrize('value', [7, ['a'], {'a': 1}, 'a\r\nb'])
    def test_a_name_that_is_no_text_refuses_a_configuration(
        self, field: str, value: object
    ) -> None:
        # Guards against a route at which the search for each request's route fails.
        changed = make_configuration()
        changed['routes'][0][field] = value
        with pytest.raises(ConfigurationError):
            read_catalog(json.dumps(changed).encode())

    @pytest.mark.parametrize('value', [DEEP, b'[]', b'\xff'])
    def test_bytes_that_hold_no_configuration_are_refused(self, value: bytes) -> None:
        with pytest.raises(ConfigurationError):
            read_catalog(value)

    @pytest.mark.parametrize('weights', [(0, 0), (-1, 2)])
    def test_weights_by_which_nothing_can_be_chosen_are_refused(
        self, weights: tuple[int, int]
    ) -> None:
        changed = make_configuration()
        changed['routes'][0]['split'] = [
            {'service': 'planning', 'weight': weight} for weight in weights
        ]
        with pytest.raises(ConfigurationError):
            read_catalog(json.dumps(changed).encode())


class TestHeaders:
    @pytest.mark.parametrize(
        ('name', 'value'),
        [
            (b'Token-Usage', b'9' * 400),
            (b'Token-Usage', b'-5,1'),
            (b'Prompt-Prefix', b'ab:%d' % HUGE),
            (b'Last-Event-Id', b'9' * 400),
            (b'Deadline-Ms', b'1e999'),
        ],
    )
    def test_a_number_out_of_range_is_a_bad_request(
        self, name: bytes, value: bytes, tmp_path: Path
    ) -> None:
        # Guards against a closed connection: a later step failed on such a number.
        async def script(cluster: Cluster) -> None:
            await cluster.start_serving('d1')
            got = await cluster.send_request('d1', headers=[(name, value)])
            assert got.status == 400

        run_scenario(tmp_path, script)

    @pytest.mark.parametrize('figures', [f'{HUGE},0,1', f'0,0,{HUGE}', f'0,{HUGE},1'])
    def test_a_load_out_of_range_is_malformed(self, figures: str) -> None:
        # Guards against a server whose load no other request can be compared with.
        head = ResponseHead(200, [(b'Server-Load', figures.encode())])
        info = PlatformEdge().parse_response_head(head)
        assert info.load_malformed
        assert info.load is None


class TestView:
    @pytest.mark.parametrize('starts_later', [False, True], ids=['watch', 'list'])
    def test_a_leaving_server_gets_nothing_beside_foreign_entries(
        self, tmp_path: Path, *, starts_later: bool
    ) -> None:
        # Guards against foreign entries that keep the changes behind them from daemons.
        async def script(cluster: Cluster) -> None:
            leaving = await cluster.start_serving('d1', 'd2')
            for number, changes in enumerate(FOREIGN_ENTRIES):
                cluster.store.put(f'servers/a-{number}', make_entry(**changes))
            if starts_later:
                cluster.start('d3')
                await cluster.wait_ready('d3')
            joining = await cluster.add_server('i-2', answer_signed())
            cluster.register_server('i-1', HERE, state='draining')
            await asyncio.sleep(DRAIN_SECONDS)
            for daemon in cluster.programs:
                for number in range(REQUESTS):
                    got = await cluster.send_request(daemon, request_id=f'r{number}')
                    assert got.status == 200
            assert not leaving.seen
            assert len(joining.seen) == REQUESTS * len(cluster.programs)

        run_scenario(tmp_path, script)

    def test_a_value_that_a_handler_cannot_use_stops_no_other_change(self) -> None:
        # Guards against a kind of malformed value that no reader has foreseen.
        def fail(*details: object) -> None:
            raise ZeroDivisionError

        unused = cast('Any', None)
        holds = cast('Any', SimpleNamespace(apply_change=fail))
        registrations = cast('Any', SimpleNamespace(apply=None))
        store_state = StoreState(
            StoreConsumers(
                unused,
                ServerRegistry(),
                unused,
                unused,
                unused,
                unused,
                registrations,
                holds,
            )
        )
        store_state.apply('fireflyhitch/holds/1', b'', Revision(1))
        store_state.apply(
            'op/config', json.dumps(make_configuration()).encode(), Revision(2)
        )
        store_state.mark_listed('op/')
        assert store_state.catalog is not None
