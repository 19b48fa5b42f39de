"""Tests of what callers send, by how its bytes arrive at a whole daemon."""

import asyncio
from collections.abc import Iterator, Sequence
from typing import Any

import pytest
from cluster import KEY, Cluster, run_scenario
from loguru import logger

from fireflyhitch_serving.client import MAX_BODY_BYTES
from fireflyhitch_serving.connections import connect
from fireflyhitch_serving.messages import Header, Headers, render_request
from fireflyhitch_standins.users_formats import render_chunks

# The daemon's configuration allows bodies of this size.
BODY = b'y' * 5000
CHUNKED = (b'Transfer-Encoding', b'chunked')
# In which a daemon has read what was sent before.
PAUSE_SECONDS = 0.1


def render_head(request_id: str, *more: Header) -> bytes:
    """Return the head of a request that the configuration allows."""
    headers: Headers = [
        (b'Host', b'shop.example'),
        (b'Request-Id', request_id.encode()),
        (b'Authorization', f'Bearer {KEY}'.encode()),
        *more,
    ]
    # `render_request` would add a length of its own to a `POST`.
    return render_request(b'GET', b'/book/1', headers).replace(b'GET', b'POST', 1)


async def read_statuses(
    cluster: Cluster, pieces: Sequence[bytes], responses: int = 1
) -> list[int]:
    """Send pieces, with a pause between them, and return the responses' statuses."""
    connection = await connect(cluster.address('d1'), 5)
    try:
        connection.send(pieces[0])
        for piece in pieces[1:]:
            await asyncio.sleep(PAUSE_SECONDS)
            connection.send(piece)
        statuses = []
        for _ in range(responses):
            statuses.append((await connection.read_head()).status)
            await connection.read_whole_body(MAX_BODY_BYTES)
        return statuses
    finally:
        connection.close()


@pytest.fixture
def refusals() -> Iterator[list[dict[str, Any]]]:
    """Return the fields of the lines on refused requests."""
    lines: list[dict[str, Any]] = []

    def add(message: Any) -> None:
        if message.record['message'] == 'request refused':
            lines.append(message.record['extra'])

    sink = logger.add(add)
    yield lines
    logger.remove(sink)


class TestReads:
    def test_a_body_in_chunks_read_together_with_its_head_is_served(
        self, tmp_path
    ) -> None:
        async def script(cluster: Cluster) -> None:
            server = await cluster.start_serving('d1')
            head = render_head('r1', CHUNKED)
            body = render_chunks(BODY, 10)
            assert await read_statuses(cluster, [head, body]) == [200]
            assert await read_statuses(cluster, [head + body]) == [200]
            assert [request.body for request in server.seen] == [BODY, BODY]

        run_scenario(tmp_path, script)

    def test_requests_pipelined_in_one_read_are_all_served(self, tmp_path) -> None:
        async def script(cluster: Cluster) -> None:
            server = await cluster.start_serving('d1')
            length = (b'Content-Length', b'%d' % len(BODY))
            sent = b''.join(render_head(f'r{one}', length) + BODY for one in range(4))
            assert set(await read_statuses(cluster, [sent], 4)) == {200}
            assert [request.body for request in server.seen] == [BODY for _ in range(4)]

        run_scenario(tmp_path, script)


class TestLines:
    def test_a_refusal_before_admission_is_one_line_with_the_requests_id(
        self, tmp_path, refusals
    ) -> None:
        async def script(cluster: Cluster) -> None:
            await cluster.start_serving('d1')
            ambiguous = render_head('r7', (b'Host', b'other.example'))
            assert await read_statuses(cluster, [ambiguous]) == [400]
            assert len(refusals) == 1
            found = refusals[0]
            assert (found['request_id'], found['status']) == ('r7', 400)
            assert found['head_bytes'] == len(ambiguous)
            assert found['peer'].startswith('127.0.0.1:')

        run_scenario(tmp_path, script)

    def test_a_refusal_for_a_malformed_header_has_the_requests_id(
        self, tmp_path, refusals
    ) -> None:
        async def script(cluster: Cluster) -> None:
            await cluster.start_serving('d1')
            headers = [(b'Deadline-Ms', b'soon')]
            got = await cluster.send_request('d1', headers=headers)
            assert (got.status, got.headers['request-id']) == (400, 'r1')
            assert [line['request_id'] for line in refusals] == ['r1']

        run_scenario(tmp_path, script)

    def test_a_line_of_an_unknown_route_names_the_path_and_the_version(
        self, tmp_path, refusals
    ) -> None:
        async def script(cluster: Cluster) -> None:
            await cluster.start_serving('d1')
            assert (await cluster.send_request('d1', '/none/1')).status == 404
            found = refusals[0]
            assert (found['path'], found['version']) == ('/none/1', 4)

        run_scenario(tmp_path, script)


class TestBodies:
    def test_a_body_is_not_waited_for_longer_than_its_caller_waits(
        self, tmp_path
    ) -> None:
        async def script(cluster: Cluster) -> None:
            await cluster.start_serving('d1')
            for milliseconds in (b'0', b'400'):
                headers = ((b'Content-Length', b'9'), (b'Deadline-Ms', milliseconds))
                started = asyncio.get_running_loop().time()
                sent = [render_head('r1', *headers)]
                assert await read_statuses(cluster, sent) == [408]
                assert asyncio.get_running_loop().time() - started < 1

        run_scenario(tmp_path, script)


class TestHeads:
    async def _ask(
        self, cluster: Cluster, target: bytes, *more: Header
    ) -> tuple[int, list[str]]:
        """Return the response's status and the request lines that servers saw."""
        head = render_head('r1', *more).replace(b'POST /book/1', b'GET %b' % target)
        statuses = await read_statuses(cluster, [head])
        return statuses[0], cluster.list_request_lines()

    @pytest.mark.parametrize(
        ('target', 'status'),
        [
            (b'/book/f97?p=/a/b&n=1', 200),
            (b'/book//1', 200),
            (b'/book/1:2;a=[b]', 200),
            (b'//book/1', 404),
            (b'//elsewhere/book/1', 404),
            (b'*', 404),
        ],
    )
    def test_a_route_is_found_by_the_path_as_it_stands(
        self, tmp_path, target, status
    ) -> None:
        async def script(cluster: Cluster) -> None:
            await cluster.start_serving('d1')
            got, lines = await self._ask(cluster, target)
            assert got == status
            served = [f'GET {target.decode()} HTTP/1.1']
            assert lines == served[: int(status == 200)]

        run_scenario(tmp_path, script)

    def test_an_absolute_target_is_served_by_its_own_host(self, tmp_path) -> None:
        async def script(cluster: Cluster) -> None:
            await cluster.start_serving('d1')
            got, lines = await self._ask(cluster, b'http://shop.example:80/book/1?x')
            assert (got, lines) == (200, ['GET /book/1?x HTTP/1.1'])
            got, lines = await self._ask(cluster, b'http://none.example/book/1')
            assert got == 404

        run_scenario(tmp_path, script)

    @pytest.mark.parametrize(
        ('name', 'value', 'status'),
        [
            (b'Length-Hint', b'57.5', 200),
            (b'Length-Hint', b'some', 200),
            (b'Deadline-Ms', b'nan', 400),
            (b'Deadline-Ms', b'inf', 400),
            (b'Deadline-Ms', b'soon', 400),
            (b'Deadline-Ms', b'0', 503),
            (b'Deadline-Ms', b'900.5', 200),
        ],
    )
    def test_only_what_a_request_depends_on_has_to_be_readable(
        self, tmp_path, name, value, status
    ) -> None:
        async def script(cluster: Cluster) -> None:
            await cluster.start_serving('d1')
            got, _ = await self._ask(cluster, b'/book/1', (name, value))
            assert got == status

        run_scenario(tmp_path, script)
