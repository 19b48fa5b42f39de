"""Tests of servers and daemons that stop while answers are in progress."""

import json
import threading
from dataclasses import dataclass
from typing import Any

import pytest
from local_cluster import wait_until

from fireflyhitch_standins.answers import join_messages, write_answer
from fireflyhitch_standins.faults import Fault

# The answer lasts longer than its server's notice, and the notice longer than a listing.
LONG_ANSWER_TOKENS = 1000
NOTICE_SECONDS = 5


def read_text(body):

    pieces = []
    for line in body.split(b'\n'):
        if line.startswith(b'data: {'):
            choices = json.loads(line[6:]).get('choices') or [{}]
            pieces.append((choices[0].get('delta') or {}).get('content') or '')
    return ''.join(pieces)


def expected_text(prompt, count):
    return write_answer(join_messages([{'role': 'user', 'content': prompt}]), count)


def find_server(cluster):
    """Return the instance whose engine has a stream running."""
    for instance, server in cluster.platform.world.servers.items():
        if getattr(server, 'generations', None) is not None and server.running:
            return instance
    raise AssertionError('no engine is running')


@pytest.fixture
def long_answer(fresh_cluster):
    """Start an answer whose KV cache is cheaper to move than to compute again."""
    prompt = ' '.join(f'word{number}' for number in range(400))
    stream = fresh_cluster.open_stream(0, prompt, LONG_ANSWER_TOKENS)
    return LongAnswer(prompt, stream, stream.read(600))


def is_sent_calls(cluster, instance):
    """Return whether the first daemon still sends calls to an instance's server."""
    listed = cluster.admin(0, 'GET', '/admin/status').json()['backend_servers']
    return any(entry['server'].startswith(f'{instance}/') for entry in listed)


def reclaim_instance(cluster, instance):
    reclaim = {'notice_seconds': NOTICE_SECONDS, 'instances': [instance]}
    url = f'http://{cluster.platform.address}/standin/reclaims'
    cluster.http.request('POST', url, json=reclaim)


@dataclass
class LongAnswer:
    """An answer in progress, and the events read so far."""

    prompt: str
    stream: Any
    head: bytes

    def assert_moved_with_cache(self, cluster):
        """Check that the answer is whole and that little of it was computed again."""
        text = read_text(self.head + self.stream.read())
        assert text == expected_text(self.prompt, LONG_ANSWER_TOKENS)
        assert sum(engine.recomputed_tokens for engine in cluster.engines()) < 100


class TestLostServer:
    """A backend server stops during an answer."""

    def test_answer_continues_without_a_gap_or_a_repeat(self, fresh_cluster):
        """The engine is killed without notice after the first tokens.

        The daemon sees the connection close and sends the prompt and the text so
        far to another engine; the caller's stream continues at the next token.
        """
        stream = fresh_cluster.open_stream(0, 'killed', 60)
        head = stream.read(600)
        fresh_cluster.platform.world.cloud.kill(find_server(fresh_cluster))
        body = head + stream.read()
        assert read_text(body) == expected_text('killed', 60)
        assert body.count(b'data: [DONE]') == 1

    def test_notice_moves_the_answer_before_the_server_stops(self, fresh_cluster):
        """An engine gets two seconds' notice; its answer takes longer.

        The daemon reads the notice, sends the engine no further calls and moves
        the answer to another engine; the caller gets one complete answer.
        """
        stream = fresh_cluster.open_stream(0, 'notice', 400)
        head = stream.read(600)
        instance = find_server(fresh_cluster)
        reclaim = {'notice_seconds': 2, 'instances': [instance]}
        url = f'http://{fresh_cluster.platform.address}/standin/reclaims'
        fresh_cluster.http.request('POST', url, json=reclaim)
        body = head + stream.read()
        assert read_text(body) == expected_text('notice', 400)
        leaving = fresh_cluster.admin(1, 'GET', '/admin/status').json()['leaving']
        assert leaving == [instance]

    def test_kv_cache_is_transferred_with_a_moved_answer(self, fresh_cluster):
        """An engine with a long prompt gets two seconds' notice.

        Recomputing prompt and text would cost more than moving the KV cache, so
        the cache is exported before the stream is closed and imported at the next
        engine, which recomputes fewer than 100 tokens.
        """
        prompt = ' '.join(f'word{number}' for number in range(400))
        stream = fresh_cluster.open_stream(0, prompt, 400)
        head = stream.read(600)
        engines = fresh_cluster.engines()
        reclaim = {'notice_seconds': 2, 'instances': [find_server(fresh_cluster)]}
        url = f'http://{fresh_cluster.platform.address}/standin/reclaims'
        fresh_cluster.http.request('POST', url, json=reclaim)
        body = head + stream.read()
        assert read_text(body) == expected_text(prompt, 400)
        assert sum(engine.recomputed_tokens for engine in engines) < 100


class TestNoticeAfterRemoval:
    """A server leaves the directory before its reclaim notice is read."""

    def test_kv_cache_is_moved_if_a_peer_marked_the_server_before(
        self, fresh_cluster, long_answer
    ):
        """The answer was cut off with its server if a peer was first to read."""
        instance = find_server(fresh_cluster)
        body = {'instance': instance}
        assert fresh_cluster.admin(1, 'POST', '/admin/drain', body).status == 200
        wait_until(lambda: not is_sent_calls(fresh_cluster, instance))
        reclaim_instance(fresh_cluster, instance)
        long_answer.assert_moved_with_cache(fresh_cluster)

    def test_kv_cache_is_moved_if_the_instance_list_dropped_the_server_before(
        self, fresh_cluster, long_answer
    ):
        """The answer was cut off with its server if the list was read first."""
        instance = find_server(fresh_cluster)
        faults = fresh_cluster.platform.world.cloud.calls.faults
        faults.set_persistent('read_notices', Fault.REFUSED)
        reclaim_instance(fresh_cluster, instance)
        wait_until(lambda: not is_sent_calls(fresh_cluster, instance))
        faults.clear_all()
        long_answer.assert_moved_with_cache(fresh_cluster)


class TestDaemonShutdown:
    """Graceful stop and reclaim of a daemon."""

    def test_graceful_stop_completes_answers(self, fresh_cluster):
        """The daemon is stopped during an answer.

        It reports not ready at once, completes the answer, and only then stops.
        """
        stream = fresh_cluster.open_stream(0, 'stop', 60)
        head = stream.read(300)
        stopping = threading.Thread(target=fresh_cluster.daemons[0].stop)
        stopping.start()
        wait_until(lambda: fresh_cluster.call(0, 'GET', '/readyz').status == 503)
        body = head + stream.read()
        stopping.join()
        assert read_text(body) == expected_text('stop', 60)

    def test_notice_hands_the_answer_over_to_another_failure_domain(
        self, fresh_cluster
    ):
        """The daemon's own instance gets three seconds' notice.

        The answer cannot complete in that time and is handed over with its tokens
        so far. The caller's stream ends early, and its next request, to the other
        daemon, returns the remaining events without a gap or a repeat.
        """
        stream = fresh_cluster.open_stream(0, 'moved', 500)
        request_id = stream.headers['Fireflyhitch-Request-Id']
        reclaim = {'notice_seconds': 3, 'instances': ['instance-0']}
        url = f'http://{fresh_cluster.platform.address}/standin/instances'
        fresh_cluster.http.request('PUT', url, json=build_daemon_entry(fresh_cluster))
        url = f'http://{fresh_cluster.platform.address}/standin/reclaims'
        fresh_cluster.http.request('POST', url, json=reclaim)
        first = stream.read()
        assert b'data: [DONE]' not in first
        ids = [line for line in first.split(b'\n') if line.startswith(b'id: ')]
        headers = {'Last-Event-ID': ids[-1].removeprefix(b'id: ').decode()}
        path = f'/v1/requests/{request_id}'
        rest = fresh_cluster.call(1, 'GET', path, headers=headers.items())
        assert rest.status == 200
        assert read_text(first) + read_text(rest.data) == expected_text('moved', 500)


def build_daemon_entry(cluster):
    return {
        'instance_id': 'instance-0',
        'role': 'entry',
        'state': 'live',
        'failure_domain': 'north',
        'address': cluster.daemons[0].describe()['peers'],
        'machine_class': 'reclaimable',
    }
