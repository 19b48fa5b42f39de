"""Entries of another writer below ``servers/`` stop the daemons' view of the replicas.

Two machines serve a plain service. A replica reports ``draining``, the store
acknowledges it, and another replica joins. With trouble, another writer has written six
entries of its own below ``servers/`` a moment before, once each; they cannot be read.

What follows is shown and is no part of the verdict: the other writer's entries change
once in ``heartbeat_ms``, and a machine is restarted meanwhile.
"""

import asyncio
import json
import signal
import sys
import time
from collections import Counter
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / 'common'))

from world import (  # noqa: E402
    TROUBLE,
    CannotRun,
    configuration,
    head,
    main,
    new_id,
    read_message,
    render,
    route,
    service,
)

HEARTBEAT_SECONDS = 1.2
DRAIN_SECONDS = 2.0
# "It continues serving for drain_ms after the store has accepted that report and a
# little longer (at times many seconds), and then exits."
LINGER_SECONDS = 10.0
RECOVERY_SECONDS = 12.0
OTHERS = 6


async def answer(replica, message, request_id, writer):
    await asyncio.sleep(0.015)
    writer.write(render(200, b'x' * 800, replica.headers(request_id)))
    await writer.drain()
    return True


def other_entry(number):
    """Return what another writer writes: a number has no finite value.

    Python's ``json`` and others write an infinite number so.
    """
    fields = {
        'service': 'print-jobs',
        'address': '127.0.0.9:9000',
        'zone': 'bilbao',
        'version': 'v1',
        'slots': 6,
        'state': 'ready',
        'cold_remaining_ms': float('inf'),
        'uptime': number,
    }
    return json.dumps(fields).encode()


def write_others(world, number):
    for index in range(OTHERS):
        world.store.write(f'servers/a-other-{index}', other_entry(number))
        world.record(f'another writer writes servers/a-other-{index} ({number})')


async def change_others(world):
    number = 0
    while True:
        number += 1
        write_others(world, number)
        await asyncio.sleep(HEARTBEAT_SECONDS)


async def send_steadily(world, daemon, answered):
    """A client that keeps its connection and sends one request after the other."""
    reader = writer = None
    while True:
        if writer is None:
            reader, writer = await asyncio.open_connection(daemon.ip, daemon.front)
        request_id = new_id()
        writer.write(head('GET', '/stock-lookup/a', request_id))
        message = await read_message(reader)
        status = message.first.split()[1] if message else 'closed'
        answered[status] += 1
        world.record(f'client at {daemon.name}: id {request_id} -> {status}')
        if message is None or message.headers.get('connection') == 'close':
            writer.close()
            writer = None
        await asyncio.sleep(0.05)


async def run(world):
    world.store.write(
        'op/config',
        configuration(
            [route('stock-lookup', 'reservas', timeout_ms=800)], [service('reservas')]
        ),
    )
    replicas = [
        await world.add_replica(f'i-{index}', 'reservas', zone, 6, answer)
        for index, zone in enumerate(('bilbao', 'donostia', 'bilbao'))
    ]
    leaving, staying, joining = replicas
    leaving.register()
    staying.register()
    daemons = [await world.add_daemon('bilbao'), await world.add_daemon('donostia')]
    for daemon in daemons:
        await daemon.wait_ready()
    answered = Counter()
    clients = [
        asyncio.create_task(send_steadily(world, daemon, answered))
        for daemon in daemons
    ]
    await asyncio.sleep(4)
    if not leaving.ran or not staying.ran:
        raise CannotRun('a replica gets nothing before the trouble')
    if TROUBLE:
        write_others(world, 0)
    await asyncio.sleep(0.1)

    leaving.register(state='draining')
    joining.register()
    acknowledged = time.monotonic()
    world.record('the store acknowledges that i-0 is draining, and that i-2 is ready')
    await asyncio.sleep(DRAIN_SECONDS)
    in_time = len(leaving.ran)
    await asyncio.sleep(LINGER_SECONDS - DRAIN_SECONDS)
    late = len(leaving.ran) - in_time
    joined = len(joining.ran)
    leaving.stop()
    world.store.remove('servers/i-0')
    world.record(f'i-0 exits {time.monotonic() - acknowledged:.1f} s after that')

    # Shown, and no part of the verdict: a machine that starts anew is not ready.
    others = [asyncio.create_task(change_others(world))] if TROUBLE else []
    clients[0].cancel()
    first = daemons[0]
    first.signal(signal.SIGTERM)
    await first.process.wait()
    await first.start()
    began = time.monotonic()
    try:
        await first.wait_ready(RECOVERY_SECONDS)
        ready = f'ready after {time.monotonic() - began:.1f} s'
    except CannotRun:
        ready = f'not ready after {RECOVERY_SECONDS:.0f} s'
    for task in (*clients, *others):
        task.cancel()

    failures = [
        sum('task failed' in line for line in daemon.log_text().splitlines())
        for daemon in daemons
    ]
    world.record.say(f'lines "task failed" in the logs, by machine: {failures}')
    world.record.say(f'answers to clients: {dict(answered)}')
    world.record.say(f'requests run by the new replica i-2 in 10 s: {joined}')
    world.record.say(f'the machine that was restarted: {ready}')
    world.record.say(
        f'DRAIN: requests at i-0 later than {DRAIN_SECONDS} s after the '
        f'acknowledgement: {late}'
    )
    return late == 0


main(run, FOLDER)
