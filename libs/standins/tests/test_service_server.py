"""Tests of the stand-in for plain services."""

import pytest
import urllib3

from fireflyhitch_standins.service_server import ServiceServer, ServiceSettings


@pytest.fixture
def service():
    server = ServiceServer('bookings')
    server.start()
    yield server
    server.stop()


def book(service, key):
    url = f'http://{service.address}/bookings'
    headers = {'Idempotency-Key': key}
    return urllib3.request('POST', url, body=b'x', headers=headers, retries=False)


class TestRuns:
    """Run counts by idempotency key."""

    def test_repeated_key_counts_twice(self, service):
        assert book(service, 'a').json()['run'] == 1
        assert book(service, 'a').json()['path'] == '/bookings'
        book(service, 'b')
        runs = urllib3.request('GET', f'http://{service.address}/runs').json()
        assert runs == {'a': 2, 'b': 1}

    def test_refused_call_is_not_counted(self, service):
        service.settings = ServiceSettings(refuse=True)
        answer = book(service, 'a')
        assert answer.status == 503
        assert answer.headers['Fireflyhitch-Outcome'] == 'not-run'
        assert not service.runs

    def test_call_with_lost_response_is_counted(self, service):
        """The call runs, but the connection is reset before its response.

        The caller cannot know whether it ran; the count shows that it did.
        """
        url = f'http://{service.address}/standin/settings'
        urllib3.request('PUT', url, json={'drop_share': 1})
        with pytest.raises(urllib3.exceptions.ProtocolError):
            book(service, 'a')
        assert service.runs == {'a': 1}
