"""Putting an answer's events together into the whole answer."""

import json
from collections.abc import Iterable, Mapping
from typing import Any

from fireflyhitch_daemon.exchange import Endpoint
from fireflyhitch_daemon.sse import parse_event

Json = dict[str, Any]


def collect_text(endpoint: Endpoint, events: Iterable[bytes]) -> str:
    """Return the text that an answer's events hold so far."""
    return ''.join(
        _read_text(endpoint, choice)
        for event in events
        for choice in parse_event(event).get('choices', ())
    )


def assemble_answer(
    endpoint: Endpoint, request: Mapping[str, Any], events: list[bytes]
) -> bytes:
    """Return the body for a caller that asked for the answer as a whole."""
    parsed = [parse_event(event) for event in events]
    first: Json = parsed[0] if parsed else {}
    usage = next((one['usage'] for one in reversed(parsed) if one.get('usage')), None)
    answer: Json = {
        'id': first.get('id', ''),
        'object': _name_object(endpoint),
        'created': first.get('created', 0),
        'model': request.get('model', first.get('model', '')),
        'choices': [_assemble_choice(endpoint, parsed)],
    }
    if usage is not None:
        answer['usage'] = usage
    return json.dumps(answer).encode()


def _name_object(endpoint: Endpoint) -> str:
    if endpoint is Endpoint.CHAT:
        return 'chat.completion'
    return 'text_completion'


def _assemble_choice(endpoint: Endpoint, parsed: list[Json]) -> Json:
    choices = [choice for one in parsed for choice in one.get('choices', ())]
    text = ''.join(_read_text(endpoint, choice) for choice in choices)
    reasons = [choice.get('finish_reason') for choice in choices]
    reason = next((reason for reason in reversed(reasons) if reason), None)
    choice: Json = {'index': 0, 'finish_reason': reason, 'logprobs': None}
    if endpoint is Endpoint.CHAT:
        choice['message'] = {'role': 'assistant', 'content': text}
    else:
        choice['text'] = text
    return choice


def _read_text(endpoint: Endpoint, choice: Json) -> str:
    if endpoint is Endpoint.TEXT:
        return choice.get('text') or ''
    delta = choice.get('delta') or {}
    return delta.get('content') or ''
