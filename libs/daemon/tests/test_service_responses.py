"""Tests of the conversion of headers for plain services."""

from fireflyhitch_daemon.service_responses import forward_headers


class TestForwardHeaders:
    """The headers sent to a backend server."""

    def test_api_key_is_dropped_and_remaining_time_is_sent(self):
        given = {
            'authorization': 'Bearer secret',
            'connection': 'keep-alive',
            'fireflyhitch-deadline-ms': '5000',
            'accept': 'text/plain',
        }
        assert forward_headers(given, 'id', 1.25) == {
            'accept': 'text/plain',
            'X-Request-Id': 'id',
            'Fireflyhitch-Deadline-Ms': '1250',
        }
