"""Tests of the choice of daemons' ports."""

import socket
from pathlib import Path

from fireflyhitch_standins.ports import BLOCK_PORTS, PortAllocator, find_free_port
from fireflyhitch_standins.scripted_server import HOST

PORTS = 50
RANGE_OF_OUTGOING = Path('/proc/sys/net/ipv4/ip_local_port_range')


class TestPorts:
    def test_ports_are_below_the_ephemeral_range(
        self,
    ) -> None:
        """A stopped daemon cannot listen again if a connection uses its port."""
        lowest = int(RANGE_OF_OUTGOING.read_text().split()[0])
        assert all(find_free_port() < lowest for _ in range(PORTS))

    def test_port_in_use_is_not_returned(self) -> None:
        with socket.socket() as listener:
            listener.bind((HOST, find_free_port()))
            listener.listen()
            taken = listener.getsockname()[1]
            assert all(find_free_port() != taken for _ in range(PORTS))

    def test_port_in_use_for_datagrams_is_not_returned(self) -> None:
        """A daemon that could not listen for its peers' datagrams never served."""
        with socket.socket(type=socket.SOCK_DGRAM) as listener:
            listener.bind((HOST, find_free_port() + 1))
            taken = listener.getsockname()[1]
            assert all(find_free_port() != taken for _ in range(PORTS))

    def test_two_allocators_choose_different_ports(self) -> None:
        """Test runs beside each other chose one port for two daemons."""
        allocators = [PortAllocator() for _ in range(4)]
        ports = [
            allocator.find_free_port()
            for _ in range(BLOCK_PORTS - 1)
            for allocator in allocators
        ]
        for allocator in allocators:
            allocator.close()
        assert len(set(ports)) == len(ports)

    def test_no_port_is_returned_again_before_its_daemon_listens(self) -> None:
        """Ports of a test's earlier daemons, still in use, made the next ones meet."""
        allocator = PortAllocator()
        earlier = [allocator.find_free_port() for _ in range(BLOCK_PORTS - 20)]
        listeners = [socket.socket() for _ in earlier]
        for listener, port in zip(listeners, earlier, strict=True):
            listener.bind((HOST, port))
            listener.listen()
        ports = [allocator.find_free_port() for _ in range(BLOCK_PORTS)]
        for listener in listeners:
            listener.close()
        allocator.close()
        assert len(set(ports)) == len(ports)
