"""Simulated platform: a key-value store and engines of two services."""

import base64
import collections
import json
import urllib.parse

import anyio

from nutmegtrail.adapters.http1 import messages
from nutmegtrail.adapters.http1 import server
from tests import loopback
from tests.platform import samples

_LIMITS = server.ConnectionLimits(messages.SizeLimits(65_536, 65_536), 9, 9)
_JSON_HEADERS = ((b'content-type', b'application/json'),)
# Exceeds the time after which a gateway hedges a stream on another engine.
_STREAM_PAUSE_SECONDS = 1.3
# Exceeds the time after which a gateway hedges a read.
_LATE_SECONDS = 0.8
_SLOW_SECONDS = 0.4
_PACE_SECONDS = 0.2
_LEASE_CHECK_INTERVAL_SECONDS = 0.05
# Exceeds the timeout of every client.
_NO_RESPONSE_SECONDS = 9
# Leases of stores are any numbers, with up to 63 bits in the usual ones.
_FIRST_LEASE_ID = 7_587_000_000_000_000_000
# Shorter than the timeout of calls to the store.
_LISTING_DELAY_SECONDS = 0.5
_KEEP_ALIVE_HEADER = (b'keep-alive', b'timeout=9')


_RESTORED_FIELDS = (
    'items_by_key',
    'events',
    'revision',
    '_last_lease_id',
    '_ttl_by_lease',
    '_expiry_by_lease',
)


class Store:
    """Key-value store with revisions, watches and leases.

    It responds with 503 while `is_unavailable` is set, and late to listings of
    `delayed_prefix`. `cut_watches` closes the connections of waiting watches,
    and may refuse the next calls that watch the prefix.
    `restore` replaces it by an earlier copy and raises the era; the revisions and leases since the
    copy are given out again.
    """

    def __init__(self):
        """Initialize an empty and available store."""
        self.address = loopback.free_address()
        self.items_by_key = {}
        self.events = []
        self.revision = 1
        self.is_unavailable = False
        self.delayed_prefix = None
        self.era = 1
        self._last_lease_id = _FIRST_LEASE_ID
        self._ttl_by_lease = {}
        self._expiry_by_lease = {}
        self._changed = anyio.Event()
        self._watch_scopes_by_prefix = collections.defaultdict(set)
        self._refusals_by_prefix = collections.Counter()

    async def expire_leases(self):
        """Revoke expired leases until cancelled."""
        while True:
            await anyio.sleep(_LEASE_CHECK_INTERVAL_SECONDS)
            now = anyio.current_time()
            for lease, expires_at in tuple(self._expiry_by_lease.items()):
                if now > expires_at:
                    self._revoke(lease)

    def put(self, key, content, lease=0):
        """Write a key at the next revision."""
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
        """Remove a key at the next revision."""
        self.revision += 1
        self.items_by_key.pop(key)
        removal = {'key': key, 'revision': self.revision, 'removed': True}
        self._notify(removal)

    def cut_watches(self, prefix, refusals=0):
        """Cut the watches that wait for changes under a prefix."""
        self._refusals_by_prefix[prefix] = refusals
        for scope in self._watch_scopes_by_prefix[prefix]:
            scope.cancel()

    def copy(self):
        """Return a copy to restore later."""
        copied = {name: getattr(self, name) for name in _RESTORED_FIELDS}
        return {
            name: field if isinstance(field, int) else field.copy()
            for name, field in copied.items()
        }

    def restore(self, copy):
        """Continue from a copy in the next era.

        What the operators and the engines wrote since is written again.
        """
        written_again = {
            key: item
            for key, item in self.items_by_key.items()
            if not key.startswith('nutmegtrail/')
        }
        for name, field in copy.items():
            copied = field if isinstance(field, int) else field.copy()
            setattr(self, name, copied)
        self.era += 1
        for key in tuple(self.items_by_key):
            if not key.startswith('nutmegtrail/') and key not in written_again:
                self.remove(key)
        for key, item in written_again.items():
            if self.items_by_key.get(key, {}).get('value') != item['value']:
                self.put(key, base64.b64decode(item['value']))

    async def handle(self, exchange):
        """Handle a request."""
        headers = (*_JSON_HEADERS, (b'store-era', b'%d' % self.era))
        if self.is_unavailable:
            await exchange.respond(503, headers, b'{}')
            return
        path, _, query = exchange.request.target.decode().partition('?')
        arguments = dict(urllib.parse.parse_qsl(query))
        call, _, arguments['id'] = path.removeprefix('/api/').partition('/')
        call = call.replace('-', '_')
        body = json.loads(exchange.request.body or b'{}')
        prefix = arguments.get('prefix')
        if call == 'kv_watch' and self._refusals_by_prefix[prefix]:
            self._refusals_by_prefix[prefix] -= 1
            await exchange.respond(429, headers, b'{}')
            return
        scopes = self._watch_scopes_by_prefix[prefix]
        with anyio.CancelScope() as scope:
            if call == 'kv_watch':
                scopes.add(scope)
            status, document = await getattr(self, f'_{call}')(arguments, body)
        scopes.discard(scope)
        if scope.cancelled_caught:
            exchange.keep_alive = False
            return
        headers = (*_JSON_HEADERS, (b'store-era', b'%d' % self.era))
        await exchange.respond(status, headers, json.dumps(document).encode())

    def _notify(self, event):
        """Record an event and notify the watches."""
        self.events.append(event)
        self._changed.set()
        self._changed = anyio.Event()

    async def _kv_range(self, arguments, _):
        """Return a page of up to two items."""
        after = arguments.get('after', '')
        if arguments['prefix'] == self.delayed_prefix:
            await anyio.sleep(_LISTING_DELAY_SECONDS)
        items = [
            self.items_by_key[key]
            for key in sorted(self.items_by_key)
            if key.startswith(arguments['prefix']) and key > after
        ]
        document = {
            'items': items[:2],
            'has_more': len(items) > 2,
            'current_rev': self.revision,
        }
        return 200, document

    async def _kv_watch(self, arguments, _):
        """Return changes, or none if the wait times out."""
        wait_seconds = int(arguments['wait_ms']) / 1_000
        after = int(arguments['after'])
        events = []
        if after > self.revision:
            return 410, {}
        with anyio.move_on_after(wait_seconds):
            while not events:
                changed = self._changed
                events = [
                    event
                    for event in self.events
                    if event['revision'] > after
                    and event['key'].startswith(arguments['prefix'])
                ]
                if not events:
                    await changed.wait()
        return 200, {'events': events, 'current_rev': self.revision}

    async def _kv_txn(self, _, body):
        """Write if all keys are at the expected revisions."""
        for row in body['expected']:
            current = self.items_by_key.get(row['key'], {'revision': 0})
            if current['revision'] != row['revision']:
                return 412, {'items': []}
        leases = {write.get('lease', 0) for write in body['writes']} - {0}
        if leases - set(self._expiry_by_lease):
            return 404, {}
        for write in body['writes']:
            content = base64.b64decode(write['value'])
            self.put(write['key'], content, write.get('lease', 0))
        for key in body['deletes']:
            if key in self.items_by_key:
                self.remove(key)
        return 200, {'revision': self.revision}

    async def _kv_lease(self, _, body):
        """Grant a lease."""
        self._last_lease_id += 1
        self._ttl_by_lease[self._last_lease_id] = body['ttl_ms'] / 1_000
        self._renew(self._last_lease_id)
        return 200, {'lease': self._last_lease_id, 'ttl_ms': body['ttl_ms']}

    async def _kv_keep(self, arguments, _):
        """Renew a lease, or respond with 404 if it has expired."""
        lease = int(arguments['id'])
        if lease not in self._expiry_by_lease:
            return 404, {}
        self._renew(lease)
        return 200, {'ttl_ms': int(self._ttl_by_lease[lease] * 1_000)}

    async def _kv_lease_end(self, arguments, _):
        """Revoke a lease."""
        self._revoke(int(arguments['id']))
        return 200, {}

    def _renew(self, lease):
        """Restart the TTL of a lease."""
        ttl_seconds = self._ttl_by_lease[lease]
        self._expiry_by_lease[lease] = anyio.current_time() + ttl_seconds

    def _revoke(self, lease):
        """Revoke a lease and remove its keys."""
        self._expiry_by_lease.pop(lease, None)
        for key, item in tuple(self.items_by_key.items()):
            if item['lease'] == lease:
                self.remove(key)


class Engine:
    """Engine with scripted responses.

    `scripts` lists the methods that handle the next requests, one name per
    request. All requests after them are handled by `whole`. All responses
    have the `added_headers`.
    """

    def __init__(self, name, service, group=None):
        """Initialize an engine without scripts."""
        self.name = name
        self.service = service
        self.group = group
        self.started_at_ms = samples.STARTED_AT_MS
        self.address = loopback.free_address()
        self.scripts = []
        self.requests = []
        self.added_headers = ()
        self.on_interruption = None

    def registration(self, **changes):
        """Return the encoded registration of the engine."""
        return samples.registration(
            service=self.service,
            address=str(self.address),
            group=self.group,
            born=self.started_at_ms,
            **changes,
        )

    async def handle(self, exchange):
        """Handle a request with the next script."""
        request = exchange.request
        if request.target == b'/api/report':
            report = b'{"born":%d}' % self.started_at_ms
            headers = (_KEEP_ALIVE_HEADER, *self.added_headers)
            await exchange.respond(200, headers, report)
            return
        self.requests.append(request)
        script = self.scripts.pop(0) if self.scripts else 'whole'
        request_id = messages.find_header(
            request.headers,
            b'x-nutmegtrail-request-id',
        )
        headers = (
            (b'x-nutmegtrail-request-id', request_id),
            (b'x-nutmegtrail-response-seal', self.name.encode()),
            _KEEP_ALIVE_HEADER,
            *self.added_headers,
        )
        await getattr(self, script)(exchange, headers)

    async def whole(self, exchange, headers):
        """Send a complete response."""
        if self.service == 'desk':
            await exchange.respond(200, headers, b'booked')
            return
        await self._events(exchange, headers, 5)
        await exchange.finish()

    async def cut(self, exchange, headers):
        """Send one event, then close the connection inside the next one."""
        request = exchange.request
        last_event_id = int(
            messages.find_header(request.headers, b'last-event-id') or 0
        )
        await self._events(exchange, headers, last_event_id + 1)
        await exchange.write(b'id: %d\ndata: hal' % (last_event_id + 2))
        exchange.keep_alive = False
        if self.on_interruption is not None:
            self.on_interruption()

    async def pausing(self, exchange, headers):
        """Send all events with a long pause after the first one."""
        request = exchange.request
        last_event_id = int(
            messages.find_header(request.headers, b'last-event-id') or 0
        )
        await self._events(exchange, headers, last_event_id + 1)
        await anyio.sleep(_STREAM_PAUSE_SECONDS)
        for number in range(last_event_id + 2, 6):
            await exchange.write(b'id: %d\ndata: x\n\n' % number)
        await exchange.finish()

    async def late(self, exchange, headers):
        """Send a complete response after a long time without any byte."""
        await anyio.sleep(_LATE_SECONDS)
        await exchange.respond(200, headers, b'late')

    async def not_run(self, exchange, _):
        """Reject the request without executing it."""
        not_executed = (b'x-nutmegtrail-not-executed', b'1')
        await exchange.respond(503, (not_executed, *self.added_headers), b'')

    async def unavailable(self, exchange, headers):
        """Respond with 503 without telling whether the request ran."""
        await exchange.respond(503, headers, b'')

    async def slow_not_run(self, exchange, headers):
        """Reject the request late without executing it."""
        await anyio.sleep(_SLOW_SECONDS)
        await self.not_run(exchange, headers)

    async def misdirected(self, exchange, _):
        """Reject the request because it expects another engine."""
        await exchange.respond(421, self.added_headers, b'')

    async def slow(self, exchange, headers):
        """Send a complete response late."""
        await anyio.sleep(_SLOW_SECONDS)
        await self.whole(exchange, headers)

    async def paced(self, exchange, headers):
        """Send all events with a short pause before each further one."""
        await self._events(exchange, headers, 1)
        for number in range(2, 6):
            await anyio.sleep(_PACE_SECONDS)
            await exchange.write(b'id: %d\ndata: x\n\n' % number)
        await exchange.finish()

    async def failed(self, exchange, headers):
        """Execute the request and respond with 500."""
        await exchange.respond(500, headers, b'failed')

    async def lost(self, exchange, _):
        """Execute the request and close the connection without a response."""
        exchange.keep_alive = False

    async def silent(self, exchange, _):
        """Execute the request and send no response before clients time out."""
        if self.on_interruption is not None:
            self.on_interruption()
        await anyio.sleep(_NO_RESPONSE_SECONDS)
        exchange.keep_alive = False

    async def foreign(self, exchange, headers):
        """Respond with the ID of another request."""
        other_headers = ((b'x-nutmegtrail-request-id', b'other'), *headers[1:])
        await exchange.respond(200, other_headers, b'booked')

    async def _events(self, exchange, headers, last):
        """Send the events that the client is missing, up to a number."""
        last_event_id = messages.find_header(
            exchange.request.headers, b'last-event-id'
        )
        numbers = range(int(last_event_id or 0) + 1, last + 1)
        events = [b'id: %d\ndata: x\n\n' % number for number in numbers]
        await exchange.start_chunked(200, headers, events[0])
        for event in events[1:]:
            await exchange.write(event)


def create_server(stand_in):
    """Create a server for a simulated service without starting it."""
    return server.Server(stand_in.address, stand_in.handle, lambda: _LIMITS)


async def serve(stand_in, tasks):
    """Listen for a simulated service, and serve it beside other tasks."""
    service = create_server(stand_in)
    await service.start()
    tasks.start_soon(service.serve)
