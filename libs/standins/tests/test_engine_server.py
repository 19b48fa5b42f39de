"""Tests of the stand-in engine over HTTP."""

import json
import time

import pytest
import urllib3

from fireflyhitch_standins.answers import (
    join_messages,
    split_continuation,
    write_answer,
)
from fireflyhitch_standins.engine_server import EngineServer
from fireflyhitch_standins.engine_settings import EngineSettings

MESSAGES = [{'role': 'user', 'content': 'which hose reels are due'}]


@pytest.fixture
def engine():
    server = EngineServer(EngineSettings(token_seconds=0.001, first_token_seconds=0))
    server.start()
    yield server
    server.stop()


def post(engine, path, document, **headers):
    return urllib3.request(
        'POST',
        f'http://{engine.address}{path}',
        json=document,
        headers={name.replace('_', '-'): text for name, text in headers.items()},
    )


def read_events(response):
    events = response.data.decode().split('\n\n')
    assert events[-2:] == ['data: [DONE]', '']
    return [json.loads(event.removeprefix('data: ')) for event in events[:-2]]


def read_text(events):
    return ''.join(
        event['choices'][0]['delta'].get('content', '')
        for event in events
        if event['choices']
    )


class TestAnswers:
    """Complete and streamed answers."""

    def test_stream_has_an_event_for_each_token(self, engine):
        document = {
            'model': 'm',
            'messages': MESSAGES,
            'max_tokens': 5,
            'stream': True,
            'stream_options': {'include_usage': True},
        }
        events = read_events(post(engine, '/v1/chat/completions', document))
        assert read_text(events) == write_answer(join_messages(MESSAGES), 5)
        assert len(events) == 7
        assert events[-2]['choices'][0]['finish_reason'] == 'length'
        assert events[-1]['usage']['completion_tokens'] == 5

    def test_completion_without_stream_is_complete(self, engine):
        document = {'prompt': 'a b c', 'max_tokens': 4}
        answer = post(engine, '/v1/completions', document).json()
        assert answer['choices'][0]['text'] == write_answer('a b c', 4)
        assert answer['usage']['prompt_tokens'] == 3


class TestContinuation:
    """Continuing an answer that another engine started."""

    def test_chat_continues_after_the_partial_answer(self, engine):
        prompt = join_messages(MESSAGES)
        partial = {'role': 'assistant', 'content': write_answer(prompt, 3)}
        document = {
            'messages': [*MESSAGES, partial],
            'continue_final_message': True,
            'add_generation_prompt': False,
            'max_tokens': 2,
        }
        answer = post(engine, '/v1/chat/completions', document).json()
        content = answer['choices'][0]['message']['content']
        assert partial['content'] + content == write_answer(prompt, 5)

    def test_completion_continues_after_its_prompt(self, engine):
        begun = f'a b{write_answer("a b", 3)}'
        assert split_continuation(begun) == ('a b', 3)
        document = {'prompt': begun, 'max_tokens': 2}
        answer = post(engine, '/v1/completions', document).json()
        assert begun + answer['choices'][0]['text'] == f'a b{write_answer("a b", 5)}'

    def test_finished_stream_can_be_read_from_an_index(self, engine):
        document = {'messages': MESSAGES, 'max_tokens': 6, 'stream': True}
        post(engine, '/v1/chat/completions', document, X_Request_Id='one')
        url = f'http://{engine.address}/engine/streams/one?after=4'
        events = read_events(urllib3.request('GET', url))
        whole = write_answer(join_messages(MESSAGES), 6)
        assert whole.endswith(read_text(events))
        assert len(events) == 3


class TestConnections:
    """Callers that disconnect and streams that outlive them."""

    def test_running_stream_can_be_resumed_from_an_index(self, engine):
        """A daemon's instance is reclaimed while a stream runs.

        The peer that takes over reads the same stream from the first token that it
        lacks, and the engine recomputes nothing.
        """
        engine.settings.token_seconds = 0.01
        document = {'messages': MESSAGES, 'max_tokens': 20, 'stream': True}
        first = open_stream(engine, document, 'one')
        first.readline()
        url = f'http://{engine.address}/engine/streams/one?after=1'
        events = read_events(urllib3.request('GET', url))
        whole = write_answer(join_messages(MESSAGES), 20)
        assert whole.endswith(read_text(events))
        assert len(events) == 20
        assert engine.computed_tokens == len(MESSAGES[0]['content'].split()) + 1
        first.close()

    def test_disconnect_of_the_caller_cancels_the_stream(self, engine):
        engine.settings.token_seconds = 0.01
        document = {'messages': MESSAGES, 'max_tokens': 64, 'stream': True}
        stream = open_stream(engine, document, 'one')
        stream.readline()
        stream.close()
        wait_until(lambda: engine.cancelled == 1)
        assert engine.running == 0

    def test_cancel_request_ends_the_stream(self, engine):
        engine.settings.token_seconds = 0.01
        document = {'messages': MESSAGES, 'max_tokens': 64, 'stream': True}
        stream = open_stream(engine, document, 'one')
        stream.readline()
        url = f'http://{engine.address}/engine/streams/one'
        assert urllib3.request('DELETE', url).status == 200
        with pytest.raises(urllib3.exceptions.ProtocolError):
            stream.read()
        assert urllib3.request('GET', url).status == 404


class TestFaults:
    """Faults set by a test."""

    def set_faults(self, engine, **faults):
        url = f'http://{engine.address}/standin/settings'
        assert urllib3.request('PUT', url, json=faults).status == 200

    def test_refusal_is_marked_as_not_run(self, engine):
        self.set_faults(engine, refuse=True)
        answer = post(engine, '/v1/completions', {'prompt': 'a'})
        assert answer.status == 503
        assert answer.headers['Fireflyhitch-Outcome'] == 'not-run'

    def test_failing_stream_ends_with_an_error(self, engine):
        self.set_faults(engine, fail_share=1)
        document = {'prompt': 'a', 'stream': True}
        events = post(engine, '/v1/completions', document).data.split(b'\n\n')
        assert events[-2].startswith(b'data: {"error"')

    def test_fault_of_one_route_does_not_affect_the_other(self, engine):
        self.set_faults(engine, fail_share=1, fail_route='chat')
        assert post(engine, '/v1/completions', {'prompt': 'a'}).status == 200
        answer = post(engine, '/v1/chat/completions', {'messages': MESSAGES})
        assert answer.status == 500

    def test_connection_is_reset_after_some_tokens(self, engine):
        self.set_faults(engine, break_after_tokens=2)
        document = {'messages': MESSAGES, 'max_tokens': 8, 'stream': True}
        stream = open_stream(engine, document, 'one')
        with pytest.raises(urllib3.exceptions.ProtocolError):
            stream.read()


def open_stream(engine, document, attempt):
    return urllib3.request(
        'POST',
        f'http://{engine.address}/v1/chat/completions',
        json=document,
        headers={'X-Request-Id': attempt},
        preload_content=False,
        retries=False,
    )


def wait_until(holds):
    ends = time.monotonic() + 5
    while not holds():
        assert time.monotonic() < ends
        time.sleep(0.005)
