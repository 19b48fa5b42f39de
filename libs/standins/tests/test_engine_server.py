"""Tests of the stand-in engine over HTTP."""

import json

import pytest
import urllib3

from fireflyhitch_standins.answers import (
    join_messages,
    split_continuation,
    write_answer,
)
from fireflyhitch_standins.engine_server import EngineServer, EngineSettings

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
    """Answers, whole and in events."""

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

    def test_completion_is_whole_without_stream(self, engine):
        document = {'prompt': 'a b c', 'max_tokens': 4}
        answer = post(engine, '/v1/completions', document).json()
        assert answer['choices'][0]['text'] == write_answer('a b c', 4)
        assert answer['usage']['prompt_tokens'] == 3


class TestContinuation:
    """An answer that another engine began."""

    def test_chat_goes_on_where_the_partial_answer_ends(self, engine):
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

    def test_completion_goes_on_after_its_prompt(self, engine):
        begun = f'a b{write_answer("a b", 3)}'
        assert split_continuation(begun) == ('a b', 3)
        document = {'prompt': begun, 'max_tokens': 2}
        answer = post(engine, '/v1/completions', document).json()
        assert begun + answer['choices'][0]['text'] == f'a b{write_answer("a b", 5)}'

    def test_finished_stream_can_be_read_from_a_token_on(self, engine):
        document = {'messages': MESSAGES, 'max_tokens': 6, 'stream': True}
        post(engine, '/v1/chat/completions', document, X_Request_Id='one')
        url = f'http://{engine.address}/engine/streams/one?after=4'
        events = read_events(urllib3.request('GET', url))
        whole = write_answer(join_messages(MESSAGES), 6)
        assert whole.endswith(read_text(events))
        assert len(events) == 3
