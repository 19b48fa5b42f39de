"""A simulated model engine: continuous batching with a service curve.

Time advances only through :meth:`Engine.advance`; the engine reads no clock and opens
no connection. Each batch step computes a chunk of the running calls' prompts, and
one token for each call whose prompt is complete.
"""

from collections import OrderedDict, deque
from dataclasses import dataclass

from fireflyhitch_model.backends import CacheEvent, LoadReport
from fireflyhitch_model.hashing import hash_text
from fireflyhitch_model.ids import AttemptId, BackendServerId
from fireflyhitch_standins.engine_cache import HASH_RANGE, EngineCache
from fireflyhitch_standins.engine_messages import (
    EndEvent,
    EngineCall,
    EngineEvent,
    EngineFaults,
    EngineProfile,
    StreamState,
    StreamStatus,
    TokenEvent,
)

MAX_KEPT_STREAMS = 1024
MAX_KEPT_REPORTS = 120
OPEN_STATUSES = frozenset((StreamStatus.WAITING, StreamStatus.RUNNING))


class EngineRefusal(Exception):
    """The engine refused a call; it was not run."""


@dataclass(slots=True)
class _Stream:
    call: EngineCall
    order: int
    status: StreamStatus = StreamStatus.WAITING
    cached: int = 0
    uncomputed: int = 0
    generated: int = 0
    first_token_at: float | None = None

    @property
    def reserved(self) -> int:
        """Return the KV cache tokens that it needs when complete."""
        return self.call.prompt_tokens + self.call.max_tokens


@dataclass(slots=True)
class _Step:
    """A step in progress, or a series of equal steps without prompt work."""

    started: float
    duration: float
    repeats: int
    prompts: dict[AttemptId, int]
    decoding: tuple[_Stream, ...]

    @property
    def ends_at(self) -> float:
        """Return the end time of the first step."""
        return self.started + self.duration


class Engine:
    """One engine; not thread-safe, so its user must serialize calls.

    :param every_token: whether to emit an event for each token or only for an
        answer's first, which makes long simulations cheap.
    """

    def __init__(
        self,
        server_id: BackendServerId,
        profile: EngineProfile | None = None,
        *,
        every_token: bool = True,
    ) -> None:
        self.server_id = server_id
        self.profile = profile or EngineProfile()
        self.faults = EngineFaults()
        self.busy_seconds = 0.0
        self._every_token = every_token
        self._now = 0.0
        self._step: _Step | None = None
        self._streams: OrderedDict[AttemptId, _Stream] = OrderedDict()
        self._running: list[_Stream] = []
        self._waiting: list[_Stream] = []
        self._cache = EngineCache(server_id, self.profile)
        self._submitted = 0
        self._pending: list[EngineEvent] = []
        self._reports: deque[LoadReport] = deque(maxlen=MAX_KEPT_REPORTS)
        self._next_report = 0.0

    def submit(self, call: EngineCall, at: float) -> None:
        """Submit a call; a known attempt is not run twice.

        :param at: seconds, not before the last time passed in.
        :raises EngineRefusal: if the queue is full or calls are refused.
        """
        # Called before extending, because advance() replaces the list.
        due = self.advance(at)
        self._pending.extend(due)
        if call.attempt in self._streams:
            return
        if self.faults.refuses or len(self._waiting) >= self.profile.max_waiting:
            raise EngineRefusal(f'{self.server_id} takes no call now')
        self._submitted += 1
        stream = _Stream(call, self._submitted)
        self._streams[call.attempt] = stream
        self._waiting.append(stream)
        self._waiting.sort(key=lambda one: (one.call.priority, one.order))
        self._drop_old_streams()
        self._stop_repeating()
        self._begin_step()

    def advance(self, until: float) -> list[EngineEvent]:
        """Advance to a time and return the events until then, in order."""
        events = self._pending
        self._pending = []
        while self._step is not None and self._step.ends_at <= until:
            self._complete_steps(self._step, until, events)
        self._record_reports(until)
        self._now = max(self._now, until)
        return events

    def next_event(self) -> float | None:
        """Return the time of the next event; ``None`` if idle."""
        if self._pending:
            return self._now
        if self._step is None:
            return None
        if self._every_token:
            return self._step.ends_at
        return self._step.started + self._step.duration * self._step.repeats

    def cancel(self, attempt: AttemptId, at: float) -> bool:
        """Cancel a call; its slot is free from the next step on.

        :returns: whether it was running or waiting.
        """
        # Called before extending, because advance() replaces the list.
        due = self.advance(at)
        self._pending.extend(due)
        stream = self._streams.get(attempt)
        if stream is None or stream.status not in OPEN_STATUSES:
            return False
        stream.status = StreamStatus.CANCELLED
        self._remove(stream)
        self._stop_repeating()
        return True

    def stream(self, attempt: AttemptId) -> StreamState | None:
        """Return the state of a running or recently ended call."""
        stream = self._streams.get(attempt)
        if stream is None:
            return None
        return StreamState(stream.call, stream.status, stream.generated, stream.cached)

    def load_report(self, at: float) -> LoadReport | None:
        """Return the newest load report visible at a time."""
        visible = None
        for report in self._reports:
            if report.measured <= at - self.profile.report_lag:
                visible = report
        return visible

    def cache_events(self, after: int, at: float) -> tuple[CacheEvent, ...]:
        """Return the visible cache events after a sequence number."""
        return self._cache.events(after, at)

    def restart(self, at: float) -> tuple[AttemptId, ...]:
        """Drop all calls and the cache, as a crashing process does.

        :returns: the attempts that were lost.
        """
        # Undelivered events count as lost in the buffers of its connections.
        self.advance(at)
        lost = tuple(one.call.attempt for one in self._running + self._waiting)
        self._streams.clear()
        self._running.clear()
        self._waiting.clear()
        self._step = None
        self._cache.clear(at)
        return lost

    @property
    def running(self) -> int:
        """Return the number of calls in the batch."""
        return len(self._running)

    @property
    def waiting(self) -> int:
        """Return the number of waiting calls."""
        return len(self._waiting)

    def _begin_step(self) -> None:
        if self._step is not None:
            return
        self._fill_batch()
        if not self._running:
            return
        prompts = self._plan_prompts()
        decoding = tuple(one for one in self._running if not one.uncomputed)
        computed = sum(prompts.values())
        duration = self.profile.step_seconds
        duration += self.profile.step_seconds_per_call * len(self._running)
        duration += computed / self.profile.prompt_tokens_per_second
        if len(self._running) > self.faults.slow_above:
            duration *= self.faults.slowness
        repeats = 1
        if decoding and not prompts:
            repeats = min(one.call.max_tokens - one.generated for one in decoding)
        self._step = _Step(self._now, duration, max(repeats, 1), prompts, decoding)

    def _fill_batch(self) -> None:
        reserved = self._reserved()
        while self._waiting and len(self._running) < self.profile.max_running:
            stream = self._waiting[0]
            reserved += stream.reserved
            if self._running and reserved > self.profile.cache_tokens:
                return
            self._waiting.pop(0)
            self._start_stream(stream)

    def _start_stream(self, stream: _Stream) -> None:
        call = stream.call
        matched = self._cache.match(call.prefix_blocks) * self.profile.block_tokens
        stream.cached = min(max(matched, call.imported_tokens), call.prompt_tokens)
        # The last prompt token is always computed, as it yields the first output token.
        stream.uncomputed = max(call.prompt_tokens - stream.cached, 1)
        stream.status = StreamStatus.RUNNING
        self._running.append(stream)

    def _plan_prompts(self) -> dict[AttemptId, int]:
        left = self.profile.chunk_tokens
        prompts: dict[AttemptId, int] = {}
        for stream in self._running:
            tokens = min(stream.uncomputed, left)
            if tokens > 0:
                prompts[stream.call.attempt] = tokens
                left -= tokens
        return prompts

    def _complete_steps(
        self, step: _Step, until: float, events: list[EngineEvent]
    ) -> None:
        possible = int((until - step.started) / step.duration)
        done = max(1, min(step.repeats, possible))
        decoding = [one for one in step.decoding if one.status is StreamStatus.RUNNING]
        if self._every_token:
            self._emit_repeated_steps(step, decoding, done, events)
        for stream in decoding:
            stream.generated += done
        step.started += step.duration * done
        step.repeats -= done
        self.busy_seconds += step.duration * done
        self._now = step.started
        self._complete_prompts(step, events)
        ended = any(map(_is_complete, decoding))
        if step.repeats and not ended:
            return
        self._step = None
        self._end_complete(events)
        self._begin_step()

    def _emit_repeated_steps(
        self,
        step: _Step,
        decoding: list[_Stream],
        done: int,
        events: list[EngineEvent],
    ) -> None:
        for turn in range(done):
            at = step.started + step.duration * (turn + 1)
            for stream in decoding:
                index = stream.generated + turn
                events.append(TokenEvent(stream.call.attempt, at, index))

    def _complete_prompts(self, step: _Step, events: list[EngineEvent]) -> None:
        for attempt, tokens in step.prompts.items():
            stream = self._streams.get(attempt)
            if stream is None or stream.status is not StreamStatus.RUNNING:
                continue
            stream.uncomputed -= tokens
            if stream.uncomputed:
                continue
            stream.generated = 1
            stream.first_token_at = self._now
            events.append(TokenEvent(attempt, self._now, 0))
            self._cache.store(
                stream.call.prefix_blocks, self._count_free_blocks(), self._now
            )

    def _end_complete(self, events: list[EngineEvent]) -> None:
        for stream in tuple(self._running):
            if stream.generated and self._fails(stream.call):
                self._end(stream, StreamStatus.FAILED, events)
            elif _is_complete(stream):
                self._end(stream, StreamStatus.FINISHED, events)

    def _fails(self, call: EngineCall) -> bool:
        faults = self.faults
        if not faults.fail_share or len(self._running) <= faults.fail_above:
            return False
        if faults.fail_route not in {None, call.route}:
            return False
        return hash_text(call.attempt) / HASH_RANGE < faults.fail_share

    def _end(
        self, stream: _Stream, status: StreamStatus, events: list[EngineEvent]
    ) -> None:
        stream.status = status
        self._remove(stream)
        computed = stream.call.prompt_tokens - stream.cached
        events.append(
            EndEvent(
                stream.call.attempt,
                self._now,
                status,
                stream.generated,
                stream.cached,
                computed,
                stream.first_token_at,
            )
        )

    def _remove(self, stream: _Stream) -> None:
        if stream in self._running:
            self._running.remove(stream)
        if stream in self._waiting:
            self._waiting.remove(stream)

    def _stop_repeating(self) -> None:
        if self._step is not None:
            self._step.repeats = 1

    def _count_free_blocks(self) -> int:
        held = self._reserved()
        return (self.profile.cache_tokens - held) // self.profile.block_tokens

    def _reserved(self) -> int:
        return sum(one.reserved for one in self._running)

    def _record_reports(self, until: float) -> None:
        if self._next_report > until:
            return
        used = self._reserved()
        every = self.profile.report_every
        self._next_report += every * int((until - self._next_report) / every)
        report = LoadReport(
            self.server_id,
            len(self._running),
            len(self._waiting),
            min(1.0, used / self.profile.cache_tokens),
            self._next_report,
        )
        self._next_report += every
        self._reports.append(report)

    def _drop_old_streams(self) -> None:
        while len(self._streams) > MAX_KEPT_STREAMS:
            oldest = next(iter(self._streams.values()))
            if oldest.status in OPEN_STATUSES:
                return
            self._streams.popitem(last=False)


def _is_complete(stream: _Stream) -> bool:
    return stream.generated >= stream.call.max_tokens
