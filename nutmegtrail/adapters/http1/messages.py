"""Parsing and serialization of HTTP/1.1 messages."""

import collections
import http
import typing

import httptools

from nutmegtrail.adapters.http1 import const
from nutmegtrail.adapters.http1 import errors

Headers: typing.TypeAlias = tuple[tuple[bytes, bytes], ...]
LAST_CHUNK: typing.Final = b'0\r\n\r\n'
_CHUNKED: typing.Final = (b'chunked',)
# Upstreams may use no other coding, because requests have no TE header.
_SUPPORTED_TRANSFER_CODINGS: typing.Final = frozenset(
    ((), (b'identity',), _CHUNKED),
)


class Request(typing.NamedTuple):
    """Complete request of `size_bytes`; header names are in lower case."""

    method: bytes
    target: bytes
    headers: Headers
    body: bytes
    keep_alive: bool
    size_bytes: int = 0


class Head(typing.NamedTuple):
    """Status and headers of a response; header names are in lower case."""

    status: int
    headers: Headers

    def header(self, name: bytes) -> bytes:
        """Return the first header of a lower-case name, b'' if none."""
        return find_header(self.headers, name)


class SizeLimits(typing.NamedTuple):
    """Limits for the size of a request."""

    header_bytes: int
    body_bytes: int


def find_header(headers: Headers, name: bytes) -> bytes:
    """Return the first header of a lower-case name, b'' if none."""
    for key, text in headers:
        if key == name:
            return text
    return b''


def end_to_end_headers(headers: Headers) -> Headers:
    """Return the headers without hop-by-hop headers and content length."""
    connection_headers = {
        token.strip().lower()
        for key, text in headers
        if key == b'connection'
        for token in text.split(b',')
    }
    excluded = connection_headers | const.HOP_BY_HOP | {b'content-length'}
    return tuple(header for header in headers if header[0] not in excluded)


def request_head_bytes(
    method: bytes,
    target: bytes,
    headers: Headers,
    body: bytes,
) -> bytes:
    """Serialize a head, with the content length if there may be a body."""
    length: Headers = ()
    if body or method not in {b'GET', b'HEAD'}:
        length = ((b'content-length', b'%d' % len(body)),)
    start_line = b'%b %b HTTP/1.1' % (method, target)
    return _join(start_line, headers + length)


def response_head_bytes(status: int, headers: Headers) -> bytes:
    """Serialize a response head."""
    try:
        phrase = http.HTTPStatus(status).phrase.encode()
    except ValueError:
        phrase = b'Unknown'
    return _join(b'HTTP/1.1 %d %b' % (status, phrase), headers)


def chunk(payload: bytes) -> bytes:
    """Serialize a chunk of a chunked body."""
    return b'%x\r\n%b\r\n' % (len(payload), payload)


def _join(start_line: bytes, headers: Headers) -> bytes:
    """Serialize a message head with its final empty line."""
    lines = [start_line, *(b'%b: %b' % header for header in headers)]
    return b'\r\n'.join(lines) + b'\r\n\r\n'


def _larger(first: SizeLimits, second: SizeLimits) -> SizeLimits:
    """Return the larger of each limit."""
    return SizeLimits(
        max(first.header_bytes, second.header_bytes),
        max(first.body_bytes, second.body_bytes),
    )


class RequestReader:
    """Parses received bytes into complete requests.

    If `limits` changes while a request is received, the larger limits apply to
    it.
    """

    def __init__(self, limits: SizeLimits) -> None:
        """Initialize the reader between two requests."""
        self.ready: collections.deque[Request] = collections.deque()
        self.has_partial_request = False
        self.limits = limits
        self._request_limits = limits
        self._ready_bytes = 0
        self._refusal: tuple[int, str] | None = None
        self._parser = httptools.HttpRequestParser(self)
        self._reset()

    @property
    def kept_bytes(self) -> int:
        """Return the bytes of requests that are not handled yet."""
        return (
            self._header_bytes
            + self._framing_bytes
            + len(self._headers) * const.HEADER_OVERHEAD_BYTES
            + len(self._body)
            + self._ready_bytes
        )

    def peek(self) -> Request:
        """Return the next request, without a body if that is not complete."""
        if self.ready:
            return self.ready[0]
        return Request(
            b'',
            self._target,
            tuple(self._headers),
            b'',
            keep_alive=False,
        )

    def take(self) -> Request:
        """Remove and return the next complete request."""
        request = self.ready.popleft()
        self._ready_bytes -= request.size_bytes
        return request

    def discard(self) -> None:
        """Drop all requests that have been received, in whole or in part."""
        self.ready.clear()
        self._ready_bytes = 0
        self.has_partial_request = False
        self._reset()

    def feed(self, received: bytes) -> None:
        """Parse received bytes; raise RequestRefused if not HTTP/1.1."""
        is_continued = self.has_partial_request
        progress = self._progress()
        self.has_partial_request = True
        self._request_limits = _larger(self._request_limits, self.limits)
        try:
            self._parser.feed_data(received)
        except (
            httptools.HttpParserError,
            httptools.HttpParserUpgrade,
        ) as error:
            status, detail = self._refusal or (
                http.HTTPStatus.BAD_REQUEST,
                f'invalid HTTP/1.1 request: {error}',
            )
            raise errors.RequestRefused(status, detail) from error
        if is_continued and self._progress() == progress:
            self._count_framing(len(received))
        else:
            self._framing_bytes = 0

    def on_message_begin(self) -> None:
        """Handle the start of a request."""
        self._reset()
        self._request_limits = self.limits
        self.has_partial_request = True

    def on_url(self, part: bytes) -> None:
        """Handle a part of the request target."""
        self._target += part
        self._count_header(len(part))

    def on_header(self, name: bytes, text: bytes) -> None:
        """Take a header."""
        self._headers.append((name.lower(), text))
        self._count_header(len(name) + len(text))

    def on_body(self, part: bytes) -> None:
        """Take a part of the body."""
        if len(self._body) + len(part) > self._request_limits.body_bytes:
            self._refuse(
                http.HTTPStatus.REQUEST_ENTITY_TOO_LARGE,
                'body exceeds the size limit',
            )
        self._body += part

    def on_message_complete(self) -> None:
        """Handle the end of a request."""
        if self._parser.should_upgrade():
            self._refuse(
                http.HTTPStatus.BAD_REQUEST,
                'protocol upgrades are not supported',
            )
        request = Request(
            self._parser.get_method(),
            self._target,
            tuple(self._headers),
            bytes(self._body),
            self._parser.should_keep_alive(),
            self._header_bytes + len(self._body),
        )
        self.ready.append(request)
        self._ready_bytes += request.size_bytes
        self.has_partial_request = False
        self._reset()

    def _count_header(self, size: int) -> None:
        """Add to the head's size; refuse the request above the limit."""
        self._header_bytes += size
        if self._header_bytes > self._request_limits.header_bytes:
            self._refuse(
                http.HTTPStatus.REQUEST_HEADER_FIELDS_TOO_LARGE,
                'head exceeds the size limit',
            )

    def _progress(self) -> tuple[int, int, int]:
        """Return what grows with each part of a request that is complete."""
        return len(self.ready), len(self._headers), len(self._body)

    def _count_framing(self, size_bytes: int) -> None:
        """Count bytes that the parser keeps, or that carry nothing.

        Raises RequestRefused above the limit of a head: the parser has none
        for a header, or a chunk extension, that does not end.
        """
        self._framing_bytes += size_bytes
        if self._framing_bytes > (
            self._request_limits.header_bytes + const.RECEIVE_BYTES
        ):
            self._refuse(
                http.HTTPStatus.REQUEST_HEADER_FIELDS_TOO_LARGE,
                'head exceeds the size limit',
            )

    def _refuse(self, status: int, detail: str) -> typing.NoReturn:
        """Stop the parser, so that nothing behind the request is read."""
        self._refusal = (status, detail)
        raise errors.RequestRefused(status, detail)

    def _reset(self) -> None:
        """Discard the parts of a request."""
        self._target = b''
        self._headers: list[tuple[bytes, bytes]] = []
        self._header_bytes = 0
        self._framing_bytes = 0
        self._body = bytearray()


class ResponseReader:
    """Parses received bytes into one response.

    `has_surplus` is set if more bytes follow the response, which belong to no
    request. The response to a HEAD request has no body, whatever length it
    names.
    """

    def __init__(self, method: bytes = b'') -> None:
        """Initialize the reader before the response to a method."""
        self._method = method
        self.head: Head | None = None
        self.complete = False
        self.has_surplus = False
        self.ends_with_connection = False
        self._may_keep_alive = False
        self._fault = ''
        self._framing_bytes = 0
        self._body = bytearray()
        self._headers: list[tuple[bytes, bytes]] = []
        self._parser = httptools.HttpResponseParser(self)

    @property
    def kept_bytes(self) -> int:
        """Return the bytes of the body and the framing that are kept."""
        return len(self._body) + self._framing_bytes

    def feed(self, received: bytes) -> None:
        """Parse received bytes; raise ExchangeBroken if not HTTP/1.1."""
        if self.complete:
            self.has_surplus = True
            return
        body_bytes = len(self._body)
        try:
            self._parser.feed_data(received)
        except (
            httptools.HttpParserError,
            httptools.HttpParserUpgrade,
        ) as error:
            if not self.complete:
                raise errors.ExchangeBroken(
                    f'invalid HTTP/1.1 response: {self._fault or error}',
                ) from error
            self.has_surplus = True
        if self._fault:
            raise errors.ExchangeBroken(
                f'invalid HTTP/1.1 response: {self._fault}'
            )
        self._count_framing(
            len(received), has_body=len(self._body) > body_bytes
        )

    def take_body(self) -> bytes:
        """Return the body received since the last call."""
        body = bytes(self._body)
        self._body.clear()
        return body

    def discard(self) -> None:
        """Drop the body that has been received."""
        self._body.clear()

    def finish(self) -> bool:
        """Return whether the response is complete when its peer closes."""
        if self.head is not None and self.ends_with_connection:
            self.complete = True
        return self.complete

    def keeps_alive(self) -> bool:
        """Return whether the connection may be reused."""
        is_clean = self.complete and not self.has_surplus
        return is_clean and self._may_keep_alive

    def on_message_begin(self) -> None:
        """Handle the start of a response; detect a second one."""
        if self.complete:
            self.has_surplus = True

    def on_header(self, name: bytes, text: bytes) -> None:
        """Take a header; ignore trailers."""
        if self.head is None:
            self._headers.append((name.lower(), text))

    def on_headers_complete(self) -> None:
        """Handle the head; ignore interim responses."""
        status = self._parser.get_status_code()
        headers = tuple(self._headers)
        self._headers = []
        if self.complete or self._fault:
            return
        if status < http.HTTPStatus.CONTINUE:
            self._fault = f'invalid status {status}'
        if status < http.HTTPStatus.OK:
            return
        codings = tuple(
            text.strip().lower()
            for name, text in headers
            if name == b'transfer-encoding'
        )
        if codings not in _SUPPORTED_TRANSFER_CODINGS:
            self._fault = f'unsupported transfer codings {codings}'
            return
        self.head = Head(status, headers)
        has_length = codings == _CHUNKED or any(
            name == b'content-length' for name, _ in headers
        )
        self.ends_with_connection = not has_length and status not in {
            http.HTTPStatus.NO_CONTENT,
            http.HTTPStatus.NOT_MODIFIED,
        }
        # Not kept alive, since peers may send a body nevertheless.
        self.complete = self._method == b'HEAD'

    def on_body(self, part: bytes) -> None:
        """Take a part of the body."""
        if self.head is not None and not self.complete:
            self._body += part

    def on_message_complete(self) -> None:
        """Handle the end of the response; ignore interim responses."""
        if self.head is None or self.complete:
            return
        self.complete = True
        # The parser discards the HTTP version when this callback returns.
        self._may_keep_alive = self._parser.should_keep_alive()

    def _count_framing(self, received_bytes: int, *, has_body: bool) -> None:
        """Count received bytes since the last part of the body.

        Raises ExchangeBroken above the limit.
        """
        if has_body or self.complete:
            self._framing_bytes = 0
            return
        self._framing_bytes += received_bytes
        if self._framing_bytes > const.RESPONSE_FRAMING_LIMIT_BYTES:
            raise errors.ExchangeBroken(
                'invalid HTTP/1.1 response: '
                f'over {const.RESPONSE_FRAMING_LIMIT_BYTES} bytes without a body'
            )
