"""Stand-ins of the engines: plain servers and a rank group."""

import asyncio
import collections
import json
import random
import time

from review.stand_ins import http1

_HEARTBEAT_SECONDS = 1.2
_SILENT_HEARTBEATS = 3
_REPORT_LAG_SECONDS = 0.2
_PASS_SECONDS = 0.03
SETS = 6
EXPERTS = 64
PLACES = 11
SPARE = 4
EXPERT_MB = 1_700.0
LINK_MBPS = 92_000.0
EVENTS = 26
_PICKS_PER_PASS = 240
_SKEW = 1.6
_STALL_SECONDS = 1.5
_FORM_SECONDS = 0.6
ZONES = ('lj-bezigrad', 'lj-vic', 'lj-moste')


def answer_headers(request, engine_id):
    """Return the headers of an engine's answer to a request."""
    request_id = request.headers['x-nutmegtrail-request-id']
    return (
        ('X-Nutmegtrail-Request-Id', request_id),
        ('X-Nutmegtrail-Response-Seal', f'{engine_id}.{request_id}'),
        http1.KEEP_ALIVE,
    )


def deadline_seconds(request):
    """Return how long the sender of a request waits."""
    return float(request.headers['x-nutmegtrail-deadline-ms']) / 1_000


class Registration:
    """Entry of an engine in the store, renewed by heartbeats.

    It is removed after three intervals without a heartbeat. After an outage
    the engine registers again `return_seconds` after the return of the store.
    """

    def __init__(self, store, engine_id, describe, return_seconds):
        """Initialize an entry that is not written."""
        self.key = f'servers/{engine_id}'
        self._store = store
        self._describe = describe
        self._return_seconds = return_seconds
        self._sequence = 0
        self._beaten_at = time.monotonic()
        self.is_ended = False
        self.is_silent = False

    def write(self):
        """Write the entry."""
        self._sequence += 1
        document = {**self._describe(), 'seq_no': self._sequence}
        self._store.put(self.key, document)

    def withdraw(self):
        """Remove the entry for good."""
        self.is_ended = True
        self._store.remove(self.key)

    async def run(self):
        """Renew the entry until it is withdrawn."""
        up_since = time.monotonic()
        was_down = False
        while not self.is_ended:
            await asyncio.sleep(0.02)
            now = time.monotonic()
            if self.is_ended:
                return
            if self.is_silent:
                limit = _HEARTBEAT_SECONDS * _SILENT_HEARTBEATS
                if now - self._beaten_at > limit:
                    self._store.remove(self.key)
                continue
            if self._store.is_down:
                was_down = True
                limit = _HEARTBEAT_SECONDS * _SILENT_HEARTBEATS
                if now - self._beaten_at > limit:
                    self._store.remove(self.key)
                continue
            if was_down:
                was_down = False
                up_since = now
            if self.key in self._store.items:
                self._beaten_at = now
            elif now - up_since >= self._return_seconds:
                self.write()


class PlainEngine:
    """Engine that runs each request for some time.

    Once it leaves, it says so in all its answers.
    """

    def __init__(
        self, engine_id, service, port, store, record, work_seconds, zone
    ):
        """Initialize an engine that is not running."""
        self.engine_id = engine_id
        self.service = service
        self.zone = zone
        self.runs = collections.Counter()
        self.arrivals = []
        self.is_running = False
        self._port = port
        self._record = record
        self._work_seconds = work_seconds
        self._born = int(time.time() * 1_000)
        self._server = http1.Server(port, self._handle)
        self.registration = Registration(store, engine_id, self._describe, 0.5)

    async def start(self):
        """Listen and register."""
        await self._server.start()
        self.is_running = True
        self.registration.write()
        asyncio.ensure_future(self.registration.run())

    def end(self):
        """End the process."""
        self.is_running = False
        self._server.end()

    def _describe(self):
        """Return the fields of the registration."""
        return {
            'service': self.service,
            'address': f'127.0.0.1:{self._port}',
            'zone': self.zone,
            'version': 'v1',
            'slots': 6,
            'state': 'ready',
            'cold_left_ms': 0,
            'born': self._born,
        }

    async def _handle(self, exchange):
        """Run a request, or answer a call."""
        request = exchange.request
        if request.headers.get('x-nutmegtrail-expect-instance') not in {
            None,
            self.engine_id,
        }:
            await exchange.respond(421, (http1.KEEP_ALIVE,))
            return
        if request.path == '/api/report':
            document = {'born': self._born}
            await exchange.respond_json(200, document, *self._leaving())
            return
        if request.path == '/health':
            fields = (('X-Nutmegtrail-Instance-Id', self.engine_id),)
            await exchange.respond(200, (*fields, *self._leaving()))
            return
        request_id = request.headers['x-nutmegtrail-request-id']
        self.arrivals.append((self._record.now, request_id))
        self.runs[request_id] += 1
        self._record.note(f'run {request_id} at {self.engine_id}')
        await asyncio.sleep(self._work_seconds)
        headers = answer_headers(request, self.engine_id)
        await exchange.respond(200, (*headers, *self._leaving()), b'done')

    def _leaving(self):
        """Return the header of an engine that leaves, if it does."""
        if self.registration.is_ended:
            return (('Server-Leaving', 1),)
        return ()


class RankGroup:
    """Group of ranks that begin each pass together.

    Passes begin while any rank has a request, unless a rank holds the next
    one. `mismatches` has the passes that began with different maps.
    """

    def __init__(self, size, record, name='g0', suffix=''):
        """Initialize the group with map 0 and no running request."""
        self.name = name
        self.suffix = suffix
        self.epoch = 1
        self.is_open = True
        self.faulty_id = ''
        self.ranks = []
        self.size = size
        self.step = 0
        self.passes_at = []
        self.mismatches = []
        self.on_hold = None
        self._record = record
        self._generator = random.Random(1)
        self._weights = []
        self._begun = asyncio.Event()
        self.shift()

    def shift(self):
        """Let other experts be in demand."""
        self._weights = []
        for _ in range(SETS):
            weights = [
                int(1_000 / place**_SKEW) for place in range(1, EXPERTS + 1)
            ]
            self._generator.shuffle(weights)
            self._weights.extend(weights)

    async def run(self):
        """Begin passes."""
        while True:
            await asyncio.sleep(_PASS_SECONDS)
            running = sum(rank.running for rank in self.ranks)
            held = any(rank.held == self.step + 1 for rank in self.ranks)
            if running and not held and self.is_open:
                self._begin_pass()

    def break_up(self, crashed):
        """Stall, and cut off what depends on a rank that has crashed."""
        if self.is_open:
            self.is_open = False
            self.faulty_id = crashed.engine_id
            asyncio.ensure_future(self._stall())

    async def reopen(self):
        """Open the group in a new epoch once all ranks are back."""
        if self.is_open or not all(rank.is_running for rank in self.ranks):
            return
        await asyncio.sleep(_FORM_SECONDS)
        self.epoch += 1
        self.is_open = True
        for rank in self.ranks:
            rank.form()
        self._record.note(f'{self.name} opens in epoch {self.epoch}')

    async def _stall(self):
        """Let the ranks that run cut off their work after some time."""
        await asyncio.sleep(_STALL_SECONDS)
        self._begun.set()
        self._begun = asyncio.Event()
        for rank in self.ranks:
            if rank.is_running:
                rank.registration.write()

    async def wait_for_pass(self):
        """Wait for the beginning of the next pass."""
        await self._begun.wait()

    def _begin_pass(self):
        """Begin the next pass; armed ranks change their maps."""
        self.step += 1
        self.passes_at.append(self._record.now)
        for rank in self.ranks:
            rank.begin_pass(self.step)
            if rank.running:
                rank.counts = [
                    count + weight * rank.running
                    for count, weight in zip(rank.counts, self._weights)
                ]
        maps = {rank.map for rank in self.ranks}
        versions = {rank.map_version for rank in self.ranks}
        if len(maps) > 1 or len(versions) > 1:
            self.mismatches.append(self.step)
            self._record.note(f'pass {self.step} begins on maps {versions}')
        self._begun.set()
        self._begun = asyncio.Event()


class Rank:
    """Engine that is a rank of a group.

    `late_orders` decides which orders get no answer; it returns after how many
    seconds they are carried out, None for an order that is answered.
    `doubles_answer` decides after which orders a second answer follows, at the
    point where that to the next call on the connection is expected.
    """

    def __init__(self, group, number, service, port, store, record):
        """Initialize a rank that is not running."""
        self.engine_id = f'rank-{number}{group.suffix}'
        self.number = number
        self.zone = ZONES[number % len(ZONES)]
        self.is_running = False
        self.running = 0
        self.counts = [0] * (SETS * EXPERTS)
        self.map_version = 0
        self.map = _first_map(group.size)
        self.armed = None
        self.held = None
        self.fence = 0
        self.late_orders = None
        self.doubles_answer = None
        self.service = service
        self._armed_step = 0
        self._armed_map = None
        self._newest_version = 0
        self._prepared = None
        self._prepared_map = None
        self._prepared_at = 0.0
        self._group = group
        self._port = port
        self._record = record
        self._born = int(time.time() * 1_000)
        self._reports = collections.deque()
        self._server = http1.Server(port, self._handle)
        self.registration = Registration(
            store, self.engine_id, self._describe, 0.25 * (number + 1) - 0.1
        )
        group.ranks.append(self)

    async def start(self):
        """Listen and register."""
        await self._server.start()
        self.is_running = True
        self.registration.write()
        asyncio.ensure_future(self.registration.run())

    def crash(self):
        """End without a word."""
        self.is_running = False
        self.registration.is_silent = True
        self._server.end()
        self._group.break_up(self)

    async def restart(self):
        """Start again after a crash, as another incarnation."""
        self._born = int(time.time() * 1_000)
        self.counts = [0] * (SETS * EXPERTS)
        self.fence = 0
        await self._server.start()
        self.is_running = True
        self.registration.is_silent = False
        self.registration.write()
        await self._group.reopen()

    def form(self):
        """Begin an epoch, with map 0."""
        self.map_version = 0
        self.map = _first_map(self._group.size)
        self.armed = None
        self.held = None
        self._prepared = None
        self._newest_version = 0
        self._remember()
        self.registration.write()

    def begin_pass(self, step):
        """Change the map if the rank is armed for the pass."""
        if self.armed is not None and self._armed_step == step:
            self.map_version = self.armed
            self.map = self._armed_map
            self.armed = None
        self._remember()

    def _describe(self):
        """Return the fields of the registration."""
        return {
            'service': self.service,
            'address': f'127.0.0.1:{self._port}',
            'zone': self.zone,
            'version': 'v1',
            'slots': 12,
            'state': 'ready',
            'cold_left_ms': 0,
            'born': self._born,
            'stage': 'prefill_decode',
            'models': [{'name': 'm', 'version': 1, 'adapters': []}],
            'group': self._membership(),
            'size': self._group.size,
        }

    def _membership(self):
        """Return the group as the rank reports it."""
        return {
            'name': self._group.name,
            'epoch': self._group.epoch,
            'rank': self.number,
            'state': 'open' if self._group.is_open else 'broken',
        }

    async def _handle(self, exchange):
        """Answer a call or run a stream."""
        request = exchange.request
        expected = request.headers.get('x-nutmegtrail-expect-instance')
        if expected not in {None, self.engine_id}:
            await exchange.respond(421, (http1.KEEP_ALIVE,))
        elif request.path == '/api/report':
            await exchange.respond_json(200, self._report())
        elif request.path == '/api/picked':
            await exchange.respond_json(200, self._picked(request))
        elif request.path == '/api/order':
            await self._take_order(exchange)
        else:
            await self._stream(exchange)

    async def _stream(self, exchange):
        """Send an event with each pass."""
        request = exchange.request
        request_id = request.headers['x-nutmegtrail-request-id']
        first = int(request.headers.get('last-event-id', 0)) + 1
        deadline = time.monotonic() + deadline_seconds(request)
        self.running += 1
        try:
            for number in range(first, EVENTS + 1):
                remaining = deadline - time.monotonic()
                try:
                    await asyncio.wait_for(
                        self._group.wait_for_pass(), max(remaining, 0)
                    )
                except asyncio.TimeoutError:
                    break
                if not self._group.is_open:
                    break
                if not exchange.has_started:
                    self._record.note(f'run {request_id} at {self.engine_id}')
                    fields = answer_headers(request, self.engine_id)
                    await exchange.start(
                        200, (*fields, ('Content-Type', 'text/event-stream'))
                    )
                await exchange.write(b'id: %d\ndata: x\n\n' % number)
            else:
                await exchange.finish()
                return
        finally:
            self.running -= 1
        if exchange.has_started:
            exchange.cut()
            return
        fields = [('X-Nutmegtrail-Not-Executed', '1'), http1.KEEP_ALIVE]
        if not self._group.is_open:
            fields.append(('At-Server', self._group.faulty_id))
        await exchange.respond(503, fields)

    async def _take_order(self, exchange):
        """Carry out an order, some without an answer."""
        document = json.loads(exchange.request.body)
        delay = None
        if self.late_orders is not None:
            delay = self.late_orders(self, document)
        if delay is not None:
            asyncio.ensure_future(self._carry_out_late(document, delay))
            await asyncio.sleep(30)
            return
        status = self._carry_out(document)
        answer = {'seq_no': self._newest_version}
        await exchange.respond_json(status, answer)
        if self.doubles_answer is not None and self.doubles_answer(
            self, document
        ):
            exchange.repeat_before_next(status, answer)

    async def _carry_out_late(self, document, delay):
        """Carry out an order that was not answered."""
        await asyncio.sleep(delay)
        self._carry_out(document, note=' late')

    def _carry_out(self, document, note=''):
        """Carry out an order; return the status."""
        fence = document.get('fence_token', 0)
        if fence < self.fence:
            status = 412
        else:
            self.fence = fence
            status = 409
            if document.get('epoch') == self._group.epoch:
                operation = document['operation']
                status = getattr(self, f'_{operation}')(document)
        if document['operation'] != 'prepare' or self.number == 0:
            self._record.note(
                f'{self.engine_id}: {document["operation"]}{note}'
                f' version={document.get("version")}'
                f' step={document.get("step")} fence={fence}'
                f' at step {self._group.step}: {status}'
            )
        self._remember()
        return status

    def _prepare(self, document):
        """Copy the experts that are new to the rank."""
        layers = tuple(
            tuple(tuple(experts) for experts in layer)
            for layer in document['map']
        )
        version = document['version']
        if (version, layers) == (self._prepared, self._prepared_map):
            return 200
        if version <= self._newest_version or self.armed is not None:
            return 409
        copies = [
            len(set(new[self.number]) - set(old[self.number]))
            for new, old in zip(layers, self.map)
        ]
        if max(copies) > SPARE:
            return 409
        self._newest_version = version
        self._prepared = version
        self._prepared_map = layers
        seconds = sum(copies) * EXPERT_MB * 8 / LINK_MBPS
        self._prepared_at = time.monotonic() + seconds
        return 202

    def _is_prepared(self):
        """Return whether a copy is complete."""
        return (
            self._prepared is not None and time.monotonic() >= self._prepared_at
        )

    def _arm(self, document):
        """Let the rank switch to the prepared map as a pass begins."""
        version, step = document['version'], document['step']
        if (version, step) == (self.armed, self._armed_step):
            return 200
        if version != self._prepared or not self._is_prepared():
            return 409
        if step <= self._group.step:
            return 409
        self.armed = version
        self._armed_step = step
        self._armed_map = self._prepared_map
        return 200

    def _disarm(self, document):
        """Drop an armed version."""
        if document['version'] == self.map_version:
            return 409
        if document['version'] == self.armed:
            self.armed = None
        return 200

    def _hold(self, document):
        """Hold a pass that has not begun."""
        step = document['step']
        if self.held == step:
            return 200
        if self.held is not None or step <= self._group.step:
            return 409
        self.held = step
        if self._group.on_hold is not None:
            self._group.on_hold()
        return 200

    def _go(self, document):
        """Let the held pass begin."""
        if document['step'] == self.held:
            self.held = None
        return 200

    def _state(self):
        """Return the present state."""
        prepared = self._prepared if self._is_prepared() else None
        return {
            'stage': 'prefill_decode',
            'models': [{'name': 'm', 'version': 1, 'adapters': []}],
            'busy': False,
            'seq_no': self._newest_version,
            'queued': 0,
            'in_flight': self.running,
            'kv_used': 0,
            'kv_total': 247_000,
            'handles': 0,
            'born': self._born,
            'group': self._membership(),
            'size': self._group.size,
            'step': self._group.step,
            'map': self.map_version,
            'prepared': prepared,
            'armed': self.armed,
            'held': self.held,
            'pace': 1,
        }

    def _remember(self):
        """Keep the present state for later reports."""
        self._reports.append((time.monotonic(), self._state()))

    def _report(self):
        """Return the state as of some time ago."""
        self._remember()
        oldest = time.monotonic() - _REPORT_LAG_SECONDS
        while len(self._reports) > 1 and self._reports[1][0] <= oldest:
            self._reports.popleft()
        return self._reports[0][1]

    def _picked(self, request):
        """Return the counters, or the map."""
        if 'lists' in request.target:
            experts = [layer[self.number] for layer in self.map]
            return {
                'step': self._group.step,
                'epoch': self._group.epoch,
                'map': {'version': self.map_version, 'experts': experts},
                'prepared': None,
            }
        return {
            'step': self._group.step,
            'epoch': self._group.epoch,
            'counts': self.counts,
        }


def _first_map(size):
    """Return map 0, which assigns the experts in turn."""
    layer = tuple(tuple(range(number, EXPERTS, size)) for number in range(size))
    return (layer,) * SETS


def engine_document():
    """Return what the configuration says of the engines of a service."""
    return {
        'slots': 6,
        'kv_cap_tokens': 247_000,
        'stride': 6,
        'step_ms': 4.84,
        'per_seq_ms': 0.724,
        'context_per_k': 0.022,
        'read_per_s': 74_800.0,
        'chunk': 512,
        'usual': {'prompt': 840, 'answer': 156},
        'report_lag_ms': _REPORT_LAG_SECONDS * 1_000,
        'sets': SETS,
        'experts': EXPERTS,
        'places': PLACES,
        'spare': SPARE,
        'expert_mb': EXPERT_MB,
        'expert_share': 0.85,
        'link_mbps': LINK_MBPS,
    }
