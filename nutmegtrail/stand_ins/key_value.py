"""In-memory key-value service with the JSON API of the etcd v3 gateway.

`POST /stand-in/mode` takes `{"mode": "up" | "down" | "lose-answers"}`:
`down` rejects every request, `lose-answers` executes transactions but
responds with 503.
"""

import base64
import itertools
import time
import typing

import anyio
import orjson

from nutmegtrail.adapters.http import exchanges

_OK: typing.Final = 200
_UNAVAILABLE: typing.Final = 503
_POLL_INTERVAL_SECONDS: typing.Final = 0.2


class StoredValue(typing.NamedTuple):
    """Value, revision of its last change and lease ID (0 for none)."""

    content: bytes
    revision: int
    lease_id: int


class Lease(typing.NamedTuple):
    """Duration of a lease and the monotonic time at which it expires."""

    ttl_seconds: int
    expires_at_seconds: float


class KeyValueService:
    """Stores values in memory and serves the gateway API."""

    def __init__(self) -> None:
        """Initialize an empty store."""
        self.mode = 'up'
        self.writes = 0
        self.reads = 0
        self._revision = 1
        self._stored_by_key: dict[bytes, StoredValue] = {}
        self._leases_by_id: dict[int, Lease] = {}
        self._lease_ids = itertools.count(1)
        self._changes: list[tuple[bytes, StoredValue]] = []
        self._changed = anyio.Event()

    async def serve(self, exchange: exchanges.Exchange) -> None:
        """Handle one request."""
        document = exchange.json() if exchange.method == 'POST' else {}
        if exchange.path == '/stand-in/mode':
            self.mode = document['mode']
            await exchange.respond_json(_OK, {})
        elif exchange.path == '/stand-in/counts':
            counts = {'writes': self.writes, 'reads': self.reads}
            await exchange.respond_json(_OK, counts)
        else:
            await self._serve_api(exchange, document)

    async def _serve_api(
        self,
        exchange: exchanges.Exchange,
        document: dict[str, typing.Any],
    ) -> None:
        """Handle a request to the gateway API in the current mode."""
        if self.mode == 'down':
            await exchange.respond_json(_UNAVAILABLE, {'error': 'unavailable'})
        elif exchange.path == '/v3/watch':
            await self._watch(exchange, document['create_request'])
        else:
            response = self._execute(exchange.path, document)
            if self.mode == 'lose-answers' and exchange.path == '/v3/kv/txn':
                await exchange.respond_json(_UNAVAILABLE, {'error': 'lost'})
            else:
                await exchange.respond_json(_OK, response)

    async def expire_leases(self) -> None:
        """Revoke expired leases until cancelled."""
        while True:
            await anyio.sleep(_POLL_INTERVAL_SECONDS)
            now_seconds = time.monotonic()
            for lease_id, lease in tuple(self._leases_by_id.items()):
                if lease.expires_at_seconds < now_seconds:
                    self._revoke(lease_id)

    def _execute(
        self,
        path: str,
        document: dict[str, typing.Any],
    ) -> dict[str, typing.Any]:
        """Execute a request and return its response."""
        if path == '/v3/kv/range':
            self.reads += 1
            return {'kvs': self._range(document)}
        self.writes += 1
        if path == '/v3/kv/txn':
            return self._transact(document)
        if path == '/v3/lease/grant':
            return self._grant(int(document['TTL']))
        if path == '/v3/lease/keepalive':
            return {'result': {'TTL': str(self._renew(int(document['ID'])))}}
        self._revoke(int(document['ID']))
        return {}

    def _range(self, document: dict[str, str]) -> list[dict[str, str]]:
        """Return the entries of a key range."""
        start = base64.b64decode(document['key'])
        end = base64.b64decode(document.get('range_end', '')) or start + b'\0'
        return [
            _encode_entry(key, stored)
            for key, stored in sorted(self._stored_by_key.items())
            if start <= key < end
        ]

    def _transact(self, document: dict[str, typing.Any]) -> dict[str, object]:
        """Execute a transaction: puts, if all keys are at their revisions."""
        succeeded = all(
            self._revision_of(base64.b64decode(compare['key']))
            == int(compare['mod_revision'])
            for compare in document['compare']
        )
        if succeeded:
            for operation in document['success']:
                put = operation['request_put']
                self._put(
                    base64.b64decode(put['key']),
                    base64.b64decode(put['value']),
                    int(put.get('lease', 0)),
                )
        return {
            'header': {'revision': str(self._revision)},
            'succeeded': succeeded,
        }

    def _revision_of(self, key: bytes) -> int:
        """Return the revision of a key's last change, 0 if it is absent."""
        current = self._stored_by_key.get(key)
        return 0 if current is None else current.revision

    def _put(self, key: bytes, content: bytes, lease_id: int) -> None:
        """Store a value at the next revision and notify the watches."""
        self._revision += 1
        stored = StoredValue(content, self._revision, lease_id)
        self._stored_by_key[key] = stored
        self._changes.append((key, stored))
        self._changed.set()
        self._changed = anyio.Event()

    def _grant(self, ttl_seconds: int) -> dict[str, object]:
        """Create a lease."""
        lease_id = next(self._lease_ids)
        self._leases_by_id[lease_id] = Lease(
            ttl_seconds,
            time.monotonic() + ttl_seconds,
        )
        return {'ID': str(lease_id), 'TTL': str(ttl_seconds)}

    def _renew(self, lease_id: int) -> int:
        """Renew a lease; return its TTL in seconds, 0 if it has expired."""
        lease = self._leases_by_id.get(lease_id)
        if lease is None:
            return 0
        expires_at_seconds = time.monotonic() + lease.ttl_seconds
        self._leases_by_id[lease_id] = Lease(
            lease.ttl_seconds,
            expires_at_seconds,
        )
        return lease.ttl_seconds

    def _revoke(self, lease_id: int) -> None:
        """Revoke a lease and delete its keys."""
        self._leases_by_id.pop(lease_id, None)
        self._stored_by_key = {
            key: stored
            for key, stored in self._stored_by_key.items()
            if not stored.lease_id or stored.lease_id != lease_id
        }

    async def _watch(
        self,
        exchange: exchanges.Exchange,
        request: dict[str, str],
    ) -> None:
        """Stream the changes of a key range."""
        start = base64.b64decode(request['key'])
        end = base64.b64decode(request['range_end'])
        next_change_index = 0
        exchange.start(_OK, 'application/json')
        created = orjson.dumps({'result': {'created': True}})
        await exchange.write(created + b'\n', more=True)
        while self.mode != 'down':
            changed = self._changed
            events = [
                {'type': 'PUT', 'kv': _encode_entry(key, stored)}
                for key, stored in self._changes[next_change_index:]
                if start <= key < end
                and stored.revision >= int(request['start_revision'])
            ]
            next_change_index = len(self._changes)
            line = orjson.dumps({'result': {'events': events}})
            await exchange.write(line + b'\n', more=True)
            with anyio.move_on_after(_POLL_INTERVAL_SECONDS * 10):
                await changed.wait()
        await exchange.write(b'', more=False)


def _encode_entry(key: bytes, stored: StoredValue) -> dict[str, str]:
    """Encode a stored value for the gateway API."""
    return {
        'key': base64.b64encode(key).decode(),
        'value': base64.b64encode(stored.content).decode(),
        'mod_revision': str(stored.revision),
    }
