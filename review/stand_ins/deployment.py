"""Deployment on loopback: entry processes, stand-ins and clients."""

import asyncio
import collections
import json
import os
import pathlib
import re
import shutil
import socket
import subprocess
import tempfile
import time
import tomllib

from review.stand_ins import http1
from review.stand_ins import record as records
from review.stand_ins import store as stores

REPOSITORY = pathlib.Path(__file__).resolve().parents[2]
HOST = 'ficu95.example'
API_KEY = 'n2ctnfzs989anu6wsjnb'
STREAM_TARGET = '/lohu930/2f'
ORDER_TARGET = '/puxa403/2f'
READ_TARGET = '/vima118/2f'
_ZONE = 'lj-bezigrad'
_READY_SECONDS = 20.0
# What entries log that tells the cause, and how much of it is kept.
_TELLING_KINDS = (
    'daemon:started',
    'leadership:changed',
    'expert-map:fenced-off',
    'store:lost',
    'store:regained',
    'upstream:removed',
    'upstream:crashed',
    'quarantined',
)
_LINES_OF_A_KIND = 12
_LINE_CHARACTERS = 240
_SECTION = re.compile(r'\{\{#([\w.]+)\}\}(.*?)\{\{/\1\}\}', re.DOTALL)
_FIELD = re.compile(r'\{\{([\w.@]+)(\|json)?\}\}')
# Bounds and limits of the site zbsr-nutmeg.
BOUNDS = {
    'stable_ms': 3_000,
    'drain_ms': 2_000,
    'grace_s': 8,
    'retry_budget_ratio': 0.2,
    'retry_window_s': 10,
    'retry_slack': 92,
    'recover_s': 12,
}
_FRONT = {
    'cpu_share': 0.817,
    'cores': 1,
    'memory_mb': 300,
    'max_fds': 4_100,
    'link_mbps': 1_000.0,
}


def free_ports(count):
    """Return free loopback ports."""
    sockets = [socket.socket() for _ in range(count)]
    try:
        for each in sockets:
            each.bind(('127.0.0.1', 0))
        return [each.getsockname()[1] for each in sockets]
    finally:
        for each in sockets:
            each.close()


class CannotRunError(Exception):
    """The case could not be brought to the point that it is about."""


class Entry:
    """Entry process, started with the command of the deploy file."""

    def __init__(self, number, store_port, folder, record):
        """Write the settings without starting the process."""
        self.name = f'front-{_ZONE}-{number}'
        ports = free_ports(4)
        self.callers_port, self.readiness_port = ports[0], ports[1]
        self._record = record
        self._process = None
        self._settings = folder / f'{self.name}.toml'
        self._log = folder / f'{self.name}.log'
        role = tomllib.loads((REPOSITORY / 'deploy/system.toml').read_text())[
            'roles'
        ]['entry']
        self._command = role['run'].split()
        template = (REPOSITORY / role['template']).read_text()
        text = _fill_in(template, _settings(self.name, ports, store_port))
        # On loopback all entries share one address, so that their ports differ.
        self._settings.write_text(
            text.replace('127.0.0.1:9464', f'127.0.0.1:{ports[3]}')
        )

    def telling_lines(self):
        """Return the first log lines of each kind that tells a cause."""
        counts = collections.Counter()
        lines = []
        for line in self._log.read_text().splitlines():
            for kind in _TELLING_KINDS:
                if f'"{kind}"' in line and counts[kind] < _LINES_OF_A_KIND:
                    counts[kind] += 1
                    lines.append(line[:_LINE_CHARACTERS])
        return lines

    def start(self):
        """Start the process."""
        paths = (str(REPOSITORY / 'target/deps'), str(REPOSITORY))
        environment = {
            name: os.environ[name]
            for name in ('PATH', 'HOME', 'LANG')
            if name in os.environ
        }
        with self._log.open('a') as log_file:
            self._process = subprocess.Popen(
                self._command,
                cwd=REPOSITORY,
                env={
                    **environment,
                    'NUTMEGTRAIL_BOOT': str(self._settings),
                    'PYTHONPATH': os.pathsep.join(paths),
                    'PYTHONDONTWRITEBYTECODE': '1',
                },
                stdout=log_file,
                stderr=log_file,
            )
        self._record.note(f'{self.name} starts')

    def send_signal(self, number):
        """Send a signal to the process."""
        self._process.send_signal(number)

    def kill(self):
        """Kill the process if it runs."""
        if self._process is not None and self._process.poll() is None:
            self._process.kill()
        if self._process is not None:
            self._process.wait()
        self._record.note(f'{self.name} is killed')

    async def wait_until_ready(self, seconds=_READY_SECONDS):
        """Wait until the entry says that it is ready."""
        until = time.monotonic() + seconds
        while time.monotonic() < until:
            answer = await http1.call(
                self.readiness_port, 'GET', '/api/readiness', (), patience=1
            )
            if answer.status == 200:
                self._record.note(f'{self.name} is ready')
                return
            await asyncio.sleep(0.05)
        raise CannotRunError(f'{self.name} is not ready')


class Sent:
    """Request of a client and its answer, None until it has ended."""

    def __init__(self, request_id, target, at):
        """Initialize a request without an answer."""
        self.request_id = request_id
        self.target = target
        self.at = at
        self.answer = None

    @property
    def is_served(self):
        """Return whether the client got a whole success."""
        answer = self.answer
        return answer is not None and answer.is_whole and answer.status == 200


class Deployment:
    """Store, entries and clients; the engines are added by the case."""

    def __init__(self, folder, entry_count):
        """Initialize the parts without starting them."""
        self.record = records.Record(folder / 'record.txt')
        self.sent = []
        self._folder = pathlib.Path(tempfile.mkdtemp(prefix='review-'))
        (store_port,) = free_ports(1)
        self.store = stores.Store(store_port, self.record)
        self.entries = [
            Entry(number + 1, store_port, self._folder, self.record)
            for number in range(entry_count)
        ]
        self._tasks = set()

    async def start(self, configuration, engines):
        """Start the store, the engines and the entries."""
        await self.store.start()
        self.store.put('op/config', configuration)
        for engine in engines:
            await engine.start()
        for entry in self.entries:
            entry.start()
        for entry in self.entries:
            await entry.wait_until_ready()
        # The load balancer asks for readiness once a second.
        await asyncio.sleep(1)

    def close(self):
        """End all processes and write the record."""
        for entry in self.entries:
            entry.kill()
        for sent in self.sent:
            answer = sent.answer
            if answer is None:
                continue
            self.record.note(
                f'{sent.at:.3f} {sent.target} {sent.request_id} -> '
                f'{answer.status} whole={answer.is_whole} '
                f'after {answer.seconds:.3f} s'
            )
        for entry in self.entries:
            for line in entry.telling_lines():
                self.record.note(f'log of {entry.name}: {line}')
        shutil.rmtree(self._folder)
        self.record.save()

    def send(self, number, entry, target, deadline_ms, patience=2.0):
        """Send a request in the background."""
        sent = Sent(f'{number:016x}', target, self.record.now)
        self.sent.append(sent)
        task = asyncio.ensure_future(
            self._send(sent, entry, deadline_ms, patience)
        )
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        return sent

    async def _send(self, sent, entry, deadline_ms, patience):
        """Send a request and keep its answer."""
        headers = [
            ('Host', HOST),
            ('X-Nutmegtrail-Request-Id', sent.request_id),
            ('X-Nutmegtrail-Deadline-Ms', deadline_ms),
            ('Api-Key', API_KEY),
        ]
        method, body = 'POST', sent.request_id.encode() * 40
        if sent.target == READ_TARGET:
            method, body = 'GET', b''
        if sent.target == STREAM_TARGET:
            part = f'{int(sent.request_id, 16) + 2**32:x}:700'
            headers.extend(
                (
                    ('X-Nutmegtrail-Model', 'm'),
                    ('X-Nutmegtrail-Token-Count', '740,156'),
                    ('X-Nutmegtrail-Prompt-Prefix', f'5c1e07a2:40,{part}'),
                )
            )
        sent.answer = await http1.call(
            entry.callers_port, method, sent.target, headers, body, patience
        )


def stream_route():
    """Return the route of resumable streams."""
    return {
        'name': 'r-1',
        'host': HOST,
        'prefix': '/lohu930/',
        'kind': 'streaming',
        'timeout_ms': 8_000,
        'target_latency_ms': 400,
        'gap_aim_ms': 120,
        'priority': 1,
        'service': 'dele69a',
        'max_attempts': 2,
        'sticky': True,
        'resumable': True,
    }


def order_route():
    """Return the route of requests that run once at most."""
    return {
        'name': 'r-2',
        'host': HOST,
        'prefix': '/puxa403/',
        'kind': 'unsafe',
        'timeout_ms': 800,
        'target_latency_ms': 300,
        'priority': 2,
        'service': 'xano55b',
        'max_attempts': 1,
    }


def read_route():
    """Return the route of requests that may run more than once."""
    return {
        **order_route(),
        'name': 'r-3',
        'prefix': '/vima118/',
        'kind': 'safe',
        'max_attempts': 2,
    }


def configuration(engine_document):
    """Return the first configuration of the operator."""
    return {
        'version': 7,
        'routes': [stream_route(), order_route(), read_route()],
        'services': [
            {
                'name': 'dele69a',
                'max_conns': 348,
                'health_path': '/health',
                'engine': engine_document,
            },
            {'name': 'xano55b', 'max_conns': 110, 'health_path': '/health'},
        ],
        'limits': {
            'max_header_bytes': 16_384,
            'max_body_bytes': 4_194_304,
            'header_timeout_ms': 3_000,
            'idle_timeout_ms': 15_000,
        },
        'tenants': [{'name': 'hule930', 'api_keys': [API_KEY]}],
    }


def _settings(name, ports, store_port):
    """Return the platform's fields of a front machine."""
    return {
        'node_name': name,
        'zone': _ZONE,
        'zones': {_ZONE: 'lj', 'lj-vic': 'lj', 'lj-moste': 'lj'},
        'ip': '127.0.0.1',
        'listen': {
            'front': f'127.0.0.1:{ports[0]}',
            'ready': f'127.0.0.1:{ports[1]}',
        },
        'port_range': [ports[2], ports[2]],
        'limits': _FRONT,
        'heartbeat_ms': 1_200,
        'bounds': BOUNDS,
        'platform': {'address': f'127.0.0.1:{store_port}'},
    }


def _fill_in(template, fields):
    """Return a template of the deploy file, filled in as the platform does."""

    def _section(match):
        entries = _find(fields, match[1])
        return ''.join(
            match[2]
            .replace('{{@}}', str(key))
            .replace('{{.|json}}', json.dumps(entry))
            for key, entry in entries.items()
        )

    def _field(match):
        found = _find(fields, match[1])
        return json.dumps(found) if match[2] else str(found)

    return _FIELD.sub(_field, _SECTION.sub(_section, template))


def _find(fields, path):
    """Return a field by its dotted path."""
    for name in path.split('.'):
        fields = fields[int(name) if isinstance(fields, list) else name]
    return fields
