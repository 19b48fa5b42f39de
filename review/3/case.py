"""A booking that has run is sent to another replica, through another machine.

Three machines and four replicas. With trouble, one machine is cut off from the replicas
for some seconds, and passes its requests on to the other machines. The replicas end a
part of the requests that they run with their own 500, with and without trouble.

The links between that machine and the replicas are proxies, which reset and refuse
connections while they are cut.
"""

import asyncio
import random
import sys
import time
from collections import Counter, defaultdict
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / 'common'))

from world import (  # noqa: E402
    TROUBLE,
    Link,
    configuration,
    head,
    main,
    new_id,
    read_message,
    render,
    route,
    service,
)

# As the site's ``node_cut``: for_s 5.5; one machine, with how = "servers refuse".
CUT_SECONDS = 5.5
# Of the runs of a sound replica; the site's figures for this service are 0.004 and 0.14.
ERROR_FRACTION = 0.05
CLIENTS = 10
dice = random.Random(11)
runs = defaultdict(list)


async def answer(replica, message, request_id, writer):
    await asyncio.sleep(0.015)
    runs[request_id].append(replica.name)
    if dice.random() < ERROR_FRACTION:
        replica.record(f'replica {replica.name} has run id {request_id}, answers 500')
        writer.write(render(500, b'', [('Request-Id', request_id)]))
    else:
        writer.write(render(200, b'x' * 800, replica.headers(request_id)))
    await writer.drain()
    return True


async def run(world):
    world.store.write(
        'op/config',
        configuration(
            [route('book-gown', 'reservas', 'non_idempotent', timeout_ms=800)],
            [service('reservas')],
        ),
    )
    links = []
    for index in range(4):
        zone = ('bilbao', 'donostia')[index % 2]
        replica = await world.add_replica(f'i-{index}', 'reservas', zone, 6, answer)
        link = Link(replica)
        await link.open()
        links.append(link)
        replica.register()
    view = await world.store.start_view(
        {link.replica.address: link.address for link in links}
    )
    daemons = [await world.add_daemon('bilbao', view)]
    daemons += [await world.add_daemon(zone) for zone in ('bilbao', 'donostia')]
    for daemon in daemons:
        await daemon.wait_ready()
    await asyncio.sleep(4)
    answers = {}
    until = time.monotonic() + CUT_SECONDS + 4

    async def client(number):
        reader = writer = None
        while time.monotonic() < until:
            if writer is None:
                reader, writer = await asyncio.open_connection(
                    daemons[0].ip, daemons[0].front
                )
            request_id = new_id()
            writer.write(
                head('POST', '/book-gown/a', request_id, 1500, length=5) + b'gowns'
            )
            message = await read_message(reader)
            status = message.first.split()[1] if message else 'closed'
            answers[request_id] = status
            world.record(f'client: id {request_id} -> {status}')
            if message is None or message.headers.get('connection') == 'close':
                writer.close()
                writer = None
            await asyncio.sleep(0.1)

    clients = [asyncio.create_task(client(number)) for number in range(CLIENTS)]
    await asyncio.sleep(2)
    if TROUBLE:
        world.record('machine 1 is cut off from the replicas')
        for link in links:
            link.cut()
    await asyncio.sleep(CUT_SECONDS)
    if TROUBLE:
        for link in links:
            await link.open()
        world.record('machine 1 reaches the replicas again')
    await asyncio.gather(*clients)
    twice = {rid: found for rid, found in runs.items() if len(found) > 1}
    refused = [rid for rid, st in answers.items() if st in ('503', '429') and runs[rid]]
    for rid, found in twice.items():
        world.record(f'twice: id {rid} ran at {found}, answered {answers.get(rid)}')
    world.record.say(f'answers: {dict(Counter(answers.values()))}')
    world.record.say(f'REFUSED: answered 503, and has run: {len(refused)}')
    world.record.say(f'TWICE: {len(twice)}; runs: {Counter(map(len, runs.values()))}')
    return not twice


main(run, FOLDER)
