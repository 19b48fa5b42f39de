"""Tests of servers and daemons that go while answers are under way."""

import json
import threading

from local_cluster import wait_until

from fireflyhitch_standins.answers import join_messages, write_answer


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


class TestLostServer:
    """A backend server goes in mid answer."""

    def test_answer_goes_on_without_a_gap_or_a_repeat(self, fresh_cluster):
        """The engine is killed after the first tokens, without notice.

        The daemon sees the connection end, sends prompt and text so far to
        another engine, and the caller's stream goes on at the next token.
        """
        stream = fresh_cluster.open_stream(0, 'killed', 60)
        head = stream.read(600)
        fresh_cluster.platform.world.cloud.kill(find_server(fresh_cluster))
        body = head + stream.read()
        assert read_text(body) == expected_text('killed', 60)
        assert body.count(b'data: [DONE]') == 1

    def test_notice_moves_the_answer_before_the_server_goes(self, fresh_cluster):
        """The cloud gives an engine two seconds; its answer takes longer.

        The daemon reads the notice, gives the engine no new work, and has the
        answer go on at another one; the caller sees one whole answer.
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

    def test_moved_answer_takes_its_kv_cache_along(self, fresh_cluster):
        """An engine with a long prompt gets a notice of two seconds.

        Computing prompt and text again would cost more than moving the cache, so
        the cache is exported before the stream is dropped, and imported where
        the answer goes on; the new engine computes next to nothing.
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


class TestDaemonShutdown:
    """A daemon's own way out."""

    def test_graceful_stop_cuts_off_no_answer(self, fresh_cluster):
        """The daemon is told to stop while an answer is half way.

        It is not ready at once, finishes the answer, and only then stops.
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
        """The cloud gives the daemon's own instance three seconds' notice.

        The answer cannot finish in that time. It is handed over with its tokens
        so far; the caller's stream ends early, and its next request, to the
        other daemon, brings the rest without a gap or a repeat.
        """
        stream = fresh_cluster.open_stream(0, 'moved', 500)
        request_id = stream.headers['Fireflyhitch-Request-Id']
        reclaim = {'notice_seconds': 3, 'instances': ['instance-0']}
        url = f'http://{fresh_cluster.platform.address}/standin/instances'
        fresh_cluster.http.request('PUT', url, json=list_entry(fresh_cluster))
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


def list_entry(cluster):
    return {
        'instance_id': 'instance-0',
        'role': 'entry',
        'state': 'live',
        'failure_domain': 'north',
        'address': cluster.daemons[0].describe()['peers'],
        'machine_class': 'reclaimable',
    }
