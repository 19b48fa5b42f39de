"""Tests of the engine model, whose service curve the benchmarks rely on."""

import pytest

from fireflyhitch_model.ids import AttemptId, BackendServerId
from fireflyhitch_model.states import Priority
from fireflyhitch_standins.engine import Engine, EngineRefusal
from fireflyhitch_standins.engine_messages import (
    EndEvent,
    EngineCall,
    EngineFaults,
    EngineProfile,
    StreamStatus,
    TokenEvent,
)

PROFILE = EngineProfile(
    max_running=2,
    max_waiting=3,
    step_seconds=0.02,
    step_seconds_per_call=0.01,
    prompt_tokens_per_second=1000,
    chunk_tokens=100,
    cache_tokens=1000,
)


def make_engine(**changes):
    return Engine(BackendServerId('s1'), PROFILE, **changes)


def make_call(name, prompt=50, answer=5, **changes):
    return EngineCall(AttemptId(name), prompt, answer, **changes)


def ends(events):
    return [event for event in events if isinstance(event, EndEvent)]


class TestBatching:
    """Batch steps shared by calls."""

    def test_tokens_follow_the_service_curve_in_order(self):
        engine = make_engine()
        engine.submit(make_call('a'), 1)
        events = engine.advance(10)
        tokens = [event for event in events if isinstance(event, TokenEvent)]
        assert [token.index for token in tokens] == [0, 1, 2, 3, 4]
        # 30 ms for a step of one call, 50 ms for the prompt.
        assert tokens[0].at == pytest.approx(1.08)
        assert tokens[-1].at == pytest.approx(1.2)
        assert engine.busy_seconds == pytest.approx(0.2)

    def test_end_event_is_the_same_without_token_events(self):
        both = [make_engine(), make_engine(every_token=False)]
        finished = []
        for engine in both:
            engine.submit(make_call('a'), 0)
            engine.submit(make_call('b', answer=9), 0.1)
            finished.append(ends(engine.advance(0.15) + engine.advance(5)))
        assert finished[0] == finished[1]

    def test_urgent_call_overtakes_waiting_calls(self):
        engine = make_engine()
        for name in ('a', 'b', 'c'):
            engine.submit(make_call(name), 0)
        engine.submit(make_call('d', priority=Priority.URGENT), 0)
        order = [end.attempt for end in ends(engine.advance(10))]
        assert order.index('d') < order.index('c')

    def test_full_queue_refuses(self):
        engine = make_engine()
        for name in ('a', 'b', 'c', 'd'):
            engine.submit(make_call(name), 0)
        with pytest.raises(EngineRefusal):
            engine.submit(make_call('e'), 0)

    def test_known_attempt_is_not_run_twice(self):
        engine = make_engine()
        engine.submit(make_call('a'), 0)
        engine.submit(make_call('a'), 0.01)
        assert len(ends(engine.advance(10))) == 1

    def test_cancelled_call_frees_its_slot(self):
        engine = make_engine()
        engine.submit(make_call('a', answer=1000), 0)
        assert engine.cancel(AttemptId('a'), 1)
        assert not engine.cancel(AttemptId('a'), 1)
        assert engine.stream(AttemptId('a')).status is StreamStatus.CANCELLED
        assert not ends(engine.advance(60))
        assert engine.next_event() is None


class TestPrefixCache:
    """Cached blocks and cache events."""

    def test_cached_blocks_are_not_recomputed(self):
        engine = make_engine()
        blocks = (1, 2, 3)
        engine.submit(make_call('a', prefix_blocks=blocks), 0)
        engine.advance(5)
        engine.submit(make_call('b', prefix_blocks=blocks), 5)
        end = ends(engine.advance(10))[0]
        assert (end.cached_tokens, end.computed_tokens) == (48, 2)

    def test_events_report_evicted_blocks_with_a_delay(self):
        engine = make_engine()
        for number in range(30):
            blocks = tuple(range(number * 3, number * 3 + 3))
            engine.submit(make_call(str(number), prefix_blocks=blocks), number)
        assert len(engine.cache_events(0, 20)) < len(engine.cache_events(0, 40))
        removed = [event.removed for event in engine.cache_events(0, 40)]
        assert any(removed)

    def test_imported_cache_is_not_recomputed(self):
        engine = make_engine()
        engine.submit(make_call('a', imported_tokens=40), 0)
        assert ends(engine.advance(5))[0].computed_tokens == 10


class TestFaults:
    """An engine that is slow or fails."""

    def test_engine_is_slow_only_under_load(self):
        engine = make_engine()
        engine.faults = EngineFaults(slowness=3, slow_above=1)
        engine.submit(make_call('a'), 0)
        assert ends(engine.advance(5))[0].at == pytest.approx(0.2)
        engine.submit(make_call('b'), 5)
        engine.submit(make_call('c'), 5)
        assert ends(engine.advance(10))[-1].at > 5.5

    def test_engine_fails_on_one_route(self):
        engine = make_engine()
        engine.faults = EngineFaults(fail_share=1, fail_route='chat')
        engine.submit(make_call('a'), 0)
        engine.submit(make_call('b', route='completions'), 0)
        statuses = {end.attempt: end.status for end in ends(engine.advance(10))}
        assert statuses['a'] is StreamStatus.FAILED
        assert statuses['b'] is StreamStatus.FINISHED

    def test_restart_drops_calls_and_cache(self):
        engine = make_engine()
        engine.submit(make_call('a'), 0)
        assert engine.restart(0.1) == ('a',)
        assert not engine.advance(5)
        assert engine.cache_events(0, 5)[-1].cleared


class TestReports:
    """Load reports."""

    def test_report_lags(self):
        engine = make_engine()
        engine.submit(make_call('a', answer=300), 0)
        engine.advance(1)
        engine.submit(make_call('b', answer=300), 1.5)
        engine.advance(2)
        assert engine.load_report(2).running == 1
        assert engine.load_report(3).running == 2
