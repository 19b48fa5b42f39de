"""Tests of the client of the platform's store."""

import asyncio
import base64
import json
from collections.abc import Awaitable, Callable, Iterator
from itertools import count, repeat

import pytest

from fireflyhitch_model.clock import SystemClock
from fireflyhitch_model.errors import PlatformError
from fireflyhitch_model.ids import ABSENT
from fireflyhitch_serving.client import HttpClient
from fireflyhitch_serving.connections import Address
from fireflyhitch_serving.store import Put
from fireflyhitch_serving.store_eras import EraTracker
from fireflyhitch_serving.traffic import ControlTraffic
from fireflyhitch_standins.scripted_server import ReceivedRequest, ScriptedServer
from fireflyhitch_standins.users_store import UsersStore
from fireflyhitch_users_platform.store import PlatformStore

PAGE_ITEMS = 100
# Of a page of 1 MB.
LARGE_VALUE = base64.b64encode(bytes(10_000)).decode()
Call = Callable[[PlatformStore], Awaitable[object]]


@pytest.fixture
def malformed_store() -> Iterator[UsersStore]:
    """Provide a store whose answers lack all fields."""
    store = UsersStore()
    store.malformed = True
    store.start()
    yield store
    store.stop()


class TestMalformedAnswers:
    @pytest.mark.parametrize(
        'call',
        [
            lambda store: store.list('servers/'),
            lambda store: store.watch('servers/', ABSENT, 1),
            lambda store: store.put([Put('key', b'', ABSENT)]),
            lambda store: store.grant_lease(4),
        ],
        ids=['list', 'watch', 'put', 'lease'],
    )
    def test_an_answer_without_its_fields_is_a_platform_error(
        self, malformed_store: UsersStore, call: Call
    ) -> None:
        # A bare KeyError ended the loops that follow the store, for good: changes came
        # to be known by occasional reads only.
        host, _, port = malformed_store.address.rpartition(':')

        async def script() -> None:
            clock = SystemClock()
            client = HttpClient(Address(host, int(port)), clock)
            store = PlatformStore(client, ControlTraffic(), EraTracker(clock))
            with pytest.raises(PlatformError, match='malformed'):
                await call(store)

        asyncio.run(script())


def render_page(number: int, value: str) -> bytes:
    """Return a page of a listing, with more behind it."""
    item = {'key': f'servers/{number:09}', 'value': value, 'revision': 8, 'created': 8}
    items = [item for _ in range(PAGE_ITEMS)]
    page = {'current_rev': 9, 'items': items, 'truncated': True}
    return json.dumps(page).encode()


class TestEndlessAnswers:
    @pytest.mark.parametrize(
        ('pages', 'value'),
        [(repeat(0), ''), (count(), ''), (count(), LARGE_VALUE)],
        ids=['same page', 'many keys', 'large values'],
    )
    def test_a_listing_without_a_last_page_is_a_platform_error(
        self, pages: Iterator[int], value: str
    ) -> None:
        # Guards against a listing that is read, and kept, until the memory is used up.
        async def script() -> None:
            clock = SystemClock()

            async def answer(
                request: ReceivedRequest, writer: asyncio.StreamWriter
            ) -> None:
                page = render_page(next(pages), value)
                head = b'HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n' % len(page)
                writer.write(head + page)

            server = ScriptedServer('store', answer)
            client = HttpClient(await server.start(), clock)
            store = PlatformStore(client, ControlTraffic(), EraTracker(clock))
            async with asyncio.timeout(10):
                with pytest.raises(PlatformError, match='listing'):
                    await store.list('servers/')
            server.stop()

        asyncio.run(script())


class TestEra:
    def test_a_store_that_tells_no_era_before_a_restore_is_seen_restored(self) -> None:
        """A leader would have gone on by a lease that the store has lost."""
        store = UsersStore()
        store.tells_first_era = False
        store.start()
        host, _, port = store.address.rpartition(':')
        restores: list[bool] = []

        async def script() -> None:
            clock = SystemClock()
            eras = EraTracker(clock)
            eras.add_callback(lambda: restores.append(True))
            client = HttpClient(Address(host, int(port)), clock)
            platform = PlatformStore(client, ControlTraffic(), eras)
            before = await platform.list('op/')
            store.restore(store.copy())
            after = await platform.list('op/')
            assert before.revision < after.revision

        asyncio.run(script())
        store.stop()
        assert restores == [True]
