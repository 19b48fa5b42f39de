"""The stand-in engine's answers: a pure function of the prompt.

Each token names its place and a hash of its prompt, so that a test can tell
whether an answer is whole, in order and to its own prompt, and an engine can
tell how much of an answer a continuation already holds.
"""

import re
from collections.abc import Iterable, Mapping
from typing import Any

from fireflyhitch_model.hashing import hash_text

HASH_MASK = 0xFFFFFF
TOKEN = re.compile(r't(\d+)-([0-9a-f]{6})')


def write_token(prompt_hash: int, index: int) -> str:
    """Return a token's text, with its leading space."""
    mixed = (prompt_hash + index * index) & HASH_MASK
    return f' t{index}-{mixed:06x}'


def write_answer(prompt: str, count: int) -> str:
    """Return the first tokens of the answer to a prompt.

    :param prompt: the text of a completion, or of ``join_messages``.
    """
    prompt_hash = hash_text(prompt)
    return ''.join(write_token(prompt_hash, index) for index in range(count))


def join_messages(messages: Iterable[Mapping[str, Any]]) -> str:
    """Return the prompt that a chat's messages make."""
    return '\n'.join(
        f'{message["role"]}: {_read_content(message.get("content"))}'
        for message in messages
    )


def count_tokens(text: str) -> int:
    """Return how many tokens a text has: its words."""
    return len(text.split())


def split_continuation(prompt: str) -> tuple[str, int]:
    """Part a completion's prompt from the answer that it already holds.

    :returns: the original prompt and how many tokens of its answer follow.
    """
    for match in re.finditer(r' t0-[0-9a-f]{6}', prompt):
        original, held = prompt[: match.start()], prompt[match.start() :]
        count = count_tokens(held)
        if held == write_answer(original, count):
            return original, count
    return prompt, 0


def _read_content(content: object) -> str:
    if isinstance(content, list):
        return ''.join(str(part.get('text', '')) for part in content)
    return str(content or '')
