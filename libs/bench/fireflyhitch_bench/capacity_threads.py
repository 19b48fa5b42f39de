"""The baseline: a thread a stream, cheroot in front and urllib3 behind.

It does nothing of the product's: no key, no choice, no ids, no answer log.
"""

import argparse
import itertools
import json
import sys
import threading
from collections.abc import Callable, Iterable, Iterator
from typing import Any

import urllib3
from cheroot.wsgi import Server

from fireflyhitch_daemon.main import SWITCH_SECONDS, stop_on_signals

THREADS = 420


def main() -> int:
    """Serve until SIGTERM; print the address as a line of JSON."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument('engines', nargs='+')
    options = parser.parse_args()
    sys.setswitchinterval(SWITCH_SECONDS)
    pool = urllib3.PoolManager(maxsize=THREADS, retries=False)
    engines = itertools.cycle(options.engines)

    def answer(
        environ: dict[str, Any], start_response: Callable[..., Any]
    ) -> Iterable[bytes]:
        length = int(environ['CONTENT_LENGTH'])
        body = environ['wsgi.input'].read(length)
        url = f'http://{next(engines)}{environ["PATH_INFO"]}'
        upstream = pool.request('POST', url, body=body, preload_content=False)
        start_response('200 OK', [('Content-Type', 'text/event-stream')])
        return _relay(upstream)

    server = Server(
        ('127.0.0.1', 0), answer, numthreads=THREADS, request_queue_size=512
    )
    stop = threading.Event()
    stop_on_signals(stop)
    server.prepare()
    threading.Thread(target=server.serve, daemon=True).start()
    host, port = server.bind_addr[:2]
    print(json.dumps({'callers': f'{host}:{port}'}), flush=True)
    stop.wait()
    return 0


def _relay(upstream: urllib3.BaseHTTPResponse) -> Iterator[bytes]:
    yield from upstream.stream(65536)
    upstream.release_conn()


if __name__ == '__main__':
    sys.exit(main())
