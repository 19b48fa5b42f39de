"""The stand-in model engine over HTTP, one process for many streams."""

import argparse
import json
import time
from collections.abc import Callable, Mapping
from dataclasses import asdict
from functools import partial
from http import HTTPStatus
from typing import Any

from fireflyhitch_model.hashing import hash_text
from fireflyhitch_model.ids import VersionId
from fireflyhitch_standins.asyncio_http import (
    AsyncHttpServer,
    Handler,
    Reply,
    Request,
)
from fireflyhitch_standins.engine import EngineRefusal
from fireflyhitch_standins.engine_batch import BatchPacing
from fireflyhitch_standins.engine_generation import FAILURE, Generation, Listener
from fireflyhitch_standins.engine_kv import KvImports, export_cache
from fireflyhitch_standins.engine_orders import EngineOrderHandler
from fireflyhitch_standins.engine_pacing import FixedPacing, Pacing
from fireflyhitch_standins.engine_requests import read_completion
from fireflyhitch_standins.engine_settings import EngineSettings, PacingKind
from fireflyhitch_standins.processes import serve_until_stopped

COMPLETIONS = '/v1/completions'
CHAT = '/v1/chat/completions'
STREAMS = '/engine/streams/'
KV = '/engine/kv/'
NOT_RUN = {'Fireflyhitch-Outcome': 'not-run', 'Content-Type': 'application/json'}
HASH_BITS = 64
HASH_RANGE = 2**HASH_BITS


class EngineServer:
    """Serves chat and text completions with timed tokens.

    :param versions: settings that replace the current ones when a version is
        loaded; missing versions keep the current settings.
    """

    def __init__(
        self,
        settings: EngineSettings | None = None,
        host: str = '127.0.0.1',
        port: int = 0,
        versions: Mapping[VersionId, EngineSettings] | None = None,
    ) -> None:
        self.settings = settings or EngineSettings()
        self.generations: dict[str, Generation] = {}
        self.cancelled = 0
        self.computed_tokens = 0
        self.recomputed_tokens = 0
        self._versions = versions or {}
        self._server = AsyncHttpServer(self._handle, host, port)
        self._loop = self._server.loop
        self._imports = KvImports()
        self.order_handler = EngineOrderHandler(
            self._loop, lambda: self.settings, self._set_version
        )
        self._pacing = self._make_pacing()
        self._routes: dict[str, Handler] = {
            CHAT: self._complete,
            COMPLETIONS: self._complete,
            STREAMS: self._handle_stream,
            KV: self._handle_kv,
            '/engine/orders': self._accept_order,
            '/engine/state': self._send_state,
            '/engine/load': self._send_load,
            '/engine/cache-events': self._send_cache_events,
            '/standin/settings': self._handle_settings,
            '/standin/counters': self._send_counters,
        }

    @property
    def address(self) -> str:
        """Return ``host:port`` once started."""
        return self._server.address

    @property
    def running(self) -> int:
        """Return the number of running and waiting streams."""
        return self._pacing.count()

    def start(self) -> None:
        """Listen and serve."""
        self._server.start()

    def stop(self) -> None:
        """Reset all connections, as a reclaimed instance does."""
        self._server.stop()

    def _make_pacing(self) -> Pacing:
        make = BatchPacing if self.settings.pacing is PacingKind.BATCH else FixedPacing
        return make(self._loop, lambda: self.settings, self._advance)

    def _handle(self, request: Request, reply: Reply) -> None:
        path = request.path
        for prefix in (STREAMS, KV):
            if path.startswith(prefix):
                path = prefix
        route = self._routes.get(path)
        if route is None:
            _refuse(reply, HTTPStatus.NOT_FOUND, 'no such path')
            return
        try:
            route(request, reply)
        except (ValueError, KeyError, TypeError) as error:
            _refuse(reply, HTTPStatus.BAD_REQUEST, repr(error))

    def _complete(self, request: Request, reply: Reply) -> None:
        if not self.order_handler.accepts_calls:
            _refuse_call(reply, 'not_ready')
            return
        completion = read_completion(request, request.path == CHAT)
        if _is_selected(f'{completion.attempt}/error', self.settings.error_share):
            reply.send_json(FAILURE, HTTPStatus.INTERNAL_SERVER_ERROR)
            return
        generation = Generation(completion, int(time.time()))
        generation.imported_tokens = self._imports.count_tokens(completion)
        try:
            self._pacing.begin(generation)
        except EngineRefusal:
            _refuse_call(reply, 'queue_full')
            return
        self.generations[completion.attempt] = generation
        self._attach(generation, Listener(reply, completion.stream))

    def _advance(self, generation: Generation) -> None:
        if not generation.produced:
            self._count_prompt(generation)
        reason = self._find_end(generation)
        if reason is None:
            generation.advance()
            reason = self._find_end(generation)
        if generation.produced == 1 and self._fails(generation):
            self._end(generation, generation.fail)
        elif generation.produced == self.settings.break_after_tokens:
            self._end(generation, generation.abort)
        elif reason is not None:
            self._end(generation, partial(generation.finish, reason))

    def _count_prompt(self, generation: Generation) -> None:
        self.computed_tokens += generation.computed_tokens
        if generation.completion.held:
            self.recomputed_tokens += generation.computed_tokens

    def _find_end(self, generation: Generation) -> str | None:
        completion = generation.completion
        if completion.held + generation.produced >= self.settings.answer_tokens:
            return 'stop'
        return 'length' if generation.produced >= completion.limit else None

    def _fails(self, generation: Generation) -> bool:
        settings = self.settings
        if not settings.fail_share:
            return False
        if settings.fail_route not in {None, generation.completion.route}:
            return False
        if self.running <= settings.fail_above:
            return False
        return _is_selected(generation.completion.attempt, settings.fail_share)

    def _attach(
        self, generation: Generation, listener: Listener, after: int = 0
    ) -> None:
        listener.reply.on_close = lambda: self._detach(generation, listener)
        generation.attach(listener, after)

    def _detach(self, generation: Generation, listener: Listener) -> None:
        if listener in generation.listeners:
            generation.listeners.remove(listener)
        if not generation.listeners:
            linger = self.settings.linger_seconds
            self._loop.call_later(linger, self._cancel_if_abandoned, generation)

    def _cancel_if_abandoned(self, generation: Generation) -> None:
        if not generation.listeners:
            self._cancel(generation)

    def _cancel(self, generation: Generation) -> None:
        if generation.has_ended:
            return
        self.cancelled += 1
        self._end(generation, generation.abort)

    def _end(self, generation: Generation, end_listeners: Callable[[], None]) -> None:
        """End a generation after freeing its slot.

        A caller that has its response may read the engine's load immediately, from
        another thread, and must not see its own call as running.
        """
        self._pacing.end(generation)
        end_listeners()
        retain = self.settings.retain_seconds
        attempt = generation.completion.attempt
        self._loop.call_later(retain, self.generations.pop, attempt, None)

    def _handle_stream(self, request: Request, reply: Reply) -> None:
        generation = self._find(request)
        if generation is None or generation.cancelled:
            _refuse(reply, HTTPStatus.NOT_FOUND, 'no such stream')
        elif request.method == 'DELETE':
            self._cancel(generation)
            reply.send_json({})
        else:
            after = int(request.query.get('after', '0'))
            self._attach(generation, Listener(reply, stream=True), after)

    def _handle_kv(self, request: Request, reply: Reply) -> None:
        generation = self._find(request)
        if request.method == 'PUT':
            attempt = request.path.removeprefix(KV)
            self._imports.put(attempt, request.body)
            reply.send_json({})
        elif generation is None:
            _refuse(reply, HTTPStatus.NOT_FOUND, 'no such stream')
        else:
            size = self.settings.kv_bytes_per_token
            tokens, body = export_cache(generation, size)
            reply.send(body, {'Kv-Tokens': str(tokens)})

    def _find(self, request: Request) -> Generation | None:
        return self.generations.get(request.path.rpartition('/')[-1])

    def _accept_order(self, request: Request, reply: Reply) -> None:
        if self.order_handler.accept(request.body):
            reply.send_json({})
        else:
            _refuse(reply, HTTPStatus.CONFLICT, 'old fencing number')

    def _set_version(self, version: VersionId) -> None:
        self.settings = self._versions.get(version, self.settings)

    def _send_state(self, _: Request, reply: Reply) -> None:
        reply.send_json(self.order_handler.describe())

    def _send_load(self, _: Request, reply: Reply) -> None:
        load = asdict(self._pacing.load())
        load['age_seconds'] = load.pop('age')
        reply.send_json(load)

    def _send_cache_events(self, request: Request, reply: Reply) -> None:
        after = int(request.query.get('after', '0'))
        events = [asdict(event) for event in self._pacing.cache_events(after)]
        reply.send_json({'events': events})

    def _handle_settings(self, request: Request, reply: Reply) -> None:
        if request.method == 'PUT':
            held = self.settings.model_dump()
            wanted: dict[str, Any] = json.loads(request.body)
            self.settings = EngineSettings.model_validate({**held, **wanted})
        reply.send_json(self.settings.model_dump(mode='json'))

    def _send_counters(self, _: Request, reply: Reply) -> None:
        counters = {
            'running': self.running,
            'cancelled': self.cancelled,
            'computed_tokens': self.computed_tokens,
            'recomputed_tokens': self.recomputed_tokens,
        }
        reply.send_json(counters)


def _is_selected(key: str, share: float) -> bool:
    return share > 0 and hash_text(key) / HASH_RANGE < share


def _refuse_call(reply: Reply, code: str) -> None:
    error = {'message': 'takes no calls now', 'code': code}
    body = json.dumps({'error': error}).encode()
    reply.send(body, NOT_RUN, HTTPStatus.SERVICE_UNAVAILABLE)


def _refuse(reply: Reply, status: HTTPStatus, message: str) -> None:
    error = {'message': message, 'type': 'invalid_request_error', 'code': None}
    reply.send_json({'error': error}, status)


def main() -> None:
    """Serve until SIGTERM; print the address as a line of JSON."""
    options = _read_options()
    fields = EngineSettings.model_fields
    selected = {field: getattr(options, field) for field in fields}
    settings = EngineSettings.model_validate(selected)
    serve_until_stopped(EngineServer(settings, options.host, options.port))


def _read_options() -> argparse.Namespace:
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument('--host', default='127.0.0.1')
    parser.add_argument('--port', type=int, default=0)
    for name, setting in EngineSettings.model_fields.items():
        option = f'--{name.replace("_", "-")}'
        parser.add_argument(option, dest=name, default=setting.default)
    return parser.parse_args()


if __name__ == '__main__':
    main()
