"""Streams that break off, and what the next engine answers instead of the rest."""

from tests.platform import test_upstream_framing as framing

_PATH = b'/long/prefix/a'
_ERROR = b'Internal Server Error: worker 7 died'
_FIRST = b'id: 1\ndata: x\n\nid: 2\ndata: x\n\n'
_REST = b''.join(b'id: %d\ndata: x\n\n' % number for number in range(3, 6))


def _raw(text, ending='fin'):
    """Return an answer of these bytes, with the ID of the request."""

    async def _send(stream, request_id):
        await stream.send(text.replace(b'ID', request_id))
        return ending == 'keep'

    return _send


def _failure(status, headers=b'', body=_ERROR):
    """Return an error response with a body."""
    return _raw(
        b'HTTP/1.1 %b\r\nX-Nutmegtrail-Request-Id: ID\r\n%b'
        b'Content-Length: %d\r\n\r\n%b' % (status, headers, len(body), body)
    )


def _stream(*parts, ending=b''):
    """Return a sealed stream of chunks, cut off after them by default."""
    chunks = b''.join(b'%x\r\n%b\r\n' % (len(part), part) for part in parts)
    return _raw(
        b'HTTP/1.1 200 OK\r\nX-Nutmegtrail-Request-Id: ID\r\n'
        b'X-Nutmegtrail-Response-Seal: s\r\nTransfer-Encoding: chunked\r\n\r\n'
        + chunks
        + ending
    )


_END = b'0\r\n\r\n'
_SEAL = b'X-Nutmegtrail-Response-Seal: s\r\n'
_HEAD_IN_STREAM = b'HTTP/1.1 500 Internal Server Error\r\n\r\n' + _ERROR
# Answers of the next engine that hold nothing of the stream.
_ERRORS = (
    _failure(b'500 Internal Server Error', _SEAL),
    _failure(b'500 Internal Server Error'),
    _failure(b'502 Bad Gateway', _SEAL, b'id: 3\ndata: x\n\n' + _ERROR),
    _failure(b'503 Service Unavailable', b'X-Nutmegtrail-Not-Executed: 1\r\n'),
    _failure(b'404 Not Found', _SEAL),
    _failure(b'200 OK'),
    _failure(b'200 OK', _SEAL),
    _failure(b'200 OK', _SEAL, _ERROR + b'\n\n'),
    _failure(b'200 OK', _SEAL, b'{"error":"died"}\r\n\r\n'),
    _failure(b'200 OK', _SEAL, b'data: ' + _ERROR + b'\n\n'),
    _failure(b'206 Partial Content', _SEAL, _HEAD_IN_STREAM),
    _raw(_ERROR),
    _raw(b''),
    _stream(_HEAD_IN_STREAM),
    _stream(_HEAD_IN_STREAM, ending=_END),
    _stream(_HEAD_IN_STREAM + b'\n\n', ending=_END),
    _stream(b'id: 9\ndata: x\n\n', ending=_END),
    _stream(b'data: died\n\n', ending=_END),
)


class BrokenStreamTest(framing.FramingTest):
    """One entry and two engines; the first one breaks off after two events."""

    # Guards against the error of another engine in the middle of a stream
    # (ORDER, MIXED).
    def test_error_instead_of_the_rest(self):
        """The caller gets the events that were made, and no end."""
        for number, error in enumerate(_ERRORS):
            _, reply = self._ask(_PATH, _stream(_FIRST), error)
            self.assertEqual((200, None), (reply.status, reply.body), number)
            self.assertEqual(_FIRST, reply.partial_body(), number)

    def test_error_after_some_of_the_rest(self):
        """Events of the next engine count, its error does not."""
        third = _REST[: len(_REST) // 3]
        for number, error in enumerate((_ERROR, _HEAD_IN_STREAM)):
            _, reply = self._ask(
                _PATH, _stream(_FIRST), _stream(third, error, ending=_END)
            )
            self.assertIsNone(reply.body, number)
            self.assertEqual(_FIRST + third, reply.partial_body(), number)

    def test_rest(self):
        """A stream that the next engine completes is whole."""
        for rest in (_REST, _FIRST + _REST, _REST + b'data: [DONE]\n\n'):
            _, reply = self._ask(
                _PATH, _stream(_FIRST), _stream(rest, ending=_END)
            )
            expected = _FIRST + rest.removeprefix(_FIRST)
            self.assertEqual((200, expected), (reply.status, reply.body))

    def test_nothing_is_left(self):
        """A stream whose events have all arrived needs only its end."""
        _, reply = self._ask(
            _PATH, _stream(_FIRST + _REST), _stream(ending=_END)
        )
        self.assertEqual((200, _FIRST + _REST), (reply.status, reply.body))

    def test_comments(self):
        """Comments without a number belong to a stream."""
        _, reply = self._ask(
            _PATH,
            _stream(_FIRST),
            _stream(b': still there\n\n', _REST, ending=_END),
        )
        self.assertEqual(200, reply.status)
        self.assertTrue(reply.body.endswith(_REST), reply.body)


_NUMBERS = (3, 7, 8, 20)
_WITH_GAPS = tuple(b'id: %d\ndata: x\n\n' % number for number in _NUMBERS)


class GapsTest(framing.FramingTest):
    """Streams whose numbers only increase, which is all engines promise."""

    # Guards against sound streams that are broken off (ORDER).
    def test_whole_stream(self):
        """A stream is not broken off where its numbers have a gap."""
        _, reply = self._ask(_PATH, _stream(*_WITH_GAPS, ending=_END))
        whole = b''.join(_WITH_GAPS)
        self.assertEqual((200, whole), (reply.status, reply.body))

    def test_resumption(self):
        """It goes on after the last number, without an event lost or twice."""
        whole = b''.join(_WITH_GAPS)
        for end in (0, 1, 2, 3):
            for part in (b'', _WITH_GAPS[end][:4]):
                site, reply = self._ask(
                    _PATH,
                    _stream(*_WITH_GAPS[:end], *filter(None, (part,))),
                    _stream(*_WITH_GAPS[end:], ending=_END),
                )
                self.assertEqual((200, whole), (reply.status, reply.body), end)
                asked_after = dict(site.requests[1].headers).get(
                    b'last-event-id', b'0'
                )
                self.assertEqual((0, *_NUMBERS)[end], int(asked_after))
