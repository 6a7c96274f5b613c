"""Stand-in of the platform's store."""

import asyncio
import base64
import json
import time
import urllib.parse

from review.stand_ins import http1

_ANSWER_SECONDS = 0.004
_SWEEP_SECONDS = 0.02
_PAGE_ITEMS = 500
_ERA = ('Store-Era', 1)


class Store:
    """Key-value store with revisions, watches and leases.

    While `is_down` is set it answers 503 to all; leases run out meanwhile.
    """

    def __init__(self, port, record):
        """Initialize an empty store."""
        self.port = port
        self.is_down = False
        self.revision = 10
        self.items = {}
        self._record = record
        self._events = []
        self._ttl_by_lease = {}
        self._until_by_lease = {}
        self._last_lease = 1_000
        self._changed = asyncio.Event()
        self._watches = {}
        self._server = http1.Server(port, self._handle)

    async def start(self):
        """Listen, and end leases in the background."""
        await self._server.start()
        asyncio.ensure_future(self._sweep())

    def put(self, key, document, lease=0):
        """Write a JSON document, as the operator and the engines do."""
        self._write(key, json.dumps(document).encode(), lease)

    def remove(self, key):
        """Remove a key if it exists."""
        if self.items.pop(key, None) is None:
            return
        self.revision += 1
        self._notify({'key': key, 'revision': self.revision, 'removed': True})

    def cut_watches(self, prefix):
        """Cut the watches that wait for changes under a prefix."""
        waiting = [
            exchange
            for exchange, watched in self._watches.items()
            if watched == prefix
        ]
        for exchange in waiting:
            exchange.cut()
        return len(waiting)

    def _write(self, key, content, lease):
        """Write a key at the next revision."""
        self.revision += 1
        created = self.items.get(key, {}).get('create_rev', self.revision)
        self.items[key] = {
            'key': key,
            'value': base64.b64encode(content).decode(),
            'revision': self.revision,
            'create_rev': created,
            'lease': lease,
        }
        self._notify(self.items[key])

    def _notify(self, event):
        """Record an event and wake the watches."""
        self._events.append(event)
        self._changed.set()
        self._changed = asyncio.Event()

    async def _sweep(self):
        """Remove the keys of leases that have ended."""
        while True:
            await asyncio.sleep(_SWEEP_SECONDS)
            now = time.monotonic()
            for lease, until in tuple(self._until_by_lease.items()):
                if now > until:
                    self._end_lease(lease)

    def _end_lease(self, lease):
        """End a lease and remove its keys."""
        self._until_by_lease.pop(lease, None)
        keys = [
            key for key, item in self.items.items() if item['lease'] == lease
        ]
        for key in keys:
            self.remove(key)

    async def _handle(self, exchange):
        """Answer a call."""
        await asyncio.sleep(_ANSWER_SECONDS)
        if self.is_down:
            await exchange.respond_json(503, {}, _ERA)
            return
        request = exchange.request
        call, _, argument = request.path.removeprefix('/api/').partition('/')
        query = dict(urllib.parse.parse_qsl(request.target.partition('?')[2]))
        body = json.loads(request.body or b'{}')
        if call == 'kv-watch':
            await self._watch(exchange, query)
            return
        answers = {
            'kv-key': lambda: self._key(query),
            'kv-range': lambda: self._range(query),
            'kv-txn': lambda: self._transact(body),
            'kv-lease': lambda: self._grant(body),
            'kv-keep': lambda: self._keep(int(argument)),
            'kv-lease-end': lambda: self._revoke(int(argument)),
        }
        status, document = answers[call]()
        await exchange.respond_json(status, document, _ERA)

    def _key(self, query):
        """Return an item."""
        item = self.items.get(query['key'])
        if item is None:
            return 404, {'current_rev': self.revision}
        return 200, {**item, 'current_rev': self.revision}

    def _range(self, query):
        """Return a page of items."""
        keys = sorted(
            key
            for key in self.items
            if key.startswith(query['prefix']) and key > query.get('after', '')
        )
        page = [self.items[key] for key in keys[:_PAGE_ITEMS]]
        return 200, {
            'items': page,
            'has_more': len(keys) > _PAGE_ITEMS,
            'current_rev': self.revision,
        }

    async def _watch(self, exchange, query):
        """Answer as soon as there is an event."""
        prefix = query['prefix']
        after = int(query['after'])
        until = time.monotonic() + int(query['wait_ms']) / 1_000
        self._watches[exchange] = prefix
        try:
            while True:
                changed = self._changed
                events = [
                    event
                    for event in self._events
                    if event['revision'] > after
                    and event['key'].startswith(prefix)
                ]
                remaining = until - time.monotonic()
                if events or remaining <= 0 or self.is_down:
                    break
                try:
                    await asyncio.wait_for(changed.wait(), min(remaining, 0.1))
                except asyncio.TimeoutError:
                    continue
        finally:
            self._watches.pop(exchange, None)
        if self.is_down:
            await exchange.respond_json(503, {}, _ERA)
            return
        document = {'events': events, 'current_rev': self.revision}
        await exchange.respond_json(200, document, _ERA)

    def _transact(self, body):
        """Write all or nothing."""
        rows = body.get('expected', ())
        for row in rows:
            current = self.items.get(row['key'], {'revision': 0})
            if current['revision'] != row['revision']:
                found = [
                    self.items[each['key']]
                    for each in rows
                    if each['key'] in self.items
                ]
                return 412, {'items': found}
        leases = {write.get('lease', 0) for write in body.get('writes', ())}
        if leases - {0} - set(self._until_by_lease):
            return 404, {}
        for write in body.get('writes', ()):
            content = base64.b64decode(write['value'])
            self._write(write['key'], content, write.get('lease', 0))
            if 'leader' in write['key']:
                self._record.note(f'leader: {content.decode()}')
        for key in body.get('deletes', ()):
            self.remove(key)
        return 200, {'revision': self.revision}

    def _grant(self, body):
        """Grant a lease."""
        self._last_lease += 1
        lease = self._last_lease
        self._ttl_by_lease[lease] = body['ttl_ms'] / 1_000
        self._until_by_lease[lease] = (
            time.monotonic() + self._ttl_by_lease[lease]
        )
        return 200, {'lease': lease, 'ttl_ms': body['ttl_ms']}

    def _keep(self, lease):
        """Renew a lease."""
        if lease not in self._until_by_lease:
            return 404, {}
        ttl = self._ttl_by_lease[lease]
        self._until_by_lease[lease] = time.monotonic() + ttl
        return 200, {'ttl_ms': int(ttl * 1_000)}

    def _revoke(self, lease):
        """End a lease at the request of its holder."""
        if lease not in self._until_by_lease:
            return 404, {}
        self._end_lease(lease)
        return 200, {}
