"""A site on loopback until SIGTERM: ``make stack``."""

import json
import sys
import threading

from fireflyhitch_bench.processes import ProcessGroup
from fireflyhitch_bench.site import BRANDVEILIG, start_site
from fireflyhitch_daemon.main import stop_on_signals


def main() -> int:
    """Start a site, print how to reach it, and wait for SIGTERM or SIGINT."""
    stop = threading.Event()
    stop_on_signals(stop)
    with ProcessGroup() as group:
        site = start_site(group, BRANDVEILIG)
        print(json.dumps(site.describe()), flush=True)
        stop.wait()
    return 0


if __name__ == '__main__':
    sys.exit(main())
