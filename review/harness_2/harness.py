"""Stand-ins and helpers of the cases 6 to 10; needs the standard library only.

The store, the engines, the clients and the proxy speak what the users' pages
say. Entries are started with the command of `deploy/system.toml` and settings
from its template. Everything listens on loopback.
"""

import asyncio
import base64
import contextlib
import json
import os
import pathlib
import re
import shlex
import signal
import socket
import sys
import tempfile
import time
import tomllib
import urllib.parse

ROOT = pathlib.Path(__file__).resolve().parents[2]
IP = '127.0.0.1'
_BOUNDS = {
    'retry_window_s': 10,
    'retry_budget_ratio': 0.2,
    'retry_slack': 92,
    'grace_s': 8,
}

# What one connection may send before another one has its turn.
_PART_BYTES = 4_096


def free_port():
    """Return a loopback port that is free now."""
    with socket.socket() as probe:
        probe.bind((IP, 0))
        return probe.getsockname()[1]


class Record:
    """Writes what was sent, answered and run."""

    def __init__(self, path):
        """Open the record."""
        self._file = path.open('w', encoding='utf-8')
        self._start = time.monotonic()

    def now(self):
        """Return the seconds since the start of the case."""
        return time.monotonic() - self._start

    def write(self, text):
        """Write a line with the time."""
        self._file.write(f'{self.now():9.3f}  {text}\n')
        self._file.flush()


async def read_message(reader):
    """Return start line, headers in lower case and body; None at the end."""
    try:
        head = await reader.readuntil(b'\r\n\r\n')
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    start, *lines = head[:-4].decode('latin-1').split('\r\n')
    headers = {}
    for line in lines:
        name, _, text = line.partition(':')
        headers[name.strip().lower()] = text.strip()
    body = b''
    try:
        if headers.get('transfer-encoding') == 'chunked':
            while size := int((await reader.readline()).split(b';')[0], 16):
                body += (await reader.readexactly(size + 2))[:-2]
            await reader.readline()
        elif 'content-length' in headers:
            body = await reader.readexactly(int(headers['content-length']))
    except (asyncio.IncompleteReadError, ConnectionError, ValueError):
        return None
    return start, headers, body


def response(status, headers, body, phrase='X'):
    """Return the bytes of a response with a length."""
    lines = [f'HTTP/1.1 {status} {phrase}']
    lines += [f'{name}: {text}' for name, text in headers.items()]
    lines.append(f'Content-Length: {len(body)}')
    return '\r\n'.join(lines).encode('latin-1') + b'\r\n\r\n' + body


class HttpServer:
    """Serves one request after the other on each connection."""

    def __init__(self):
        """Initialize without listening."""
        self.port = free_port()
        self._server = None
        self._writers = set()

    async def listen(self):
        """Begin to listen."""
        self._server = await asyncio.start_server(
            self._serve, IP, self.port, limit=1 << 23
        )

    async def close(self):
        """Stop listening and reset all connections."""
        if self._server is not None:
            self._server.close()
            self._server = None
        for writer in tuple(self._writers):
            writer.transport.abort()

    async def handle(self, start, headers, body, writer):
        """Answer a request; return whether the connection stays open."""
        raise NotImplementedError

    async def _serve(self, reader, writer):
        """Serve a connection."""
        self._writers.add(writer)
        try:
            while (message := await read_message(reader)) is not None:
                if not await self.handle(*message, writer):
                    break
        except (ConnectionError, asyncio.CancelledError):
            pass
        finally:
            self._writers.discard(writer)
            writer.close()


class Store(HttpServer):
    """The platform's store: keys with revisions, watches and leases."""

    def __init__(self, record, history_s=20):
        """Initialize an empty store that keeps its history for a while."""
        super().__init__()
        self.items = {}
        self.events = []
        self._history_s = history_s
        self._event_times = []
        self._oldest_revision = 0
        self.revision = 1
        self._record = record
        self._changed = asyncio.Event()
        self._leases = {}
        self._last_lease = 100

    def put(self, key, document, lease=0):
        """Write a key as the operator or an engine does."""
        content = document
        if not isinstance(document, bytes):
            content = json.dumps(document).encode()
        self._write(key, base64.b64encode(content).decode(), lease)
        self._record.write(f'store: {key} written, revision {self.revision}')

    def remove(self, key):
        """Remove a key."""
        if self.items.pop(key, None) is not None:
            self.revision += 1
            self._notify(
                {'key': key, 'revision': self.revision, 'removed': True}
            )

    async def expire_leases(self):
        """Remove the keys of leases that have ended, until cancelled."""
        while True:
            await asyncio.sleep(0.05)
            for lease, (_, ends_at) in tuple(self._leases.items()):
                if time.monotonic() > ends_at:
                    self._end(lease)

    async def handle(self, start, headers, body, writer):
        """Answer a call."""
        method, target, _ = start.split(' ')
        path, _, query = target.partition('?')
        arguments = dict(urllib.parse.parse_qsl(query))
        document = json.loads(body or b'{}')
        call, _, ident = path.removeprefix('/api/').partition('/')
        answer = getattr(self, '_' + call.replace('-', '_'), None)
        if answer is None:
            status, result = 404, {}
        else:
            status, result = await answer(arguments, document, ident)
        json_type = {'Content-Type': 'application/json'}
        writer.write(response(status, json_type, json.dumps(result).encode()))
        await writer.drain()
        return True

    def _write(self, key, value, lease):
        """Write a key at the next revision."""
        self.revision += 1
        before = self.items.get(key)
        item = {
            'key': key,
            'value': value,
            'revision': self.revision,
            'create_rev': before['create_rev'] if before else self.revision,
            'lease': lease,
        }
        self.items[key] = item
        self._notify(item)

    def _notify(self, event):
        """Keep an event and wake the watches."""
        self.events.append(event)
        self._event_times.append(time.monotonic())
        self._changed.set()
        self._changed = asyncio.Event()

    def _forget(self):
        """Discard the history that is too old."""
        oldest = time.monotonic() - self._history_s
        while self._event_times and self._event_times[0] < oldest:
            self._event_times.pop(0)
            self._oldest_revision = self.events.pop(0)['revision']

    def _end(self, lease):
        """End a lease and remove its keys."""
        self._leases.pop(lease, None)
        for key, item in tuple(self.items.items()):
            if item['lease'] == lease:
                self.remove(key)

    async def _kv_key(self, arguments, _, __):
        """Return an item."""
        item = self.items.get(arguments['key'])
        return (200, item) if item else (404, {})

    async def _kv_range(self, arguments, _, __):
        """Return a page."""
        found = [
            self.items[key]
            for key in sorted(self.items)
            if key.startswith(arguments['prefix'])
            and key > arguments.get('after', '')
        ]
        return 200, {
            'items': found[:50],
            'has_more': len(found) > 50,
            'current_rev': self.revision,
        }

    async def _kv_watch(self, arguments, _, __):
        """Return the events after a revision as soon as there are some."""
        after = int(arguments['after'])
        ends_at = time.monotonic() + int(arguments['wait_ms']) / 1000
        while True:
            self._forget()
            if after < self._oldest_revision:
                return 410, {}
            changed = self._changed
            events = [
                event
                for event in self.events
                if event['revision'] > after
                and event['key'].startswith(arguments['prefix'])
            ]
            left = ends_at - time.monotonic()
            if events or left <= 0:
                return 200, {'events': events, 'current_rev': self.revision}
            with contextlib.suppress(TimeoutError):
                await asyncio.wait_for(changed.wait(), left)

    async def _kv_txn(self, _, body, __):
        """Write all or nothing."""
        wrong = [
            self.items.get(row['key'], {'key': row['key'], 'revision': 0})
            for row in body['expected']
            if self.items.get(row['key'], {'revision': 0})['revision']
            != row['revision']
        ]
        if wrong:
            return 412, {'items': wrong}
        leases = {row.get('lease', 0) for row in body['writes']} - {0}
        if leases - set(self._leases):
            return 404, {}
        for row in body['writes']:
            self._write(row['key'], row['value'], row.get('lease', 0))
        for key in body['deletes']:
            self.remove(key)
        return 200, {'revision': self.revision}

    async def _kv_lease(self, _, body, __):
        """Grant a lease."""
        self._last_lease += 1
        ttl = body['ttl_ms'] / 1000
        self._leases[self._last_lease] = (ttl, time.monotonic() + ttl)
        return 200, {'lease': self._last_lease, 'ttl_ms': body['ttl_ms']}

    async def _kv_keep(self, _, __, ident):
        """Renew a lease."""
        if int(ident) not in self._leases:
            return 404, {}
        ttl, _ = self._leases[int(ident)]
        self._leases[int(ident)] = (ttl, time.monotonic() + ttl)
        return 200, {'ttl_ms': int(ttl * 1000)}

    async def _kv_lease_end(self, _, __, ident):
        """End a lease."""
        self._end(int(ident))
        return 200, {}


class Engine(HttpServer):
    """Plain service that answers each request after its work."""

    def __init__(self, name, service, store, record, work_s=0.03):
        """Initialize an engine that is not registered."""
        super().__init__()
        self.name = name
        self.service = service
        self.runs = []
        self.state = 'ready'
        self.born = int(time.time() * 1000)
        self._store = store
        self._record = record
        self._work_s = work_s

    def registration(self, **changes):
        """Return the entry in the store."""
        return {
            'service': self.service,
            'address': f'{IP}:{self.port}',
            'zone': 'zone-a',
            'version': 'v1',
            'slots': 6,
            'state': self.state,
            'cold_left_ms': 0,
            'seq_no': 0,
            'born': self.born,
            **changes,
        }

    def register(self, **changes):
        """Write the entry."""
        self._store.put(f'servers/{self.name}', self.registration(**changes))

    def answer_headers(self, headers):
        """Return the headers of an answer to a request that ran."""
        ident = headers.get('x-nutmegtrail-request-id', '')
        return {
            'X-Nutmegtrail-Request-Id': ident,
            'X-Nutmegtrail-Response-Seal': f'seal.{ident}',
            'Keep-Alive': 'timeout=9',
        }

    async def handle(self, start, headers, body, writer):
        """Run a request, or answer a call."""
        _, target, _ = start.split(' ')
        ident = headers.get('x-nutmegtrail-request-id', '')
        expected = headers.get('x-nutmegtrail-expect-instance', self.name)
        if expected != self.name:
            writer.write(response(421, {'Keep-Alive': 'timeout=9'}, b''))
            return True
        if target.startswith('/api/'):
            report = {'born': self.born, 'busy': False, 'queued': 0}
            writer.write(
                response(
                    200,
                    {
                        'X-Nutmegtrail-Request-Id': ident,
                        'Keep-Alive': 'timeout=9',
                    },
                    json.dumps(report).encode(),
                )
            )
            return True
        self.runs.append((self._record.now(), ident, headers, body))
        self._record.write(
            f'engine {self.name}: runs {ident} {start} '
            f'tenant {headers.get("x-nutmegtrail-tenant", "-")}'
        )
        return await self.run(start, headers, body, writer)

    async def run(self, start, headers, body, writer):
        """Do the work of a request and answer."""
        await asyncio.sleep(self._work_s)
        writer.write(response(200, self.answer_headers(headers), b'done'))
        await writer.drain()
        return True


class Proxy:
    """TCP proxy whose connections share a link, with a rate each way."""

    def __init__(self, target_port, mbit_s):
        """Initialize without listening."""
        self._seconds_per_byte = 8 / (mbit_s * 1e6)
        self._free_at = {'up': 0.0, 'down': 0.0}
        self.port = free_port()
        self._target_port = target_port
        self._server = None
        self._tasks = set()

    async def listen(self):
        """Begin to listen."""
        self._server = await asyncio.start_server(self._serve, IP, self.port)

    async def close(self):
        """Stop listening and end all connections."""
        self._server.close()
        for task in tuple(self._tasks):
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    async def _serve(self, reader, writer):
        """Pass a connection on."""
        there, back = await asyncio.open_connection(IP, self._target_port)
        task = asyncio.current_task()
        self._tasks.add(task)
        try:
            await asyncio.gather(
                self._pass(reader, back, 'up'),
                self._pass(there, writer, 'down'),
            )
        except asyncio.CancelledError:
            pass
        finally:
            self._tasks.discard(task)
            writer.close()
            back.close()

    async def _pass(self, source, sink, direction):
        """Pass bytes on until the end of one side."""
        with contextlib.suppress(ConnectionError):
            while received := await source.read(_PART_BYTES):
                now = time.monotonic()
                begin = max(self._free_at[direction], now)
                end = begin + len(received) * self._seconds_per_byte
                self._free_at[direction] = end
                await asyncio.sleep(end - now)
                sink.write(received)
                await sink.drain()
        with contextlib.suppress(Exception):
            if sink.can_write_eof():
                sink.write_eof()


def render(template, fields):
    """Fill in the template of the settings as the platform does."""

    def _lookup(name):
        found = fields
        for part in name.split('.'):
            found = found[int(part) if part.isdigit() else part]
        return found

    def _section(match):
        entries = _lookup(match.group(1))
        text = match.group(2)
        return ''.join(
            text.replace('{{@}}', key).replace('{{.|json}}', json.dumps(entry))
            for key, entry in entries.items()
        )

    def _value(match):
        name, _, form = match.group(1).partition('|')
        found = _lookup(name)
        return json.dumps(found) if form == 'json' else str(found)

    text = re.sub(
        r'\{\{#([a-z_.]+)\}\}(.*?)\{\{/\1\}\}', _section, template, flags=re.S
    )
    return re.sub(r'\{\{([a-z_.0-9|]+)\}\}', _value, text)


class Entry:
    """Process of the role `entry` of the deploy file."""

    def __init__(self, name, store_port, folder, record, **limits):
        """Prepare the settings of a process that is not running."""
        self.name = name
        self.process = None
        self.port = free_port()
        self.ready_port = free_port()
        self._record = record
        self._folder = folder
        self._path = folder / f'{name}.toml'
        deploy = tomllib.loads((ROOT / 'deploy/system.toml').read_text())
        self._role = deploy['roles']['entry']
        template = (ROOT / self._role['template']).read_text()
        # The metrics have a fixed port, so that processes need own addresses.
        template = template.replace('{{ip}}:9464', f'{IP}:{free_port()}')
        self._path.write_text(
            render(
                template,
                {
                    'node_name': name,
                    'zone': 'zone-a',
                    'zones': {'zone-a': 'region-a'},
                    'ip': IP,
                    'listen': {
                        'front': f'{IP}:{self.port}',
                        'ready': f'{IP}:{self.ready_port}',
                    },
                    'port_range': [free_port()],
                    'platform': {'address': f'{IP}:{store_port}'},
                    'limits': {
                        'link_mbps': 1000.0,
                        'cores': 1,
                        'cpu_share': 0.817,
                        'memory_mb': 300,
                        'max_fds': 4100,
                        **limits,
                    },
                    'heartbeat_ms': 1200,
                    'bounds': _BOUNDS,
                },
            )
        )

    async def start(self):
        """Start the process."""
        environment = {
            name: os.environ[name]
            for name in ('PATH', 'HOME', 'LANG')
            if name in os.environ
        }
        environment['PYTHONPATH'] = str(ROOT / 'target/deps')
        environment['PYTHONDONTWRITEBYTECODE'] = '1'
        environment['NUTMEGTRAIL_BOOT'] = str(self._path)
        log = (self._folder / f'{self.name}.log').open('ab')
        self.process = await asyncio.create_subprocess_exec(
            *shlex.split(self._role['run']),
            cwd=ROOT,
            env=environment,
            stdout=log,
            stderr=log,
        )
        self._record.write(f'entry {self.name}: started')

    async def wait_ready(self, limit_s=20):
        """Wait until the process says that it is ready."""
        ends_at = time.monotonic() + limit_s
        while time.monotonic() < ends_at:
            answer = await fetch(self.ready_port, 'GET', '/api/readiness', {})
            if answer is not None and answer[0] == 200:
                self._record.write(f'entry {self.name}: ready')
                return
            await asyncio.sleep(0.05)
        raise NotRun(f'{self.name} is not ready')

    def send_signal(self, number):
        """Send a signal to the process."""
        self._record.write(f'entry {self.name}: {number.name} sent')
        self.process.send_signal(number)

    def log_text(self):
        """Return what the process wrote."""
        return (self._folder / f'{self.name}.log').read_text()

    async def end(self):
        """Kill the process if it runs."""
        if self.process is not None and self.process.returncode is None:
            self.process.send_signal(signal.SIGKILL)
            await self.process.wait()


class NotRun(Exception):
    """The case could not run."""


async def fetch(port, method, path, headers, body=b'', limit_s=10):
    """Send a request on a new connection; None without a whole answer."""
    try:
        reader, writer = await asyncio.wait_for(
            asyncio.open_connection(IP, port), 1
        )
    except (OSError, TimeoutError):
        return None
    lines = [f'{method} {path} HTTP/1.1']
    lines += [f'{name}: {text}' for name, text in headers.items()]
    if body or method != 'GET':
        lines.append(f'Content-Length: {len(body)}')
    try:
        writer.write('\r\n'.join(lines).encode('latin-1') + b'\r\n\r\n' + body)
        message = await asyncio.wait_for(read_message(reader), limit_s)
    except (ConnectionError, TimeoutError):
        message = None
    finally:
        writer.close()
    if message is None:
        return None
    start, answered, received = message
    return int(start.split(' ')[1]), answered, received


HOST = 'ficu95.example'


class Client:
    """Sends requests, each attempt with its own id, and keeps the answers."""

    def __init__(self, record):
        """Initialize without requests."""
        self.answers = []
        self._record = record
        self._count = 0

    async def send(self, entry, path, key, **options):
        """Send a request; return the status, 0 without an answer."""
        self._count += 1
        ident = f'{self._count:016x}'
        method = options.get('method', 'POST')
        headers = {
            'Host': HOST,
            'X-Nutmegtrail-Request-Id': ident,
            'X-Nutmegtrail-Deadline-Ms': options.get('deadline_ms', 1500),
        }
        if key:
            headers['Api-Key'] = key
        sent_at = self._record.now()
        self._record.write(
            f'client: {ident} {method} {path} key {key or "-"} to {entry.name}'
        )
        answer = await fetch(
            entry.port, method, path, headers, options.get('body', b'')
        )
        status = 0 if answer is None else answer[0]
        self._record.write(f'client: {ident} answered {status}')
        self.answers.append((sent_at, ident, status))
        return ident, status


def route(name, prefix, kind, service, **changes):
    """Return a route of a configuration."""
    return {
        'name': name,
        'host': HOST,
        'prefix': prefix,
        'kind': kind,
        'timeout_ms': 1500,
        'target_latency_ms': 300,
        'priority': 2,
        'service': service,
        'max_attempts': 2 if kind == 'safe' else 1,
        'no_auth': False,
        **changes,
    }


def configuration(version, routes, services, tenants):
    """Return a configuration in full."""
    return {
        'version': version,
        'routes': routes,
        'services': [{'name': name, 'max_conns': 110} for name in services],
        'limits': {
            'max_header_bytes': 16_384,
            'max_body_bytes': 4_194_304,
            'header_timeout_ms': 3000,
            'idle_timeout_ms': 15_000,
        },
        'tenants': [
            {'name': name, 'api_keys': keys} for name, keys in tenants.items()
        ],
    }


def run_case(scenario):
    """Run a case: 1 if the rule was broken, 0 if it held, 2 if not run.

    `scenario` gets the record, a temporary folder and whether the disruption
    takes place, and a list for what must be closed; it returns what broke.
    """
    folder = pathlib.Path(sys.argv[1]).resolve()
    record = Record(folder / 'record.txt')
    is_disrupted = os.environ.get('TROUBLE', '1') != '0'

    async def _main():
        closing = []
        with tempfile.TemporaryDirectory() as temporary:
            try:
                return await asyncio.wait_for(
                    scenario(
                        record, pathlib.Path(temporary), is_disrupted, closing
                    ),
                    110,
                )
            finally:
                for close in reversed(closing):
                    await close()

    try:
        broken = asyncio.run(_main())
    except Exception as error:
        record.write(f'not run: {error!r}')
        return 2
    record.write(f'broken: {broken}' if broken else 'held')
    return 1 if broken else 0


class StreamEngine(Engine):
    """Model engine: sends as many events as the body of a request names."""

    def __init__(self, name, service, store, record, event_s=0.1):
        """Initialize an engine that is not registered."""
        super().__init__(name, service, store, record)
        self._event_s = event_s

    async def run(self, start, headers, body, writer):
        """Send the events after the one that the client has."""
        first = int(headers.get('last-event-id', 0)) + 1
        answered = self.answer_headers(headers)
        lines = ['HTTP/1.1 200 OK', 'Content-Type: text/event-stream']
        lines += [f'{name}: {text}' for name, text in answered.items()]
        lines.append('Transfer-Encoding: chunked')
        writer.write('\r\n'.join(lines).encode() + b'\r\n\r\n')
        for number in range(first, int(body) + 1):
            await asyncio.sleep(self._event_s)
            event = b'id: %d\ndata: %032d\n\n' % (number, number)
            writer.write(b'%x\r\n%b\r\n' % (len(event), event))
            await writer.drain()
        writer.write(b'0\r\n\r\n')
        await writer.drain()
        self._record.write(
            f'engine {self.name}: ends {headers["x-nutmegtrail-request-id"]}'
        )
        return True


class KeptConnection:
    """Connection of a client that sends several streams, one at a time."""

    def __init__(self, entry, record):
        """Initialize without a connection."""
        self._entry = entry
        self._record = record
        self._reader = None
        self._writer = None

    async def open(self):
        """Connect."""
        self._reader, self._writer = await asyncio.open_connection(
            IP, self._entry.port
        )

    async def stream(self, ident, path, key, events, **headers):
        """Send a stream; return status, whether it is whole, and its events."""
        body = b'%d' % events
        lines = [
            f'POST {path} HTTP/1.1',
            f'Host: {HOST}',
            f'X-Nutmegtrail-Request-Id: {ident}',
            f'Api-Key: {key}',
            f'Content-Length: {len(body)}',
            *(f'{name}: {text}' for name, text in headers.items()),
        ]
        self._record.write(
            f'client: {ident} {path} of {events} events to {self._entry.name}'
        )
        received = 0
        try:
            self._writer.write('\r\n'.join(lines).encode() + b'\r\n\r\n' + body)
            head = await self._reader.readuntil(b'\r\n\r\n')
            status = int(head.split(b' ', 2)[1])
            if b'chunked' not in head.lower():
                self._record.write(f'client: {ident} answered {status}')
                return status, True, 0
            while size := int(await self._reader.readline() or b'-1', 16):
                if size < 0:
                    raise ConnectionError
                part = await self._reader.readexactly(size + 2)
                received += part.count(b'id: ')
            await self._reader.readline()
        except (ConnectionError, asyncio.IncompleteReadError, ValueError):
            self._record.write(
                f'client: {ident} ends without a whole answer, '
                f'{received} of {events} events'
            )
            return 0, False, received
        self._record.write(
            f'client: {ident} whole, {status}, {received} of {events} events'
        )
        return status, True, received

    def close(self):
        """Close the connection."""
        if self._writer is not None:
            self._writer.close()
