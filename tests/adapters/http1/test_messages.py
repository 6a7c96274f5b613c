"""Tests of the parsing of HTTP/1.1 messages."""

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
    """Feed bytes to a response reader and return it."""
    reader = reader or messages.ResponseReader()
    reader.feed(received)
    return reader


class RequestReaderTest(testtools.TestCase):
    """Parsing of requests."""

    @hypothesis.settings(derandomize=True, deadline=None)
    @hypothesis.given(strategies.integers(1, 2 * len(_POST) - 1))
    def test_requests_at_any_split(self, split_point):
        """Two pipelined requests are parsed at any split of their bytes."""
        reader = messages.RequestReader(_LIMITS)
        sent = _POST * 2
        reader.feed(sent[:split_point])
        reader.feed(sent[split_point:])
        first, second = reader.ready
        self.assertEqual(first, second)
        self.assertEqual(b'/a/b?c=1', first.target)
        self.assertEqual(b'hello', first.body)
        self.assertFalse(reader.has_partial_request)

    def test_refused(self):
        """Oversized and invalid requests are refused with their status."""
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
        """A request with two conflicting lengths is refused."""
        sent = (
            b'POST / HTTP/1.1\r\nContent-Length: 5\r\n'
            b'Transfer-Encoding: chunked\r\n\r\n0\r\n\r\n'
        )
        reader = messages.RequestReader(_LIMITS)
        self.assertRaises(errors.RequestRefused, reader.feed, sent)


class ResponseReaderTest(testtools.TestCase):
    """Parsing of responses."""

    def test_chunked(self):
        """A chunked body is complete at its last chunk."""
        reader = _read(_CHUNKED[:-2])
        self.assertFalse(reader.complete)
        _read(_CHUNKED[-2:], reader)
        self.assertTrue(reader.complete)
        self.assertEqual(b'hello', reader.take_body())
        self.assertTrue(reader.keeps_alive())

    def test_truncated_body(self):
        """A body that ends early is incomplete."""
        self.assertFalse(_read(_CHUNKED[:-2]).finish())
        self.assertFalse(_read(_CLOSED[:20]).finish())

    def test_ends_with_connection(self):
        """A body without a length ends when the connection closes."""
        reader = _read(_CLOSED)
        self.assertFalse(reader.complete)
        self.assertTrue(reader.finish())
        self.assertFalse(reader.keeps_alive())

    def test_identity_coding_ends_with_connection(self):
        """A body with the identity coding ends when the connection closes.

        It used to count as truncated, because the coding was taken for a
        length.
        """
        for coding in (b'identity', b'Identity'):
            reader = _read(
                b'HTTP/1.1 200 OK\r\nTransfer-Encoding: %b\r\n\r\nhello'
                % coding
            )
            self.assertFalse(reader.complete)
            self.assertTrue(reader.finish())
            self.assertEqual(b'hello', reader.take_body())
            self.assertFalse(reader.keeps_alive())

    def test_transfer_coding_other_than_chunked(self):
        """A body in a coding that was not asked for is refused.

        It used to be forwarded still encoded, without the header that tells.
        """
        for codings in (
            b'gzip',
            b'gzip, chunked',
            b'chunked, gzip',
            b'chunked, identity',
            b'chunked\r\nTransfer-Encoding: identity',
            b'chunked\r\nTransfer-Encoding: chunked',
            b'',
        ):
            head = b'HTTP/1.1 200 OK\r\nTransfer-Encoding: %b\r\n\r\n' % codings
            reader = messages.ResponseReader()
            self.assertRaises(
                errors.ExchangeBroken,
                reader.feed,
                head + b'5\r\nhello\r\n0\r\n\r\n',
            )
            self.assertFalse(reader.finish(), codings)

    def test_surplus_bytes(self):
        """Bytes after a response prevent reuse but do not affect it."""
        for extra_bytes in (_CHUNKED, b'\x00\x01garbage', b'HTTP/1.1 500'):
            for reader in (
                _read(_CHUNKED + extra_bytes),
                _read(extra_bytes, _read(_CHUNKED)),
            ):
                self.assertTrue(reader.complete)
                self.assertEqual(200, reader.head.status)
                self.assertEqual(b'hello', reader.take_body())
                self.assertFalse(reader.keeps_alive(), extra_bytes)

    def test_interim(self):
        """An interim response is ignored."""
        reader = _read(b'HTTP/1.1 100 Continue\r\n\r\n' + _CHUNKED)
        self.assertEqual(200, reader.head.status)
        self.assertTrue(reader.complete)

    def test_status_without_class(self):
        """A response whose status has no class is refused.

        Its body used to be prepended to that of the next response.
        """
        for status in (b'000', b'099'):
            faulty = b'HTTP/1.1 %b A\r\nContent-Length: 3\r\n\r\nabc' % status
            reader = messages.ResponseReader()
            self.assertRaises(
                errors.ExchangeBroken, reader.feed, faulty + _CHUNKED
            )
            self.assertFalse(reader.complete)
            self.assertEqual(b'', reader.take_body())

    def test_invalid_response(self):
        """Bytes that are not HTTP raise ExchangeBroken."""
        reader = messages.ResponseReader()
        self.assertRaises(errors.ExchangeBroken, reader.feed, b'\x00\x01\r\n')


class HeadersTest(testtools.TestCase):
    """Hop-by-hop headers are not forwarded."""

    def test_end_to_end(self):
        """Standard hop-by-hop headers and those in Connection are removed."""
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
