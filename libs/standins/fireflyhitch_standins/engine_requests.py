"""Parses completion requests to the stand-in engine."""

import json
import secrets
from collections.abc import Iterable, Mapping
from typing import Any

from fireflyhitch_model.hashing import hash_text
from fireflyhitch_model.prompts import hash_prefix_blocks
from fireflyhitch_standins.answers import (
    count_tokens,
    join_messages,
    split_continuation,
)
from fireflyhitch_standins.asyncio_http import Request
from fireflyhitch_standins.engine_generation import CompletionRequest

DEFAULT_MAX_TOKENS = 16
ATTEMPT_BYTES = 8


def read_completion(request: Request, chat: bool) -> CompletionRequest:
    """Parse a completion request.

    :raises ValueError: if the body is not JSON.
    :raises KeyError: if it lacks a prompt or messages.
    """
    document = json.loads(request.body)
    prompt, held = _read_chat(document) if chat else _read_text(document)
    limit = document.get('max_completion_tokens') or document.get('max_tokens')
    options = document.get('stream_options') or {}
    attempt = request.headers.get('x-request-id') or secrets.token_hex(ATTEMPT_BYTES)
    return CompletionRequest(
        attempt=attempt,
        model=str(document.get('model', '')),
        chat=chat,
        stream=bool(document.get('stream', False)),
        include_usage=bool(options.get('include_usage', False)),
        prompt_hash=hash_text(prompt),
        prompt_tokens=count_tokens(prompt) + held,
        held=held,
        limit=int(limit or DEFAULT_MAX_TOKENS),
        kv_import=request.headers.get('x-kv-import'),
        priority=int(document.get('priority', 1)),
        route='chat' if chat else 'completions',
        prefix_blocks=hash_prefix_blocks(_read_prefix(document)),
    )


def _read_chat(document: Mapping[str, Any]) -> tuple[str, int]:
    messages = list(document['messages'])
    partial = ''
    if document.get('continue_final_message') and messages:
        partial = str(messages.pop().get('content') or '')
    return join_messages(messages), count_tokens(partial)


def _read_text(document: Mapping[str, Any]) -> tuple[str, int]:
    return split_continuation(str(document['prompt']))


def _read_prefix(document: Mapping[str, Any]) -> str:
    # Same text as in the daemon, because its hashes must match the cache events.
    messages: Iterable[Mapping[str, Any]] = document.get('messages', ())
    if not messages:
        return str(document.get('prompt', ''))
    return '\n'.join(str(message.get('content')) for message in messages)
