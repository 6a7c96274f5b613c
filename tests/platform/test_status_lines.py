"""Answers of engines and of the store whose status is no final one of HTTP.

Guards against an answer of an engine in trouble that reaches the caller as one.
"""

import contextlib

import anyio
import testtools

from nutmegtrail.adapters.http1 import json_client
from tests.platform import json_calls
from tests.platform import test_upstream_framing as framing

_INVALID = (
    *(b'000', b'001', b'042', b'099', b'101', b'199'),
    *(b'0', b'00', b'0200', b'2000', b'-200', b'+200'),
    *(b'2e2', b' 200', b'', b'20', b'200OK', b'2O0'),
)
# HTTP calls them invalid, and lets clients take them for server errors.
_OVER_THE_RANGE = (600, 999)
_PLAIN = b'booked'
_STREAM = b'id: 1\ndata: x\n\nid: 2\ndata: y\n\n'
_CONTENT = b'{"current_rev": 123}'


def _odd(status, body=_PLAIN, ending='fin'):
    """Return a whole answer with a status."""
    return framing._answer(
        body,
        ending,
        b'Content-Length: %d\r\n' % len(body),
        b'HTTP/1.1 %b Odd' % status,
    )


def _in_parts(status):
    """Return an answer whose bytes arrive one by one."""

    async def _send(stream, request_id):
        head = framing._HEAD % request_id
        answer = b'HTTP/1.1 %b Odd\r\n%bContent-Length: 2\r\n\r\nok' % (
            status,
            head,
        )
        # The gateway closes the connection once it has read the status.
        with contextlib.suppress(anyio.BrokenResourceError):
            for byte in answer:
                await stream.send(bytes((byte,)))
                await anyio.sleep(0)
        return False

    return _send


class StatusLineTest(framing.RepeatingTest):
    """Callers of a whole gateway."""

    def _check_repeated(self, path, body, odd):
        """Check that requests are repeated after odd answers."""
        answers = []
        for status in _INVALID:
            answers.extend((odd(status), framing.framed(body)))
        site, replies = self.ask_each(path, answers, range(len(_INVALID)))
        for status, reply in zip(_INVALID, replies, strict=True):
            self.assertEqual((200, body), (reply.status, reply.body), status)
        self.assertEqual(len(answers), len(site.requests))

    def test_plain(self):
        """A request that may be repeated gets the answer of another engine."""
        self._check_repeated(framing._PLAIN_PATH, _PLAIN, _odd)

    def test_parts(self):
        """So does one whose first answer arrives byte by byte."""
        self._check_repeated(framing._PLAIN_PATH, _PLAIN, _in_parts)

    def test_stream(self):
        """So does a stream that may be resumed."""
        self._check_repeated(framing._STREAM_PATH, _STREAM, _odd)

    def test_unsafe(self):
        """A request that must not run twice gets 502 and has run once."""
        site, replies = self.ask_each(
            framing._UNSAFE_PATH,
            [_odd(status) for status in _INVALID],
            range(len(_INVALID)),
        )
        for status, reply in zip(_INVALID, replies, strict=True):
            self.assertEqual((502, b''), (reply.status, reply.body), status)
        self.assertEqual(len(_INVALID), len(site.requests))

    def test_kept_connection(self):
        """An odd answer behind a sound one gives none either."""
        answers = []
        for status in _INVALID:
            answers.extend(
                (
                    framing.framed(b'first'),
                    _odd(status, ending='keep'),
                    framing.framed(b'third'),
                )
            )
        site, replies = self.ask_each(
            framing._PLAIN_PATH, answers, range(2 * len(_INVALID))
        )
        bodies = [(reply.status, reply.body) for reply in replies]
        expected = [(200, b'first'), (200, b'third')]
        self.assertEqual(expected * len(_INVALID), bodies)
        self.assertTrue(max(site.connections) > 1)

    def test_over_the_range(self):
        """A status from 600 on is passed on as it is, with its seal."""
        site, replies = self.ask_each(
            framing._UNSAFE_PATH,
            [_odd(b'%d' % status) for status in _OVER_THE_RANGE],
            range(len(_OVER_THE_RANGE)),
        )
        for status, reply in zip(_OVER_THE_RANGE, replies, strict=True):
            self.assertEqual((status, _PLAIN), (reply.status, reply.body))
            self.assertEqual('s', reply.headers['x-nutmegtrail-response-seal'])
        self.assertEqual(len(_OVER_THE_RANGE), len(site.requests))


class StatusOfCallTest(testtools.TestCase):
    """Calls of the store, of probes and orders, and between entries."""

    def test_invalid_statuses(self):
        """A call has no response, also on a connection that is kept."""
        responses = iter(self._call_all())
        for status in _INVALID:
            first, second = next(responses), next(responses)
            self.assertEqual((200, _CONTENT), (first.status, first.body))
            self.assertIsInstance(second, json_client.NoResponse, status)
            self.assertFalse(second.is_refused)

    def _call_all(self):
        """Return the responses to two calls on a connection for each status."""

        async def _serve(stream, responses):
            status = _INVALID[len(responses) // 2]
            for line in (b'200 OK', b'%b Odd' % status):
                await stream.receive()
                await stream.send(
                    b'HTTP/1.1 %b\r\nKeep-Alive: timeout=9\r\n'
                    b'Content-Length: %d\r\n\r\n%b'
                    % (line, len(_CONTENT), _CONTENT)
                )

        return json_calls.send_all(_serve, 2 * len(_INVALID))
