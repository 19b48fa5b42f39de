"""A stand-in for the users' platform's key-value store, by its published protocol.

Serves HTTP on its own event loop. Tests set its faults: ``down`` refuses all calls with
503, ``drop_responses`` executes each POST and closes the connection without a response,
``malformed`` answers everything with an empty document. ``restore`` puts an older copy
in place of what the store holds.
"""

import base64
import json
from collections.abc import Mapping
from dataclasses import dataclass
from http import HTTPStatus
from typing import Any

from fireflyhitch_standins.asyncio_http import AsyncHttpServer, Reply, Request

FIRST_REVISION = 7
FIRST_ERA = 1


@dataclass(slots=True)
class _Item:
    value: bytes
    revision: int
    created: int
    lease: int

    def render(self, key: str) -> dict[str, Any]:
        """Return the item in the protocol's form."""
        return {
            'key': key,
            'value': base64.b64encode(self.value).decode(),
            'revision': self.revision,
            'created': self.created,
            'lease': self.lease,
        }


@dataclass(slots=True)
class _Watch:
    prefix: str
    after: int
    reply: Reply


@dataclass(slots=True)
class StoreCopy:
    """What the store held at some time.

    :param leases: seconds that each lease is granted for.
    """

    revision: int
    items: dict[str, _Item]
    events: list[dict[str, Any]]
    oldest: int
    leases: dict[int, float]


class UsersStore:
    """The store; its state is accessed only on the server's event loop.

    :ivar stale_after_restore: whether stale reads still return what was lost by a
        restore.
    :ivar tells_first_era: whether it tells its era also before the first restore.
    """

    def __init__(self) -> None:
        """Create an empty store; ``start`` makes it listen."""
        self.down = False
        self.drop_responses = False
        self.malformed = False
        self.stale_after_restore = False
        self.tells_first_era = True
        self.writes: list[list[str]] = []
        self._era = FIRST_ERA
        self._lost: StoreCopy | None = None
        # What operators and backend servers wrote last, by key; ``None`` if deleted.
        self._others: dict[str, bytes | None] = {}
        self._server = AsyncHttpServer(self._serve)
        self._revision = FIRST_REVISION
        self._items: dict[str, _Item] = {}
        self._events: list[dict[str, Any]] = []
        self._oldest = FIRST_REVISION
        self._leases: dict[int, Any] = {}
        self._watches: list[_Watch] = []

    @property
    def address(self) -> str:
        """Return ``host:port``."""
        return self._server.address

    def start(self) -> None:
        """Listen on a free port."""
        self._server.start()

    def stop(self) -> None:
        """Reset all connections and stop."""
        self._server.stop()

    def put(self, key: str, value: object) -> None:
        """Write a key as an operator or a backend server would."""
        self.put_bytes(key, json.dumps(value).encode())

    def put_bytes(self, key: str, data: bytes) -> None:
        """Write a key as another writer would, with any value."""
        self._others[key] = data
        self._server.call(lambda: self._write({key: (data, 0)}))

    def delete(self, key: str) -> None:
        """Delete a key as an operator or a backend server would."""
        self._others[key] = None
        self._server.call(lambda: self._delete([key]))

    def read(self, key: str) -> Any:
        """Return a key's value, or ``None``."""
        item = self._server.call(lambda: self._items.get(key))
        return json.loads(item.value) if item else None

    def clear_history(self) -> None:
        """Discard the event history and abort waiting watches."""
        self._server.call(self._compact)

    def copy(self) -> StoreCopy:
        """Return what the store holds now."""
        return self._server.call(self._copy)  # type: ignore[no-any-return]

    def restore(self, copy: StoreCopy, *, keeps_watches: bool = False) -> None:
        """Come back from an older copy, in a new era.

        :param keeps_watches: whether waiting watches stay open, and see only revisions
            above the one that they wait for.
        """
        self._server.call(lambda: self._restore(copy, keeps_watches=keeps_watches))

    def rewrite_others(self) -> None:
        """Write again what restores have lost of operators and backend servers."""
        self._server.call(self._rewrite_others)

    def _serve(self, request: Request, reply: Reply) -> None:
        if self.down:
            self._send(reply, {}, HTTPStatus.SERVICE_UNAVAILABLE)
            return
        if self.malformed:
            reply.send_json({}, HTTPStatus.OK)
            return
        answer = self._answer(request, reply)
        if answer is None:
            return
        if self.drop_responses and request.method == 'POST':
            reply.abort()
            return
        status, body = answer
        self._send(reply, body, status)

    def _send(
        self, reply: Reply, body: Mapping[str, Any], status: int = HTTPStatus.OK
    ) -> None:
        headers = {'Content-Type': 'application/json'}
        if self._era > FIRST_ERA or self.tells_first_era:
            headers['Store-Era'] = str(self._era)
        reply.send(json.dumps(body).encode(), headers, status)

    def _answer(
        self, request: Request, reply: Reply
    ) -> tuple[HTTPStatus, dict[str, Any]] | None:
        name = request.path.removeprefix('/api/').split('/')[0]
        body = json.loads(request.body or b'{}')
        if name == 'kv-range':
            return HTTPStatus.OK, self._list_as_asked(request.query)
        if name == 'kv-watch':
            return self._watch(request, reply)
        if name == 'kv-txn':
            return self._change(body)
        if name == 'kv-lease':
            return HTTPStatus.OK, self._grant(body['ttl_ms'])
        if name == 'kv-keep':
            return self._keep(int(request.path.rsplit('/', 1)[1]))
        self._delete_lease(int(request.path.rsplit('/', 1)[1]))
        return HTTPStatus.OK, {}

    def _list_as_asked(self, query: Mapping[str, str]) -> dict[str, Any]:
        prefix = query.get('prefix', '')
        is_stale = self.stale_after_restore and query.get('serializable') == '1'
        if not is_stale or self._lost is None:
            return self._list(prefix)
        return _render_items(prefix, self._lost.items, self._lost.revision)

    def _list(self, prefix: str) -> dict[str, Any]:
        return _render_items(prefix, self._items, self._revision)

    def _watch(
        self, request: Request, reply: Reply
    ) -> tuple[HTTPStatus, dict[str, Any]] | None:
        after = int(request.query['after'])
        if not self._oldest <= after <= self._revision:
            return HTTPStatus.GONE, {}
        watch = _Watch(request.query.get('prefix', ''), after, reply)
        events = self._find_events(watch)
        if events:
            return HTTPStatus.OK, {'events': events, 'current_rev': self._revision}
        self._watches.append(watch)
        wait = int(request.query['wait_ms']) / 1000
        self._server.loop.call_later(wait, self._end_watch, watch)
        return None

    def _find_events(self, watch: _Watch) -> list[dict[str, Any]]:
        return [
            event
            for event in self._events
            if event['revision'] > watch.after and event['key'].startswith(watch.prefix)
        ]

    def _end_watch(self, watch: _Watch) -> None:
        if watch in self._watches:
            self._watches.remove(watch)
        if not watch.reply.ended:
            events = self._find_events(watch)
            self._send(watch.reply, {'events': events, 'current_rev': self._revision})

    def _change(self, body: dict[str, Any]) -> tuple[HTTPStatus, dict[str, Any]]:
        for row in body['expected_revision']:
            if self._find_revision(row['key']) != row['revision']:
                items = self._list(row['key'])['items']
                return HTTPStatus.PRECONDITION_FAILED, {'items': items}
        puts = {
            put['key']: (base64.b64decode(put['value']), put['lease'])
            for put in body['puts']
        }
        if any(lease and lease not in self._leases for _, lease in puts.values()):
            return HTTPStatus.NOT_FOUND, {}
        self.writes.append(list(puts))
        self._write(puts)
        self._delete(body['deletes'])
        return HTTPStatus.OK, {'revision': self._revision}

    def _find_revision(self, key: str) -> int:
        known = self._items.get(key)
        return known.revision if known else 0

    def _write(self, puts: dict[str, tuple[bytes, int]]) -> None:
        self._revision += 1
        for key, (value, lease) in puts.items():
            known = self._items.get(key)
            created = known.created if known else self._revision
            item = _Item(value, self._revision, created, lease)
            self._items[key] = item
            self._events.append(item.render(key))
        self._notify_watches()

    def _delete(self, keys: list[str]) -> None:
        gone = [key for key in keys if self._items.pop(key, None) is not None]
        if not gone:
            return
        self._revision += 1
        for key in gone:
            event = {'key': key, 'revision': self._revision, 'removed': True}
            self._events.append(event)
        self._notify_watches()

    def _notify_watches(self) -> None:
        for watch in tuple(self._watches):
            if self._find_events(watch):
                self._end_watch(watch)

    def _compact(self) -> None:
        self._events.clear()
        self._oldest = self._revision
        self._abort_watches()

    def _abort_watches(self) -> None:
        for watch in self._watches:
            watch.reply.abort()
        self._watches.clear()

    def _copy(self) -> StoreCopy:
        leases = {lease: held[1] for lease, held in self._leases.items()}
        return StoreCopy(
            self._revision, dict(self._items), list(self._events), self._oldest, leases
        )

    def _restore(self, copy: StoreCopy, *, keeps_watches: bool) -> None:
        self._lost = self._copy()
        self._era += 1
        for timer, _ in self._leases.values():
            timer.cancel()
        self._revision = copy.revision
        self._items = dict(copy.items)
        self._events = list(copy.events)
        self._oldest = copy.oldest
        self._leases = dict.fromkeys(copy.leases)
        for lease, seconds in copy.leases.items():
            self._extend(lease, seconds)
        if not keeps_watches:
            self._abort_watches()

    def _rewrite_others(self) -> None:
        for key, value in self._others.items():
            item = self._items.get(key)
            if value is None:
                self._delete([key])
            elif item is None or item.value != value:
                self._write({key: (value, 0)})

    def _grant(self, milliseconds: int) -> dict[str, Any]:
        self._revision += 1
        lease = self._revision
        self._leases[lease] = None
        self._extend(lease, milliseconds / 1000)
        return {'lease': lease, 'ttl_ms': milliseconds}

    def _extend(self, lease: int, seconds: float) -> None:
        timer = self._leases[lease]
        if timer is not None:
            timer[0].cancel()
        handle = self._server.loop.call_later(seconds, self._delete_lease, lease)
        self._leases[lease] = (handle, seconds)

    def _keep(self, lease: int) -> tuple[HTTPStatus, dict[str, Any]]:
        if lease not in self._leases:
            return HTTPStatus.NOT_FOUND, {}
        seconds = self._leases[lease][1]
        self._extend(lease, seconds)
        return HTTPStatus.OK, {'ttl_ms': int(seconds * 1000)}

    def _delete_lease(self, lease: int) -> None:
        held = self._leases.pop(lease, None)
        if held is not None:
            held[0].cancel()
        self._delete([key for key, item in self._items.items() if item.lease == lease])


def _render_items(
    prefix: str, items: Mapping[str, _Item], revision: int
) -> dict[str, Any]:
    found = [
        item.render(key)
        for key, item in sorted(items.items())
        if key.startswith(prefix)
    ]
    return {'items': found, 'truncated': False, 'current_rev': revision}


class UsersDuties:
    """A stand-in for the receiver of duty calls; records all calls.

    Only one daemon at a time makes these calls.
    """

    def __init__(self) -> None:
        """Create a stand-in that accepts all calls; ``start`` makes it listen."""
        self.calls: list[tuple[str, str, int, dict[str, Any]]] = []
        self.status = HTTPStatus.OK
        self._server = AsyncHttpServer(self._serve)

    @property
    def address(self) -> str:
        """Return ``host:port``."""
        return self._server.address

    def start(self) -> None:
        """Listen on a free port."""
        self._server.start()

    def stop(self) -> None:
        """Reset all connections and stop."""
        self._server.stop()

    def find(self, path: str) -> list[dict[str, Any]]:
        """Return the bodies of the calls to a path."""
        return [body for known, _, _, body in self.calls if known == path]

    def _serve(self, request: Request, reply: Reply) -> None:
        holder = request.headers['duty-holder']
        fencing = int(request.headers['fencing-token'])
        self.calls.append((request.path, holder, fencing, json.loads(request.body)))
        reply.send_json({}, self.status)
