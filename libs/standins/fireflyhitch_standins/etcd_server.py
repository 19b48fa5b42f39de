"""The key-value stand-in over HTTP, compatible with etcd's JSON gateway."""

import json
import threading
from collections.abc import Callable, Iterable, Iterator
from datetime import timedelta
from typing import Any

from cheroot.wsgi import Server

from fireflyhitch_model.clock import Clock
from fireflyhitch_model.errors import PlatformError
from fireflyhitch_model.ids import LeaseId, Revision
from fireflyhitch_model.states import Outcome
from fireflyhitch_platform.etcd_messages import (
    Json,
    decode_key,
    encode_key,
    find_range_end,
)
from fireflyhitch_platform.keyvalue import (
    KeyValue,
    WatchCompacted,
    WatchEvent,
    Written,
)
from fireflyhitch_standins.faults import Fault
from fireflyhitch_standins.keyvalue import MemoryKeyValueStore

# Each waiting watch occupies a thread.
THREADS = 48
QUEUED_CONNECTIONS = 64
# A closed client connection is detected when the next progress message is sent.
PROGRESS_INTERVAL = timedelta(seconds=1)
OUTAGE_BODY = {'code': 14, 'message': 'etcdserver: no leader'}
LOST_BODY = {'code': 14, 'message': 'etcdserver: request timed out'}

StartResponse = Callable[[str, list[tuple[str, str]]], object]


class EtcdServer:
    """Serves a ``MemoryKeyValueStore``; ``PUT /standin/faults`` sets its faults.

    Fields of the faults' body: ``outage`` (bool), ``slow_seconds`` (delay of each
    call except watches), ``lost_answers`` and ``lost_requests`` (number of upcoming
    writes affected). ``GET /standin/calls`` returns the call counts by kind.
    """

    def __init__(self, clock: Clock, port: int = 0, host: str = '127.0.0.1') -> None:
        self.store = MemoryKeyValueStore(clock)
        self._clock = clock
        self._slow = timedelta()
        self._stopping = threading.Event()
        self._server = Server(
            (host, port),
            self._serve,
            numthreads=THREADS,
            request_queue_size=QUEUED_CONNECTIONS,
            shutdown_timeout=1,
        )
        self._thread = threading.Thread(
            target=self._server.serve, name='key-value stand-in', daemon=True
        )
        self._operations: dict[str, Callable[[Json], Json]] = {
            '/v3/kv/range': self._range,
            '/v3/kv/txn': self._transact,
            '/v3/lease/grant': self._grant,
            '/v3/lease/keepalive': self._keep,
            '/v3/lease/revoke': self._revoke,
            '/standin/faults': self._set_faults,
            '/standin/calls': self._read_calls,
        }

    @property
    def address(self) -> str:
        """Return ``host:port``; valid after ``start``."""
        host, port = self._server.bind_addr[:2]
        return f'{host}:{port}'

    @property
    def url(self) -> str:
        """Return the base URL; valid after ``start``."""
        return f'http://{self.address}'

    def start(self) -> None:
        """Start serving in a thread."""
        self._server.prepare()
        self._thread.start()

    def stop(self) -> None:
        """Stop all watches and the server thread."""
        self._stopping.set()
        self._server.stop()
        self._thread.join(timeout=2)

    def _serve(
        self, environ: dict[str, Any], start_response: StartResponse
    ) -> Iterable[bytes]:
        path = environ['PATH_INFO']
        length = int(environ.get('CONTENT_LENGTH') or 0)
        body: Json = json.loads(environ['wsgi.input'].read(length) or b'{}')
        if path == '/v3/watch':
            start_response('200 OK', [('Content-Type', 'application/json')])
            return self._watch(body['create_request'])
        operation = self._operations.get(path)
        if operation is None:
            return _answer(start_response, '404 Not Found', {'message': 'no such path'})
        if path.startswith('/v3/') and self._slow:
            self._clock.wait(self._stopping, self._slow)
        try:
            return _answer(start_response, '200 OK', operation(body))
        except PlatformError as error:
            return _answer_error(start_response, error)

    def _range(self, body: Json) -> Json:
        key = decode_key(body['key']).decode()
        if 'range_end' not in body:
            item = self.store.get(key)
            found = [_write_item(item)] if item else []
            return {**self._header(), 'kvs': found, 'count': str(len(found))}
        # The client requests only prefix ranges.
        if decode_key(body['range_end']) != find_range_end(key):
            raise ValueError('only ranges of a prefix are served')
        listing = self.store.get_prefix(key)
        items = [_write_item(item) for item in listing.items]
        header = {'header': {'revision': str(listing.revision)}}
        return {**header, 'kvs': items, 'count': str(len(items))}

    def _transact(self, body: Json) -> Json:
        compare = body['compare'][0]
        write = body['success'][0]
        key = decode_key(compare['key']).decode()
        expected = Revision(int(compare['mod_revision']))
        put = write.get('request_put')
        if put is not None:
            content = decode_key(put['value'])
            lease = LeaseId(int(put.get('lease', 0))) or None
            result = self.store.put_if(key, content, expected, lease)
        else:
            result = self.store.delete_if(key, expected)
        if isinstance(result, Written):
            header = {'header': {'revision': str(result.revision)}}
            return {**header, 'succeeded': True, 'responses': [{}]}
        found = [_write_item(result.current)] if result.current else []
        response = {'response_range': {'kvs': found}}
        return {**self._header(), 'responses': [response]}

    def _grant(self, body: Json) -> Json:
        lease = self.store.grant_lease(timedelta(seconds=int(body['TTL'])))
        return {**self._header(), 'ID': str(lease), 'TTL': body['TTL']}

    def _keep(self, body: Json) -> Json:
        held = self.store.keep_lease(LeaseId(int(body['ID'])))
        # The published format omits a time to live of zero.
        return {'result': {'ID': body['ID'], **({'TTL': '1'} if held else {})}}

    def _revoke(self, body: Json) -> Json:
        self.store.revoke_lease(LeaseId(int(body['ID'])))
        return self._header()

    def _watch(self, create: Json) -> Iterator[bytes]:
        prefix = decode_key(create['key']).decode()
        position = Revision(int(create.get('start_revision', '1')) - 1)
        self.store.count('watch')
        yield _write_line({**self._header(), 'created': True})
        try:
            while not self._stopping.is_set():
                events = self.store.poll_watch(prefix, position, PROGRESS_INTERVAL)
                yield _write_line({**self._header(), 'events': _write_events(events)})
                if events:
                    position = events[-1].revision
        except WatchCompacted:
            yield _write_line({'canceled': True, 'compact_revision': str(position + 1)})
        except PlatformError:
            return

    def _set_faults(self, body: Json) -> Json:
        faults = self.store.faults
        faults.clear_all()
        if body.get('outage'):
            faults.set_persistent('*', Fault.REFUSED)
        self._slow = timedelta(seconds=float(body.get('slow_seconds', 0)))
        lost = int(body.get('lost_answers', 0))
        faults.queue('put_if', *(Fault.LOST_ANSWER for _ in range(lost)))
        unsent = int(body.get('lost_requests', 0))
        faults.queue('put_if', *(Fault.LOST_REQUEST for _ in range(unsent)))
        return {}

    def _read_calls(self, _body: Json) -> Json:
        return dict(self.store.calls)

    def _header(self) -> Json:
        return {'header': {'revision': str(self.store.revision)}}


def _write_item(item: KeyValue) -> Json:
    return {
        'key': encode_key(item.key),
        'value': encode_key(item.value),
        'mod_revision': str(item.revision),
        'create_revision': str(item.created),
    }


def _write_events(events: list[WatchEvent]) -> list[Json]:
    written: list[Json] = []
    for event in events:
        item = {'key': encode_key(event.key), 'mod_revision': str(event.revision)}
        if event.value is None:
            written.append({'type': 'DELETE', 'kv': item})
        else:
            written.append({'kv': {**item, 'value': encode_key(event.value)}})
    return written


def _write_line(notice: Json) -> bytes:
    return f'{json.dumps({"result": notice})}\n'.encode()


def _answer(
    start_response: StartResponse, status: str, document: Json
) -> Iterable[bytes]:
    body = json.dumps(document).encode()
    headers = [
        ('Content-Type', 'application/json'),
        ('Content-Length', str(len(body))),
    ]
    start_response(status, headers)
    return [body]


def _answer_error(
    start_response: StartResponse, error: PlatformError
) -> Iterable[bytes]:
    if 'lease not found' in error.message:
        missing = {'code': 5, 'message': 'etcdserver: requested lease not found'}
        return _answer(start_response, '404 Not Found', missing)
    refused = error.outcome is Outcome.NOT_RUN
    document = OUTAGE_BODY if refused else LOST_BODY
    return _answer(start_response, '503 Service Unavailable', document)
