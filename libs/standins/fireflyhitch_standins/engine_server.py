"""The stand-in model engine over HTTP, one process for many streams."""

import argparse
import json
import signal
import threading
import time
from http import HTTPStatus
from typing import Any

from pydantic import BaseModel, ConfigDict

from fireflyhitch_model.hashing import hash_text
from fireflyhitch_standins.answers import (
    count_tokens,
    join_messages,
    split_continuation,
)
from fireflyhitch_standins.asyncio_http import AsyncHttpServer, Handler, Reply, Request
from fireflyhitch_standins.engine_generation import Ask, Generation, Listener

DEFAULT_MAX_TOKENS = 16
COMPLETIONS = '/v1/completions'
CHAT = '/v1/chat/completions'
STREAMS = '/engine/streams/'


class EngineSettings(BaseModel):
    """How the engine behaves; a test may replace it while it runs.

    :param prefill_seconds: for each prompt token that is computed.
    :param answer_tokens: the length at which an answer stops by itself.
    :param linger_seconds: how long a stream that nobody listens to goes on.
    :param retain_seconds: how long a finished stream can still be read.
    """

    model_config = ConfigDict(extra='forbid')

    version: str = 'v1'
    token_seconds: float = 0.05
    first_token_seconds: float = 0.1
    prefill_seconds: float = 0
    answer_tokens: int = 64
    linger_seconds: float = 0
    retain_seconds: float = 30


class EngineServer:
    """Answers chat and text completions with tokens at fixed times."""

    def __init__(
        self,
        settings: EngineSettings | None = None,
        host: str = '127.0.0.1',
        port: int = 0,
    ) -> None:
        self.settings = settings or EngineSettings()
        self.generations: dict[str, Generation] = {}
        self.running = 0
        self.cancelled = 0
        self.computed_prompt_tokens = 0
        self._server = AsyncHttpServer(self._handle, host, port)
        self._loop = self._server.loop
        self._serial = 0
        self._routes: dict[str, Handler] = {
            CHAT: self._complete,
            COMPLETIONS: self._complete,
            STREAMS: self._handle_stream,
            '/engine/load': self._send_load,
            '/engine/state': self._send_state,
            '/engine/cache-events': self._send_cache_events,
            '/standin/settings': self._handle_settings,
        }

    @property
    def address(self) -> str:
        """Return ``host:port`` once started."""
        return self._server.address

    def start(self) -> None:
        """Listen and serve."""
        self._server.start()

    def stop(self) -> None:
        """Reset all connections, as an instance that goes does."""
        self._server.stop()

    def _handle(self, request: Request, reply: Reply) -> None:
        path = request.path
        if path.startswith(STREAMS):
            path = STREAMS
        route = self._routes.get(path)
        if route is None:
            _refuse(reply, HTTPStatus.NOT_FOUND, 'no such path')
            return
        route(request, reply)

    def _complete(self, request: Request, reply: Reply) -> None:
        try:
            ask = self._read_ask(request)
        except (ValueError, KeyError, TypeError) as error:
            _refuse(reply, HTTPStatus.BAD_REQUEST, repr(error))
            return
        generation = Generation(ask, int(time.time()))
        self.generations[ask.attempt] = generation
        self.running += 1
        self.computed_prompt_tokens += ask.prompt_tokens
        self._attach(generation, Listener(reply, ask.stream))
        delay = self.settings.first_token_seconds
        delay += self.settings.prefill_seconds * ask.prompt_tokens
        due = self._loop.time() + delay
        self._loop.call_at(due, self._advance, generation, due)

    def _read_ask(self, request: Request) -> Ask:
        document = json.loads(request.body)
        chat = request.path == CHAT
        prompt, held, prompt_tokens = _read_prompt(document, chat)
        limit = document.get('max_completion_tokens') or document.get('max_tokens')
        self._serial += 1
        options = document.get('stream_options') or {}
        return Ask(
            attempt=request.headers.get('x-request-id', f'local-{self._serial}'),
            model=str(document.get('model', '')),
            chat=chat,
            stream=bool(document.get('stream', False)),
            include_usage=bool(options.get('include_usage', False)),
            prompt_hash=hash_text(prompt),
            prompt_tokens=prompt_tokens,
            held=held,
            limit=int(limit or DEFAULT_MAX_TOKENS),
            kv_import=request.headers.get('x-kv-import'),
            priority=int(document.get('priority', 1)),
        )

    def _advance(self, generation: Generation, due: float) -> None:
        if generation.cancelled or generation.finish_reason is not None:
            return
        reason = self._finish_reason(generation)
        if reason is None:
            generation.advance()
            reason = self._finish_reason(generation)
        if reason is not None:
            generation.finish(reason)
            self._forget_later(generation)
            return
        # The next token is due by the plan, so that lateness does not add up.
        due = max(due + self.settings.token_seconds, self._loop.time())
        self._loop.call_at(due, self._advance, generation, due)

    def _finish_reason(self, generation: Generation) -> str | None:
        ask = generation.ask
        if ask.held + generation.produced >= self.settings.answer_tokens:
            return 'stop'
        return 'length' if generation.produced >= ask.limit else None

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
            self._loop.call_later(linger, self._cancel_unheard, generation)

    def _cancel_unheard(self, generation: Generation) -> None:
        if not generation.listeners:
            self._cancel(generation)

    def _cancel(self, generation: Generation) -> None:
        if generation.cancelled or generation.finish_reason is not None:
            return
        generation.cancelled = True
        self.cancelled += 1
        for listener in generation.listeners:
            listener.reply.abort()
        generation.listeners.clear()
        self._forget_later(generation)

    def _forget_later(self, generation: Generation) -> None:
        self.running -= 1
        self._loop.call_later(
            self.settings.retain_seconds,
            self.generations.pop,
            generation.ask.attempt,
            None,
        )

    def _handle_stream(self, request: Request, reply: Reply) -> None:
        attempt = request.path.rsplit('/', 1)[-1]
        generation = self.generations.get(attempt)
        if generation is None or generation.cancelled:
            _refuse(reply, HTTPStatus.NOT_FOUND, 'no such stream')
        elif request.method == 'DELETE':
            self._cancel(generation)
            reply.send_json({})
        else:
            after = int(request.query.get('after', '0'))
            self._attach(generation, Listener(reply, stream=True), after)

    def _handle_settings(self, request: Request, reply: Reply) -> None:
        if request.method == 'PUT':
            held = self.settings.model_dump()
            self.settings = EngineSettings(**{**held, **json.loads(request.body)})
        reply.send_json(self.settings.model_dump())

    def _send_load(self, _: Request, reply: Reply) -> None:
        load = {'running': self.running, 'waiting': 0}
        reply.send_json({**load, 'kv_cache_used': 0, 'age_seconds': 0})

    def _send_state(self, _: Request, reply: Reply) -> None:
        state: dict[str, Any] = {'version': self.settings.version, 'adapters': []}
        reply.send_json({**state, 'role': 'both', 'fencing': 0, 'ready': True})

    def _send_cache_events(self, _: Request, reply: Reply) -> None:
        reply.send_json({'events': []})


def _read_prompt(document: dict[str, Any], chat: bool) -> tuple[str, int, int]:
    if not chat:
        whole = str(document['prompt'])
        prompt, held = split_continuation(whole)
        return prompt, held, count_tokens(whole)
    messages = list(document['messages'])
    partial = ''
    if document.get('continue_final_message') and messages:
        partial = str(messages.pop().get('content') or '')
    prompt = join_messages(messages)
    held = count_tokens(partial)
    return prompt, held, count_tokens(prompt) + held


def _refuse(reply: Reply, status: HTTPStatus, message: str) -> None:
    error = {'message': message, 'type': 'invalid_request_error', 'code': None}
    reply.send_json({'error': error}, status)


def main() -> None:
    """Serve until SIGTERM; print the address as a line of JSON."""
    options = _read_options()
    fields = EngineSettings.model_fields
    chosen = {field: getattr(options, field) for field in fields}
    server = EngineServer(
        EngineSettings.model_validate(chosen), options.host, options.port
    )
    stopped = threading.Event()
    signal.signal(signal.SIGTERM, lambda *_: stopped.set())
    server.start()
    print(json.dumps({'address': server.address}), flush=True)  # noqa: WPS421
    stopped.wait()
    server.stop()


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
