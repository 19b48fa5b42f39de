"""Callers of the demo: models streamed and whole, and bookings."""

import asyncio
import json
import random
import time
import uuid
from dataclasses import dataclass, fields

from fireflyhitch_bench.load import (
    CallResult,
    CallSpec,
    chat_spec,
    make_call,
    read_events,
    read_text,
)
from fireflyhitch_bench.site import API_KEY, Site
from fireflyhitch_standins.answers import join_messages, write_answer

CALLERS = 24
BOOKERS = 6
PAUSE_SECONDS = 0.05
BOOKING_PAUSE_SECONDS = 0.3
MOST_TOKENS = 60
RETURN_TRIES = 40
RETURN_PAUSE_SECONDS = 0.1
Headers = tuple[tuple[str, str], ...]
HEADERS: Headers = (('Authorization', f'Bearer {API_KEY}'),)


@dataclass(slots=True)
class Tally:
    """What became of calls, from their callers' side.

    :param accepted: calls that reached a daemon.
    :param refused: ended by an error that says what is known of the run.
    :param lost: neither a whole answer nor an honest error.
    :param mixed_up: an answer that is not the call's own, or not in order.
    :param resumed: answers that a caller got in two parts.
    """

    accepted: int = 0
    answered: int = 0
    refused: int = 0
    lost: int = 0
    doubled: int = 0
    mixed_up: int = 0
    resumed: int = 0

    def add(self, other: 'Tally') -> None:
        """Add another tally up."""
        for one in fields(self):
            total = getattr(self, one.name) + getattr(other, one.name)
            setattr(self, one.name, total)


async def run_callers(site: Site, tally: Tally, seconds: float) -> None:
    """Call all entries, as a balancer spreads callers, until the time is over."""
    ends = time.monotonic() + seconds
    callers = [_call_models(site, tally, ends, number) for number in range(CALLERS)]
    bookers = [_book(site, tally, ends, number) for number in range(BOOKERS)]
    await asyncio.gather(*callers, *bookers)


async def _call_models(site: Site, tally: Tally, ends: float, number: int) -> None:
    draw = random.Random(number)  # noqa: S311
    while time.monotonic() < ends:
        prompt = f'caller {number} asks {draw.getrandbits(40):x}'
        tokens = draw.randint(5, MOST_TOKENS)
        spec = chat_spec(
            await _choose_entry(site, draw),
            site.plan.model,
            prompt,
            API_KEY,
            max_tokens=tokens,
            stream=number % 3 > 0,
        )
        first = await make_call(spec)
        result = await _go_on(site, first, draw)
        _count_answer(tally, first, result, _expect(prompt, tokens))
        await asyncio.sleep(PAUSE_SECONDS)


def _expect(prompt: str, tokens: int) -> str:
    return write_answer(join_messages([{'role': 'user', 'content': prompt}]), tokens)


async def _go_on(site: Site, first: CallResult, draw: random.Random) -> CallResult:
    """Follow an answer that moved, as clients of server-sent events do."""
    result = first
    request_id = first.headers.get('fireflyhitch-request-id')
    for _ in range(RETURN_TRIES):
        if not _is_cut(result) or request_id is None:
            return result
        events = read_events(result)
        last = events[-1].event_id if events else ''
        headers: Headers = HEADERS
        if first.status == 200:
            headers = (
                *HEADERS,
                ('Last-Event-ID', last),
                ('Accept', 'text/event-stream'),
            )
        path = f'/v1/requests/{request_id}'
        entry = await _choose_entry(site, draw)
        rest = await make_call(CallSpec(entry, 'GET', path, None, headers))
        if rest.status == 200:
            result = _join(result, rest) if first.status == 200 else rest
        else:
            await asyncio.sleep(RETURN_PAUSE_SECONDS)
    return result


def _is_cut(result: CallResult) -> bool:
    """Tell whether an answer has to be asked for again."""
    if result.status == 303:
        return True
    if result.status != 200:
        return False
    streamed = 'text/event-stream' in result.headers.get('content-type', '')
    return result.broken is not None or (streamed and not result.finished)


def _join(result: CallResult, rest: CallResult) -> CallResult:
    result.body += rest.body
    result.complete = rest.complete
    result.broken = rest.broken
    return result


def _count_answer(
    tally: Tally, first: CallResult, result: CallResult, expected: str
) -> None:
    if first.status == 0:
        # The balancer would not have chosen an entry that takes no connection.
        return
    tally.accepted += 1
    tally.resumed += result is not first or first.status == 303
    if result.status >= 400 or b'"error"' in result.body:
        tally.refused += 1
    elif not result.complete or _is_cut(result):
        tally.lost += 1
    elif read_text(result) == expected:
        tally.answered += 1
    else:
        tally.mixed_up += 1


async def _book(site: Site, tally: Tally, ends: float, number: int) -> None:
    draw = random.Random(1000 + number)  # noqa: S311
    path = f'/services/{site.plan.service}/bookings'
    while time.monotonic() < ends:
        key = str(uuid.UUID(int=draw.getrandbits(128), version=4))
        headers = (*HEADERS, ('Idempotency-Key', key))
        body = {'caller': number, 'key': key}
        # A caller that is in doubt sends the same booking again, elsewhere.
        for _ in range(draw.choice((1, 1, 2))):
            entry = await _choose_entry(site, draw)
            spec = CallSpec(entry, 'POST', path, body, headers)
            _count_booking(tally, await make_call(spec), key)
        await asyncio.sleep(BOOKING_PAUSE_SECONDS)


def _count_booking(tally: Tally, result: CallResult, key: str) -> None:
    if result.status == 0:
        return
    tally.accepted += 1
    if result.status >= 400:
        tally.refused += 1
    elif not result.complete:
        tally.lost += 1
    elif json.loads(result.body).get('key') == key:
        tally.answered += 1
    else:
        tally.mixed_up += 1


async def _choose_entry(site: Site, draw: random.Random) -> str:
    """Return a ready daemon's address, as the platform's balancer does."""
    while True:
        entry = draw.choice(site.entries)
        probe = await make_call(CallSpec(entry, 'GET', '/readyz'))
        if probe.status == 200:
            return entry
        await asyncio.sleep(PAUSE_SECONDS)
