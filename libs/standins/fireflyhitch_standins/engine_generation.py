"""Token streams of the stand-in engine and their listeners."""

import json
from collections.abc import Callable
from dataclasses import dataclass, field
from http import HTTPStatus
from typing import Any

from fireflyhitch_standins.answers import write_token
from fireflyhitch_standins.asyncio_http import Reply

END_OF_STREAM = b'data: [DONE]\n\n'
CONTENT_PLACEHOLDER = '@content@'
FAILURE = {'error': {'message': 'engine failure', 'type': 'server_error'}}

# Renders a token's text as an event.
Renderer = Callable[[str], bytes]


@dataclass(frozen=True, slots=True)
class CompletionRequest:
    """The completion that an attempt requests.

    :param held: number of answer tokens that the prompt already contains.
    :param limit: maximum number of tokens to generate in this attempt.
    """

    attempt: str
    model: str
    chat: bool
    stream: bool
    include_usage: bool
    prompt_hash: int
    prompt_tokens: int
    held: int
    limit: int
    kv_import: str | None = None
    priority: int = 1
    route: str = 'chat'
    prefix_blocks: tuple[int, ...] = ()


@dataclass(slots=True)
class Listener:
    """A connection that receives a stream."""

    reply: Reply
    stream: bool


@dataclass(slots=True)
class Generation:
    """One attempt's stream, which may outlive its connections.

    :param key: identifies it within the pacing.
    :param imported_tokens: prompt tokens whose KV cache was imported.
    :param cached_tokens: prompt tokens that need no computation, including imports.
    :param finish_reason: set after the last token.
    """

    completion: CompletionRequest
    created: int
    key: str = ''
    imported_tokens: int = 0
    cached_tokens: int = 0
    produced: int = 0
    finish_reason: str | None = None
    cancelled: bool = False
    listeners: list[Listener] = field(default_factory=list)
    render: Renderer = field(init=False)

    def __post_init__(self) -> None:
        """Pre-render the constant parts of an event."""
        self.render = _make_renderer(self)

    @property
    def computed_tokens(self) -> int:
        """Return the number of prompt tokens to compute."""
        return self.completion.prompt_tokens - self.cached_tokens

    @property
    def has_ended(self) -> bool:
        """Return whether the stream has finished or was cancelled."""
        return self.cancelled or self.finish_reason is not None

    def attach(self, listener: Listener, after: int = 0) -> None:
        """Add a listener and send it the tokens produced from ``after`` on."""
        self.listeners.append(listener)
        if listener.stream:
            listener.reply.start_events()
            for index in range(after, self.produced):
                listener.reply.write_chunk(self.render(self.token(index)))
        if self.finish_reason is not None:
            self._finish_listener(listener)

    def token(self, index: int) -> str:
        """Return the text of this attempt's token at an index."""
        return write_token(self.completion.prompt_hash, self.completion.held + index)

    def advance(self) -> None:
        """Generate one token and send it."""
        text = self.token(self.produced)
        self.produced += 1
        event = self.render(text)
        for listener in self.listeners:
            if listener.stream:
                listener.reply.write_chunk(event)

    def finish(self, reason: str) -> None:
        """End the stream for all listeners."""
        self.finish_reason = reason
        for listener in tuple(self.listeners):
            self._finish_listener(listener)
        self.listeners.clear()

    def fail(self) -> None:
        """End the stream with an error instead of the rest."""
        self.cancelled = True
        for listener in self.listeners:
            if listener.stream:
                listener.reply.write_chunk(_write_event(FAILURE))
                listener.reply.end_events()
            else:
                listener.reply.send_json(FAILURE, HTTPStatus.INTERNAL_SERVER_ERROR)
        self.listeners.clear()

    def abort(self) -> None:
        """Reset all connections, as a crashing process does."""
        self.cancelled = True
        for listener in self.listeners:
            listener.reply.abort()
        self.listeners.clear()

    def usage(self) -> dict[str, Any]:
        """Return the usage in OpenAI's form."""
        return {
            'prompt_tokens': self.completion.prompt_tokens,
            'completion_tokens': self.produced,
            'total_tokens': self.completion.prompt_tokens + self.produced,
            'prompt_tokens_details': {'cached_tokens': self.cached_tokens},
        }

    def _finish_listener(self, listener: Listener) -> None:
        if not listener.stream:
            listener.reply.send_json(self._full_response())
            return
        reply = listener.reply
        reply.write_chunk(_write_event(self._document(self._last_choice(), '.chunk')))
        if self.completion.include_usage:
            last = {**self._document(None, '.chunk'), 'usage': self.usage()}
            reply.write_chunk(_write_event(last))
        reply.write_chunk(END_OF_STREAM)
        reply.end_events()

    def _last_choice(self) -> dict[str, Any]:
        empty: dict[str, Any] = {'delta': {}} if self.completion.chat else {'text': ''}
        return {'index': 0, **empty, 'finish_reason': self.finish_reason}

    def _full_response(self) -> dict[str, Any]:
        text = ''.join(self.token(index) for index in range(self.produced))
        body: dict[str, Any] = {'text': text}
        if self.completion.chat:
            body = {'message': {'role': 'assistant', 'content': text}}
        choice = {'index': 0, **body, 'finish_reason': self.finish_reason}
        return {**self._document(choice, ''), 'usage': self.usage()}

    def _document(self, choice: dict[str, Any] | None, suffix: str) -> dict[str, Any]:
        kind = f'chat.completion{suffix}' if self.completion.chat else 'text_completion'
        return {
            'id': f'chatcmpl-{self.completion.attempt}',
            'object': kind,
            'created': self.created,
            'model': self.completion.model,
            'choices': [] if choice is None else [choice],
        }


def _make_renderer(generation: Generation) -> Renderer:
    placeholder: dict[str, Any] = {'text': CONTENT_PLACEHOLDER}
    if generation.completion.chat:
        placeholder = {'delta': {'content': CONTENT_PLACEHOLDER}}
    choice = {'index': 0, **placeholder, 'finish_reason': None}
    event = _write_event(generation._document(choice, '.chunk'))  # noqa: SLF001
    head, _, tail = event.partition(CONTENT_PLACEHOLDER.encode())

    def render(text: str) -> bytes:
        return b'%b%b%b' % (head, text.encode(), tail)

    return render


def _write_event(document: dict[str, Any]) -> bytes:
    return b'data: %b\n\n' % json.dumps(document, separators=(',', ':')).encode()
