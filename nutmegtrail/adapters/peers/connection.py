"""A TCP connection that carries messages in both directions."""

import typing

import anyio
import anyio.abc

from nutmegtrail import models as shared_models
from nutmegtrail.wire import codec
from nutmegtrail.wire import const
from nutmegtrail.wire import errors
from nutmegtrail.wire import models

_BROKEN: typing.Final = (
    OSError,
    anyio.BrokenResourceError,
    anyio.ClosedResourceError,
)
_ENDED: typing.Final = (*_BROKEN, anyio.EndOfStream)


class Connection:
    """Joins small messages into large writes; `run` drives the writes."""

    def __init__(self, stream: anyio.abc.ByteStream) -> None:
        """Keep the stream; nothing is sent before `run`."""
        self._stream = stream
        self._buffer = codec.FrameBuffer()
        self._outbox = bytearray()
        self._pending = anyio.Event()
        self._drained = anyio.Event()
        self.closed = False

    def post(self, message: models.Message) -> None:
        """Queue a message; one on a closed connection is dropped."""
        if self.closed:
            return
        self._outbox += codec.encode(message)
        self._pending.set()

    async def drain(self) -> None:
        """Wait until the queue is short enough for more."""
        while len(self._outbox) > const.OUTBOX_LIMIT_BYTES:
            if self.closed:
                return
            await self._drained.wait()

    async def run(self) -> None:
        """Write queued messages until the connection closes."""
        while not self.closed:
            await self._pending.wait()
            self._pending = anyio.Event()
            await self._flush()

    async def receive(self) -> list[models.Message]:
        """Return the next messages; raise ConnectionLost at the end."""
        try:
            received = await self._stream.receive(const.READ_SIZE_BYTES)
        except _ENDED as error:
            raise errors.ConnectionLost('the peer is gone') from error
        return self._buffer.feed(received)

    async def close(self) -> None:
        """Close the connection and wake what waits for it."""
        self.closed = True
        self._pending.set()
        self._drained.set()
        await anyio.aclose_forcefully(self._stream)

    async def _flush(self) -> None:
        """Write what is queued."""
        written = bytes(self._outbox)
        self._outbox.clear()
        self._drained.set()
        self._drained = anyio.Event()
        try:
            await self._stream.send(written)
        except _BROKEN:
            await self.close()


async def connect(address: shared_models.Address) -> Connection:
    """Return a connection to a peer; raise ConnectionLost if refused."""
    try:
        stream = await anyio.connect_tcp(address.ip, address.port)
    except OSError as error:
        raise errors.ConnectionLost(f'{address} refused') from error
    return Connection(stream)
