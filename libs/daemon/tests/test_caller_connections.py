"""Tests of caller connections on the relay's event loop."""

import select
import socket

from fireflyhitch_daemon.caller_connections import CallerConnections
from fireflyhitch_daemon.exchange import CallerConnection, Exchange, ExchangeState
from fireflyhitch_model.calls import Call
from fireflyhitch_model.states import Priority
from fireflyhitch_recovery.answers import AnswerLog
from fireflyhitch_recovery.requests import (
    AcceptedRequest,
    CompletionKind,
    TrackedRequest,
)


def make_exchange(events):
    call = Call('id', 'customer', 'model', 'chat', Priority.NORMAL, 1, 9, (), 0, 9)
    accepted = AcceptedRequest(call, CompletionKind.CHAT, b'{}', streaming=True)
    log = AnswerLog('daemon')
    log.current().extend(events)
    return Exchange(TrackedRequest(accepted, log))


class TestFinish:
    """The end of an answer."""

    def test_caller_that_lags_gets_remaining_events_and_the_end(self):
        """A caller reconnects just as its answer ends.

        It is two events behind when the end is sent, and must get them and then
        the end. If it were closed after the events, the answer would look cut off.
        """
        here, caller = socket.socketpair()
        connections = CallerConnections(select.epoll(), lambda exchange: None)
        exchange = make_exchange([b'{"a":1}', b'{"a":2}', b'{"a":3}'])
        connection = CallerConnection(here, streaming=True, position=1)
        connections.add(exchange, connection)
        exchange.state = ExchangeState.DONE
        connections.finish(exchange, connection)
        received = caller.makefile('rb').read()
        assert b'id: 2\ndata: {"a":2}' in received
        assert b'id: 3\ndata: {"a":3}' in received
        assert b'data: [DONE]' in received
        assert received.endswith(b'0\r\n\r\n')

    def test_moved_answer_ends_without_its_last_event(self):
        here, caller = socket.socketpair()
        connections = CallerConnections(select.epoll(), lambda exchange: None)
        exchange = make_exchange([b'{"a":1}'])
        connection = CallerConnection(here, streaming=True)
        connections.add(exchange, connection)
        connections.catch_up(exchange, connection)
        exchange.state = ExchangeState.MOVED
        connections.finish(exchange, connection)
        received = caller.makefile('rb').read()
        assert b'retry: ' in received
        assert b'[DONE]' not in received
