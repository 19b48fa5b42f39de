"""Assembles an answer's events into a single response body."""

import json
from collections.abc import Sequence
from typing import Any

from fireflyhitch_recovery.continuation import parse_generated_text
from fireflyhitch_recovery.requests import AcceptedRequest, CompletionKind

Json = dict[str, Any]


def assemble_answer(accepted: AcceptedRequest, events: Sequence[bytes]) -> bytes:
    """Return the response body for a caller that does not stream."""
    parsed: list[Json] = [json.loads(event) for event in events]
    first: Json = parsed[0] if parsed else {}
    usage = next((one['usage'] for one in reversed(parsed) if one.get('usage')), None)
    choice = _assemble_choice(accepted.kind, parsed, parse_generated_text(events).text)
    answer: Json = {
        'id': first.get('id', ''),
        'object': _name_object(accepted.kind),
        'created': first.get('created', 0),
        'model': accepted.call.deployment,
        'choices': [choice],
    }
    if usage is not None:
        answer['usage'] = usage
    return json.dumps(answer).encode()


def _name_object(kind: CompletionKind) -> str:
    if kind is CompletionKind.CHAT:
        return 'chat.completion'
    return 'text_completion'


def _assemble_choice(kind: CompletionKind, parsed: list[Json], text: str) -> Json:
    choices = [choice for one in parsed for choice in one.get('choices', ())]
    reasons = [choice.get('finish_reason') for choice in choices]
    reason = next((reason for reason in reversed(reasons) if reason), None)
    choice: Json = {'index': 0, 'finish_reason': reason, 'logprobs': None}
    if kind is CompletionKind.TEXT:
        return {**choice, 'text': text}
    message: Json = {'role': 'assistant', 'content': text}
    calls = _merge_tool_calls(choices)
    if calls:
        message['tool_calls'] = calls
    return {**choice, 'message': message}


def _merge_tool_calls(choices: list[Json]) -> list[Json]:
    """Join the fragments of tool calls, which are numbered by call index."""
    calls: dict[int, Json] = {}
    for choice in choices:
        delta = choice.get('delta') or {}
        for piece in delta.get('tool_calls') or ():
            call = calls.setdefault(
                piece.get('index', 0),
                {'type': 'function', 'function': {'name': '', 'arguments': ''}},
            )
            call['id'] = piece.get('id') or call.get('id', '')
            function = piece.get('function') or {}
            call['function']['name'] += function.get('name') or ''
            call['function']['arguments'] += function.get('arguments') or ''
    return [calls[index] for index in sorted(calls)]
