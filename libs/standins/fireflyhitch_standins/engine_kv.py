"""KV caches that a stand-in engine exports and imports."""

import cbor2
from cachetools import LRUCache
from pydantic import BaseModel, ConfigDict

from fireflyhitch_standins.engine_generation import Ask, Generation

MAX_IMPORTS = 1024


class _Cache(BaseModel):
    model_config = ConfigDict(frozen=True)

    prompt_hash: int
    tokens: int
    padding: bytes


def export_cache(generation: Generation, bytes_per_token: int) -> tuple[int, bytes]:
    """Return how many tokens are covered, and the bytes."""
    tokens = generation.ask.prompt_tokens + generation.produced
    if not generation.produced:
        # Until the first token is out the prompt is not computed.
        tokens = generation.cached_tokens
    cache = _Cache(
        prompt_hash=generation.ask.prompt_hash,
        tokens=tokens,
        padding=bytes(tokens * bytes_per_token),
    )
    return tokens, cbor2.dumps(cache.model_dump())


class KvImports:
    """Imported caches, the least recently used dropped first."""

    def __init__(self) -> None:
        self._caches: LRUCache[str, _Cache] = LRUCache(MAX_IMPORTS)

    def put(self, attempt: str, body: bytes) -> None:
        """Keep a cache that another engine exported.

        :raises ValueError: if the bytes are no cache.
        """
        self._caches[attempt] = _Cache.model_validate(cbor2.loads(body))

    def count_tokens(self, ask: Ask) -> int:
        """Return how many of a prompt's tokens need not be computed again."""
        cache = self._caches.get(ask.kv_import) if ask.kv_import else None
        if cache is None or cache.prompt_hash != ask.prompt_hash:
            return 0
        return min(cache.tokens, ask.prompt_tokens)
