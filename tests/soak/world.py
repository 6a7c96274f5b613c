"""Entries as processes, stand-ins of the platform, callers and faults."""

import json
import os
import pathlib
import random
import signal
import subprocess
import sys
import tempfile

import anyio

from nutmegtrail.adapters.http1 import client
from nutmegtrail.adapters.http1 import errors
from nutmegtrail.adapters.http1 import messages
from tests import loopback
from tests.platform import samples
from tests.platform import stand_in
from tests.soak import group as groups
from tests.soak import relay

_ENGINES = 3
_EVENTS = 8
_BOOKING_SECONDS = 0.05
_CALL_SECONDS = 3.0
_READY_SECONDS = 20.0
# Bounds of the platform: an engine that leaves, and two failed probes.
_DRAIN_SECONDS = 2.0
_BALANCER_SECONDS = 2.0
# A dead leader's lease lapses after a second; its successor waits for reports
# and lets the group go.
_HELD_SECONDS = 4.0
# Some last longer than the lease of the leader.
_FAULT_SECONDS = (0.3, 2.5)
_NOT_RUN = (408, 421, 429, 503)
_LINK_FAULTS = ('delayed', 'silent', 'no requests', 'no answers')
STREAM = b''.join(
    b'id: %d\ndata: x\n\n' % number for number in range(1, _EVENTS + 1)
)
_SETTINGS = """
[process]
host = "entry-{name}"
failure_domain = "kandla-a"
[listen]
callers = "{callers}"
readiness = "{readiness}"
peers = "{peers}"
metrics = "{metrics}"
[store]
address = "{store}"
[retries]
window_seconds = 10
share = 0.2
base = 92
[stop]
grace_seconds = 8
"""


class Engine(stand_in.Engine):
    """An engine that takes its time and notes each run by request.

    `ranks` is the rank group that a drafting engine belongs to.
    """

    def __init__(self, name, service, ranks, place):
        """Start without runs."""
        drafting = service == 'drafts'
        membership = ranks.membership(place) if drafting else None
        super().__init__(name, service, membership)
        self.runs = []
        self.leaving_at = None
        self._ranks = ranks
        self._place = place

    async def handle(self, exchange):
        """Serve a control call or a request."""
        if exchange.request.target.startswith(b'/api/'):
            await self._ranks.answer(exchange, self._place)
            return
        await super().handle(exchange)

    async def whole(self, exchange, headers):
        """Run a request slowly."""
        self.runs.append((headers[0][1], anyio.current_time()))
        if self.service == 'desk':
            await anyio.sleep(_BOOKING_SECONDS)
            await exchange.respond(200, headers, b'booked')
            return
        asked = messages.find_header(exchange.request.headers, b'last-event-id')
        for number in range(int(asked or 0) + 1, _EVENTS + 1):
            await self._ranks.next_step()
            event = b'id: %d\ndata: x\n\n' % number
            if exchange.has_started:
                await exchange.write(event)
            else:
                await exchange.start_chunked(200, headers, event)
        await exchange.finish()


class Entry:
    """One entry process, started again after it ends."""

    def __init__(self, name, folder, store):
        """Write the settings; nothing runs yet."""
        self.callers = loopback.free_address()
        self.readiness = loopback.free_address()
        self._path = pathlib.Path(folder) / f'{name}.toml'
        self._path.write_text(
            _SETTINGS.format(
                name=name,
                callers=self.callers,
                readiness=self.readiness,
                peers=loopback.free_address(),
                metrics=loopback.free_address(),
                store=store,
            ),
        )
        self._log = (pathlib.Path(folder) / f'{name}.log').open('a')
        self.process = None
        self.is_harmed = False
        self.is_out = False
        self.is_stopping = False

    def start(self):
        """Start the process."""
        self.process = subprocess.Popen(  # noqa: S603
            (sys.executable, '-m', 'nutmegtrail.platform'),
            env={**os.environ, 'NUTMEGTRAIL_BOOT': str(self._path)},
            stdout=self._log,
            stderr=self._log,
        )

    def close(self):
        """End the process by its id."""
        if self.process.poll() is None:
            self.process.send_signal(signal.SIGCONT)
            self.process.kill()
        self.process.wait()
        self._log.close()


class World:
    """A deployment on loopback, its callers and what they saw."""

    def __init__(self, seed, entries):
        """Create everything; nothing runs yet."""
        self.generator = random.Random(seed)
        self.folder = tempfile.mkdtemp(prefix=f'nutmegtrail-soak-{seed}-')
        self.store = stand_in.Store()
        self.ranks = groups.Group(_ENGINES)
        self.engines = [
            Engine(f'{service}-{number}', service, self.ranks, number)
            for service in ('drafts', 'desk')
            for number in range(_ENGINES)
        ]
        self.relays = [relay.Relay(one.address) for one in self.engines]
        self.store_relays = [
            relay.Relay(self.store.address) for _ in range(entries)
        ]
        self.entries = [
            Entry(name, self.folder, link.address)
            for name, link in enumerate(self.store_relays)
        ]
        self.answers_by_id = {}
        self.cut_by_stop = []
        self._asked = 0

    async def start(self, tasks):
        """Start stand-ins, relays and entries; wait until all are ready."""
        for one in (self.store, *self.engines):
            served = stand_in.create_server(one)
            await served.start()
            tasks.start_soon(served.serve)
        for link in (*self.store_relays, *self.relays):
            tasks.start_soon(link.serve)
        tasks.start_soon(self.ranks.run)
        tasks.start_soon(self.store.expire_leases)
        self.store.put('op/config', json.dumps(_configuration()).encode())
        for engine in self.engines:
            self.register(engine)
        for entry in self.entries:
            entry.start()
        with anyio.fail_after(_READY_SECONDS):
            for entry in self.entries:
                while not await self.is_ready(entry):
                    await anyio.sleep(0.05)

    def close(self):
        """End the processes."""
        for entry in self.entries:
            entry.close()

    def register(self, engine, **changes):
        """Write an engine's registration, at the address of its relay."""
        address = self.relays[self.engines.index(engine)].address
        content = engine.registration(size=_ENGINES, **changes)
        document = {**json.loads(content), 'address': str(address)}
        key = f'servers/{engine.name}'
        self.store.put(key, json.dumps(document).encode())

    async def is_ready(self, entry):
        """Return whether an entry wants new connections."""
        call = client.Call(entry.readiness, b'GET', b'/', ())
        with anyio.move_on_after(1):
            try:
                head, _ = await client.Client().fetch(call, 99)
            except (errors.NotConnected, errors.ExchangeBroken):
                return False
            return head.status == 200
        return False

    async def ask(self):
        """Send a request to any entry and note its answer."""
        self._asked += 1
        request_id = f'r{self._asked}'
        path = self.generator.choice((b'/long/prefix/a', b'/long/b'))
        headers = (
            (b'host', b'ficu95.example'),
            (b'x-nutmegtrail-request-id', request_id.encode()),
            (b'x-nutmegtrail-deadline-ms', b'2500'),
            (b'api-key', b'key-1'),
        )
        entry = self.generator.choice(
            [entry for entry in self.entries if not entry.is_out],
        )
        call = client.Call(entry.callers, b'POST', path, headers, b'x')
        answer = ('nothing', b'')
        with anyio.move_on_after(_CALL_SECONDS):
            try:
                head, body = await client.Client().fetch(call, 99_999)
                answer = (head.status, body)
            except (errors.NotConnected, errors.ExchangeBroken):
                answer = ('broken', b'')
        self.answers_by_id[request_id] = (path, *answer)
        if entry.is_stopping and answer[0] in {'broken', 'nothing'}:
            self.cut_by_stop.append(f'{request_id} was cut by a planned stop')

    async def harm(self):
        """Let one fault last for a while, then mend it."""
        seconds = self.generator.uniform(*_FAULT_SECONDS)
        idle = [entry for entry in self.entries if not entry.is_harmed]
        faults = (self._kill, self._freeze, self._stop)
        if self.generator.random() < 0.4 or not idle:
            await self.generator.choice((self._link, self._store))(seconds)
            return
        entry = self.generator.choice(idle)
        entry.is_harmed = True
        await self.generator.choice(faults)(entry, seconds)
        entry.is_harmed = False

    async def stop_calmly(self):
        """Stop an entry while nothing else happens, as a balancer sees it."""
        entry = self.entries[0]
        entry.is_stopping = True
        entry.process.send_signal(signal.SIGTERM)
        await anyio.sleep(_BALANCER_SECONDS)
        entry.is_out = True

    def leave(self):
        """Let one engine say that it is leaving."""
        engine = self.engines[0]
        engine.leaving_at = anyio.current_time()
        self.register(engine, state='draining')

    def broken_promises(self):
        """Return what callers or engines saw against a promise."""
        runs_by_id = {}
        for engine in self.engines:
            for request_id, _ in engine.runs:
                name = request_id.decode()
                runs_by_id[name] = runs_by_id.get(name, 0) + 1
        broken = [*self.cut_by_stop, *self.ranks.disagreements]
        if not self.ranks.switches:
            broken.append('no map was switched')
        for engine in self.engines:
            if engine.leaving_at is None:
                continue
            bound = engine.leaving_at + _DRAIN_SECONDS
            late = [name for name, at in engine.runs if at > bound]
            broken.extend(f'{name} ran at a leaving engine' for name in late)
        for name, (path, status, body) in self.answers_by_id.items():
            runs = runs_by_id.get(name, 0)
            once = path == b'/long/b'
            if once and runs > 1:
                broken.append(f'{name} ran {runs} times')
            if once and runs and status in _NOT_RUN:
                broken.append(f'{name} was called not run ({status})')
            whole = b'booked' if once else STREAM
            if status == 200 and body != whole:
                broken.append(f'{name} got {body!r}')
        return broken

    def is_held(self):
        """Return whether the group has not moved for too long."""
        waited = anyio.current_time() - self.ranks.stepped_at
        return waited > _HELD_SECONDS

    def served_share(self, since):
        """Return the share of success among the later answers."""
        answers = list(self.answers_by_id.values())[since:]
        good = [answer for answer in answers if answer[1] == 200]
        return len(good) / len(answers)

    async def _kill(self, entry, seconds):
        """Kill an entry and start it again."""
        entry.process.kill()
        entry.process.wait()
        await anyio.sleep(seconds)
        entry.start()

    async def _freeze(self, entry, seconds):
        """Pause an entry."""
        entry.process.send_signal(signal.SIGSTOP)
        await anyio.sleep(seconds)
        entry.process.send_signal(signal.SIGCONT)

    async def _stop(self, entry, seconds):
        """Stop an entry as planned and start it again."""
        entry.process.send_signal(signal.SIGTERM)
        await anyio.sleep(seconds)
        if self.generator.random() < 0.5:
            entry.process.send_signal(signal.SIGTERM)
        while entry.process.poll() is None:
            await anyio.sleep(0.05)
        entry.start()

    async def _link(self, seconds):
        """Harm the connections of an engine."""
        link = self.generator.choice(self.relays)
        link.fault = self.generator.choice(_LINK_FAULTS)
        await anyio.sleep(seconds)
        link.fault = ''
        if self.generator.random() < 0.5:
            link.reset_all()

    async def _store(self, seconds):
        """Let the store refuse, fall silent or lose its connections.

        This strikes all entries, or one of them, which may lead.
        """
        one = [self.generator.choice(self.store_relays)]
        links = self.generator.choice((one, self.store_relays))
        fault = self.generator.choice(('', *_LINK_FAULTS))
        if len(links) > 1:
            self.store.is_unavailable = self.generator.random() < 0.5
        for link in links:
            link.fault = fault
        await anyio.sleep(seconds)
        self.store.is_unavailable = False
        for link in links:
            link.fault = ''
            link.reset_all()


def _configuration():
    """Return the sample configuration with all streams at the drafts."""
    document = json.loads(json.dumps(samples.CONFIG))
    document['routes'][1].pop('traffic_split')
    document['routes'][1]['service'] = 'drafts'
    document['services'][0]['engine'].update(
        sets=groups.SETS,
        experts=groups.EXPERTS,
        places=groups.PLACES,
        spare=groups.SPARE,
    )
    document['routes'][0]['timeout_ms'] = 2500
    return document
