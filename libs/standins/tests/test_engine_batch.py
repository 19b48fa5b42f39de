"""Tests of the stand-in engine with continuous batching, over HTTP."""

import threading

import pytest
import urllib3

from fireflyhitch_model.prompts import hash_prefix_blocks
from fireflyhitch_platform.engines import HttpEngines
from fireflyhitch_standins.answers import write_answer
from fireflyhitch_standins.asyncio_http import Reply
from fireflyhitch_standins.engine import Engine
from fireflyhitch_standins.engine_messages import EngineCall, EngineProfile
from fireflyhitch_standins.engine_server import EngineServer
from fireflyhitch_standins.engine_settings import EngineSettings, PacingKind

# 640 characters: ten blocks.
LONG_PROMPT = 'abcdefg ' * 80


@pytest.fixture
def start():
    started = []

    def start_engine(**chosen):
        settings = EngineSettings(
            pacing=PacingKind.BATCH,
            token_seconds=0.002,
            report_lag_seconds=0,
            event_lag_seconds=0,
            **chosen,
        )
        started.append(EngineServer(settings))
        started[-1].start()
        return started[-1]

    yield start_engine
    for server in started:
        server.stop()


def complete(server, prompt, tokens=4, **more):
    url = f'http://{server.address}/v1/completions'
    document = {'prompt': prompt, 'max_tokens': tokens, **more}
    return urllib3.request('POST', url, json=document, retries=False)


class TestBatch:
    """Concurrent calls to one engine."""

    def test_concurrent_calls_get_their_own_answers(self, start):
        server = start()
        answers = {}

        def ask(prompt):
            answer = complete(server, prompt, 12).json()
            answers[prompt] = answer['choices'][0]['text']

        prompts = [f'prompt {number}' for number in range(24)]
        threads = [threading.Thread(target=ask, args=(one,)) for one in prompts]
        for thread in threads:
            thread.start()
        for thread in threads:
            thread.join()
        assert answers == {one: write_answer(one, 12) for one in prompts}
        assert server.running == 0

    def test_slot_is_freed_before_the_response_is_sent(self, start, monkeypatch):
        # If the response were sent before the slot is freed, a caller on another
        # thread that reads the load immediately could see its own call as running.
        server = start()
        seen = []
        send = Reply.send

        def record_and_send(reply, *answer, **more):
            seen.append(server.running)
            send(reply, *answer, **more)

        monkeypatch.setattr(Reply, 'send', record_and_send)
        complete(server, 'a', 3)
        assert seen == [0]

    def test_full_queue_refuses_calls_as_not_run(self, start):
        answer = complete(start(max_running=0, max_waiting=0), 'a')
        assert answer.status == 503
        assert answer.headers['Fireflyhitch-Outcome'] == 'not-run'

    def test_repeated_prompt_is_found_in_the_cache(self, start):
        """The same long prompt is sent twice.

        The engine computes its blocks once, reports them in a cache event, and
        counts them as cached for the second call.
        """
        server = start()
        engines = HttpEngines({'a': server.address}.get)
        complete(server, LONG_PROMPT)
        events = engines.read_cache_events('a', 0)
        assert events[0].stored == hash_prefix_blocks(LONG_PROMPT)
        assert engines.read_cache_events('a', events[-1].sequence) == ()
        usage = complete(server, LONG_PROMPT).json()['usage']
        assert usage['prompt_tokens_details']['cached_tokens'] == 80
        assert engines.read_load('a').running == 0


class TestModel:
    """The engine model behind the batch."""

    def test_submit_does_not_lose_tokens_that_are_due(self):
        """A call is submitted when the first token of another one is due.

        Submitting advances the engine. The token that becomes due must be returned
        by the next ``advance``; it already counts as generated, so its caller would
        otherwise wait forever.
        """
        engine = Engine('a', EngineProfile(step_seconds=1))
        engine.submit(EngineCall('first', 1, 4), 0)
        engine.submit(EngineCall('second', 1, 4), 1.5)
        tokens = [event.index for event in engine.advance(1.5)]
        assert tokens == [0]
