"""Small HTTP/1.1 server and client on asyncio streams."""

import asyncio
import contextlib
import json
import socket
import struct
import time

KEEP_ALIVE = ('Keep-Alive', 'timeout=5')
_READ_BYTES = 65_536


class Request:
    """Request with its header names in lower case."""

    def __init__(self, method, target, headers, body):
        """Initialize the request."""
        self.method = method
        self.target = target
        self.headers = headers
        self.body = body

    @property
    def path(self):
        """Return the target without its query."""
        return self.target.partition('?')[0]


class Exchange:
    """Request on a connection, and the way to answer it."""

    def __init__(self, request, writer):
        """Initialize the exchange without a response."""
        self.request = request
        self.closes = False
        self.has_started = False
        self.repeated = None
        self._writer = writer

    async def respond(self, status, headers=(), body=b''):
        """Send a whole response."""
        self.has_started = True
        fields = (*headers, ('Content-Length', len(body)))
        self._writer.write(_head(status, fields) + body)
        await self._writer.drain()

    async def respond_json(self, status, document, *added):
        """Send a JSON document and keep the connection."""
        fields = (('Content-Type', 'application/json'), KEEP_ALIVE, *added)
        await self.respond(status, fields, json.dumps(document).encode())

    async def start(self, status, headers):
        """Send the head of a chunked response."""
        self.has_started = True
        fields = (*headers, ('Transfer-Encoding', 'chunked'))
        self._writer.write(_head(status, fields))
        await self._writer.drain()

    async def write(self, part):
        """Send a part of a chunked response."""
        self._writer.write(b'%x\r\n%b\r\n' % (len(part), part))
        await self._writer.drain()

    async def finish(self):
        """End a chunked response."""
        self._writer.write(b'0\r\n\r\n')
        await self._writer.drain()

    def repeat_before_next(self, status, document):
        """Send a JSON answer once more when the next request arrives."""
        self.repeated = (status, document)

    def cut(self):
        """Reset the connection."""
        self.closes = True
        _reset(self._writer)


class Server:
    """Server at a loopback port; `handle` is called with each exchange.

    A handler is cancelled when its client closes the connection.
    """

    def __init__(self, port, handle):
        """Initialize the server without listening."""
        self.port = port
        self._handle = handle
        self._server = None
        self._writers = set()

    async def start(self):
        """Listen."""
        self._server = await asyncio.start_server(
            self._serve, '127.0.0.1', self.port
        )

    def end(self):
        """End as a process does: stop listening and reset connections."""
        self._server.close()
        for writer in tuple(self._writers):
            _reset(writer)

    async def _serve(self, reader, writer):
        """Serve the requests of a connection one after the other."""
        self._writers.add(writer)
        repeated = None
        try:
            while True:
                request = await _read_request(reader)
                if request is None:
                    return
                exchange = Exchange(request, writer)
                if repeated is not None:
                    await exchange.respond_json(*repeated)
                if not await self._answer(exchange, reader):
                    return
                if exchange.closes:
                    return
                repeated = exchange.repeated
        except (ConnectionError, asyncio.IncompleteReadError):
            return
        finally:
            self._writers.discard(writer)
            with contextlib.suppress(Exception):
                writer.close()

    async def _answer(self, exchange, reader):
        """Run the handler until it ends or the client leaves."""
        handling = asyncio.ensure_future(self._handle(exchange))
        leaving = asyncio.ensure_future(_wait_for_end(reader))
        try:
            await asyncio.wait(
                (handling, leaving), return_when=asyncio.FIRST_COMPLETED
            )
            if handling.done():
                handling.result()
                return True
            return False
        finally:
            for task in (handling, leaving):
                task.cancel()
            await asyncio.gather(handling, leaving, return_exceptions=True)


class Answer:
    """What a client has received; `is_whole` unless it was cut."""

    def __init__(self):
        """Initialize without any byte received."""
        self.status = None
        self.headers = {}
        self.body = b''
        self.is_whole = False
        self.seconds = 0.0


async def call(port, method, target, headers, body=b'', patience=2.0):
    """Send a request on a new connection and return the answer.

    The client leaves when nothing arrives for `patience` seconds.
    """
    answer = Answer()
    begun_at = time.monotonic()
    writer = None
    try:
        reader, writer = await asyncio.wait_for(
            asyncio.open_connection('127.0.0.1', port), 1
        )
        fields = (*headers, ('Content-Length', len(body)))
        lines = [f'{method} {target} HTTP/1.1']
        lines.extend(f'{name}: {text}' for name, text in fields)
        writer.write('\r\n'.join((*lines, '', '')).encode() + body)
        await _read_answer(reader, answer, patience)
    except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError):
        answer.is_whole = False
    finally:
        if writer is not None:
            writer.transport.abort()
    answer.seconds = time.monotonic() - begun_at
    return answer


async def _read_answer(reader, answer, patience):
    """Read a response into an answer."""
    head = await asyncio.wait_for(reader.readuntil(b'\r\n\r\n'), patience)
    start_line, *lines = head.decode('latin-1').split('\r\n')
    answer.status = int(start_line.split()[1])
    for line in filter(None, lines):
        name, _, text = line.partition(':')
        answer.headers[name.lower()] = text.strip()
    if 'content-length' in answer.headers:
        length = int(answer.headers['content-length'])
        answer.body = await asyncio.wait_for(
            reader.readexactly(length), patience
        )
        answer.is_whole = True
        return
    while True:
        line = await asyncio.wait_for(reader.readuntil(b'\r\n'), patience)
        size = int(line, 16)
        part = await asyncio.wait_for(reader.readexactly(size + 2), patience)
        if not size:
            answer.is_whole = True
            return
        answer.body += part[:-2]


async def _read_request(reader):
    """Return the next request, None if the client sends no more."""
    try:
        head = await reader.readuntil(b'\r\n\r\n')
    except asyncio.IncompleteReadError:
        return None
    start_line, *lines = head.decode('latin-1').split('\r\n')
    method, target, _ = start_line.split(' ')
    headers = {}
    for line in filter(None, lines):
        name, _, text = line.partition(':')
        headers[name.lower()] = text.strip()
    body = b''
    if 'content-length' in headers:
        body = await reader.readexactly(int(headers['content-length']))
    return Request(method, target, headers, body)


async def _wait_for_end(reader):
    """Return when the client has closed the connection.

    Clients send no request before the answer to the last one.
    """
    while not reader.at_eof():
        await asyncio.sleep(0.01)


def _reset(writer):
    """Reset a connection; without lingering, closing resets it."""
    with contextlib.suppress(OSError):
        writer.get_extra_info('socket').setsockopt(
            socket.SOL_SOCKET, socket.SO_LINGER, struct.pack('ii', 1, 0)
        )
    writer.transport.abort()


def _head(status, headers):
    """Return the head of a response."""
    lines = [f'HTTP/1.1 {status} Status']
    lines.extend(f'{name}: {text}' for name, text in headers)
    return '\r\n'.join((*lines, '', '')).encode()
