"""Tests of the relay's event loop, without a backend server."""

import socket
import threading

from test_caller_connections import make_exchange

from fireflyhitch_daemon.relay import Relay, RelayCallbacks
from fireflyhitch_daemon.upstream import Upstream
from fireflyhitch_model.clock import SystemClock

TIMEOUT_SECONDS = 30


def wait_for_commands(relay):
    """Wait until the relay's thread has run all commands given so far."""
    done = threading.Event()
    relay.run(done.set)
    assert done.wait(TIMEOUT_SECONDS)


class TestDropServer:
    """An answer moves away from a server that is about to stop."""

    def test_an_answer_that_another_server_continues_already_is_left_alone(self):
        """The server stopped first; the attempt that replaced it was cut off too."""
        lost = []
        relay = Relay(
            SystemClock(),
            RelayCallbacks(
                lost=lambda exchange, upstream, reason: lost.append(upstream.server_id),
                first_event=lambda exchange: None,
                ended=lambda exchange: None,
                orphaned=lambda exchange: None,
            ),
        )
        relay.start()
        exchange = make_exchange([])
        exchange.call.deadline = float('inf')
        here, _engine = socket.socketpair()
        stream = exchange.tracked.log.current()
        relay.attach(exchange, Upstream(here, stream, 'second/assistant'))
        relay.drop_server(exchange, 'first/assistant', 'backend server is leaving')
        wait_for_commands(relay)
        assert not lost
        relay.drop_server(exchange, 'second/assistant', 'backend server is leaving')
        wait_for_commands(relay)
        relay.stop()
        assert lost == ['second/assistant']
