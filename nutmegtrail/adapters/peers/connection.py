"""A TCP connection that carries messages in both directions."""

import math
import typing

import anyio
import anyio.abc

from nutmegtrail import models as shared_models
from nutmegtrail.byte_budget import budget
from nutmegtrail.byte_budget import errors as budget_errors
from nutmegtrail.byte_budget import models as budget_models
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


class Budgets(typing.NamedTuple):
    """Limits of the bytes that all connections of a process keep."""

    queued: budget.ByteBudget
    received: budget.ByteBudget


def create_budgets() -> Budgets:
    """Return the budgets of the connections of a process."""
    return Budgets(
        budget.ByteBudget(const.QUEUED_LIMIT_BYTES),
        budget.ByteBudget(const.RECEIVED_LIMIT_BYTES),
    )


class Connection:
    """Buffers messages, so that small ones share a write made by `run`.

    The connection ends if its bytes have to give way to others: that of the
    peer which reads the least, or sends the largest incomplete frame.
    """

    def __init__(self, stream: anyio.abc.ByteStream, budgets: Budgets) -> None:
        """Initialize the connection; nothing is sent before `run`."""
        self._stream = stream
        self._frame_decoder = codec.FrameDecoder()
        self._frame_deadline_seconds = math.inf
        self._write_buffer = bytearray()
        self._data_queued = anyio.Event()
        self._ended = anyio.Event()
        self._queued = budgets.queued.open(
            budget_models.Kind.DELIVERY, self._end
        )
        self._received = budgets.received.open(
            budget_models.Kind.REQUEST, self._end
        )
        self.is_closed = False

    def enqueue(self, message: models.Message) -> None:
        """Add a message to the write buffer; drop it if closed."""
        if self.is_closed:
            return
        frame = codec.encode(message)
        try:
            self._queued.grow(len(frame))
        except budget_errors.GaveWay:
            self._end()
            return
        self._write_buffer += frame
        self._data_queued.set()

    async def run(self) -> None:
        """Write buffered messages until the connection closes."""
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(self._close_at_end)
            while not self.is_closed:
                await self._data_queued.wait()
                self._data_queued = anyio.Event()
                await self._flush()
            tasks.cancel_scope.cancel()
        await self.close()

    async def receive(self) -> list[models.Message]:
        """Wait for the next bytes and return the messages they complete.

        Raises ConnectionLost when the connection has ended, or sends a frame
        for too long.
        """
        with anyio.CancelScope(deadline=self._frame_deadline_seconds):
            try:
                received = await self._stream.receive(const.READ_SIZE_BYTES)
            except _READ_ERRORS as error:
                raise errors.ConnectionLost('peer ended') from error
            return self._feed(received)
        raise errors.ConnectionLost('a frame is not complete in time')

    async def close(self) -> None:
        """Close the connection and wake the tasks that wait for it."""
        self._end()
        await anyio.aclose_forcefully(self._stream)

    def _feed(self, received: bytes) -> list[models.Message]:
        """Return the messages that are complete, and keep the rest."""
        if self.is_closed:
            raise errors.ConnectionLost('connection was closed')
        messages = self._frame_decoder.feed(received)
        kept_bytes = self._frame_decoder.kept_bytes
        try:
            self._received.grow(kept_bytes - self._received.kept_bytes)
        except budget_errors.GaveWay as error:
            raise errors.ConnectionLost('too many bytes are kept') from error
        if not kept_bytes:
            self._frame_deadline_seconds = math.inf
        elif messages or math.isinf(self._frame_deadline_seconds):
            self._frame_deadline_seconds = (
                anyio.current_time() + const.FRAME_TIMEOUT_SECONDS
            )
        return messages

    def _end(self) -> None:
        """Drop all bytes and let `run` close the connection."""
        self.is_closed = True
        self._write_buffer.clear()
        self._queued.close()
        self._received.close()
        self._data_queued.set()
        self._ended.set()

    async def _close_at_end(self) -> None:
        """Close the stream, also while a write waits for the peer."""
        await self._ended.wait()
        await anyio.aclose_forcefully(self._stream)

    async def _flush(self) -> None:
        """Write the buffered messages; close the connection on failure."""
        while self._write_buffer:
            part = bytes(self._write_buffer[: const.WRITE_SIZE_BYTES])
            del self._write_buffer[: len(part)]
            try:
                await self._stream.send(part)
            except _WRITE_ERRORS:
                await self.close()
                return
            self._release(len(part))

    def _release(self, size_bytes: int) -> None:
        """Stop counting bytes that were written."""
        if not self.is_closed:
            self._queued.grow(-size_bytes)


async def connect(
    address: shared_models.Address, budgets: Budgets
) -> Connection:
    """Connect to a peer; raise ConnectionLost on failure."""
    try:
        stream = await anyio.connect_tcp(address.ip, address.port)
    except OSError as error:
        raise errors.ConnectionLost(f'{address} cannot be reached') from error
    return Connection(stream, budgets)
