"""How callers of the fault soak exchange requests and answers with a daemon."""

import asyncio

from fireflyhitch_bench.soak_quiet import Answer
from fireflyhitch_bench.soak_site import DaemonProcess
from fireflyhitch_serving.client import MAX_BODY_BYTES
from fireflyhitch_serving.connections import ServerConnection, connect
from fireflyhitch_serving.messages import find_header

CALL_SECONDS = 4.0
# Between two writes of one request: a daemon that runs has read the first.
WRITE_PAUSE_SECONDS = 0.01


async def exchange(
    daemon: DaemonProcess, pieces: list[bytes], answers: int
) -> list[Answer]:
    """Write a request or several in pieces, and read the answers in order.

    :raises ServerError: if the connection ends before the last answer does.
    """
    connection = await connect(daemon.front, CALL_SECONDS)
    try:
        connection.send(pieces[0])
        for piece in pieces[1:]:
            await asyncio.sleep(WRITE_PAUSE_SECONDS)
            connection.send(piece)
        return [await _read_answer(connection) for _ in range(answers)]
    finally:
        connection.close()


async def _read_answer(connection: ServerConnection) -> Answer:
    head = await connection.read_head()
    body = await connection.read_whole_body(MAX_BODY_BYTES)
    signed = find_header(head.headers, b'response-stamp') is not None
    returns = find_header(head.headers, b'retry-after')
    return Answer(head.status, body, signed, returns)
