"""Tests of the HTTP API for callers, with the clients that callers use."""

import json

import pytest
from local_cluster import OTHER_KEY, wait_until
from openai import APIStatusError

from fireflyhitch_standins.answers import join_messages, write_answer

PATH = '/v1/chat/completions'


def build_messages(prompt):
    return [{'role': 'user', 'content': prompt}]


def expected_text(prompt, count):
    return write_answer(join_messages(build_messages(prompt)), count)


class TestModelCalls:
    """Chat and text completions, streamed and as a single body."""

    def test_unstreamed_chat_answer_has_text_reason_and_usage(self, cluster):
        answer = cluster.client().chat.completions.create(
            model='assistant', messages=build_messages('one'), max_tokens=7
        )
        assert answer.choices[0].message.content == expected_text('one', 7)
        assert answer.choices[0].finish_reason == 'length'
        assert answer.usage.completion_tokens == 7

    def test_streamed_chat_answer_is_in_order(self, cluster):
        stream = cluster.client().chat.completions.create(
            model='assistant', messages=build_messages('two'), max_tokens=9, stream=True
        )
        pieces = [chunk.choices[0].delta.content or '' for chunk in stream]
        assert ''.join(pieces) == expected_text('two', 9)

    def test_text_completion_has_the_generated_text(self, cluster):
        answer = cluster.client().completions.create(
            model='assistant', prompt='three', max_tokens=4
        )
        assert answer.choices[0].text == write_answer('three', 4)

    def test_models_are_listed(self, cluster):
        assert [model.id for model in cluster.client().models.list()] == ['assistant']

    def test_event_ids_are_consecutive(self, cluster):
        stream = cluster.open_stream(0, 'four', 5)
        lines = stream.read().split(b'\n')
        ids = [line for line in lines if line.startswith(b'id: ')]
        assert ids == [b'id: %d' % number for number in range(1, len(ids) + 1)]
        assert stream.headers['Fireflyhitch-Request-Id']

    def test_disconnected_caller_cancels_the_stream(self, cluster):
        """The caller closes its connection during an answer and does not reconnect.

        The daemon keeps the answer for two seconds, then closes its connection
        to the engine, which stops generating.
        """
        stream = cluster.open_stream(0, 'long', 100000)
        stream.read(100)
        assert cluster.running() == 1
        stream.close()
        wait_until(lambda: cluster.running() == 0)

    def test_deadline_ends_the_answer_with_an_error(self, cluster):
        """The deadline of 300 ms is shorter than the answer takes.

        The first tokens arrive; at the deadline the answer ends with an error
        with outcome "ran", and the engine's stream is cancelled.
        """
        body = {
            'model': 'assistant',
            'messages': build_messages('x'),
            'max_tokens': 100000,
        }
        headers = {'Fireflyhitch-Deadline-Ms': '300'}
        answer = cluster.call(
            0, 'POST', PATH, body=json.dumps(body), headers=headers.items()
        )
        assert answer.status == 504
        assert answer.headers['Fireflyhitch-Outcome'] == 'ran'
        assert answer.json()['error']['code'] == 'deadline_exceeded'


class TestInvalidRequests:
    """Invalid requests get a status, a code and the outcome "not-run"."""

    @pytest.mark.parametrize(
        ('path', 'body', 'status', 'code'),
        [
            (PATH, '{nope', 400, 'invalid_json'),
            (PATH, '[]', 400, 'invalid_json'),
            (PATH, '{"model": "assistant"}', 400, 'invalid_request'),
            (
                PATH,
                '{"model": "assistant", "messages": [{"role": "user"}], "n": 2}',
                400,
                'invalid_request',
            ),
            (
                PATH,
                '{"model": "none", "messages": [{"role": "user"}]}',
                404,
                'model_not_found',
            ),
            (PATH, 'x' * 100001, 413, 'body_too_large'),
            ('/services/none/x', '', 404, 'service_not_found'),
            ('/services/bookings/x', '', 400, 'idempotency_key_required'),
            ('/nowhere', '', 404, 'not_found'),
        ],
    )
    def test_error_has_status_code_outcome_and_request_id(
        self, cluster, path, body, status, code
    ):
        answer = cluster.call(0, 'POST', path, body=body)
        assert answer.status == status
        assert answer.json()['error']['code'] == code
        assert answer.headers['Fireflyhitch-Outcome'] == 'not-run'
        assert answer.headers['Fireflyhitch-Request-Id']

    def test_wrong_api_key_gets_401(self, cluster):
        with pytest.raises(APIStatusError) as caught:
            cluster.client(key='guess').models.list()
        assert caught.value.status_code == 401

    def test_wrong_method_gets_405(self, cluster):
        assert cluster.call(0, 'GET', PATH).status == 405

    def test_deadline_that_is_not_a_number_is_rejected(self, cluster):
        headers = {'Fireflyhitch-Deadline-Ms': 'soon'}
        body = json.dumps({'model': 'assistant', 'messages': build_messages('x')})
        answer = cluster.call(0, 'POST', PATH, body=body, headers=headers.items())
        assert answer.json()['error']['code'] == 'deadline'


class TestReconnectingCallers:
    """``GET /v1/requests/{id}`` for callers that lost their connection."""

    def test_remaining_events_are_forwarded_by_another_daemon(self, cluster):
        """A caller loses its connection after some events.

        It asks another daemon, with its last event id. That daemon locates the
        owner by the request id and forwards the remaining events.
        """
        stream = cluster.open_stream(0, 'return', 40)
        request_id = stream.headers['Fireflyhitch-Request-Id']
        stream.read(400)
        stream.close()
        headers = {'Last-Event-ID': '2'}
        path = f'/v1/requests/{request_id}'
        rest = cluster.call(1, 'GET', path, headers=headers.items())
        assert rest.status == 200
        assert rest.data.startswith(b'id: 3\n')
        assert rest.data.endswith(b'data: [DONE]\n\n')

    def test_finished_answer_is_still_available(self, cluster):
        stream = cluster.open_stream(0, 'again', 3)
        whole = stream.read()
        path = f'/v1/requests/{stream.headers["Fireflyhitch-Request-Id"]}'
        assert cluster.call(0, 'GET', path).data == whole

    def test_other_customers_request_is_not_found(self, cluster):
        stream = cluster.open_stream(0, 'private', 3)
        stream.read()
        path = f'/v1/requests/{stream.headers["Fireflyhitch-Request-Id"]}'
        assert cluster.call(0, 'GET', path, key=OTHER_KEY).status == 404
        assert cluster.call(1, 'GET', path, key=OTHER_KEY).status == 404
