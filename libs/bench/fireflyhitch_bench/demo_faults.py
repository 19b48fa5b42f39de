"""What goes wrong in the demo, in this order."""

import asyncio
from collections.abc import Callable
from datetime import UTC, datetime, timedelta
from typing import Any

from fireflyhitch_bench.site import NEW_VERSION, Site
from fireflyhitch_standins.engine_settings import EngineSettings
from fireflyhitch_standins.service_server import ServiceSettings

Teller = Callable[[str], None]

NOTICE_SECONDS = 2.0
TOKEN_SECONDS = 0.02


async def run_faults(site: Site, say: Teller) -> None:
    """Bring about the faults while callers call."""
    for pause, fault in SCHEDULE:
        await asyncio.sleep(pause)
        await asyncio.to_thread(fault, site, say)


def _reclaim_server(site: Site, say: Teller) -> None:
    servers = site.call_admin(0, 'GET', '/admin/status')['backend_servers']
    chosen = next(one for one in servers if one['deployment'] == site.plan.model)
    instance = chosen['server'].split('/')[0]
    _reclaim(site, instance)
    say(f'engine {instance} gets a notice of {NOTICE_SECONDS:.0f} s')


def _reclaim_daemon(site: Site, say: Teller) -> None:
    daemon = site.daemons[-1]
    _reclaim(site, daemon.name)
    say(f'entry instance {daemon.name} gets a notice of {NOTICE_SECONDS:.0f} s')


def _kill_daemon(site: Site, say: Teller) -> None:
    daemon = site.daemons[-1]
    site.group.kill(daemon)
    say(f'entry instance {daemon.name} is gone')


def _reclaim(site: Site, instance: str) -> None:
    reclaim = {'notice_seconds': NOTICE_SECONDS, 'instances': [instance]}
    site.call_platform('POST', '/standin/reclaims', reclaim)


def _cut_store(site: Site, say: Teller) -> None:
    site.set_store_faults({'outage': True})
    say('key-value service is away')


def _restore_store(site: Site, say: Teller) -> None:
    site.set_store_faults({'outage': False})
    say('key-value service is back')


def _move_to_bad_version(site: Site, say: Teller) -> None:
    for number in range(2):
        order: dict[str, Any] = {
            'order_id': f'demo-{number}',
            'deployment': site.plan.service,
            'version': NEW_VERSION,
            'failure_domain': site.plan.place(number),
            'machine_class': 'reclaimable',
        }
        site.call_platform('POST', '/cloud/instances', order)
    current = site.call_admin(0, 'GET', '/admin/configuration')
    configuration = current['configuration']
    move_by = datetime.now(UTC) + timedelta(minutes=30)
    move = {'to_version': NEW_VERSION, 'move_by': move_by.isoformat()}
    for deployment in configuration['deployments']:
        if deployment['name'] == site.plan.service:
            deployment['move'] = move
    proposal = {
        'expected_revision': current['revision'],
        'change_id': 'demo-move',
        'configuration': configuration,
    }
    site.call_admin(0, 'PUT', '/admin/configuration', proposal)
    say(f'move to {NEW_VERSION}, which fails calls, by {move_by:%H:%M}')


def _tell_move(site: Site, say: Teller) -> None:
    moves = site.call_admin(0, 'GET', '/admin/moves')['moves']
    for move in moves:
        say(
            f'move of {move["deployment"]} to {move["to_version"]}: {move["state"]}, '
            f'{move["reason"]}, {"; ".join(move["evidence"])}'
        )


GOOD_ENGINE = EngineSettings(token_seconds=TOKEN_SECONDS)
# Runs each call and then answers with an error.
BAD_SERVICE = ServiceSettings(fail_share=1)

# Seconds to wait, then what happens.
SCHEDULE: tuple[tuple[float, Callable[[Site, Teller], None]], ...] = (
    (1, _move_to_bad_version),
    (5, _reclaim_server),
    (NOTICE_SECONDS + 1, _reclaim_daemon),
    (NOTICE_SECONDS, _kill_daemon),
    (1, _cut_store),
    (3, _restore_store),
    (11, _tell_move),
)
