"""Upstreams whose responses are framed in unusual or hostile ways."""

import copy
import functools
import http.client
import io
import socket
import struct
import time
import tracemalloc

import anyio
import anyio.abc
import testtools

from nutmegtrail.adapters.http1 import json_client
from nutmegtrail.adapters.http1 import messages
from nutmegtrail.gateway import const as gateway_const
from tests import loopback
from tests.platform import entries
from tests.platform import samples
from tests.platform import stand_in

_LIMITS = messages.SizeLimits(65_536, 65_536)
_REPORT = b'{"born":%d}'
_WAIT_SECONDS = 10
# Lets the gateway read what was sent before a reset discards it.
_BEFORE_END_SECONDS = 0.05
_CALLER_WAIT_MS = 4_000
# Every request is repeated once.
_RETRIES = {'window_seconds': 10, 'share': 1, 'base': 2_000}
_LINGER = struct.pack('ii', 1, 0)
_HEAD = (
    b'X-Nutmegtrail-Request-Id: %b\r\nX-Nutmegtrail-Response-Seal: s\r\n'
    b'Keep-Alive: timeout=9\r\n'
)
_PART_BYTES = 65_536
_ENDLESS_HEADS = (
    (b'', b'\x00'),
    (b'', b'\r\n'),
    (b'', b'HTTP/1.1 100 Continue\r\n\r\n'),
    (b'HTTP/1.1 200 ', b'a'),
    (b'HTTP/1.1 200 OK\r\nHEADX: ', b'a'),
    (b'HTTP/1.1 200 OK\r\nHEAD', b'X-A: 1\r\n'),
)
_CHUNKED = b'HTTP/1.1 200 OK\r\nHEADTransfer-Encoding: chunked\r\n\r\n'
_CLOSED = b'HTTP/1.1 200 OK\r\nHEAD\r\n'
_ENDLESS_FRAMING = (
    (_CHUNKED, b'0'),
    (_CHUNKED + b'5;', b'a'),
    (_CHUNKED + b'0\r\n', b'X-A: 1\r\n'),
)
_ENDLESS_BODIES = (
    (_CLOSED, b'a'),
    (_CHUNKED, b'1000\r\n%b\r\n' % (b'a' * 4_096)),
    (_CHUNKED + b'ffffffffff\r\n', b'a'),
)
# Includes what the buffers of both sockets take.
_ENDLESS_SENT_BYTES = 33_554_432
_ENDLESS_MEMORY_BYTES = 50_331_648
_ENDLESS_SECONDS = 6
_PROBE_SECONDS = 0.3
_PLAIN = b'booked'
_STREAM = b''.join(b'id: %d\ndata: x\n\n' % number for number in range(1, 6))
_EVENT_BYTES = len(_STREAM) // 5
_PLAIN_PATH = b'/long/read/c'
_UNSAFE_PATH = b'/long/b'
_STREAM_PATH = b'/long/prefix/a'


class _Site:
    """Answers that the engines of a deployment give in turn.

    `requests` has the requests that engines read, `connections` the number of
    requests and probes on each connection. `running` counts the answers that
    have not ended.
    """

    def __init__(self, answers):
        """Initialize a site without requests."""
        self.answers = list(answers)
        self.requests = []
        self.connections = []
        self.running = 0

    async def answer(self, stream, request):
        """Give the next answer; return whether the connection stays open."""
        self.requests.append(request)
        request_id = messages.find_header(
            request.headers, b'x-nutmegtrail-request-id'
        )
        self.running += 1
        is_open = await self.answers.pop(0)(stream, request_id)
        self.running -= 1
        return is_open


class _RawEngine(stand_in.Engine):
    """Engine that writes its answers byte by byte."""

    def __init__(self, site, service, number, store, tasks):
        """Initialize an engine that is not running."""
        super().__init__(f'{service}-{number}', service)
        self._site = site
        self._store = store
        self._tasks = tasks

    async def start(self):
        """Listen and register."""
        listener = await anyio.create_tcp_listener(
            local_host=self.address.ip, local_port=self.address.port
        )
        self._tasks.start_soon(listener.serve, self._serve)
        self._store.put(f'servers/{self.name}', self.registration())

    async def _serve(self, stream):
        """Answer the requests of a connection."""
        reader = messages.RequestReader(_LIMITS)
        number = len(self._site.connections)
        self._site.connections.append(0)
        async with stream:
            is_open = True
            while is_open:
                try:
                    reader.feed(await stream.receive())
                except (anyio.EndOfStream, anyio.BrokenResourceError):
                    return
                while reader.ready:
                    self._site.connections[number] += 1
                    request = reader.ready.popleft()
                    is_open = await self._answer(stream, request)

    async def _answer(self, stream, request):
        """Answer a request; return whether the connection stays open."""
        if request.target == b'/api/report':
            await stream.send(_report(self.started_at_ms))
            return True
        return await self._site.answer(stream, request)


def _report(started_at_ms):
    """Return the answer to a probe."""
    body = _REPORT % started_at_ms
    return b'HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%b' % (
        len(body),
        body,
    )


def _answer(body, ending='fin', headers=b'', status=b'HTTP/1.1 200 OK'):
    """Return an answer without a length that ends in a given way."""

    async def _send(stream, request_id):
        start = b'%b\r\n%b%b\r\n' % (status, _HEAD % request_id, headers)
        await stream.send(start + body)
        if ending == 'keep':
            return True
        await anyio.sleep(_BEFORE_END_SECONDS)
        if ending == 'half':
            # Reads on, so that a reused connection would be seen.
            await stream.send_eof()
            return True
        if ending == 'rst':
            raw = stream.extra(anyio.abc.SocketAttribute.raw_socket)
            raw.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, _LINGER)
        return False

    return _send


def _endless(start, unit, sent, pause_seconds=0):
    """Return an answer that goes on until the connection is closed.

    Appends the number of its bytes to `sent`.
    """

    async def _send(stream, request_id):
        await stream.send(start.replace(b'HEAD', _HEAD % request_id))
        part = unit if pause_seconds else unit * (_PART_BYTES // len(unit))
        count = 0
        try:
            while True:
                await stream.send(part)
                count += len(part)
                await anyio.sleep(pause_seconds)
        except (anyio.BrokenResourceError, anyio.ClosedResourceError):
            sent.append(count)
        return False

    return _send


def framed(body, ending='keep'):
    """Return an answer with a content length."""
    length = b'Content-Length: %d\r\n' % len(body)
    return _answer(body, ending, length)


class _Reply:
    """What a caller received on a connection until it ended.

    `body` is None if the response is incomplete or not framed.
    """

    def __init__(self, received):
        """Parse the received bytes, with a parser that is not our own."""
        response = http.client.HTTPResponse(_Received(received))
        self._received = received
        self.status = None
        self.headers = {}
        self.body = None
        try:
            response.begin()
        except http.client.HTTPException:
            return
        self.status = response.status
        self.headers = dict(response.getheaders())
        is_framed = response.chunked or response.length is not None
        try:
            body = response.read()
        except http.client.HTTPException:
            return
        if is_framed:
            self.body = body

    def partial_body(self):
        """Return what arrived of a chunked body, without the framing."""
        _, _, rest = self._received.partition(b'\r\n\r\n')
        body = b''
        while rest:
            size, _, rest = rest.partition(b'\r\n')
            length = int(size, 16)
            body += rest[:length]
            rest = rest[length + 2 :]
        return body


class _Received:
    """Socket from which received bytes are read."""

    def __init__(self, received):
        """Initialize the socket."""
        self._received = received

    def makefile(self, _):
        """Return the received bytes as a file."""
        return io.BytesIO(self._received)


async def _ask(deployment, path, number=0):
    """Send a request; return what arrived until the connection ended."""
    address = deployment.entries[0].addresses[0]
    received = b''
    stream = await anyio.connect_tcp(address.ip, address.port)
    async with stream:
        await stream.send(
            b'POST %b HTTP/1.1\r\nHost: ficu95.example\r\n'
            b'X-Nutmegtrail-Request-Id: r%d\r\nApi-Key: key-1\r\n'
            b'X-Nutmegtrail-Deadline-Ms: %d\r\nConnection: close\r\n'
            b'Content-Length: 4\r\n\r\nbody' % (path, number, _CALLER_WAIT_MS)
        )
        try:
            while True:
                received += await stream.receive()
        except (anyio.EndOfStream, anyio.BrokenResourceError):
            return _Reply(received)


class FramingTest(testtools.TestCase):
    """One gateway in front of two engines."""

    def _ask(self, path, *answers):
        """Send a request; return the site and the reply."""
        site, replies = self._ask_all(path, answers, 1)
        return site, replies[0]

    def _ask_all(self, path, answers, count):
        """Send requests one by one; return the site and the replies."""
        return self.ask_each(path, answers, range(count))

    def ask_each(self, path, answers, numbers, engines=2):
        """Send requests with these numbers; return the site and the replies."""
        service = 'drafts' if path == _STREAM_PATH else 'desk'
        site = _Site(answers)
        replies = []

        async def _scenario(deployment):
            for number in numbers:
                with anyio.fail_after(_WAIT_SECONDS):
                    replies.append(await _ask(deployment, path, number))
                    # The gateway closes connections that it gives up.
                    while site.running:
                        await anyio.sleep(0.01)

        entries.run(
            _scenario,
            engines,
            1,
            functools.partial(_RawEngine, site, service),
        )
        return site, replies


class RepeatingTest(FramingTest):
    """Many requests of one gateway, each of which may be repeated."""

    def setUp(self):
        """Let the budget and the routes allow for all repetitions."""
        super().setUp()
        patient = copy.deepcopy(samples.CONFIG)
        for route in patient['routes']:
            route['timeout_ms'] = max(route['timeout_ms'], _CALLER_WAIT_MS)
        self.patch(samples, 'CONFIG', patient)
        self.patch(entries, '_RETRIES', _RETRIES)
        # Else most of the time is waited for ejected engines.
        for name in ('EJECTION_SECONDS', 'MAX_EJECTION_SECONDS'):
            self.patch(gateway_const, name, 0.0)


class PlainTest(FramingTest):
    """Plain responses that end with their connection."""

    def test_closed_in_order(self):
        """A response without a length is complete when it is closed."""
        cases = (
            _answer(_PLAIN),
            _answer(_PLAIN, headers=b'Connection: close\r\n'),
            _answer(_PLAIN, status=b'HTTP/1.0 200 OK'),
            _answer(_PLAIN, headers=b'Transfer-Encoding: identity\r\n'),
            _answer(_PLAIN, 'half'),
        )
        for path in (_PLAIN_PATH, _UNSAFE_PATH):
            site, replies = self._ask_all(path, cases, len(cases))
            for reply in replies:
                self.assertEqual((200, _PLAIN), (reply.status, reply.body))
                self.assertEqual('6', reply.headers['content-length'])
            self.assertEqual(len(cases), len(site.requests))

    def test_not_closed_in_order(self):
        """A response that was reset or truncated is repeated or gets 502.

        The status is checked, not the time that a busy machine takes: the
        route leaves as much as the caller.
        """
        patient = copy.deepcopy(samples.CONFIG)
        for route in patient['routes']:
            route['timeout_ms'] = max(route['timeout_ms'], _CALLER_WAIT_MS)
        self.patch(samples, 'CONFIG', patient)
        chunked = b'Transfer-Encoding: chunked\r\n'
        length = b'Content-Length: 7\r\n'
        cases = (
            _answer(_PLAIN, 'rst'),
            _answer(b'', 'rst'),
            _answer(_PLAIN, 'rst', status=b'HTTP/1.0 200 OK'),
            _answer(_PLAIN, headers=length),
            _answer(b'6\r\nbooked\r\n', headers=chunked),
            _answer(b'6\r\nbooked\r\n0\r\n', headers=chunked),
        )
        for answer in cases:
            site, reply = self._ask(_PLAIN_PATH, answer, framed(b'second'))
            self.assertEqual((200, b'second'), (reply.status, reply.body))
            self.assertEqual(2, len(site.requests))
            site, reply = self._ask(_UNSAFE_PATH, answer)
            self.assertEqual((502, b''), (reply.status, reply.body))
            self.assertNotIn('X-Nutmegtrail-Response-Seal', reply.headers)
            self.assertEqual(1, len(site.requests))

    def test_without_body(self):
        """Responses to 204 and 304 need no length and no close."""
        for status in (204, 304):
            start = b'HTTP/1.1 %d A' % status
            cases = [
                _answer(b'', ending, status=start) for ending in ('keep', 'fin')
            ]
            _, replies = self._ask_all(_UNSAFE_PATH, cases, 2)
            for reply in replies:
                self.assertEqual((status, b''), (reply.status, reply.body))


class StreamTest(FramingTest):
    """Streams that end with their connection."""

    def test_closed_between_events(self):
        """A stream without a length is complete when it is closed."""
        for body in (_STREAM, _STREAM[: 2 * _EVENT_BYTES]):
            cases = (
                _answer(body),
                _answer(body, headers=b'Connection: close\r\n'),
                _answer(body, status=b'HTTP/1.0 200 OK'),
                _answer(body, 'half'),
            )
            site, replies = self._ask_all(_STREAM_PATH, cases, len(cases))
            for reply in replies:
                self.assertEqual((200, body), (reply.status, reply.body))
                self.assertEqual('chunked', reply.headers['transfer-encoding'])
            self.assertEqual(len(cases), len(site.requests))

    def test_closed_inside_event(self):
        """A stream that ends inside an event is resumed."""
        for rest in (b'i', b'id:2', b'id: 2\ndata: x', b'id: 2\ndata: x\n'):
            self._check_resumed(_answer(_STREAM[:_EVENT_BYTES] + rest), 1)
            self._check_resumed(_answer(rest), 0)

    def test_reset(self):
        """A stream that is reset is resumed, also between events."""
        for events in (0, 1, 5):
            body = _STREAM[: events * _EVENT_BYTES]
            self._check_resumed(_answer(body, 'rst'), events)
            self._check_resumed(_answer(body + b'id', 'rst'), events)

    def test_closed_before_first_event(self):
        """A stream that is closed without events is repeated."""
        self._check_resumed(_answer(b''), 0)

    def test_broken_on_all_engines(self):
        """A stream that no engine completes never looks complete."""
        first = _STREAM[:_EVENT_BYTES]
        second = _STREAM[_EVENT_BYTES : 2 * _EVENT_BYTES]
        for ending, rest in (('rst', b''), ('rst', b'i'), ('fin', b'i')):
            _, reply = self._ask(
                _STREAM_PATH,
                _answer(first + rest, ending),
                _answer(second + rest, ending),
            )
            self.assertEqual((200, None), (reply.status, reply.body))
            _, reply = self._ask(
                _STREAM_PATH, _answer(rest, ending), _answer(rest, ending)
            )
            self.assertEqual((502, b''), (reply.status, reply.body))

    def _check_resumed(self, answer, events):
        """Check that a stream goes on at another engine after some events."""
        site, reply = self._ask(
            _STREAM_PATH, answer, _answer(_STREAM[events * _EVENT_BYTES :])
        )
        self.assertEqual((200, _STREAM), (reply.status, reply.body))
        self.assertEqual(2, len(site.requests))
        resumed_after = messages.find_header(
            site.requests[1].headers, b'last-event-id'
        )
        self.assertEqual(b'%d' % events if events else b'', resumed_after)


class EndlessTest(FramingTest):
    """Upstreams that send without end until their connection is closed."""

    def _check_repeated(self, path, start, unit, expected):
        """Check that a request is given up and repeated elsewhere."""
        sent = []
        started_at = time.monotonic()
        tracemalloc.start()
        try:
            _, reply = self._ask(
                path, _endless(start, unit, sent), _answer(expected)
            )
            peak = tracemalloc.get_traced_memory()[1]
        finally:
            tracemalloc.stop()
        seconds = time.monotonic() - started_at
        details = (start, unit, sent, peak, seconds)
        self.assertEqual((200, expected), (reply.status, reply.body), details)
        self.assertEqual(1, len(sent), details)
        self.assertTrue(sent[0] < _ENDLESS_SENT_BYTES, details)
        self.assertTrue(peak < _ENDLESS_MEMORY_BYTES, details)
        self.assertTrue(seconds < _ENDLESS_SECONDS, details)

    def test_plain(self):
        """Reading stops at a limit, and the request is repeated."""
        cases = _ENDLESS_HEADS + _ENDLESS_FRAMING + _ENDLESS_BODIES
        for start, unit in cases:
            self._check_repeated(_PLAIN_PATH, start, unit, _PLAIN)

    def test_stream(self):
        """Reading stops at a limit, and the stream is repeated."""
        cases = _ENDLESS_HEADS + _ENDLESS_FRAMING + _ENDLESS_BODIES
        for start, unit in cases:
            self._check_repeated(_STREAM_PATH, start, unit, _STREAM)

    def test_unsafe(self):
        """A request that may not run twice gets 502."""
        for start, unit in (
            _ENDLESS_HEADS[-1],
            _ENDLESS_FRAMING[-1],
            _ENDLESS_BODIES[0],
        ):
            sent = []
            site, reply = self._ask(_UNSAFE_PATH, _endless(start, unit, sent))
            self.assertEqual((502, b''), (reply.status, reply.body))
            self.assertEqual(1, len(site.requests))
            self.assertTrue(sent[0] < _ENDLESS_SENT_BYTES, sent)

    def test_small_chunks(self):
        """An endless body that is slow to parse is given up in time."""
        sent = []
        started_at = time.monotonic()
        answer = _endless(_CHUNKED, b'5\r\nhello\r\n', sent)
        _, reply = self._ask(_UNSAFE_PATH, answer)
        self.assertIn(reply.status, (502, 504))
        self.assertEqual(b'', reply.body)
        self.assertTrue(time.monotonic() - started_at < _ENDLESS_SECONDS)
        self.assertTrue(sent[0] < _ENDLESS_SENT_BYTES, sent)

    def test_slow(self):
        """A head that comes byte by byte is given up at the deadline."""
        sent = []
        start, unit = _ENDLESS_HEADS[3]
        started_at = time.monotonic()
        answer = _endless(start, unit, sent, pause_seconds=0.02)
        _, reply = self._ask(_UNSAFE_PATH, answer)
        self.assertEqual((504, b''), (reply.status, reply.body))
        self.assertTrue(time.monotonic() - started_at < _ENDLESS_SECONDS)
        self.assertEqual(1, len(sent))


class EndlessProbeTest(testtools.TestCase):
    """Probes and calls of JSON APIs that get bytes without end."""

    def _call(self, start, unit):
        """Send a call; return the response, the bytes sent, the seconds."""

        async def _main():
            sent = []

            async def _serve(stream):
                async with stream:
                    await stream.receive()
                    await _endless(start, unit, sent)(stream, b'r1')

            address = loopback.free_address()
            listener = await anyio.create_tcp_listener(
                local_host=address.ip, local_port=address.port
            )
            json = json_client.JsonClient()
            started_at = anyio.current_time()
            with anyio.fail_after(_WAIT_SECONDS):
                async with anyio.create_task_group() as tasks:
                    tasks.start_soon(listener.serve, _serve)
                    response = await json.send(
                        address, b'GET', b'/', (), b'', _PROBE_SECONDS
                    )
                    seconds = anyio.current_time() - started_at
                    while not sent:
                        await anyio.sleep(0.01)
                    tasks.cancel_scope.cancel()
            return response, sent[0], seconds

        return anyio.run(_main)

    def test_endless(self):
        """A call ends without a response, within its time and a limit."""
        cases = _ENDLESS_HEADS + _ENDLESS_FRAMING + _ENDLESS_BODIES
        for start, unit in cases:
            response, sent, seconds = self._call(start, unit)
            self.assertIsInstance(response, json_client.NoResponse)
            self.assertTrue(sent < _ENDLESS_SENT_BYTES, (start, unit, sent))
            self.assertTrue(
                seconds < _PROBE_SECONDS + 1, (start, unit, seconds)
            )


class ReuseTest(FramingTest):
    """Connections of responses that end with them."""

    def test_never_reused(self):
        """Each such response has its own connection."""
        for path, body in ((_PLAIN_PATH, _PLAIN), (_STREAM_PATH, _STREAM)):
            for ending in ('half', 'fin'):
                answers = [_answer(body, ending) for _ in range(4)]
                site, _ = self._ask_all(path, answers, 4)
                self.assertEqual([1, 1, 1, 1], site.connections)

    def test_framed_response(self):
        """Connections of responses with a length are reused."""
        answers = [framed(_PLAIN) for _ in range(4)]
        site, _ = self._ask_all(_PLAIN_PATH, answers, 4)
        self.assertTrue(max(site.connections) > 1)

    # Guards against attempts that fail one after the other, each on the answer
    # to the one before it.
    def test_answer_to_another_request(self):
        """Nothing more is asked on a connection with a foreign answer."""

        async def _foreign(stream, _):
            return await framed(_PLAIN)(stream, b'other')

        answers = [_foreign, *(framed(_PLAIN) for _ in range(6))]
        site, _ = self.ask_each(_PLAIN_PATH, answers, range(3), engines=1)
        self.assertEqual(1, site.connections[0])
