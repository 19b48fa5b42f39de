"""A platform of fixed answers, served in process."""

import threading
from collections.abc import Callable, Iterable
from typing import Any

from cheroot.wsgi import Server

from fireflyhitch_model.instances import InstanceListing
from fireflyhitch_settings.schema import Configuration


def serve_platform(listing: InstanceListing, configuration: Configuration) -> Server:
    """Serve an instance list and a configuration until the server is stopped."""
    from pydantic import TypeAdapter

    instances = TypeAdapter(InstanceListing).dump_json(listing)

    def answer(environ: dict[str, Any], start: Callable[..., Any]) -> Iterable[bytes]:
        start('200 OK', [('Content-Type', 'application/json')])
        if environ['PATH_INFO'] == '/instances':
            return [instances]
        return [configuration.model_dump_json().encode()]

    server = Server(('127.0.0.1', 0), answer)
    server.prepare()
    threading.Thread(target=server.serve, daemon=True).start()
    return server
