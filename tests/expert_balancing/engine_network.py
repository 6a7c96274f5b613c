"""Engines of one rank group behind connections in memory, which may fail.

An order may get lost, be carried out late or twice, and its response may get
lost, be late or be sent again where that to a later request is expected.
"""

import collections
import itertools
import json
import random
import typing

import anyio
import anyio.abc

from nutmegtrail import models
from nutmegtrail.adapters.http1 import client
from nutmegtrail.adapters.http1 import messages
from nutmegtrail.adapters.http1 import sockets
from nutmegtrail.expert_map import switch
from tests.expert_map import rank
from tests.gateway import samples

LAYERS = 2
EXPERTS = 12
EXPERT_SLOTS = 6
STEP_SECONDS = 0.03
REPORT_LAG_SECONDS = 0.2
LONGEST_DELAY_SECONDS = 12.0
_ANSWER_SECONDS = 0.002
_HOT_SECONDS = 0.9
_HOT_WEIGHT = 30
_REPORTS_KEPT = 64
_ID_HEADER = b'x-nutmegtrail-request-id'
_LIMITS = messages.SizeLimits(65_536, 1_048_576)
_REASON = b'HTTP/1.1 %d x\r\ncontent-type: application/json\r\n'


class Faults(typing.NamedTuple):
    """Probability of each fault of an exchange."""

    lost: float = 0
    late: float = 0
    answer_lost: float = 0
    answer_late: float = 0
    doubled: float = 0
    swapped: float = 0
    closed: float = 0


class _Pipe:
    """Bytes under way in one direction of a connection."""

    def __init__(self):
        """Initialize an empty pipe."""
        self.received = bytearray()
        self.is_closed = False
        self._changed = anyio.Event()

    def write(self, raw):
        """Add bytes."""
        self.received += raw
        self._notify()

    def close(self):
        """End the pipe."""
        self.is_closed = True
        self._notify()

    async def read(self):
        """Return the next bytes, b'' at the end."""
        while not self.received and not self.is_closed:
            await self._changed.wait()
        raw = bytes(self.received)
        self.received.clear()
        return raw

    def _notify(self):
        """Wake the reader."""
        self._changed.set()
        self._changed = anyio.Event()


class _Stream:
    """One end of a connection; it stands for its socket, too."""

    def __init__(self, incoming, outgoing):
        """Initialize an open end."""
        self._incoming = incoming
        self._outgoing = outgoing

    async def send(self, raw):
        """Send bytes."""
        if self._outgoing.is_closed:
            raise anyio.BrokenResourceError
        self._outgoing.write(raw)

    async def receive(self, _=0):
        """Return the next bytes."""
        raw = await self._incoming.read()
        if not raw:
            raise anyio.EndOfStream
        return raw

    async def aclose(self):
        """Close both directions."""
        self.close()

    def close(self):
        """Close both directions."""
        self._incoming.close()
        self._outgoing.close()

    def extra(self, _):
        """Return what stands for the socket."""
        return self

    @property
    def is_readable(self):
        """Return whether bytes or the end have arrived."""
        return bool(self._incoming.received) or self._incoming.is_closed


class Engine(rank.Rank):
    """Rank that is reached over connections."""

    def __init__(self, group, number, names_requests):
        """Initialize the rank with the experts assigned round-robin."""
        super().__init__()
        self.upstream = samples.member(
            f'm{number}',
            number,
            'g0',
            size=group.size,
        )._replace(address=models.Address('10.0.0.1', number))
        self.experts_by_version = {
            0: (tuple(range(number, EXPERTS, group.size)),) * LAYERS
        }
        self.names_requests = names_requests
        self._group = group
        self._reports = collections.deque(maxlen=_REPORTS_KEPT)

    def remember(self):
        """Keep the present state for later reports."""
        now = anyio.current_time()
        self._reports.append((now, self.report(self._group.step)))

    def answer(self, request):
        """Carry out a request; return the encoded response."""
        status, document = 200, {}
        path, _, query = request.target.decode().partition('?')
        if path == '/api/order':
            status = self.carry_out(request)
        elif path == '/api/report':
            document = self._reported()
        elif query:
            experts = self.experts_by_version[self.map_version]
            document = {'map': {'experts': experts}}
        else:
            document = {'counts': self._group.expert_counts()}
        return self._encode(request, status, document)

    def carry_out(self, request):
        """Carry out an order; return its status."""
        document = json.loads(request.body)
        operation = switch.Operation(document['operation'])
        order = switch.Order(
            operation, 1, document.get('version'), document.get('step')
        )
        status = self.take(order, document['fence_token'], self._group.step)
        if operation is switch.Operation.PREPARE and status == 202:
            number = self.upstream.membership.rank
            self.experts_by_version[order.version] = tuple(
                tuple(layer[number]) for layer in document['map']
            )
        self._group.record(self, order, status)
        self.remember()
        return status

    def _reported(self):
        """Return the report of some time ago."""
        self.remember()
        until = anyio.current_time() - REPORT_LAG_SECONDS
        report = self._reports[0][1]
        for time, later in self._reports:
            if time > until:
                break
            report = later
        return {
            'group': {'epoch': 1},
            'queued': 0,
            'step': report.step,
            'map': report.map_version,
            'prepared': report.prepared_version,
            'armed': report.armed_version,
            'held': report.held_step,
        }

    def _encode(self, request, status, document):
        """Return a response that keeps the connection."""
        body = json.dumps(document).encode()
        headers = [
            (b'keep-alive', b'timeout=5'),
            (b'content-length', b'%d' % len(body)),
        ]
        if self.names_requests:
            request_id = messages.find_header(request.headers, _ID_HEADER)
            headers.append((_ID_HEADER, request_id))
        lines = [b'%b: %b\r\n' % header for header in headers]
        return _REASON % status + b''.join(lines) + b'\r\n' + body


class Group:
    """Rank group that begins a step at a time, and its connections.

    The next exchanges have the `scripted_faults`, those after them drawn ones.
    """

    def __init__(self, size, seed, names_requests):
        """Initialize the group before its first step."""
        self.size = size
        self.step = 0
        self.faults = Faults()
        self.scripted_faults = []
        self.mismatches = []
        self.counts = collections.Counter()
        self.fault_counts = collections.Counter()
        self.history = collections.deque(maxlen=200)
        self.generator = random.Random(seed)
        self.connections = 0
        self.engines = [
            Engine(self, number, names_requests) for number in range(size)
        ]
        self._tasks = None

    def replace_sockets(self, test):
        """Let the client of the engines connect in memory."""
        test.patch(anyio, 'connect_tcp', self.connect)
        test.patch(client, '_enable_keepalive', lambda _: None)
        test.patch(sockets, 'is_readable', lambda raw: raw.is_readable)

    async def run(self):
        """Begin steps until cancelled."""
        async with anyio.create_task_group() as tasks:
            self._tasks = tasks
            while True:
                await anyio.sleep(STEP_SECONDS)
                self._begin_step()

    async def connect(self, _, port):
        """Return a connection to the rank with this number."""
        self.connections += 1
        pipes = _Pipe(), _Pipe()
        served = _Stream(*pipes)
        self._tasks.start_soon(self._serve, self.engines[port], served)
        return _Stream(*reversed(pipes))

    def record(self, engine, order, status):
        """Keep what an engine did with an order."""
        self.counts[order.operation] += 1
        self.history.append(
            (
                round(anyio.current_time(), 4),
                engine.upstream.upstream_id,
                order.operation.value,
                order.version,
                order.step,
                engine.fence,
                f'at {self.step}: {status}',
            )
        )

    def expert_counts(self):
        """Return counters under which the popular expert changes."""
        now = anyio.current_time()
        counts = [now * 10 for _ in range(EXPERTS)]
        periods, elapsed = divmod(now, _HOT_SECONDS)
        for period in range(int(periods) + 1):
            seconds = _HOT_SECONDS if period < periods else elapsed
            counts[(period * 5) % EXPERTS] += _HOT_WEIGHT * 10 * seconds
        layer = [int(count) for count in counts]
        return list(itertools.chain(*itertools.repeat(layer, LAYERS)))

    def _begin_step(self):
        """Begin the next step unless it is held."""
        step = self.step + 1
        if any(engine.held == step for engine in self.engines):
            return
        self.step = step
        for engine in self.engines:
            if engine.armed is not None and engine.armed_step == step:
                engine.map_version = engine.armed
                engine.armed = None
                engine.prepared = None
                self.counts['switched'] += 1
            engine.remember()
        versions = {engine.map_version for engine in self.engines}
        if len(versions) > 1:
            self.mismatches.append((step, versions))

    async def _serve(self, engine, stream):
        """Answer the requests on a connection, with faults."""
        reader = messages.RequestReader(_LIMITS)
        sent = []
        try:
            while True:
                reader.feed(await stream.receive())
                while reader.ready:
                    await self._exchange(
                        engine, stream, reader.ready.popleft(), sent
                    )
        except (anyio.EndOfStream, anyio.BrokenResourceError):
            stream.close()

    async def _exchange(self, engine, stream, request, sent):
        """Answer a request; `sent` has what was sent on the connection."""
        fault = self._draw(request)
        await anyio.sleep(self.generator.uniform(0, 2) * _ANSWER_SECONDS)
        if fault in {'doubled', 'swapped'}:
            # The answer to an earlier request comes in place of this one's.
            if sent:
                await stream.send(sent[-1 if fault == 'doubled' else 0])
            fault = self._draw(request)
        if fault == 'lost':
            await anyio.sleep_forever()
        if fault == 'late':
            self._tasks.start_soon(self._carry_out_late, engine, request)
            await anyio.sleep_forever()
        if fault == 'closed' and self.generator.random() < 0.5:
            raise anyio.EndOfStream
        answer = engine.answer(request)
        if fault == 'closed':
            raise anyio.EndOfStream
        if fault == 'answer_lost':
            await anyio.sleep_forever()
        if fault == 'answer_late':
            await anyio.sleep(self.generator.uniform(0.02, 0.3))
        await stream.send(answer)
        sent.append(answer)

    def _draw(self, request):
        """Return the fault of an exchange, None if there is none."""
        if self.scripted_faults:
            return self.scripted_faults.pop(0)
        draw = self.generator.random()
        for name, probability in self.faults._asdict().items():
            draw -= probability
            if draw < 0:
                is_late = name == 'late'
                if is_late and request.target != b'/api/order':
                    return None
                self.fault_counts[name] += 1
                return name
        return None

    async def _carry_out_late(self, engine, request):
        """Carry out an order seconds after it was sent."""
        await anyio.sleep(self.generator.uniform(2, LONGEST_DELAY_SECONDS))
        engine.carry_out(request)
