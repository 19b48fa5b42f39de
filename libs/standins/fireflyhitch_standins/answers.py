"""The stand-in engine's answers, a pure function of the prompt.

Each token contains its index and a hash of its prompt. A test can thus check that
an answer is complete, in order and to the right prompt, and an engine can determine
how many answer tokens a continuation already contains.
"""

import re
from collections.abc import Iterable, Mapping
from typing import Any

from fireflyhitch_model.hashing import hash_text

HASH_MASK = 0xFFFFFF
TOKEN = re.compile(r't(\d+)-([0-9a-f]{6})')


def write_token(prompt_hash: int, index: int) -> str:
    """Return a token's text, including its leading space."""
    mixed = (prompt_hash + index * index) & HASH_MASK
    return f' t{index}-{mixed:06x}'


def write_answer(prompt: str, count: int) -> str:
    """Return the first tokens of the answer to a prompt.

    :param prompt: the prompt of a completion, or the result of ``join_messages``.
    """
    prompt_hash = hash_text(prompt)
    return ''.join(write_token(prompt_hash, index) for index in range(count))


def join_messages(messages: Iterable[Mapping[str, Any]]) -> str:
    """Convert a chat's messages to a prompt."""
    return '\n'.join(
        f'{message["role"]}: {_read_content(message.get("content"))}'
        for message in messages
    )


def count_tokens(text: str) -> int:
    """Return the number of tokens of a text; each word is a token."""
    return len(text.split())


def split_continuation(prompt: str) -> tuple[str, int]:
    """Split a completion's prompt from the partial answer that follows it.

    :returns: the original prompt and the number of answer tokens after it.
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
