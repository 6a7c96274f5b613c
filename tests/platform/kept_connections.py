"""Callers that use their connections until these are closed."""

import typing

import anyio

from nutmegtrail.adapters.http1 import errors
from nutmegtrail.adapters.http1 import messages
from tests.platform import lasting_engine

STREAM_PATH = b'/long/prefix/2f'
READ_PATH = b'/long/read/2f'
ONCE_PATH = b'/long/2f'
_RECEIVE_BYTES = 65_536
_CLOSED = (
    anyio.EndOfStream,
    anyio.BrokenResourceError,
    anyio.ClosedResourceError,
)


class Load(typing.NamedTuple):
    """Requests that are alike.

    An upstream runs each of them for `seconds`; its caller waits for
    `deadline_seconds`. With `has_early_head`, the response begins at once. `has_chunks` is set if the body is sent in chunks, with
    `chunk_pause_seconds` between them.
    """

    path: bytes
    seconds: float
    deadline_seconds: float = 12
    has_early_head: bool = False
    has_chunks: bool = False
    chunk_pause_seconds: float = 0

    @property
    def name(self):
        """Return a name for request identifiers."""
        return f'{self.path.decode()}-{self.seconds}-{self.has_chunks}'


class Reply(typing.NamedTuple):
    """What a caller got for a request, 0 as status without a head.

    The request was sent as a whole at `sent_at_seconds`. `is_whole` is set if
    the response is complete.
    """

    request_id: str
    load: Load
    sent_at_seconds: float
    ended_at_seconds: float
    status: int
    is_whole: bool
    announces_close: bool

    @property
    def seconds(self):
        """Return how long the caller waited."""
        return self.ended_at_seconds - self.sent_at_seconds


class Callers:
    """Callers of one entry and the replies that they got."""

    def __init__(self, entry, tasks, name=''):
        """Initialize the callers without connections."""
        self.replies_by_id = {}
        self._entry = entry
        self._tasks = tasks
        self._name = name
        self._sent = 0

    async def keep(self, load, pause_seconds=0.05):
        """Send requests on one connection until it closes."""
        try:
            stream = await self._connect()
        except OSError:
            return
        async with stream:
            reply = await self._ask(stream, load)
            while reply.is_whole and not reply.announces_close:
                await anyio.sleep(pause_seconds)
                reply = await self._ask(stream, load)

    async def once(self, load):
        """Send a request on a new connection."""
        try:
            stream = await self._connect()
        except OSError:
            return
        async with stream:
            await self._ask(stream, load)

    async def pipeline(self, loads):
        """Send requests at once on one connection and read the replies.

        Behind a response that is cut, no other one can follow.
        """
        try:
            stream = await self._connect()
        except OSError:
            return
        async with stream:
            asked = [
                (self._next_id(), load, anyio.current_time()) for load in loads
            ]
            sent = [_request(request_id, load) for request_id, load, _ in asked]
            try:
                await stream.send(b''.join(sent))
            except _CLOSED:
                return
            received = b''
            for request_id, load, sent_at in asked:
                received = await self._read(
                    stream, (request_id, load, sent_at), received
                )
                reply = self.replies_by_id[request_id]
                if reply.status and not reply.is_whole:
                    return

    async def arrive(self, load, interval_seconds):
        """Open a connection now and then, each for one request."""
        while True:
            self._tasks.start_soon(self.once, load)
            await anyio.sleep(interval_seconds)

    async def _connect(self):
        """Return a new connection to the entry."""
        address = self._entry.addresses[0]
        return await anyio.connect_tcp(address.ip, address.port)

    def _next_id(self):
        """Return an identifier that no other request has."""
        self._sent += 1
        return f'{self._name}-{self._sent}'

    async def _ask(self, stream, load):
        """Send a request and return the reply."""
        request_id = self._next_id()
        try:
            await self._send(stream, request_id, load)
        except _CLOSED:
            now = anyio.current_time()
            return Reply(request_id, load, now, now, 0, False, True)
        await self._read(stream, (request_id, load, anyio.current_time()))
        return self.replies_by_id[request_id]

    async def _send(self, stream, request_id, load):
        """Send a request, its body in one or several parts."""
        head, *parts = _request_parts(request_id, load)
        if not load.has_chunks:
            await stream.send(head + b''.join(parts))
            return
        await stream.send(head)
        for part in parts:
            await anyio.sleep(load.chunk_pause_seconds)
            await stream.send(part)

    async def _read(self, stream, asked, received=b''):
        """Read and keep a reply; return the bytes behind it."""
        request_id, load, sent_at = asked
        reader = messages.ResponseReader()
        body = bytearray()
        surplus = b''
        try:
            while not reader.complete:
                if not received:
                    received = await stream.receive(_RECEIVE_BYTES)
                surplus = _feed(reader, received)
                received = b''
                body += reader.take_body()
        except (*_CLOSED, errors.ExchangeBroken):
            received = b''
        head = reader.head
        is_whole = reader.complete and (
            head.status != 200 or bytes(body) == _whole_body(load)
        )
        announces_close = head is None or (
            head.header(b'connection').lower() == b'close'
        )
        self.replies_by_id[request_id] = Reply(
            request_id,
            load,
            sent_at,
            anyio.current_time(),
            head.status if head else 0,
            is_whole,
            announces_close,
        )
        return surplus


def _feed(reader, received):
    """Feed a response until it is complete; return the bytes behind it."""
    for end in range(1, len(received) + 1):
        reader.feed(received[end - 1 : end])
        if reader.complete:
            return received[end:]
    return b''


def _whole_body(load):
    """Return the body of a successful response."""
    if load.path == STREAM_PATH:
        return lasting_engine.stream_body(load.seconds)
    return b'booked'


def _request(request_id, load):
    """Return the bytes of a request."""
    return b''.join(_request_parts(request_id, load))


def _request_parts(request_id, load):
    """Return the head of a request and the parts of its body."""
    body = b'%f' % load.seconds
    if load.has_early_head:
        body += lasting_engine.EARLY_HEAD
    framing = b'content-length: %d' % len(body)
    parts = [body]
    if load.has_chunks:
        framing = b'transfer-encoding: chunked'
        parts = [messages.chunk(body[:2]), messages.chunk(body[2:])]
        parts.append(messages.LAST_CHUNK)
    lines = (
        b'POST %b HTTP/1.1' % load.path,
        b'host: ficu95.example',
        b'x-nutmegtrail-request-id: %b' % request_id.encode(),
        b'x-nutmegtrail-deadline-ms: %d' % int(load.deadline_seconds * 1_000),
        b'api-key: key-1',
        framing,
    )
    return [b'\r\n'.join(lines) + b'\r\n\r\n', *parts]
