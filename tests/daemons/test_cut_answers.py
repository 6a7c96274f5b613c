"""Answers that engines cut, on the path with sidecars.

A caller's HTTP connection, the delivery of an entry, the executors of two
sidecars and the connections to their engines are real; the messages between
entry and sidecars are passed on directly.
"""

import functools
import http.client
import io
import random
import socket
import struct

import anyio
import anyio.abc
import testtools

from nutmegtrail.adapters.http import server
from nutmegtrail.adapters.upstream_http import client
from nutmegtrail.daemons import planned_stop
from nutmegtrail.daemons import request_flow
from nutmegtrail.daemons import sidecar_calls
from nutmegtrail.observability import metrics
from tests import loopback
from tests.daemons import direct_sidecars

_WAIT_SECONDS = 60
_GRACE_SECONDS = 30
_BEFORE_RESET_SECONDS = 0.01
_RESET_STRIDE = 9
_LINGER = struct.pack('ii', 1, 0)
_HEAD = b'HTTP/1.1 200 OK\r\nX-A: 1\r\n'
_PLAIN_TYPE = b'Content-Type: text/plain\r\n'
_STREAM_TYPE = b'Content-Type: text/event-stream\r\n'
_CHUNKED = b'Transfer-Encoding: chunked\r\n'
_PLAIN = b'booked-and-paid'
_EVENTS = tuple(b'data: %d\n\n' % number for number in range(3))
_STREAM = b''.join(_EVENTS)
_REPEATED = 200
_UNKNOWN = 502
# Deflated text of which any start can be inflated.
_GZIP = bytes.fromhex('1f8b08000000000002034bca2fc82f4e4d01')


def _with_length(body, content_type=_PLAIN_TYPE, before=b''):
    """Return a whole answer with a content length."""
    length = b'Content-Length: %d\r\n\r\n' % len(body)
    return before + _HEAD + content_type + length + body


def _in_chunks(parts, content_type=_PLAIN_TYPE, trailer=b''):
    """Return a whole answer in chunks."""
    chunks = b''.join(b'%x\r\n%b\r\n' % (len(part), part) for part in parts)
    head = _HEAD + content_type + _CHUNKED + b'\r\n'
    return head + chunks + b'0\r\n' + trailer + b'\r\n'


class _Engine:
    """Gives answers in turn and closes or resets each connection."""

    def __init__(self):
        """Initialize an engine without answers."""
        self.address = loopback.free_address()
        self.answers = []
        self.requests = []
        self.is_reset = False

    async def serve(self, stream):
        """Answer one request."""
        async with stream:
            received = await stream.receive()
            while b'\r\n\r\n' not in received:
                received += await stream.receive()
            self.requests.append(received)
            answer = self.answers.pop(0)
            if answer:
                await stream.send(answer)
            if self.is_reset:
                await anyio.sleep(_BEFORE_RESET_SECONDS)
                raw = stream.extra(anyio.abc.SocketAttribute.raw_socket)
                raw.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, _LINGER)


class _Received:
    """Socket from which received bytes are read."""

    def __init__(self, received):
        """Initialize the socket."""
        self._received = received

    def makefile(self, _):
        """Return the received bytes as a file."""
        return io.BytesIO(self._received)


class _Reply:
    """What a caller received; `body` is None unless it looks complete."""

    def __init__(self, received):
        """Parse the received bytes."""
        response = http.client.HTTPResponse(_Received(received))
        self.raw = received
        self.status = None
        self.body = None
        try:
            response.begin()
            self.status = response.status
            self.body = response.read()
        except http.client.HTTPException:
            return


class _Path:
    """Two engines with sidecars, and an entry with its server."""

    def __init__(self, tasks):
        """Initialize the path; nothing listens."""
        self.engines = {'e-1': _Engine(), 'e-2': _Engine()}
        self.is_idempotent = True
        self._number = 0
        self._tasks = tasks
        executors = {
            name: sidecar_calls.CallExecutor(
                name,
                4,
                client.HttpUpstream(engine.address),
                metrics.Metrics(),
                tasks,
            )
            for name, engine in self.engines.items()
        }
        self.pool = direct_sidecars.Pool(executors)
        self._dependencies = request_flow.FlowDependencies(
            self.pool,
            direct_sidecars.Selector(tuple(self.engines)),
            direct_sidecars.Budgets(),
            metrics.Metrics(),
            random.Random(1),
            planned_stop.PlannedStop(_GRACE_SECONDS),
        )
        self._address = loopback.free_address()
        self._server = server.Server(self._address, self._serve)

    async def start(self):
        """Listen."""
        for engine in self.engines.values():
            listener = await anyio.create_tcp_listener(
                local_host=engine.address.ip, local_port=engine.address.port
            )
            self._tasks.start_soon(listener.serve, engine.serve)
        self._tasks.start_soon(self._server.serve)
        while True:
            try:
                stream = await self._connect()
            except OSError:
                await anyio.sleep(0.01)
            else:
                await stream.aclose()
                return

    def close(self):
        """Stop the entry's server."""
        self._server.close()

    async def ask(self, *answers, is_reset=False):
        """Let the engines give these answers; return the caller's reply."""
        for engine, answer in zip(self.engines.values(), answers):
            engine.requests.clear()
            engine.answers = [answer]
            engine.is_reset = False
        self.engines['e-1'].is_reset = is_reset
        received = b''
        async with await self._connect() as stream:
            await stream.send(
                b'POST /a HTTP/1.1\r\nHost: a\r\nConnection: close\r\n'
                b'Content-Length: 0\r\n\r\n'
            )
            try:
                while True:
                    received += await stream.receive()
            except (anyio.EndOfStream, anyio.BrokenResourceError):
                return _Reply(received)

    def run_count(self):
        """Return how many requests the engines read."""
        return sum(len(engine.requests) for engine in self.engines.values())

    async def _connect(self):
        """Return a connection to the entry."""
        return await anyio.connect_tcp(self._address.ip, self._address.port)

    async def _serve(self, exchange):
        """Deliver a request of a caller."""
        self._number += 1
        request = direct_sidecars.create_request(
            self._number, is_idempotent=self.is_idempotent
        )
        await request_flow.RequestFlow(
            request, exchange, self._dependencies
        ).run()


class CutAnswersTest(testtools.TestCase):
    """Callers get a whole answer or one that does not look complete."""

    def _run(self, scenario):
        """Run a scenario on a started path."""

        async def _main():
            with anyio.fail_after(_WAIT_SECONDS):
                async with anyio.create_task_group() as tasks:
                    path = _Path(tasks)
                    await path.start()
                    try:
                        await scenario(path)
                    finally:
                        path.close()
                    tasks.cancel_scope.cancel()

        anyio.run(_main)

    def _check_cuts(self, whole, expected, is_idempotent, is_reset):
        """Check an answer that is cut at each of its bytes."""

        async def _scenario(path):
            path.is_idempotent = is_idempotent
            stride = _RESET_STRIDE if is_reset else 1
            for end in range(0, len(whole), stride):
                reply = await path.ask(
                    whole[:end],
                    _with_length(b'second', b'Content-Type: a/b\r\n'),
                    is_reset=is_reset,
                )
                details = (whole[:end], reply.raw)
                self.assertEqual(expected, reply.status, details)
                if is_idempotent:
                    self.assertEqual(b'second', reply.body, details)
                else:
                    self.assertIn(b'outcome-unknown', reply.body, details)
                    self.assertEqual(1, path.run_count(), details)

        self._run(_scenario)

    def test_cut_plain_answers(self):
        """A cut answer taken as whole would lose its body."""
        for whole in (
            _with_length(_PLAIN),
            _in_chunks((_PLAIN[:3], _PLAIN[3:]), trailer=b'X-B: 2\r\n'),
            _with_length(_PLAIN, before=b'HTTP/1.1 103 Early\r\n\r\n'),
        ):
            for is_reset in (False, True):
                self._check_cuts(whole, _REPEATED, True, is_reset)
                self._check_cuts(whole, _UNKNOWN, False, is_reset)

    def test_head_without_length(self):
        """A head cut before its end is not one whose body ends at the close."""
        whole = _HEAD + _PLAIN_TYPE + b'\r\n'
        self._check_cuts(whole, _REPEATED, True, is_reset=False)
        self._check_cuts(whole, _UNKNOWN, False, is_reset=False)

    def test_ambiguous_heads(self):
        """Framing that can be read in two ways gives no answer."""
        for line in (
            b'Content-Length: 6\r\nContent-Length: 15\r\n',
            b'Content-Length: 1\r\n 5\r\n',
            b'Content-Length:\r\n',
            b'Content-Length : 15\r\n',
            b'Transfer-Encoding: gzip\r\n',
        ):
            whole = b''.join((_HEAD, line, b'\r\n', _PLAIN))
            self._run(functools.partial(self._check_refused, whole))

    # Guards against an answer whose status says that the engine is in trouble,
    # and which reached the caller as an answer.
    def test_invalid_statuses(self):
        """A status that is no final one of HTTP gives no answer."""
        answers = []
        for status in (
            *(b'000', b'001', b'042', b'099', b'101', b'199'),
            *(b'0', b'00', b'0200', b'2000', b'-200', b'+200'),
            *(b'2e2', b' 200', b'', b'20', b'200OK', b'2O0'),
        ):
            line = b'HTTP/1.1 %b Odd\r\n' % status
            for rest in (
                _with_length(_PLAIN),
                _in_chunks((_PLAIN,)),
                _with_length(_STREAM, _STREAM_TYPE),
                _HEAD + _PLAIN_TYPE + b'\r\n' + _PLAIN,
            ):
                whole = line + rest.partition(b'\r\n')[2]
                answers.append(whole)
        self._run(functools.partial(self._check_no_answers, answers))

    def test_status_over_the_range(self):
        """A status from 600 on is passed on; callers take it for a failure."""
        for status in (600, 999):
            line = b'HTTP/1.1 %d Odd\r\n' % status
            whole = line + _with_length(_PLAIN).partition(b'\r\n')[2]
            self._run(functools.partial(self._check_passed_on, whole, status))

    async def _check_no_answers(self, answers, path):
        """Check that each answer is taken for none."""
        for answer in answers:
            path.is_idempotent = True
            await self._check_refused(answer, path)
            await self._check_unknown(answer, path)

    async def _check_passed_on(self, answer, status, path):
        """Check that an answer of an engine reaches the caller."""
        path.is_idempotent = False
        reply = await path.ask(answer, _with_length(b'second'))
        self.assertEqual((status, _PLAIN), (reply.status, reply.body))
        self.assertEqual(1, path.run_count())

    async def _check_unknown(self, answer, path):
        """Check that a call that must run once has run once."""
        path.is_idempotent = False
        reply = await path.ask(answer, _with_length(b'second'))
        self.assertEqual(_UNKNOWN, reply.status, (answer, reply.raw))
        self.assertEqual(1, path.run_count(), answer)

    async def _check_refused(self, answer, path):
        """Check that an answer is taken for none."""
        reply = await path.ask(answer, _with_length(b'second'))
        self.assertEqual(
            (200, b'second'), (reply.status, reply.body), (answer, reply.raw)
        )

    def test_cut_streams(self):
        """A cut stream goes on elsewhere, without an event lost or doubled."""
        for whole in (
            _with_length(_STREAM, _STREAM_TYPE),
            _in_chunks(_EVENTS, _STREAM_TYPE),
        ):
            self._run(functools.partial(self._check_stream, whole))

    async def _check_stream(self, whole, path):
        """Check a stream that is cut at each of its bytes."""
        for removed in range(1, len(whole) + 1):
            cut = whole[:-removed]
            sent = sum(event in cut for event in _EVENTS)
            rest = b''.join(_EVENTS[sent:]) or b': end\n\n'
            reply = await path.ask(cut, _with_length(rest, _STREAM_TYPE))
            expected = b''.join(_EVENTS[:sent]) + rest
            self.assertEqual((200, expected), (reply.status, reply.body), cut)
            resumed = path.engines['e-2'].requests[0]
            self.assertIn(b'x-resume-offset: %d\r\n' % sent, resumed)

    def test_numbers_with_gaps(self):
        """Sidecars count events, so numbers with gaps lose none."""

        async def _scenario(path):
            events = [b'id: %d\ndata: x\n\n' % number for number in (3, 7, 8)]
            for end in (0, 1, 2, 3):
                cut = _in_chunks(events[:end], _STREAM_TYPE)[:-5]
                rest = b''.join(events[end:]) or b': end\n\n'
                reply = await path.ask(cut, _with_length(rest, _STREAM_TYPE))
                expected = b''.join(events[:end]) + rest
                self.assertEqual((200, expected), (reply.status, reply.body))

        self._run(_scenario)

    def test_stream_that_nobody_completes(self):
        """Its end used to be framed like that of a whole stream."""

        async def _scenario(path):
            cut = _in_chunks(_EVENTS, _STREAM_TYPE)[:-8]
            head = _in_chunks((), _STREAM_TYPE)[:-5]
            reply = await path.ask(cut, head)
            self.assertEqual((200, None), (reply.status, reply.body))
            self.assertIn(b'event: error\n', reply.raw)

        self._run(_scenario)

    def test_stream_without_events(self):
        """A stream that ends before its first event used to be whole."""

        async def _scenario(path):
            for answer in (
                _HEAD + _STREAM_TYPE + b'\r\n',
                _with_length(b'', _STREAM_TYPE),
                _in_chunks((), _STREAM_TYPE),
            ):
                reply = await path.ask(
                    answer, _with_length(_STREAM, _STREAM_TYPE)
                )
                self.assertEqual((200, _STREAM), (reply.status, reply.body))

        self._run(_scenario)

    def test_lines_with_carriage_returns(self):
        """Streams with such lines used to be taken for cut ones."""

        async def _scenario(path):
            events = _STREAM.replace(b'\n', b'\r\n')
            reply = await path.ask(_with_length(events, _STREAM_TYPE), b'')
            self.assertEqual((200, events), (reply.status, reply.body))

        self._run(_scenario)

    def test_encoded_body(self):
        """The end of an encoded body without a length cannot be told."""

        async def _scenario(path):
            head = _HEAD + b'Content-Encoding: gzip\r\n\r\n'
            for end in range(len(_GZIP) + 1):
                reply = await path.ask(
                    head + _GZIP[:end], _with_length(b'second')
                )
                self.assertEqual((200, b'second'), (reply.status, reply.body))
            request = path.engines['e-1'].requests[0]
            self.assertIn(b'accept-encoding: identity\r\n', request)

        self._run(_scenario)

    def test_head_of_another_attempt(self):
        """A failure's body used to be sent under a cut answer's status."""

        async def _scenario(path):
            failure = _with_length(b'failed').replace(b'200 OK', b'500 Error')
            for end in (len(_PLAIN) + 1, 1):
                reply = await path.ask(_with_length(_PLAIN)[:-end], failure)
                self.assertEqual((500, b'failed'), (reply.status, reply.body))
            cut = _with_length(_STREAM, _STREAM_TYPE)[:-1]
            reply = await path.ask(cut, failure)
            self.assertEqual(200, reply.status)
            self.assertIsNone(reply.body)
            self.assertNotIn(b'failed', reply.raw)

        self._run(_scenario)

    def test_sidecar_that_ends_before_the_end(self):
        """A body that was sent already used to be followed by another."""

        async def _scenario(path):
            path.pool.ended.add('e-1')
            reply = await path.ask(_with_length(_PLAIN), _with_length(b'2nd'))
            self.assertEqual((200, _PLAIN), (reply.status, reply.body))

        self._run(_scenario)
