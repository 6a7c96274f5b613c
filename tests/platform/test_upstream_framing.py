"""Upstreams whose responses are framed in unusual or hostile ways."""

import functools
import http.client
import io
import socket
import struct

import anyio
import anyio.abc
import testtools

from nutmegtrail.adapters.http1 import messages
from tests.platform import entries
from tests.platform import stand_in

_LIMITS = messages.SizeLimits(65_536, 65_536)
_REPORT = b'{"born":%d}'
_WAIT_SECONDS = 10
# Lets the gateway read what was sent before a reset discards it.
_BEFORE_END_SECONDS = 0.05
_LINGER = struct.pack('ii', 1, 0)
_PLAIN = b'booked'
_STREAM = b''.join(b'id: %d\ndata: x\n\n' % number for number in range(1, 6))
_EVENT_BYTES = len(_STREAM) // 5
_PLAIN_PATH = b'/long/read/c'
_UNSAFE_PATH = b'/long/b'
_STREAM_PATH = b'/long/prefix/a'


class _Site:
    """Answers that the engines of a deployment give in turn.

    `requests` has the requests that engines read, `connections` the number of
    requests and probes on each connection.
    """

    def __init__(self, answers):
        """Initialize a site without requests."""
        self.answers = list(answers)
        self.requests = []
        self.connections = []

    async def answer(self, stream, request):
        """Give the next answer; return whether the connection stays open."""
        self.requests.append(request)
        request_id = messages.find_header(
            request.headers, b'x-nutmegtrail-request-id'
        )
        return await self.answers.pop(0)(stream, request_id)


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
        head = (
            b'%b\r\nX-Nutmegtrail-Request-Id: %b\r\n'
            b'X-Nutmegtrail-Response-Seal: s\r\n'
            b'Keep-Alive: timeout=9\r\n%b\r\n'
        )
        await stream.send(head % (status, request_id, headers) + body)
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


def _framed(body, ending='keep'):
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
            b'X-Nutmegtrail-Deadline-Ms: 4000\r\nConnection: close\r\n'
            b'Content-Length: 4\r\n\r\nbody' % (path, number)
        )
        try:
            while True:
                received += await stream.receive()
        except (anyio.EndOfStream, anyio.BrokenResourceError):
            return _Reply(received)


class _FramingTest(testtools.TestCase):
    """One gateway in front of two engines."""

    def _ask(self, path, *answers):
        """Send a request; return the site and the reply."""
        site, replies = self._ask_all(path, answers, 1)
        return site, replies[0]

    def _ask_all(self, path, answers, count):
        """Send requests one by one; return the site and the replies."""
        service = 'drafts' if path == _STREAM_PATH else 'desk'
        site = _Site(answers)
        replies = []

        async def _scenario(deployment):
            for number in range(count):
                with anyio.fail_after(_WAIT_SECONDS):
                    replies.append(await _ask(deployment, path, number))

        entries.run(
            _scenario, 2, 1, functools.partial(_RawEngine, site, service)
        )
        return site, replies


class PlainTest(_FramingTest):
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
        """A response that was reset or truncated is repeated or gets 502."""
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
            site, reply = self._ask(_PLAIN_PATH, answer, _framed(b'second'))
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


class StreamTest(_FramingTest):
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


class ReuseTest(_FramingTest):
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
        answers = [_framed(_PLAIN) for _ in range(4)]
        site, _ = self._ask_all(_PLAIN_PATH, answers, 4)
        self.assertTrue(max(site.connections) > 1)
