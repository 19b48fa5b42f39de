"""Tests of the engine client against the stand-in."""

import pytest
import urllib3

from fireflyhitch_model.errors import PlatformError
from fireflyhitch_model.states import Outcome
from fireflyhitch_platform.engines import HttpEngines
from fireflyhitch_platform.services import EngineAction, EngineOrder
from fireflyhitch_standins.answers import write_answer
from fireflyhitch_standins.engine_server import EngineServer
from fireflyhitch_standins.engine_settings import EngineSettings

FAST = EngineSettings(token_seconds=0.001, first_token_seconds=0)


@pytest.fixture
def servers():
    bad = FAST.model_copy(update={'error_share': 1})
    started = {name: EngineServer(FAST, versions={'v2': bad}) for name in 'ab'}
    for server in started.values():
        server.start()
    yield started
    for server in started.values():
        server.stop()


@pytest.fixture
def engines(servers):
    addresses = {name: server.address for name, server in servers.items()}
    return HttpEngines(addresses.get)


def order(action, argument, fencing):
    return EngineOrder(action, argument, fencing)


def complete(server, prompt, **headers):
    return urllib3.request(
        'POST',
        f'http://{server.address}/v1/completions',
        json={'prompt': prompt, 'max_tokens': 4},
        headers={name.replace('_', '-'): text for name, text in headers.items()},
    )


class TestOrders:
    """Orders with the fencing number of a lease."""

    def test_old_fencing_number_is_refused(self, engines):
        """A paused lease holder sends its order after its lease has expired.

        The engine has already accepted its successor's order with a higher fencing
        number, so the delayed order is refused and changes nothing.
        """
        assert engines.send_order('a', order(EngineAction.LOAD_VERSION, 'v3', 7))
        assert not engines.send_order('a', order(EngineAction.LOAD_VERSION, 'v2', 6))
        state = engines.read_state('a')
        assert (state.version, state.fencing) == ('v3', 7)

    def test_engine_without_fencing_accepts_a_delayed_order(self, engines, servers):
        servers['a'].settings = FAST.model_copy(update={'fencing': False})
        engines.send_order('a', order(EngineAction.SET_ROLE, 'prefill', 7))
        assert engines.send_order('a', order(EngineAction.SET_ROLE, 'decode', 6))
        assert engines.read_state('a').role == 'decode'

    def test_loaded_version_applies_its_faults(self, engines, servers):
        engines.send_order('a', order(EngineAction.LOAD_ADAPTER, 'nl', 1))
        engines.send_order('a', order(EngineAction.LOAD_VERSION, 'v2', 1))
        assert engines.read_state('a').adapters == ('nl',)
        assert complete(servers['a'], 'x').status == 500

    def test_drained_engine_refuses_calls(self, engines, servers):
        engines.send_order('a', order(EngineAction.DRAIN, '', 1))
        assert not engines.read_state('a').ready
        assert complete(servers['a'], 'x').status == 503

    def test_order_to_an_unknown_server_is_not_run(self, engines):
        drain = order(EngineAction.DRAIN, '', 1)
        caught = pytest.raises(PlatformError, engines.send_order, 'z', drain)
        assert caught.value.outcome is Outcome.NOT_RUN


class TestKvCache:
    """Moving a stream to another engine without recomputation."""

    def test_imported_cache_avoids_recomputation(self, engines, servers):
        """An engine's instance is reclaimed after four tokens.

        Its KV cache is imported into another engine, which continues the response
        without recomputing the tokens that the cache covers.
        """
        prompt = 'one two three'
        complete(servers['a'], prompt, X_Request_Id='first')
        export = engines.export_kv('a', 'first')
        assert export.tokens == 7
        engines.import_kv('b', 'first', export)
        begun = prompt + write_answer(prompt, 4)
        answer = complete(servers['b'], begun, X_Kv_Import='first').json()
        assert begun + answer['choices'][0]['text'] == prompt + write_answer(prompt, 8)
        assert answer['usage']['prompt_tokens_details']['cached_tokens'] == 7
        assert servers['b'].recomputed_tokens == 0

    def test_without_import_everything_is_recomputed(self, servers):
        begun = f'one two{write_answer("one two", 4)}'
        complete(servers['b'], begun)
        assert servers['b'].recomputed_tokens == 6


class TestReports:
    """Load reports, cache events and cancellation."""

    def test_load_and_events_are_read(self, engines):
        load = engines.read_load('a')
        assert (load.server_id, load.running, load.waiting) == ('a', 0, 0)
        assert engines.read_cache_events('a', 0) == ()

    def test_cancelling_an_unknown_stream_is_no_error(self, engines):
        engines.cancel('a', 'none')
