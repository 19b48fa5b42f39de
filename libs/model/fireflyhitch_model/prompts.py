"""Prompt lengths, and division of prompts into blocks that caches can share."""

from collections.abc import Iterator

from fireflyhitch_model.hashing import hash_text

# A token is about four characters long in the languages served.
CHARACTERS_PER_TOKEN = 4
TOKENS_PER_BLOCK = 16
CHARACTERS_PER_BLOCK = CHARACTERS_PER_TOKEN * TOKENS_PER_BLOCK


def estimate_tokens(text: str) -> int:
    """Return the estimated number of tokens of a text, at least one."""
    return max(1, len(text) // CHARACTERS_PER_TOKEN)


def hash_prefix_blocks(text: str) -> tuple[int, ...]:
    """Return chained hashes of a prompt's complete blocks, first to last.

    Each hash covers its block and all previous ones, so that two prompts with
    equal first *n* hashes share that prefix.
    """
    return tuple(_chain_hashes(text))


def _chain_hashes(text: str) -> Iterator[int]:
    chained = 0
    whole = len(text) - len(text) % CHARACTERS_PER_BLOCK
    for start in range(0, whole, CHARACTERS_PER_BLOCK):
        block = text[start : start + CHARACTERS_PER_BLOCK]
        chained = hash_text(block, chained)
        yield chained
