"""A TCP connection that carries messages in both directions."""

import typing

import anyio
import anyio.abc

from nutmegtrail import models as shared_models
from nutmegtrail.wire import codec
from nutmegtrail.wire import const
from nutmegtrail.wire import errors
from nutmegtrail.wire import models

_WRITE_ERRORS: typing.Final = (
    OSError,
    anyio.BrokenResourceError,
    anyio.ClosedResourceError,
)
_READ_ERRORS: typing.Final = (*_WRITE_ERRORS, anyio.EndOfStream)


class Connection:
    """Joins small messages into large writes; `run` drives the writes."""

    def __init__(self, stream: anyio.abc.ByteStream) -> None:
        """Keep the stream; nothing is sent before `run`."""
        self._stream = stream
        self._frame_decoder = codec.FrameDecoder()
        self._write_buffer = bytearray()
        self._data_queued = anyio.Event()
        self._buffer_flushed = anyio.Event()
        self.is_closed = False

    def enqueue(self, message: models.Message) -> None:
        """Queue a message; one on a closed connection is dropped."""
        if self.is_closed:
            return
        self._write_buffer += codec.encode(message)
        self._data_queued.set()

    async def drain(self) -> None:
        """Wait until the queue is short enough for more."""
        while len(self._write_buffer) > const.WRITE_BUFFER_LIMIT_BYTES:
            if self.is_closed:
                return
            await self._buffer_flushed.wait()

    async def run(self) -> None:
        """Write queued messages until the connection closes."""
        while not self.is_closed:
            await self._data_queued.wait()
            self._data_queued = anyio.Event()
            await self._flush()

    async def receive(self) -> list[models.Message]:
        """Return the next messages; raise ConnectionLost at the end."""
        try:
            received = await self._stream.receive(const.READ_SIZE_BYTES)
        except _READ_ERRORS as error:
            raise errors.ConnectionLost('the peer is gone') from error
        return self._frame_decoder.feed(received)

    async def close(self) -> None:
        """Close the connection and wake what waits for it."""
        self.is_closed = True
        self._data_queued.set()
        self._buffer_flushed.set()
        await anyio.aclose_forcefully(self._stream)

    async def _flush(self) -> None:
        """Write what is queued."""
        queued = bytes(self._write_buffer)
        self._write_buffer.clear()
        self._buffer_flushed.set()
        self._buffer_flushed = anyio.Event()
        try:
            await self._stream.send(queued)
        except _WRITE_ERRORS:
            await self.close()


async def connect(address: shared_models.Address) -> Connection:
    """Return a connection to a peer; raise ConnectionLost if refused."""
    try:
        stream = await anyio.connect_tcp(address.ip, address.port)
    except OSError as error:
        raise errors.ConnectionLost(f'{address} refused') from error
    return Connection(stream)
