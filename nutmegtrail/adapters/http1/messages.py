"""Parsing and writing of HTTP/1.1 messages."""

import collections
import http
import typing

import httptools

from nutmegtrail.adapters.http1 import const
from nutmegtrail.adapters.http1 import errors

Headers: typing.TypeAlias = tuple[tuple[bytes, bytes], ...]
LAST_CHUNK: typing.Final = b'0\r\n\r\n'


class Request(typing.NamedTuple):
    """A whole request; header names are in lower case."""

    method: bytes
    target: bytes
    headers: Headers
    body: bytes
    keep_alive: bool


class Head(typing.NamedTuple):
    """Status and headers of an answer; header names are in lower case."""

    status: int
    headers: Headers

    def header(self, name: bytes) -> bytes:
        """Return the first header of a lower-case name, b'' if none."""
        return find_header(self.headers, name)


class SizeLimits(typing.NamedTuple):
    """Largest accepted request."""

    header_bytes: int
    body_bytes: int


def find_header(headers: Headers, name: bytes) -> bytes:
    """Return the first header of a lower-case name, b'' if none."""
    for key, text in headers:
        if key == name:
            return text
    return b''


def end_to_end_headers(headers: Headers) -> Headers:
    """Return the headers without those that concern one connection."""
    listed = {
        token.strip().lower()
        for key, text in headers
        if key == b'connection'
        for token in text.split(b',')
    }
    dropped = listed | const.HOP_BY_HOP | {b'content-length'}
    return tuple(header for header in headers if header[0] not in dropped)


def request_bytes(
    method: bytes,
    target: bytes,
    headers: Headers,
    body: bytes,
) -> bytes:
    """Return a request with a length, ready to be sent."""
    length: Headers = ()
    if body or method not in {b'GET', b'HEAD'}:
        length = ((b'content-length', b'%d' % len(body)),)
    start_line = b'%b %b HTTP/1.1' % (method, target)
    return _join(start_line, headers + length) + body


def response_head_bytes(status: int, headers: Headers) -> bytes:
    """Return a response's head, ready to be sent."""
    try:
        phrase = http.HTTPStatus(status).phrase.encode()
    except ValueError:
        phrase = b'Unknown'
    return _join(b'HTTP/1.1 %d %b' % (status, phrase), headers)


def chunk(payload: bytes) -> bytes:
    """Return a part of a chunked body, ready to be sent."""
    return b'%x\r\n%b\r\n' % (len(payload), payload)


def _join(start_line: bytes, headers: Headers) -> bytes:
    """Return a head with its empty line."""
    lines = [start_line, *(b'%b: %b' % header for header in headers)]
    return b'\r\n'.join(lines) + b'\r\n\r\n'


class RequestReader:
    """Turns received bytes into whole requests."""

    def __init__(self, limits: SizeLimits) -> None:
        """Start between two requests."""
        self.ready: collections.deque[Request] = collections.deque()
        self.is_inside = False
        self.limits = limits
        self._fault: int = 0
        self._parser = httptools.HttpRequestParser(self)
        self._reset()

    def feed(self, received: bytes) -> None:
        """Take received bytes; raise RequestRefused if not acceptable."""
        self.is_inside = True
        try:
            self._parser.feed_data(received)
        except httptools.HttpParserUpgrade as error:
            raise errors.RequestRefused(
                http.HTTPStatus.BAD_REQUEST,
                'protocol upgrades are not offered',
            ) from error
        except httptools.HttpParserError as error:
            raise errors.RequestRefused(
                self._fault or http.HTTPStatus.BAD_REQUEST,
                f'not an HTTP/1.1 request: {error}',
            ) from error
        if self._fault:
            raise errors.RequestRefused(self._fault, 'the request is too large')

    def on_message_begin(self) -> None:
        """Start a request."""
        self._reset()
        self.is_inside = True

    def on_url(self, part: bytes) -> None:
        """Take a part of the request target."""
        self._target += part
        self._count_header(len(part))

    def on_header(self, name: bytes, text: bytes) -> None:
        """Take a header."""
        self._headers.append((name.lower(), text))
        self._count_header(len(name) + len(text))

    def on_body(self, part: bytes) -> None:
        """Take a part of the body."""
        if len(self._body) + len(part) > self.limits.body_bytes:
            self._fault = http.HTTPStatus.REQUEST_ENTITY_TOO_LARGE
            return
        self._body += part

    def on_message_complete(self) -> None:
        """Hand over the request."""
        request = Request(
            self._parser.get_method(),
            self._target,
            tuple(self._headers),
            bytes(self._body),
            self._parser.should_keep_alive(),
        )
        self.ready.append(request)
        self.is_inside = False

    def _count_header(self, size: int) -> None:
        """Remember a fault where the head is over its limit."""
        self._header_bytes += size
        if self._header_bytes > self.limits.header_bytes:
            self._fault = http.HTTPStatus.REQUEST_HEADER_FIELDS_TOO_LARGE

    def _reset(self) -> None:
        """Forget the parts of a request."""
        self._target = b''
        self._headers: list[tuple[bytes, bytes]] = []
        self._header_bytes = 0
        self._body = bytearray()
        self._fault = 0


class ResponseReader:
    """Turns received bytes into one response.

    `surplus` is set by bytes after the response, which belong to nobody.
    """

    def __init__(self) -> None:
        """Start before the response."""
        self.head: Head | None = None
        self.complete = False
        self.surplus = False
        self.ends_with_connection = False
        self._may_keep_alive = False
        self._body = bytearray()
        self._headers: list[tuple[bytes, bytes]] = []
        self._parser = httptools.HttpResponseParser(self)

    def feed(self, received: bytes) -> None:
        """Take received bytes; raise ExchangeBroken if not HTTP/1.1."""
        if self.complete:
            self.surplus = True
            return
        try:
            self._parser.feed_data(received)
        except (
            httptools.HttpParserError,
            httptools.HttpParserUpgrade,
        ) as error:
            if not self.complete:
                raise errors.ExchangeBroken(
                    f'not an HTTP/1.1 response: {error}',
                ) from error
            self.surplus = True

    def take_body(self) -> bytes:
        """Return the body received since the last call."""
        taken = bytes(self._body)
        self._body.clear()
        return taken

    def finish(self) -> bool:
        """Return whether the response is whole at the connection's end."""
        if self.head is not None and self.ends_with_connection:
            self.complete = True
        return self.complete

    def keeps_alive(self) -> bool:
        """Return whether another request may be sent on the connection."""
        whole = self.complete and not self.surplus
        return whole and self._may_keep_alive

    def on_message_begin(self) -> None:
        """Notice a second response."""
        if self.complete:
            self.surplus = True

    def on_header(self, name: bytes, text: bytes) -> None:
        """Take a header."""
        self._headers.append((name.lower(), text))

    def on_headers_complete(self) -> None:
        """Take the head unless it is an interim response's."""
        status = self._parser.get_status_code()
        headers = tuple(self._headers)
        self._headers = []
        if self.complete or status < http.HTTPStatus.OK:
            return
        self.head = Head(status, headers)
        has_length = any(
            name in {b'content-length', b'transfer-encoding'}
            for name, _ in headers
        )
        self.ends_with_connection = not has_length and status not in {
            http.HTTPStatus.NO_CONTENT,
            http.HTTPStatus.NOT_MODIFIED,
        }

    def on_body(self, part: bytes) -> None:
        """Take a part of the body."""
        if not self.complete:
            self._body += part

    def on_message_complete(self) -> None:
        """Mark the end unless it is an interim response's."""
        if self.head is None or self.complete:
            return
        self.complete = True
        # The parser forgets the answer's version once this call returns.
        self._may_keep_alive = self._parser.should_keep_alive()
