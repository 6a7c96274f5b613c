"""In-memory key-value service on the JSON paths of the etcd v3 gateway.

`POST /stand-in/mode` takes `{"mode": "up" | "down" | "lose-answers"}`:
down refuses every call, lose-answers performs writes and cuts the answer.
"""

import base64
import itertools
import time
import typing

import anyio
import orjson

from nutmegtrail.adapters.http import asgi

_OK: typing.Final = 200
_UNAVAILABLE: typing.Final = 503
_SWEEP_SECONDS: typing.Final = 0.2


class Stored(typing.NamedTuple):
    """A value, its last revision and its lease (0 for none)."""

    content: bytes
    revision: int
    lease_id: int


class Lease(typing.NamedTuple):
    """A lease's duration and when it lapses."""

    ttl_seconds: int
    ends_at_seconds: float


class KeyValueService:
    """Holds the values and serves the gateway's paths."""

    def __init__(self) -> None:
        """Start empty."""
        self.mode = 'up'
        self.writes = 0
        self.reads = 0
        self._revision = 1
        self._stored_by_key: dict[bytes, Stored] = {}
        self._leases_by_id: dict[int, Lease] = {}
        self._lease_ids = itertools.count(1)
        self._changes: list[tuple[bytes, Stored]] = []
        self._changed = anyio.Event()

    async def serve(self, exchange: asgi.Exchange) -> None:
        """Answer one call."""
        document = await exchange.json() if exchange.method == 'POST' else {}
        if exchange.path == '/stand-in/mode':
            self.mode = document['mode']
            await exchange.respond_json(_OK, {})
        elif exchange.path == '/stand-in/counts':
            counts = {'writes': self.writes, 'reads': self.reads}
            await exchange.respond_json(_OK, counts)
        else:
            await self._serve_gateway(exchange, document)

    async def _serve_gateway(
        self,
        exchange: asgi.Exchange,
        document: dict[str, typing.Any],
    ) -> None:
        """Answer a call as the present mode says."""
        if self.mode == 'down':
            await exchange.respond_json(_UNAVAILABLE, {'error': 'unavailable'})
        elif exchange.path == '/v3/watch':
            await self._watch(exchange, document['create_request'])
        else:
            answer = self._call(exchange.path, document)
            if self.mode == 'lose-answers' and exchange.path == '/v3/kv/txn':
                await exchange.respond_json(_UNAVAILABLE, {'error': 'lost'})
            else:
                await exchange.respond_json(_OK, answer)

    async def run_leases(self) -> None:
        """End the leases that have lapsed."""
        while True:
            await anyio.sleep(_SWEEP_SECONDS)
            now_seconds = time.monotonic()
            for lease_id, lease in tuple(self._leases_by_id.items()):
                if lease.ends_at_seconds < now_seconds:
                    self._revoke(lease_id)

    def _call(
        self,
        path: str,
        document: dict[str, typing.Any],
    ) -> dict[str, typing.Any]:
        """Return the answer of a call."""
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
            _entry(key, stored)
            for key, stored in sorted(self._stored_by_key.items())
            if start <= key < end
        ]

    def _transact(self, document: dict[str, typing.Any]) -> dict[str, object]:
        """Perform a compare and its put."""
        compare = document['compare'][0]
        key = base64.b64decode(compare['key'])
        present = self._stored_by_key.get(key)
        revision = 0 if present is None else present.revision
        succeeded = revision == int(compare['mod_revision'])
        if succeeded:
            put = document['success'][0]['request_put']
            lease_id = int(put.get('lease', 0))
            self._put(key, base64.b64decode(put['value']), lease_id)
        return {
            'header': {'revision': str(self._revision)},
            'succeeded': succeeded,
        }

    def _put(self, key: bytes, content: bytes, lease_id: int) -> None:
        """Store a value at the next revision and wake the watches."""
        self._revision += 1
        stored = Stored(content, self._revision, lease_id)
        self._stored_by_key[key] = stored
        self._changes.append((key, stored))
        self._changed.set()
        self._changed = anyio.Event()

    def _grant(self, ttl_seconds: int) -> dict[str, object]:
        """Return a new lease."""
        lease_id = next(self._lease_ids)
        self._leases_by_id[lease_id] = Lease(
            ttl_seconds,
            time.monotonic() + ttl_seconds,
        )
        return {'ID': str(lease_id), 'TTL': str(ttl_seconds)}

    def _renew(self, lease_id: int) -> int:
        """Renew a lease; return its duration, 0 if it has lapsed."""
        lease = self._leases_by_id.get(lease_id)
        if lease is None:
            return 0
        ends_at_seconds = time.monotonic() + lease.ttl_seconds
        self._leases_by_id[lease_id] = Lease(
            lease.ttl_seconds,
            ends_at_seconds,
        )
        return lease.ttl_seconds

    def _revoke(self, lease_id: int) -> None:
        """End a lease and delete its keys."""
        self._leases_by_id.pop(lease_id, None)
        self._stored_by_key = {
            key: stored
            for key, stored in self._stored_by_key.items()
            if not stored.lease_id or stored.lease_id != lease_id
        }

    async def _watch(
        self,
        exchange: asgi.Exchange,
        request: dict[str, str],
    ) -> None:
        """Send the changes of a key range as they come."""
        start = base64.b64decode(request['key'])
        end = base64.b64decode(request['range_end'])
        place = 0
        await exchange.start(_OK, 'application/json')
        created = orjson.dumps({'result': {'created': True}})
        await exchange.write(created + b'\n', more=True)
        while self.mode != 'down':
            changed = self._changed
            events = [
                {'type': 'PUT', 'kv': _entry(key, stored)}
                for key, stored in self._changes[place:]
                if start <= key < end
                and stored.revision >= int(request['start_revision'])
            ]
            place = len(self._changes)
            line = orjson.dumps({'result': {'events': events}})
            await exchange.write(line + b'\n', more=True)
            with anyio.move_on_after(_SWEEP_SECONDS * 10):
                await changed.wait()
        await exchange.write(b'', more=False)


def _entry(key: bytes, stored: Stored) -> dict[str, str]:
    """Return a stored value in the gateway's form."""
    return {
        'key': base64.b64encode(key).decode(),
        'value': base64.b64encode(stored.content).decode(),
        'mod_revision': str(stored.revision),
    }
