"""The request that has an engine go on with an answer, and its events."""

import json
from collections.abc import Iterable
from dataclasses import dataclass
from typing import Any

from fireflyhitch_recovery.requests import CompletionKind

DONE = b'[DONE]'
LIMIT_FIELDS = ('max_completion_tokens', 'max_tokens')
SINGLE_CHOICE = (None, 1)
# Their state is not part of the text, so a text prefix cannot restore it.
STATEFUL_FIELDS = ('tools', 'functions', 'response_format', 'logprobs')


@dataclass(frozen=True, slots=True)
class GeneratedText:
    """What an answer's events say so far.

    :param tokens: events with text in them; engines send one a token.
    :param finished: whether the engine said why it stopped.
    """

    text: str
    tokens: int
    finished: bool


def read_generated(events: Iterable[bytes]) -> GeneratedText:
    """Read the text out of an answer's events.

    Events are kept as raw bytes and only read here, when a stream was lost.
    """
    parts: list[str] = []
    finished = False
    for event in events:
        if event == DONE:
            finished = True
            continue
        choice = _read_choice(json.loads(event))
        text = _read_text(choice)
        if text:
            parts.append(text)
        finished = finished or choice.get('finish_reason') is not None
    return GeneratedText(''.join(parts), len(parts), finished)


def is_continuable(body: bytes) -> bool:
    """Tell whether a request can go on from its generated text."""
    request = json.loads(body)
    if request.get('n') not in SINGLE_CHOICE:
        return False
    return not any(request.get(field) for field in STATEFUL_FIELDS)


def build_continuation(
    kind: CompletionKind, body: bytes, generated: GeneratedText
) -> bytes:
    """Return the body that has another engine go on behind the text so far."""
    request = json.loads(body)
    if kind is CompletionKind.CHAT:
        request['messages'] = _extend_messages(request, generated.text)
        request['continue_final_message'] = True
        request['add_generation_prompt'] = False
    else:
        request['prompt'] = _extend_prompt(request.get('prompt', ''), generated.text)
    for field in LIMIT_FIELDS:
        limit = request.get(field)
        if limit is not None:
            request[field] = limit - generated.tokens
    return json.dumps(request).encode()


def count_remaining(body: bytes, generated_tokens: int, default: int) -> int:
    """Return how many tokens an answer may still have.

    :param default: the limit of a request that names none.
    """
    request = json.loads(body)
    limits = [request[field] for field in LIMIT_FIELDS if request.get(field)]
    return max(0, min(limits, default=default) - generated_tokens)


def adapt_event(event: bytes, first: bytes | None, generated_tokens: int) -> bytes:
    """Make a continuation's event one of the answer that it continues.

    The id, the time and the usage are those of the whole answer; a caller that
    sees them change would take the rest for another answer.

    :param first: the first event of the whole answer.
    :param generated_tokens: that the answer had before this attempt.
    """
    if event == DONE or first is None or first == DONE:
        return event
    chunk = json.loads(event)
    original = json.loads(first)
    shared = ('id', 'created', 'model')
    chunk.update({name: original[name] for name in shared if name in original})
    usage = chunk.get('usage')
    if usage:
        usage['prompt_tokens'] -= generated_tokens
        usage['completion_tokens'] += generated_tokens
    return json.dumps(chunk).encode()


def _extend_messages(request: dict[str, Any], text: str) -> list[dict[str, Any]]:
    messages = list(request['messages'])
    if request.get('continue_final_message') and messages:
        last = messages.pop()
        content = f'{last.get("content", "")}{text}'
        return [*messages, {**last, 'content': content}]
    if not text:
        return [*messages, {'role': 'assistant', 'content': ''}]
    return [*messages, {'role': 'assistant', 'content': text}]


def _extend_prompt(prompt: Any, text: str) -> Any:
    if isinstance(prompt, list):
        return [f'{prompt[0]}{text}']
    return f'{prompt}{text}'


def _read_choice(chunk: dict[str, Any]) -> dict[str, Any]:
    choices = chunk.get('choices')
    return choices[0] if choices else {}


def _read_text(choice: dict[str, Any]) -> str:
    delta = choice.get('delta') or {}
    return choice.get('text') or delta.get('content') or ''
