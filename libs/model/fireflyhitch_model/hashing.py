"""Rendezvous hashing: assigns keys to members of a changing set."""

from collections.abc import Iterable
from typing import TypeVar

import xxhash

Member = TypeVar('Member', bound=str)


def hash_text(text: str, seed: int = 0) -> int:
    """Return a 64-bit hash that is the same in every process."""
    return xxhash.xxh3_64_intdigest(text.encode(), seed)


def rank_by_hash(key: str, members: Iterable[Member]) -> list[Member]:
    """Order members by their rendezvous weight for a key, highest first.

    Removing a member moves only the keys for which it ranked first.

    :param key: the key to assign.
    :param members: the candidates, in any order.
    """
    return sorted(
        members,
        key=lambda member: (hash_text(f'{key}\x00{member}'), member),
        reverse=True,
    )
