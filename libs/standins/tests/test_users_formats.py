"""Tests of what stand-ins of the users' platform write, and of daemons' ports."""

import socket
from pathlib import Path

from fireflyhitch_standins.scripted_server import HOST
from fireflyhitch_standins.users_formats import find_port

PORTS = 50
RANGE_OF_OUTGOING = Path('/proc/sys/net/ipv4/ip_local_port_range')


class TestPorts:
    def test_no_outgoing_connection_takes_the_port_of_a_daemon_that_is_down(
        self,
    ) -> None:
        """A daemon whose port became a connection's local port never serves again."""
        lowest = int(RANGE_OF_OUTGOING.read_text().split()[0])
        assert all(find_port() < lowest for _ in range(PORTS))

    def test_a_port_that_somebody_listens_on_is_not_given(self) -> None:
        with socket.socket() as listener:
            listener.bind((HOST, find_port()))
            listener.listen()
            taken = listener.getsockname()[1]
            assert all(find_port() != taken for _ in range(PORTS))
