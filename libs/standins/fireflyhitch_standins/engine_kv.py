"""Export and import of a stand-in engine's KV caches."""

import cbor2
from cachetools import LRUCache
from pydantic import BaseModel, ConfigDict

from fireflyhitch_standins.engine_generation import CompletionRequest, Generation

MAX_IMPORTS = 1024


class _Cache(BaseModel):
    model_config = ConfigDict(frozen=True)

    prompt_hash: int
    tokens: int
    padding: bytes


def export_cache(generation: Generation, bytes_per_token: int) -> tuple[int, bytes]:
    """Return the number of covered tokens and the serialized cache."""
    tokens = generation.completion.prompt_tokens + generation.produced
    if not generation.produced:
        # The prompt is fully computed only when the first token is generated.
        tokens = generation.cached_tokens
    cache = _Cache(
        prompt_hash=generation.completion.prompt_hash,
        tokens=tokens,
        padding=bytes(tokens * bytes_per_token),
    )
    return tokens, cbor2.dumps(cache.model_dump())


class KvImports:
    """Imported caches with LRU eviction."""

    def __init__(self) -> None:
        self._caches: LRUCache[str, _Cache] = LRUCache(MAX_IMPORTS)

    def put(self, attempt: str, body: bytes) -> None:
        """Store a cache exported by another engine.

        :raises ValueError: if the bytes are not a valid cache.
        """
        self._caches[attempt] = _Cache.model_validate(cbor2.loads(body))

    def count_tokens(self, completion: CompletionRequest) -> int:
        """Return how many of a prompt's tokens are covered by an imported cache."""
        cache = self._caches.get(completion.kv_import) if completion.kv_import else None
        if cache is None or cache.prompt_hash != completion.prompt_hash:
            return 0
        return min(cache.tokens, completion.prompt_tokens)
