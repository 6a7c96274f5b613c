"""Stand-ins of the platform: its store, and engines of two services."""

import base64
import json
import urllib.parse

import anyio

from nutmegtrail.adapters.http1 import messages
from nutmegtrail.adapters.http1 import server
from tests import loopback
from tests.platform import samples

_LIMITS = server.ConnectionLimits(messages.SizeLimits(65_536, 65_536), 9, 9)
_JSON = ((b'content-type', b'application/json'),)
# Longer than an entry waits before it resumes a stream elsewhere.
_PAUSE_SECONDS = 1.3
_EXPIRY_SECONDS = 0.05
# Longer than any caller waits.
_SILENCE_SECONDS = 9
_KEPT = (b'keep-alive', b'timeout=9')


class Store:
    """Keys with revisions, watches and leases; may be silent or refuse."""

    def __init__(self):
        """Start empty and well."""
        self.address = loopback.free_address()
        self.items_by_key = {}
        self.events = []
        self.revision = 1
        self.is_unavailable = False
        self._leases = 0
        self._ttl_by_lease = {}
        self._ends_by_lease = {}
        self._changed = anyio.Event()

    async def expire_leases(self):
        """End leases that were not renewed in time, until cancelled."""
        while True:
            await anyio.sleep(_EXPIRY_SECONDS)
            now = anyio.current_time()
            for lease, end in tuple(self._ends_by_lease.items()):
                if now > end:
                    self._end(lease)

    def put(self, key, content, lease=0):
        """Write a key."""
        self.revision += 1
        item = {
            'key': key,
            'value': base64.b64encode(content).decode(),
            'revision': self.revision,
            'create_rev': self.revision,
            'lease': lease,
        }
        self.items_by_key[key] = item
        self._notify(item)

    def remove(self, key):
        """Remove a key."""
        self.revision += 1
        self.items_by_key.pop(key)
        removal = {'key': key, 'revision': self.revision, 'removed': True}
        self._notify(removal)

    async def handle(self, exchange):
        """Answer a call."""
        if self.is_unavailable:
            await exchange.answer(503, _JSON, b'{}')
            return
        path, _, query = exchange.request.target.decode().partition('?')
        arguments = dict(urllib.parse.parse_qsl(query))
        call, _, arguments['id'] = path.removeprefix('/api/').partition('/')
        call = call.replace('-', '_')
        body = json.loads(exchange.request.body or b'{}')
        status, document = await getattr(self, f'_{call}')(arguments, body)
        await exchange.answer(status, _JSON, json.dumps(document).encode())

    def _notify(self, event):
        """Wake the watches."""
        self.events.append(event)
        self._changed.set()
        self._changed = anyio.Event()

    async def _kv_range(self, arguments, _):
        """Return pages of two items."""
        after = arguments.get('after', '')
        found = [
            self.items_by_key[key]
            for key in sorted(self.items_by_key)
            if key.startswith(arguments['prefix']) and key > after
        ]
        document = {
            'items': found[:2],
            'has_more': len(found) > 2,
            'current_rev': self.revision,
        }
        return 200, document

    async def _kv_watch(self, arguments, _):
        """Return changes, or nothing after the wait."""
        wait_seconds = int(arguments['wait_ms']) / 1_000
        after = int(arguments['after'])
        found = []
        with anyio.move_on_after(wait_seconds):
            while not found:
                changed = self._changed
                found = [
                    event
                    for event in self.events
                    if event['revision'] > after
                    and event['key'].startswith(arguments['prefix'])
                ]
                if not found:
                    await changed.wait()
        return 200, {'events': found, 'current_rev': self.revision}

    async def _kv_txn(self, _, body):
        """Write where all keys are at their revisions."""
        for row in body['expected']:
            present = self.items_by_key.get(row['key'], {'revision': 0})
            if present['revision'] != row['revision']:
                return 412, {'items': []}
        for write in body['writes']:
            content = base64.b64decode(write['value'])
            self.put(write['key'], content, write.get('lease', 0))
        return 200, {'revision': self.revision}

    async def _kv_lease(self, _, body):
        """Grant a lease."""
        self._leases += 1
        self._ttl_by_lease[self._leases] = body['ttl_ms'] / 1_000
        self._renew(self._leases)
        return 200, {'lease': self._leases, 'ttl_ms': body['ttl_ms']}

    async def _kv_keep(self, arguments, _):
        """Renew a lease that has not ended."""
        lease = int(arguments['id'])
        if lease not in self._ends_by_lease:
            return 404, {}
        self._renew(lease)
        return 200, {'ttl_ms': int(self._ttl_by_lease[lease] * 1_000)}

    async def _kv_lease_end(self, arguments, _):
        """End a lease."""
        self._end(int(arguments['id']))
        return 200, {}

    def _renew(self, lease):
        """Let a lease run from now on."""
        ttl_seconds = self._ttl_by_lease[lease]
        self._ends_by_lease[lease] = anyio.current_time() + ttl_seconds

    def _end(self, lease):
        """End a lease and remove its keys."""
        self._ends_by_lease.pop(lease, None)
        for key, item in tuple(self.items_by_key.items()):
            if item['lease'] == lease:
                self.remove(key)


class Engine:
    """An engine whose next answers are told in advance.

    `scripts` are names of the methods that serve the next requests; after
    them, `whole` serves.
    """

    def __init__(self, name, service, group=None):
        """Start without requests."""
        self.name = name
        self.service = service
        self.group = group
        self.address = loopback.free_address()
        self.scripts = []
        self.requests = []
        self.after_cut = None

    def registration(self, **changes):
        """Return the engine's registration."""
        return samples.beat(
            service=self.service,
            address=str(self.address),
            group=self.group,
            **changes,
        )

    async def handle(self, exchange):
        """Serve a request by the next script."""
        request = exchange.request
        self.requests.append(request)
        script = self.scripts.pop(0) if self.scripts else 'whole'
        request_id = messages.find_header(
            request.headers,
            b'x-nutmegtrail-request-id',
        )
        headers = (
            (b'x-nutmegtrail-request-id', request_id),
            (b'x-nutmegtrail-response-seal', self.name.encode()),
            _KEPT,
        )
        await getattr(self, script)(exchange, headers)

    async def whole(self, exchange, headers):
        """Answer completely."""
        if self.service == 'desk':
            await exchange.answer(200, headers, b'booked')
            return
        await self._events(exchange, headers, 5)
        await exchange.finish()

    async def cut(self, exchange, headers):
        """End after an event, inside the next one."""
        request = exchange.request
        asked = int(
            messages.find_header(request.headers, b'last-event-id') or 0
        )
        await self._events(exchange, headers, asked + 1)
        await exchange.write(b'id: %d\ndata: hal' % (asked + 2))
        exchange.keep_alive = False
        if self.after_cut is not None:
            self.after_cut()

    async def pausing(self, exchange, headers):
        """Answer completely, with a long pause after the first event."""
        request = exchange.request
        asked = int(
            messages.find_header(request.headers, b'last-event-id') or 0
        )
        await self._events(exchange, headers, asked + 1)
        await anyio.sleep(_PAUSE_SECONDS)
        for number in range(asked + 2, 6):
            await exchange.write(b'id: %d\ndata: x\n\n' % number)
        await exchange.finish()

    async def not_run(self, exchange, _):
        """Refuse the request."""
        refused = ((b'x-nutmegtrail-not-executed', b'1'),)
        await exchange.answer(503, refused, b'')

    async def failed(self, exchange, headers):
        """Run the request and fail."""
        await exchange.answer(500, headers, b'failed')

    async def lost(self, exchange, _):
        """Run the request and close without an answer."""
        exchange.keep_alive = False

    async def silent(self, exchange, _):
        """Run the request and keep the answer."""
        if self.after_cut is not None:
            self.after_cut()
        await anyio.sleep(_SILENCE_SECONDS)
        exchange.keep_alive = False

    async def foreign(self, exchange, headers):
        """Answer another request."""
        other = ((b'x-nutmegtrail-request-id', b'other'), *headers[1:])
        await exchange.answer(200, other, b'booked')

    async def _events(self, exchange, headers, last):
        """Send events up to a number."""
        asked = messages.find_header(exchange.request.headers, b'last-event-id')
        numbers = range(int(asked or 0) + 1, last + 1)
        parts = [b'id: %d\ndata: x\n\n' % number for number in numbers]
        await exchange.start_chunked(200, headers, parts[0])
        for part in parts[1:]:
            await exchange.write(part)


def create_server(stand_in):
    """Return a server for a stand-in, not yet started."""
    return server.Server(stand_in.address, stand_in.handle, lambda: _LIMITS)
