"""A small deployment on loopback: store, engines, entries and a record."""

import asyncio
import json
import os
import pathlib
import signal
import socket
import subprocess
import sys
import tempfile
import time
import typing

from review.harness_3 import engine as engines
from review.harness_3 import store as stores

ROOT = pathlib.Path(__file__).resolve().parents[2]
HOST = 'shop.example'
KEY = 'key0key0key0key0key0'
TENANT = 'tenant0'


def _free_port() -> int:
    """Return a port that nothing listens on."""
    with socket.socket() as probe:
        probe.bind(('127.0.0.1', 0))
        return int(probe.getsockname()[1])


def route(
    prefix: str, service: str, kind: str, **fields: object
) -> dict[str, object]:
    """Return a route of the configuration."""
    return {
        'name': prefix.strip('/'),
        'host': HOST,
        'prefix': prefix,
        'service': service,
        'kind': kind,
        'timeout_ms': 8000,
        'target_latency_ms': 400,
        'priority': 1,
        'max_attempts': 2 if kind != 'unsafe' else 1,
        **fields,
    }


class Entry:
    """Process of the deploy file's role, started like the platform does."""

    def __init__(
        self,
        name: str,
        folder: pathlib.Path,
        store: str,
        *,
        memory_mb: int = 300,
        zone: str = 'zone-a',
        grace_s: int = 8,
    ) -> None:
        """Initialize an entry that does not run."""
        self.name = name
        self.callers = f'127.0.0.1:{_free_port()}'
        self.ready = f'127.0.0.1:{_free_port()}'
        self.process: subprocess.Popen[bytes] | None = None
        self._settings = folder / f'{name}.toml'
        self._log = folder / f'{name}.log'
        self._settings.write_text(
            '\n'.join(
                (
                    '[process]',
                    f'host = "{name}"',
                    f'failure_domain = "{zone}"',
                    '[listen]',
                    f'callers = "{self.callers}"',
                    f'readiness = "{self.ready}"',
                    f'peers = "127.0.0.1:{_free_port()}"',
                    f'metrics = "127.0.0.1:{_free_port()}"',
                    '[store]',
                    f'address = "{store}"',
                    '[link]',
                    'megabits_per_second = 1000.0',
                    '[host]',
                    'cores = 1',
                    'core_share = 0.817',
                    f'memory_megabytes = {memory_mb}',
                    'descriptors = 4100',
                    '[upstreams]',
                    'heartbeat_milliseconds = 1200',
                    '[retries]',
                    'window_seconds = 10',
                    'share = 0.2',
                    'base = 92',
                    '[stop]',
                    f'grace_seconds = {grace_s}',
                    '[regions]',
                    '"zone-a" = "region"',
                    '"zone-b" = "region"',
                    '"zone-c" = "region"',
                    '',
                )
            )
        )

    def start(self) -> None:
        """Start the process with the command of the deploy file."""
        environment = {
            'PATH': os.environ['PATH'],
            'PYTHONPATH': str(ROOT / 'target' / 'deps'),
            'PYTHONDONTWRITEBYTECODE': '1',
            'NUTMEGTRAIL_BOOT': str(self._settings),
        }
        with self._log.open('ab') as log:
            self.process = subprocess.Popen(
                [sys.executable, '-m', 'nutmegtrail.platform'],
                cwd=ROOT,
                env=environment,
                stdout=log,
                stderr=log,
            )

    def send_signal(self, number: signal.Signals) -> None:
        """Send a signal to the process."""
        if self.process is not None and self.process.poll() is None:
            self.process.send_signal(number)

    def kill(self) -> None:
        """End the process at once."""
        self.send_signal(signal.SIGCONT)
        self.send_signal(signal.SIGKILL)
        if self.process is not None:
            self.process.wait()

    @property
    def log(self) -> str:
        """Return what the process has written."""
        return self._log.read_text(errors='replace')

    def peak_mb(self) -> float:
        """Return the largest resident memory so far, in megabytes."""
        return self._status('VmHWM')

    def resident_mb(self) -> float:
        """Return the resident memory, in megabytes."""
        return self._status('VmRSS')

    def private_mb(self) -> float:
        """Return the resident memory that no other process shares."""
        return self._status('RssAnon')

    def _status(self, field: str) -> float:
        """Return a field of the process's status in megabytes."""
        if self.process is None or self.process.poll() is not None:
            return 0
        text = pathlib.Path(f'/proc/{self.process.pid}/status').read_text()
        for line in text.splitlines():
            if line.startswith(f'{field}:'):
                return int(line.split()[1]) / 1024
        return 0

    async def wait_ready(self, limit_seconds: float = 20) -> bool:
        """Wait until readiness is answered with 200."""
        ends_at = time.monotonic() + limit_seconds
        while time.monotonic() < ends_at:
            if await self.is_ready():
                return True
            await asyncio.sleep(0.1)
        return False

    async def is_ready(self) -> bool:
        """Return whether readiness is answered with 200."""
        ip, _, port = self.ready.partition(':')
        try:
            reader, writer = await asyncio.open_connection(ip, int(port))
            writer.write(
                b'GET /api/readiness HTTP/1.1\r\nHost: x\r\n'
                b'Connection: close\r\n\r\n'
            )
            status = await asyncio.wait_for(reader.readline(), 1)
            writer.close()
        except (OSError, TimeoutError):
            return False
        return b' 200 ' in status


class Deployment:
    """Everything that a case starts; `close` ends all of it."""

    def __init__(self, case: pathlib.Path) -> None:
        """Initialize a deployment that records in the folder of a case."""
        self._started_at = time.monotonic()
        self._record = (case / 'record.txt').open('w')
        self._temporary = tempfile.TemporaryDirectory()
        self.folder = pathlib.Path(self._temporary.name)
        self.store = stores.Store(self.record)
        self.engines: list[engines.Engine] = []
        self.entries: list[Entry] = []
        self._version = 0

    def record(self, event: str, **fields: object) -> None:
        """Write a line of the record."""
        seconds = time.monotonic() - self._started_at
        told = ' '.join(f'{name}={text}' for name, text in fields.items())
        self._record.write(f'{seconds:8.3f} {event} {told}\n')
        self._record.flush()

    async def start(
        self,
        new_engines: typing.Iterable[engines.Engine],
        routes: list[dict[str, object]],
        entries: int = 1,
        **options: typing.Any,
    ) -> None:
        """Start the store, the engines and the entries."""
        await self.store.start()
        for engine in new_engines:
            await self.add_engine(engine)
        self.configure(routes)
        for number in range(entries):
            name = f'front-{number}'
            address = await self.store.listen(name)
            entry = Entry(name, self.folder, address, **options)
            self.entries.append(entry)
            entry.start()
        for entry in self.entries:
            if not await entry.wait_ready():
                raise RuntimeError(f'{entry.name} is not ready: {entry.log}')

    async def add_engine(self, engine: engines.Engine) -> None:
        """Start an engine and register it."""
        await engine.start()
        self.engines.append(engine)
        self.register(engine)

    def register(self, engine: engines.Engine) -> None:
        """Write the entry of an engine."""
        self.store.put(f'servers/{engine.identifier}', engine.registration())

    def configure(
        self,
        routes: list[dict[str, object]],
        keys: tuple[str, ...] = (KEY,),
    ) -> int:
        """Write a configuration; return its version."""
        self._version += 3
        services = sorted({str(each['service']) for each in routes})
        self.store.put(
            'op/config',
            json.dumps(
                {
                    'version': self._version,
                    'routes': routes,
                    'services': [
                        {'name': name, 'health_path': '/health'}
                        for name in services
                    ],
                    'limits': {
                        'max_header_bytes': 16384,
                        'max_body_bytes': 4194304,
                        'header_timeout_ms': 3000,
                        'idle_timeout_ms': 15000,
                    },
                    'tenants': [
                        {'name': TENANT, 'api_keys': list(keys)},
                    ],
                }
            ).encode(),
        )
        self.record(
            'configured',
            version=self._version,
            bytes=len(self.store.items['op/config'].value),
        )
        return self._version

    async def close(self) -> None:
        """End all processes and servers."""
        for entry in self.entries:
            entry.kill()
        for engine in self.engines:
            await engine.close()
        await self.store.close()
        self._record.close()
        self._temporary.cleanup()
