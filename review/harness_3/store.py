"""Stand-in of the platform's key-value store."""

import asyncio
import base64
import contextlib
import functools
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
    """Keeps items, leases and the changes of `history_seconds` in memory.

    Each machine has an address of its own. Those in `turned_away` get 503 to
    all calls.
    """

    def __init__(self, record: typing.Callable[..., None]) -> None:
        """Initialize an empty store."""
        self.history_seconds = 20.0
        self.turned_away: set[str] = set()
        self.items: dict[str, Item] = {}
        self.revision = 100
        self.events: list[dict[str, object]] = []
        self._forgotten_revision = 0
        self._event_times: list[float] = []
        self._record = record
        self._lease_ids = itertools.count(7001)
        self._leases: dict[int, tuple[float, float]] = {}
        self._changed = asyncio.Event()
        self._servers: list[asyncio.Server] = []
        self._expiry: asyncio.Task[None] | None = None
        self._writers_by_machine: dict[str, set[asyncio.StreamWriter]] = {}

    async def start(self) -> None:
        """Begin to expire leases and old changes."""
        self._expiry = asyncio.create_task(self._expire())

    async def listen(self, machine: str) -> str:
        """Return the address at which the store serves a machine."""
        writers = self._writers_by_machine.setdefault(machine, set())
        server = await asyncio.start_server(
            functools.partial(self._serve, machine, writers),
            '127.0.0.1',
            0,
            limit=1 << 24,
        )
        self._servers.append(server)
        return f'127.0.0.1:{server.sockets[0].getsockname()[1]}'

    def turn_away(self, machine: str) -> None:
        """Refuse all calls of a machine from now on, also those that wait."""
        self.turned_away.add(machine)
        for writer in tuple(self._writers_by_machine[machine]):
            writer.transport.abort()

    async def close(self) -> None:
        """Stop listening."""
        if self._expiry is not None:
            self._expiry.cancel()
        for server in self._servers:
            server.close()

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
        self._event_times.append(time.monotonic())
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
            self._forget_changes(now - self.history_seconds)

    def _forget_changes(self, oldest: float) -> None:
        """Drop the changes from before a time."""
        while self._event_times and self._event_times[0] < oldest:
            self._event_times.pop(0)
            event = self.events.pop(0)
            self._forgotten_revision = int(str(event['revision']))

    def _end_lease(self, lease: int) -> bool:
        """End a lease and remove its items; return whether it was valid."""
        is_valid = self._leases.pop(lease, None) is not None
        for key, item in tuple(self.items.items()):
            if lease and item.lease == lease:
                self.delete(key)
        return is_valid

    async def _serve(
        self,
        machine: str,
        writers: set[asyncio.StreamWriter],
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        """Serve the calls of one connection."""
        writers.add(writer)
        try:
            while (received := await wire.read_request(reader)) is not None:
                if machine in self.turned_away:
                    writer.write(wire.json_response(503, {}))
                else:
                    writer.write(await self._answer(received))
                await writer.drain()
        except (ConnectionError, asyncio.CancelledError):
            return
        finally:
            writers.discard(writer)
            with contextlib.suppress(OSError):
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
            if after < self._forgotten_revision:
                return wire.json_response(410, {})
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
