"""HTTP/1.1 for the stand-ins: requests that are read, responses that are sent."""

import asyncio
import http
import json
import typing


class Request(typing.NamedTuple):
    """Request as it was read; header names are in lower case."""

    method: str
    target: str
    headers: dict[str, str]
    body: bytes

    @property
    def path(self) -> str:
        """Return the target without its query."""
        return self.target.partition('?')[0]

    def number(self, name: str, default: float = 0) -> float:
        """Return a numeric header."""
        return float(self.headers.get(name) or default)


async def read_head(
    reader: asyncio.StreamReader,
) -> tuple[str, dict[str, str]] | None:
    """Return the start line and the headers, None at the end."""
    try:
        head = await reader.readuntil(b'\r\n\r\n')
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    start, *lines = head.decode('latin-1').split('\r\n')
    headers = {}
    for line in filter(None, lines):
        name, _, text = line.partition(':')
        headers[name.strip().lower()] = text.strip()
    return start, headers


async def read_body(
    reader: asyncio.StreamReader, headers: dict[str, str]
) -> bytes:
    """Return the body that the headers announce."""
    if headers.get('transfer-encoding', '').lower() == 'chunked':
        parts = []
        while True:
            size = int(await reader.readuntil(b'\r\n'), 16)
            part = await reader.readexactly(size + 2)
            if not size:
                return b''.join(parts)
            parts.append(part[:-2])
    return await reader.readexactly(int(headers.get('content-length') or 0))


async def read_request(reader: asyncio.StreamReader) -> Request | None:
    """Return the next request, None at the end of the connection."""
    head = await read_head(reader)
    if head is None:
        return None
    start, headers = head
    method, target, _ = start.split(' ', 2)
    try:
        body = await read_body(reader, headers)
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    return Request(method, target, headers, body)


def response(
    status: int,
    body: bytes = b'',
    headers: dict[str, str] | None = None,
    *,
    has_length: bool = True,
) -> bytes:
    """Return the bytes of a response."""
    phrase = http.HTTPStatus(status).phrase
    lines = [f'HTTP/1.1 {status} {phrase}']
    lines.extend(f'{name}: {text}' for name, text in (headers or {}).items())
    if has_length:
        lines.append(f'Content-Length: {len(body)}')
    return '\r\n'.join((*lines, '', '')).encode('latin-1') + body


def json_response(status: int, document: object) -> bytes:
    """Return the bytes of a JSON response."""
    return response(
        status,
        json.dumps(document).encode(),
        {'Content-Type': 'application/json', 'Keep-Alive': 'timeout=15'},
    )


def request(
    method: str,
    target: str,
    headers: dict[str, str],
    body: bytes = b'',
) -> bytes:
    """Return the bytes of a request."""
    lines = [f'{method} {target} HTTP/1.1']
    lines.extend(f'{name}: {text}' for name, text in headers.items())
    if body or method not in {'GET', 'HEAD'}:
        lines.append(f'Content-Length: {len(body)}')
    return '\r\n'.join((*lines, '', '')).encode('latin-1') + body


async def close(writer: asyncio.StreamWriter) -> None:
    """Close a connection, whatever its peer did."""
    writer.close()
    try:
        await writer.wait_closed()
    except OSError:
        return
