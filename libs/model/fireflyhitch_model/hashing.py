"""Rendezvous hashing: who of a changing set is responsible for a key."""

from collections.abc import Iterable
from typing import TypeVar

import xxhash

Member = TypeVar('Member', bound=str)


def hash_text(text: str, seed: int = 0) -> int:
    """Return a 64-bit hash that is the same in every process."""
    return xxhash.xxh3_64_intdigest(text.encode(), seed)


def rank_by_hash(key: str, members: Iterable[Member]) -> list[Member]:
    """Order members by their rendezvous weight for a key, highest first.

    A member that goes moves only the keys that it was first for.

    :param key: what is to be placed.
    :param members: the candidates, in any order.
    """
    return sorted(
        members,
        key=lambda member: (hash_text(f'{key}\x00{member}'), member),
        reverse=True,
    )
