"""Tests of plain services and non-repeatable calls."""

import json
import threading

from fireflyhitch_standins.service_server import ServiceSettings

PATH = '/services/bookings/visits'


def book(cluster, number, key, body='{}'):
    headers = {'Idempotency-Key': key}
    return cluster.call(number, 'POST', PATH, body=body, headers=headers.items())


def append_booking(answers, cluster, number):
    answers.append(book(cluster, number, 'both'))


def change_services(cluster, **settings):
    for server in cluster.platform.world.servers.values():
        if isinstance(server.settings, ServiceSettings):
            server.settings = ServiceSettings(**settings)


class TestRepeatedCalls:
    """A call with an idempotency key runs once, whichever daemons get it."""

    def test_concurrent_calls_to_two_daemons_run_once(self, cluster):
        """The caller sends one booking to two daemons concurrently.

        Both try to claim the key; the compare-and-swap succeeds for one. The other
        returns the stored answer or an error that the call is in progress.
        """
        answers = []
        threads = [
            threading.Thread(target=append_booking, args=(answers, cluster, n))
            for n in (0, 1)
        ]
        for thread in threads:
            thread.start()
        for thread in threads:
            thread.join()
        assert {answer.status for answer in answers} <= {200, 409}
        assert 200 in {answer.status for answer in answers}
        assert cluster.runs()['both'] == 1

    def test_repeat_gets_the_stored_answer(self, cluster):
        first = book(cluster, 0, 'again')
        second = book(cluster, 1, 'again')
        assert second.data == first.data
        assert second.headers['Fireflyhitch-Outcome'] == 'ran'
        assert cluster.runs()['again'] == 1

    def test_same_key_with_another_body_is_refused(self, cluster):
        book(cluster, 0, 'body')
        answer = book(cluster, 0, 'body', body='{"other": 1}')
        assert answer.status == 422
        assert answer.headers['Fireflyhitch-Outcome'] == 'not-run'

    def test_refused_call_was_not_run_and_can_be_retried(self, cluster):
        """The backend server reports that it refused before execution.

        The claim is released, so the caller's retry runs, once.
        """
        change_services(cluster, refuse=True)
        refused = book(cluster, 0, 'refused')
        change_services(cluster)
        assert refused.status == 503
        assert refused.headers['Fireflyhitch-Outcome'] == 'not-run'
        assert cluster.runs()['refused'] == 0
        assert book(cluster, 1, 'refused').status == 200
        assert cluster.runs()['refused'] == 1

    def test_lost_answer_is_unknown_and_never_resent(self, cluster):
        """The backend server runs the call, then the connection breaks.

        The daemon cannot determine whether it ran: the caller and every repeat
        get the outcome "unknown". Sending it again would book twice.
        """
        change_services(cluster, drop_share=1)
        lost = book(cluster, 0, 'lost')
        change_services(cluster)
        assert lost.status == 502
        assert lost.headers['Fireflyhitch-Outcome'] == 'unknown'
        again = book(cluster, 1, 'lost')
        assert again.status == 409
        assert again.json()['error']['code'] == 'outcome_unknown'
        assert cluster.runs()['lost'] == 1


class TestKeys:
    """Invalid idempotency keys."""

    def test_key_of_more_than_255_characters_is_refused(self, cluster):
        answer = book(cluster, 0, 'k' * 256)
        assert answer.status == 400
        assert answer.json()['error']['code'] == 'idempotency_key_required'
        assert book(cluster, 0, 'k' * 255).status == 200


class TestOutage:
    """The key-value store is unavailable."""

    def test_call_that_cannot_be_claimed_is_not_run(self, fresh_cluster):
        """The store rejects every call when a booking arrives.

        It cannot be claimed, so it is rejected before anything is sent; model
        calls still work. Once the store is available the same key runs, once.
        """
        address = f'{fresh_cluster.store.url}/standin/faults'
        fresh_cluster.http.request('PUT', address, json={'outage': True})
        refused = book(fresh_cluster, 0, 'outage')
        assert refused.status == 503
        assert refused.headers['Fireflyhitch-Outcome'] == 'not-run'
        assert refused.headers['Retry-After']
        answer = fresh_cluster.client().chat.completions.create(
            model='assistant', messages=[{'role': 'user', 'content': 'x'}], max_tokens=2
        )
        assert answer.choices
        fresh_cluster.http.request('PUT', address, json={'outage': False})
        assert book(fresh_cluster, 0, 'outage').status == 200
        assert fresh_cluster.runs()['outage'] == 1


class TestForwarding:
    """Requests as they reach the service."""

    def test_method_path_query_and_body_reach_the_service(self, cluster):
        answer = cluster.call(0, 'PUT', '/services/bookings/a/b?c=1', body='text')
        seen = json.loads(answer.data)
        assert seen['method'] == 'PUT'
        assert seen['path'].startswith('/a/b')
        assert seen['body'] == 'text'
