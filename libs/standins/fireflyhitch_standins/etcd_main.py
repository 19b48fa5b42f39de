"""The key-value stand-in as a process of its own."""

import argparse

from fireflyhitch_model.clock import SystemClock
from fireflyhitch_standins.etcd_server import EtcdServer
from fireflyhitch_standins.processes import serve_until_stopped


def main() -> None:
    """Serve until SIGTERM; print the address as a line of JSON."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument('--port', type=int, default=0)
    options = parser.parse_args()
    serve_until_stopped(EtcdServer(SystemClock(), options.port))


if __name__ == '__main__':
    main()
