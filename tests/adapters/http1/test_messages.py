"""Messages are read whole however they arrive, and nothing else is."""

import hypothesis
import hypothesis.strategies as strategies
import testtools

from nutmegtrail.adapters.http1 import errors
from nutmegtrail.adapters.http1 import messages

_LIMITS = messages.SizeLimits(200, 50)
_POST = b'POST /a/b?c=1 HTTP/1.1\r\nHost: h\r\nContent-Length: 5\r\n\r\nhello'
_CHUNKED = (
    b'HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n'
    b'5\r\nhello\r\n0\r\n\r\n'
)
_CLOSED = b'HTTP/1.1 200 OK\r\nX-A: 1\r\n\r\nhello'


def _read(received, reader=None):
    """Return a response reader after some bytes."""
    reader = reader or messages.ResponseReader()
    reader.feed(received)
    return reader


class RequestReaderTest(testtools.TestCase):
    """Requests of callers."""

    @hypothesis.settings(derandomize=True, deadline=None)
    @hypothesis.given(strategies.integers(1, 2 * len(_POST) - 1))
    def test_any_cut(self, cut):
        """Two pipelined requests come out whole however they are cut."""
        reader = messages.RequestReader(_LIMITS)
        sent = _POST * 2
        reader.feed(sent[:cut])
        reader.feed(sent[cut:])
        first, second = reader.ready
        self.assertEqual(first, second)
        self.assertEqual(b'/a/b?c=1', first.target)
        self.assertEqual(b'hello', first.body)
        self.assertFalse(reader.is_inside)

    def test_refused(self):
        """What is too large or no HTTP gets its own status."""
        cases = {
            431: b'GET / HTTP/1.1\r\nA: ' + b'x' * 300 + b'\r\n\r\n',
            413: b'POST / HTTP/1.1\r\nContent-Length: 60\r\n\r\n' + b'x' * 60,
            400: b'hello\r\n\r\n',
        }
        for status, sent in cases.items():
            reader = messages.RequestReader(_LIMITS)
            error = self.assertRaises(
                errors.RequestRefused,
                reader.feed,
                sent,
            )
            self.assertEqual(status, error.status)

    def test_smuggled_length(self):
        """A request with two lengths is refused."""
        sent = (
            b'POST / HTTP/1.1\r\nContent-Length: 5\r\n'
            b'Transfer-Encoding: chunked\r\n\r\n0\r\n\r\n'
        )
        reader = messages.RequestReader(_LIMITS)
        self.assertRaises(errors.RequestRefused, reader.feed, sent)


class ResponseReaderTest(testtools.TestCase):
    """Answers of upstreams."""

    def test_chunked(self):
        """A chunked body is complete at its last chunk."""
        reader = _read(_CHUNKED[:-2])
        self.assertFalse(reader.complete)
        _read(_CHUNKED[-2:], reader)
        self.assertTrue(reader.complete)
        self.assertEqual(b'hello', reader.take_body())
        self.assertTrue(reader.keeps_alive())

    def test_cut(self):
        """A body that ends early is not whole."""
        self.assertFalse(_read(_CHUNKED[:-2]).finish())
        self.assertFalse(_read(_CLOSED[:20]).finish())

    def test_ends_with_connection(self):
        """Without a length the end of the connection ends the body."""
        reader = _read(_CLOSED)
        self.assertFalse(reader.complete)
        self.assertTrue(reader.finish())
        self.assertFalse(reader.keeps_alive())

    def test_bytes_of_nobody(self):
        """Garbage and second answers spoil the connection, not the answer."""
        for surplus in (_CHUNKED, b'\x00\x01garbage', b'HTTP/1.1 500'):
            for reader in (
                _read(_CHUNKED + surplus),
                _read(surplus, _read(_CHUNKED)),
            ):
                self.assertTrue(reader.complete)
                self.assertEqual(200, reader.head.status)
                self.assertEqual(b'hello', reader.take_body())
                self.assertFalse(reader.keeps_alive(), surplus)

    def test_interim(self):
        """An interim response is not the answer."""
        reader = _read(b'HTTP/1.1 100 Continue\r\n\r\n' + _CHUNKED)
        self.assertEqual(200, reader.head.status)
        self.assertTrue(reader.complete)

    def test_garbage(self):
        """Bytes that are no answer break the exchange."""
        reader = messages.ResponseReader()
        self.assertRaises(errors.ExchangeBroken, reader.feed, b'\x00\x01\r\n')


class HeadersTest(testtools.TestCase):
    """Headers of one connection are not forwarded."""

    def test_end_to_end(self):
        """Listed and known hop-by-hop headers are left out."""
        headers = (
            (b'connection', b'close, X-Once'),
            (b'x-once', b'1'),
            (b'keep-alive', b'timeout=5'),
            (b'content-length', b'5'),
            (b'x-kept', b'1'),
        )
        self.assertEqual(
            ((b'x-kept', b'1'),), messages.end_to_end_headers(headers)
        )
