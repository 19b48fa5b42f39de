"""A cluster in this process: two daemons and simulated services on loopback."""

import hashlib
import json
import time
from concurrent.futures import ThreadPoolExecutor
from contextlib import ExitStack
from functools import partial

import urllib3
from openai import OpenAI

from fireflyhitch_daemon.process import DaemonProcess
from fireflyhitch_model.clock import SystemClock
from fireflyhitch_settings.bootstrap import DaemonSettings
from fireflyhitch_settings.schema import (
    Configuration,
    Customer,
    ModelDeployment,
    ServiceDeployment,
)
from fireflyhitch_standins.etcd_server import EtcdServer
from fireflyhitch_standins.platform_server import PlatformServer
from fireflyhitch_standins.world import DeploymentServers, InitialServers, WorldSettings

KEY = 'caller-key'
OTHER_KEY = 'other-key'
TOKEN = 'operator-token'
DOMAINS = ('north', 'south')
TIMEOUT_SECONDS = 30


def hash_key(text):
    return hashlib.sha256(text.encode()).hexdigest()


def wait_until(condition):
    """Wait until a condition returns a true value, and return that value."""
    deadline = time.monotonic() + TIMEOUT_SECONDS
    while time.monotonic() < deadline:
        found = condition()
        if found:
            return found
        time.sleep(0.01)
    raise AssertionError('condition not met before the timeout')


class LocalCluster:
    """Two daemons in two failure domains, three engines, two plain services."""

    def __init__(self, tls=None):
        self._tls = tls
        self._scheme = 'https' if tls else 'http'
        authority = tls['authority'] if tls else None
        self._stack = ExitStack()
        self.http = urllib3.PoolManager(
            retries=False, timeout=TIMEOUT_SECONDS, ca_certs=authority
        )
        self.store = self._start(EtcdServer(SystemClock()))
        self.platform = self._start(PlatformServer(make_world()))
        self.daemons = [self._start_daemon(number) for number in range(len(DOMAINS))]
        self.configure()
        for daemon in self.daemons:
            wait_until(partial(self._is_ready, daemon))

    def close(self):
        with ThreadPoolExecutor() as stoppers:
            list(stoppers.map(DaemonProcess.stop, self.daemons))
        self._stack.close()

    def entry(self, number):
        return f'{self._scheme}://{self.daemons[number].describe()["callers"]}'

    def client(self, number=0, key=KEY):
        return OpenAI(base_url=f'{self.entry(number)}/v1', api_key=key, max_retries=0)

    def call(self, number, method, path, *, key=KEY, body=None, headers=(), **options):
        given = {'Authorization': f'Bearer {key}', **dict(headers)}
        url = f'{self.entry(number)}{path}'
        return self.http.request(method, url, headers=given, body=body, **options)

    def open_stream(self, number, prompt, max_tokens):
        body = {
            'model': 'assistant',
            'messages': [{'role': 'user', 'content': prompt}],
            'max_tokens': max_tokens,
            'stream': True,
        }
        path = '/v1/chat/completions'
        text = json.dumps(body)
        return self.call(number, 'POST', path, body=text, preload_content=False)

    def admin(self, number, method, path, body=None):
        address = self.daemons[number].describe()['admin']
        headers = {'Authorization': f'Bearer {TOKEN}'}
        url = f'{self._scheme}://{address}{path}'
        return self.http.request(method, url, json=body, headers=headers)

    def engines(self):
        world = self.platform.world
        return [one for one in world.servers.values() if hasattr(one, 'generations')]

    def running(self):
        return sum(engine.running for engine in self.engines())

    def runs(self):
        return self.platform.world.count_runs()

    def configure(self):
        configuration = make_configuration().model_dump(mode='json')
        body = {
            'expected_revision': 0,
            'change_id': '1',
            'configuration': configuration,
        }
        assert self.admin(0, 'PUT', '/admin/configuration', body).status == 200

    def _start(self, server):
        server.start()
        self._stack.callback(server.stop)
        return server

    def _start_daemon(self, number):
        platform = f'http://{self.platform.address}'
        seeds = [one.describe()['peers'] for one in getattr(self, 'daemons', ())]
        settings = DaemonSettings.model_validate(
            {
                'daemon_id': f'daemon-{number}',
                'instance_id': f'instance-{number}',
                'failure_domain': DOMAINS[number],
                'admin_token_sha256': hash_key(TOKEN),
                'peer_key': 'peers',
                'seeds': seeds or self._find_seeds(),
                'limits': {'max_body_bytes': 100000},
                'tls': self._tls,
                'platform': {
                    'key_value': self.store.url,
                    'instance_list': f'{platform}/instances',
                    'cloud': f'{platform}/cloud',
                },
            }
        )
        daemon = DaemonProcess(settings, SystemClock())
        daemon.start()
        self._stack.callback(daemon.stop)
        self._seeds = [daemon.describe()['peers']]
        return daemon

    def _find_seeds(self):
        return getattr(self, '_seeds', [])

    def _is_ready(self, daemon):
        number = self.daemons.index(daemon)
        url = f'{self.entry(number)}/readyz'
        ready = self.http.request('GET', url).status == 200
        status = self.admin(number, 'GET', '/admin/status').json()
        return ready and len(status['daemons']) == 2 and status['backend_servers']


def make_world():
    pace = {'token_seconds': 0.01, 'first_token_seconds': 0.01}
    engines = {'v1': {**pace, 'answer_tokens': 100000}}
    initial = [
        InitialServers(
            deployment='assistant', version='v1', failure_domain=one, count=2
        )
        for one in DOMAINS
    ] + [
        InitialServers(deployment='bookings', version='v1', failure_domain=one)
        for one in DOMAINS
    ]
    return WorldSettings(
        deployments={
            'assistant': DeploymentServers(engines=engines, capacity=16),
            'bookings': DeploymentServers(services={'v1': {}}),
        },
        initial=tuple(initial),
        list_lag_seconds=0,
    )


def make_configuration():
    common = {'failure_domains': DOMAINS, 'version': 'v1'}
    return Configuration(
        deployments=(
            ModelDeployment(name='assistant', **common),
            ServiceDeployment(name='bookings', **common),
        ),
        customers=(
            Customer(customer_id='first', api_key_sha256=hash_key(KEY)),
            Customer(customer_id='other', api_key_sha256=hash_key(OTHER_KEY)),
        ),
    )
