"""Engines in passed time: streams, KV export and what they compute twice."""

import json
from collections import Counter
from dataclasses import dataclass, field

from fireflyhitch_model.clock import Clock
from fireflyhitch_model.hashing import hash_text
from fireflyhitch_model.ids import (
    AttemptId,
    BackendServerId,
    DaemonId,
    FailureDomainId,
    RequestId,
)
from fireflyhitch_standins.answers import (
    count_tokens,
    split_continuation,
    write_token,
)

PREFILL_TOKENS_PER_SECOND = 4000.0
TOKENS_PER_SECOND = 20.0


@dataclass(slots=True)
class FakeStream:
    """One attempt at an engine.

    :ivar readers: the daemons that have it open; without one it is cancelled.
    """

    prompt: str
    first: int
    total: int
    starts: float
    readers: set[DaemonId] = field(default_factory=set)
    cancelled_at: float | None = None

    def read(self, after: int, now: float) -> list[bytes]:
        """Return the events behind the stream's first ``after`` ones."""
        until = now if self.cancelled_at is None else self.cancelled_at
        produced = int(max(0, until - self.starts) * TOKENS_PER_SECOND)
        last = min(self.total, self.first + produced)
        prompt_hash = hash_text(self.prompt)
        indices = range(self.first + after, last)
        events = [render_event(write_token(prompt_hash, index)) for index in indices]
        if last == self.total and self.first + after <= self.total:
            events.append(FINISH_EVENT)
        return events


class FakeEngine:
    """An engine of one failure domain.

    :ivar prefilled: tokens of prompts computed, by request.
    """

    def __init__(
        self, server_id: BackendServerId, domain: FailureDomainId, clock: Clock
    ) -> None:
        self.server_id = server_id
        self.domain = domain
        self.alive = True
        self.leaves_at: float | None = None
        self.prefilled: Counter[RequestId] = Counter()
        self.streams: dict[AttemptId, FakeStream] = {}
        self._clock = clock

    def start(
        self,
        request_id: RequestId,
        attempt: AttemptId,
        body: bytes,
        reader: DaemonId,
        imported: int = 0,
    ) -> None:
        """Start a stream from a completions body.

        :param imported: tokens of its prompt whose KV cache was imported.
        """
        request = json.loads(body)
        prompt, held = split_continuation(request['prompt'])
        computed = count_tokens(prompt) + held - imported
        self.prefilled[request_id] += computed
        delay = computed / PREFILL_TOKENS_PER_SECOND
        self.streams[attempt] = FakeStream(
            prompt,
            held,
            held + request['max_tokens'],
            self._clock.monotonic() + delay,
            {reader},
        )

    def has_stream(self, attempt: AttemptId) -> bool:
        """Tell whether a stream can be read on."""
        return self.alive and attempt in self.streams

    def close(self, attempt: AttemptId, reader: DaemonId) -> None:
        """Close a reader's connection, which cancels the stream of the last."""
        stream = self.streams.get(attempt)
        if stream is None:
            return
        stream.readers.discard(reader)
        if not stream.readers and stream.cancelled_at is None:
            stream.cancelled_at = self._clock.monotonic()


def render_event(text: str) -> bytes:
    """Return a completion chunk with one token."""
    return json.dumps({'choices': [{'text': text, 'finish_reason': None}]}).encode()


FINISH_EVENT = json.dumps(
    {'choices': [{'text': '', 'finish_reason': 'length'}]}
).encode()
