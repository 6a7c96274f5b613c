"""Answers that engines cut at each of their bytes, through a whole gateway."""

import testtools

from nutmegtrail.adapters.http1 import json_client
from nutmegtrail.adapters.http1 import messages
from tests.platform import json_calls
from tests.platform import test_upstream_framing as framing

_PLAIN = b'booked'
_STREAM = b'id: 1\ndata: x\n\nid: 2\ndata: y\n\n'
_START = b'HTTP/1.1 200 OK\r\n'
_ID = b'X-Nutmegtrail-Request-Id: %b\r\nX-Nutmegtrail-Response-Seal: s\r\n'


def _with_length(body):
    """Return a whole answer with a content length."""
    return _START + _ID + b'Content-Length: %d\r\n\r\n' % len(body) + body


def _in_chunks(body):
    """Return a whole answer in two chunks, with a trailer."""
    return b''.join(
        (
            _START + _ID + b'Transfer-Encoding: chunked\r\n\r\n',
            messages.chunk(body[:1]),
            messages.chunk(body[1:]),
            b'0\r\nX-B: 2\r\n\r\n',
        )
    )


def _after_interim(body):
    """Return a whole answer after an interim one."""
    return b'HTTP/1.1 103 Early\r\nLink: a\r\n\r\n' + _with_length(body)


def _cut(whole, removed_bytes):
    """Return an answer without its last bytes, after which it closes."""

    async def _send(stream, request_id):
        answer = whole.replace(b'%b', request_id)
        await stream.send(answer[:-removed_bytes])
        return False

    return _send


class CutHeadsTest(framing.RepeatingTest):
    """A cut answer taken as whole would be framed as one to the caller."""

    def _cuts(self, whole):
        """Return an answer for each position at which it can be cut.

        It sends a byte at least; that of an engine which sends none is told
        apart by its connection.
        """
        return [_cut(whole, removed) for removed in range(1, len(whole))]

    def test_plain(self):
        """A request that may be repeated gets the whole second answer."""
        for frame in (_with_length, _in_chunks, _after_interim):
            answers = []
            cuts = self._cuts(frame(_PLAIN))
            for cut in cuts:
                answers.extend((cut, framing.framed(b'second')))
            site, replies = self.ask_each(
                framing._PLAIN_PATH, answers, range(len(cuts))
            )
            for reply in replies:
                self.assertEqual((200, b'second'), (reply.status, reply.body))
            self.assertEqual(len(answers), len(site.requests))

    def test_unsafe(self):
        """A request that must not run twice runs once and gets 502."""
        for frame in (_with_length, _in_chunks, _after_interim):
            cuts = self._cuts(frame(_PLAIN))
            site, replies = self.ask_each(
                framing._UNSAFE_PATH, cuts, range(len(cuts))
            )
            for reply in replies:
                self.assertEqual((502, b''), (reply.status, reply.body))
            self.assertEqual(len(cuts), len(site.requests))

    def test_stream(self):
        """A stream goes on at the other engine."""
        for frame in (_with_length, _in_chunks):
            answers = []
            cuts = self._cuts(frame(_STREAM))
            for cut in cuts:
                answers.extend((cut, framing.framed(_STREAM)))
            site, replies = self.ask_each(
                framing._STREAM_PATH, answers, range(len(cuts))
            )
            for reply in replies:
                self.assertEqual((200, _STREAM), (reply.status, reply.body))
            self.assertEqual(len(answers), len(site.requests))


class CutCallsTest(testtools.TestCase):
    """Calls of the store and of engines' control APIs."""

    def test_cut_answer(self):
        """An order or a read with a cut answer has none."""
        body = b'{"current_rev": 123}'
        for frame in (_with_length, _in_chunks, _after_interim):
            whole = frame(body).replace(b'%b', b'r1')
            for response in self._call(whole):
                self.assertIsInstance(response, json_client.NoResponse)
                self.assertFalse(response.is_refused)

    def _call(self, whole):
        """Return the responses to calls whose answers are cut."""
        cuts = [whole[:end] for end in range(len(whole))]

        async def _serve(stream, responses):
            await stream.receive()
            answer = cuts[len(responses)]
            if answer:
                await stream.send(answer)

        return json_calls.send_all(_serve, len(cuts))
