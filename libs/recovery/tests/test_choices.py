"""Tests of resume plans, reclaim plans, continuation requests and drain."""

import json
from datetime import timedelta

import pytest

from fireflyhitch_model.clock import ManualClock
from fireflyhitch_model.ids import RequestId
from fireflyhitch_model.states import Priority
from fireflyhitch_recovery.continuation import (
    build_continuation,
    count_remaining_tokens,
    is_continuable,
    parse_generated_text,
    rewrite_event,
)
from fireflyhitch_recovery.drain import Drain, DrainState
from fireflyhitch_recovery.reclaim import RequestProgress, plan_reclaim
from fireflyhitch_recovery.requests import CompletionKind
from fireflyhitch_recovery.resume import (
    ResumeContext,
    ResumeCosts,
    ResumeKind,
    plan_resume,
)


class TestPlanResume:
    """The cheapest method of resuming is chosen."""

    def test_engine_stream_recomputes_nothing(self):
        context = ResumeContext(1000, 50, stream_reachable=True, kv_tokens=1050)
        plan = plan_resume(context)
        assert (plan.kind, plan.recomputed_tokens) == (ResumeKind.ENGINE_STREAM, 0)

    def test_kv_import_beats_a_long_prefix(self):
        plan = plan_resume(ResumeContext(4000, 50, kv_tokens=4000))
        assert (plan.kind, plan.recomputed_tokens) == (ResumeKind.KV_IMPORT, 50)

    def test_cached_prefix_beats_an_import(self):
        context = ResumeContext(4000, 50, kv_tokens=4050, cached_tokens=4000)
        plan = plan_resume(context)
        assert plan.kind is ResumeKind.GENERATED_PREFIX
        assert plan.recomputed_tokens == 50

    def test_slow_link_makes_prefix_cheaper_than_import(self):
        slow = ResumeCosts(kv_bytes_per_second=1e6)
        plan = plan_resume(ResumeContext(1000, 50, kv_tokens=1050), slow)
        assert plan.kind is ResumeKind.GENERATED_PREFIX

    def test_answer_that_cannot_be_continued_is_impossible_to_resume(self):
        context = ResumeContext(1000, 50, kv_tokens=1050, continuable=False)
        assert plan_resume(context).kind is ResumeKind.IMPOSSIBLE

    def test_uncontinuable_answer_without_events_is_restarted(self):
        plan = plan_resume(ResumeContext(1000, 0, continuable=False))
        assert plan.kind is ResumeKind.GENERATED_PREFIX


class TestPlanReclaim:
    """Which requests stay and which move."""

    def test_requests_that_cannot_finish_move_urgent_and_longest_first(self):
        def progress(name, priority, tokens):
            return RequestProgress(
                RequestId(name), priority, tokens, timedelta(milliseconds=50)
            )

        plan = plan_reclaim(
            timedelta(seconds=5),
            [
                progress('short', Priority.URGENT, 10),
                progress('long', Priority.NORMAL, 200),
                progress('longer', Priority.NORMAL, 300),
                progress('urgent', Priority.URGENT, 100),
            ],
        )
        assert plan.finish == ('short',)
        assert plan.move == ('urgent', 'longer', 'long')

    def test_without_time_left_all_requests_move(self):
        request = RequestProgress(RequestId('a'), Priority.NORMAL, 1, timedelta(1))
        assert plan_reclaim(timedelta(), [request]).move == ('a',)


def chunk(**choice):
    return json.dumps({'id': 'x', 'choices': [choice]}).encode()


class TestContinuation:
    """Continuation requests and their events."""

    def test_chat_continues_its_last_message(self):
        body = json.dumps(
            {'messages': [{'role': 'user', 'content': 'hi'}], 'max_tokens': 10}
        ).encode()
        events = [
            chunk(delta={'role': 'assistant', 'content': ''}),
            chunk(delta={'content': 'a'}),
            chunk(delta={'content': ' b'}),
        ]
        generated = parse_generated_text(events)
        request = json.loads(build_continuation(CompletionKind.CHAT, body, generated))
        assert request['messages'][-1] == {'role': 'assistant', 'content': 'a b'}
        assert (
            request['continue_final_message'] and not request['add_generation_prompt']
        )
        assert request['max_tokens'] == 8

    def test_continuing_twice_keeps_one_last_message(self):
        messages = [{'role': 'assistant', 'content': 'a'}]
        body = json.dumps(
            {'messages': messages, 'continue_final_message': True}
        ).encode()
        generated = parse_generated_text([chunk(delta={'content': ' b'})])
        request = json.loads(build_continuation(CompletionKind.CHAT, body, generated))
        assert request['messages'] == [{'role': 'assistant', 'content': 'a b'}]

    def test_text_completion_continues_its_prompt(self):
        body = json.dumps({'prompt': 'x', 'max_tokens': 3}).encode()
        generated = parse_generated_text([chunk(text=' y')])
        request = json.loads(build_continuation(CompletionKind.TEXT, body, generated))
        assert request == {'prompt': 'x y', 'max_tokens': 2}

    @pytest.mark.parametrize('extra', [{'n': 2}, {'tools': [1]}])
    def test_answer_with_state_beyond_its_text_is_not_continuable(self, extra):
        assert not is_continuable(json.dumps({'prompt': 'x', **extra}).encode())

    def test_remaining_tokens_use_the_request_limit_or_the_default(self):
        assert count_remaining_tokens(b'{"max_tokens": 10}', 4, 99) == 6
        assert count_remaining_tokens(b'{}', 4, 99) == 95

    def test_continued_events_get_id_and_usage_of_the_whole_answer(self):
        event = json.dumps(
            {
                'id': 'new',
                'choices': [],
                'usage': {'prompt_tokens': 12, 'completion_tokens': 3},
            }
        ).encode()
        adapted = json.loads(rewrite_event(event, chunk(text='a'), 2))
        assert adapted['id'] == 'x'
        assert adapted['usage'] == {'prompt_tokens': 10, 'completion_tokens': 5}

    def test_finish_reason_marks_the_text_finished(self):
        assert parse_generated_text([chunk(text='', finish_reason='stop')]).finished


class TestDrain:
    """Drain states and deadlines."""

    def test_graceful_stop_waits_for_the_last_request(self):
        drain = Drain(ManualClock())
        assert drain.ready and drain.start()
        assert not drain.ready and not drain.stop_if_done(1)
        assert drain.read_time_left() is None
        assert drain.stop_if_done(0) and drain.state is DrainState.STOPPED

    def test_earliest_deadline_applies(self):
        clock = ManualClock()
        drain = Drain(clock)
        drain.start(timedelta(seconds=30))
        assert not drain.start(timedelta(seconds=60))
        assert drain.start(timedelta(seconds=3))
        clock.advance(timedelta(seconds=1))
        assert drain.read_time_left() == timedelta(seconds=2)
