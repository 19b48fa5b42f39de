"""Tests of locating the daemon that has an answer."""

from datetime import timedelta
from types import SimpleNamespace

from fireflyhitch_daemon.http_server import DETACHED, CallerRequest
from fireflyhitch_daemon.request_lookup import RequestLookup
from fireflyhitch_model.clock import ManualClock
from fireflyhitch_model.peers import Daemon
from fireflyhitch_recovery.inflight import InFlight, make_request_id
from fireflyhitch_recovery.locations import RequestLocator
from fireflyhitch_recovery.settings import DEFAULT_SETTINGS
from fireflyhitch_standins.peers import MemoryPeerNetwork

HERE = Daemon('here', 'north', '', '127.0.0.1:1')
THERE = Daemon('there', 'south', '', '127.0.0.1:2')


class TestBusyPeer:
    """A peer that does not answer in time."""

    def test_request_is_forwarded_to_the_daemon_that_accepted_it(self):
        """A caller reconnects at another daemon while the links are too slow.

        No peer reports the location of its request. It must be forwarded to the
        daemon named in its id rather than answered with 404.
        """
        network = MemoryPeerNetwork()
        messenger = network.join(HERE)
        network.join(THERE)
        network.disconnect('here', 'there')
        in_flight = InFlight(
            'here',
            ManualClock(),
            SimpleNamespace(max_bytes=1000, duration=timedelta(seconds=9)),
        )
        locations = RequestLocator(
            'here', messenger, ManualClock(), in_flight, DEFAULT_SETTINGS
        )
        addresses = []
        forwarder = SimpleNamespace(
            forward=lambda request, address: addresses.append(address)
        )
        lookup = RequestLookup('here', None, in_flight, locations, messenger, forwarder)
        path = f'/v1/requests/{make_request_id("there")}'
        request = CallerRequest('GET', path, '', {}, '127.0.0.1', None, 0)
        assert lookup.answer(request, 'customer') is DETACHED
        assert addresses == ['127.0.0.1:2']
