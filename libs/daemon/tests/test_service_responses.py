"""Tests of what passes between a caller and a plain service."""

from fireflyhitch_daemon.service_responses import forward_headers


class TestForwardHeaders:
    """A caller's headers on their way to a backend server."""

    def test_key_stays_here_and_the_time_left_goes_along(self):
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
