"""Stand-in of the platform's key-value store."""

import asyncio
import base64
import itertools
import json
import time
import typing
import urllib.parse

from review.harness_3 import wire

_CHECK_SECONDS = 0.05


class Item(typing.NamedTuple):
    """Stored item."""

    value: bytes
    revision: int
    create_rev: int
    lease: int


class Store:
    """Keeps items, leases and all changes in memory.

    `refused_statuses` are answered, in their order, to the next transactions.
    """

    def __init__(self, record: typing.Callable[..., None]) -> None:
        """Initialize an empty store."""
        self.address = ''
        self.items: dict[str, Item] = {}
        self.revision = 100
        self.events: list[dict[str, object]] = []
        self._record = record
        self._lease_ids = itertools.count(7001)
        self._leases: dict[int, tuple[float, float]] = {}
        self._changed = asyncio.Event()
        self._server: asyncio.Server | None = None
        self._expiry: asyncio.Task[None] | None = None
        self.is_down = False
        self.writers: set[asyncio.StreamWriter] = set()

    async def start(self) -> None:
        """Listen on a free port."""
        self._server = await asyncio.start_server(
            self._serve, '127.0.0.1', 0, limit=1 << 24
        )
        port = self._server.sockets[0].getsockname()[1]
        self.address = f'127.0.0.1:{port}'
        self._expiry = asyncio.create_task(self._expire())

    async def close(self) -> None:
        """Stop listening."""
        if self._expiry is not None:
            self._expiry.cancel()
        if self._server is not None:
            self._server.close()

    def put(self, key: str, value: bytes, lease: int = 0) -> int:
        """Write an item; return its revision."""
        self.revision += 1
        known = self.items.get(key)
        created = self.revision if known is None else known.create_rev
        item = Item(value, self.revision, created, lease)
        self.items[key] = item
        self._add_event(_row(key, item))
        return self.revision

    def delete(self, key: str) -> None:
        """Remove an item."""
        if self.items.pop(key, None) is not None:
            self.revision += 1
            self._add_event(
                {'key': key, 'revision': self.revision, 'removed': True}
            )

    def _add_event(self, event: dict[str, object]) -> None:
        """Record a change and wake the watches."""
        self.events.append(event)
        self._changed.set()
        self._changed = asyncio.Event()

    async def _expire(self) -> None:
        """End the leases that are not renewed."""
        while True:
            await asyncio.sleep(_CHECK_SECONDS)
            now = time.monotonic()
            for lease, (_, ends_at) in tuple(self._leases.items()):
                if now > ends_at:
                    self._end_lease(lease)

    def _end_lease(self, lease: int) -> bool:
        """End a lease and remove its items; return whether it was valid."""
        is_valid = self._leases.pop(lease, None) is not None
        for key, item in tuple(self.items.items()):
            if lease and item.lease == lease:
                self.delete(key)
        return is_valid

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Serve the calls of one connection."""
        self.writers.add(writer)
        try:
            while (received := await wire.read_request(reader)) is not None:
                if self.is_down:
                    break
                writer.write(await self._answer(received))
                await writer.drain()
        except (ConnectionError, asyncio.CancelledError):
            return
        finally:
            self.writers.discard(writer)
            await wire.close(writer)

    async def _answer(self, received: wire.Request) -> bytes:
        """Return the response to a call."""
        query = dict(urllib.parse.parse_qsl(received.target.partition('?')[2]))
        path = received.path
        if path == '/api/kv-key':
            item = self.items.get(query['key'])
            if item is None:
                return wire.json_response(404, {})
            return wire.json_response(200, _row(query['key'], item))
        if path == '/api/kv-range':
            return self._range(query)
        if path == '/api/kv-watch':
            return await self._watch(query)
        document = json.loads(received.body or b'{}')
        if path == '/api/kv-txn':
            return self._transact(document)
        if path == '/api/kv-lease':
            lease = next(self._lease_ids)
            ttl = max(document['ttl_ms'], 1000) / 1000
            self._leases[lease] = (ttl, time.monotonic() + ttl)
            return wire.json_response(
                200, {'lease': lease, 'ttl_ms': int(ttl * 1000)}
            )
        lease = int(path.rpartition('/')[2])
        if path.startswith('/api/kv-keep/'):
            if lease not in self._leases:
                return wire.json_response(404, {})
            ttl, _ = self._leases[lease]
            self._leases[lease] = (ttl, time.monotonic() + ttl)
            return wire.json_response(200, {'ttl_ms': int(ttl * 1000)})
        return wire.json_response(200 if self._end_lease(lease) else 404, {})

    def _range(self, query: dict[str, str]) -> bytes:
        """Return a page of items."""
        keys = sorted(
            key
            for key in self.items
            if key.startswith(query.get('prefix', ''))
            and key > query.get('after', '')
        )
        return wire.json_response(
            200,
            {
                'items': [_row(key, self.items[key]) for key in keys[:500]],
                'has_more': len(keys) > 500,
                'current_rev': self.revision,
            },
        )

    async def _watch(self, query: dict[str, str]) -> bytes:
        """Return the changes after a revision, once there are any."""
        after = int(query['after'])
        ends_at = time.monotonic() + int(query.get('wait_ms') or 0) / 1000
        while True:
            changed = self._changed
            events = [
                event
                for event in self.events
                if int(str(event['revision'])) > after
                and str(event['key']).startswith(query.get('prefix', ''))
            ]
            remaining = ends_at - time.monotonic()
            if events or remaining <= 0:
                return wire.json_response(
                    200, {'events': events, 'current_rev': self.revision}
                )
            try:
                await asyncio.wait_for(changed.wait(), remaining)
            except TimeoutError:
                continue

    def _transact(self, document: dict[str, typing.Any]) -> bytes:
        """Write and delete all keys, or none."""
        expected = document.get('expected') or []
        for row in expected:
            item = self.items.get(row['key'])
            if (item.revision if item else 0) != row['revision']:
                rows = [
                    _row(each['key'], self.items[each['key']])
                    for each in expected
                    if each['key'] in self.items
                ]
                return wire.json_response(412, {'items': rows})
        writes = document.get('writes') or []
        if any(
            row.get('lease') and row['lease'] not in self._leases
            for row in writes
        ):
            return wire.json_response(404, {})
        for row in writes:
            self.put(
                row['key'],
                base64.b64decode(row['value']),
                row.get('lease') or 0,
            )
        for key in document.get('deletes') or []:
            self.delete(key)
        return wire.json_response(200, {'revision': self.revision})


def _row(key: str, item: Item) -> dict[str, object]:
    """Return an item as the store's calls show it."""
    return {
        'key': key,
        'value': base64.b64encode(item.value).decode(),
        'revision': item.revision,
        'create_rev': item.create_rev,
        'lease': item.lease,
    }
