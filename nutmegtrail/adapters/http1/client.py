"""HTTP/1.1 client with kept connections and exact failure signs.

A failure before a connection exists is `NotConnected`: nothing was sent.
Every later failure is `ExchangeBroken`: the request may have arrived.
"""

import contextlib
import re
import select
import socket
import typing

import anyio
import anyio.abc

from nutmegtrail import models
from nutmegtrail.adapters.http1 import const
from nutmegtrail.adapters.http1 import errors
from nutmegtrail.adapters.http1 import messages

_KEEP_ALIVE_TIMEOUT: typing.Final = re.compile(rb'timeout\s*=\s*(\d+)')
_LOST: typing.Final = (
    anyio.BrokenResourceError,
    anyio.ClosedResourceError,
)


class _Kept(typing.NamedTuple):
    """An idle connection and the time until which it may be used."""

    stream: anyio.abc.SocketStream
    usable_until_seconds: float


class Call(typing.NamedTuple):
    """A request to an address; `needs_new_connection` avoids an idle one."""

    address: models.Address
    method: bytes
    target: bytes
    headers: messages.Headers
    body: bytes = b''
    needs_new_connection: bool = False


class Response:
    """An answer whose body arrives piece by piece."""

    def __init__(
        self,
        stream: anyio.abc.SocketStream,
        reader: messages.ResponseReader,
    ) -> None:
        """Keep the connection; the head has been read."""
        self._stream = stream
        self._reader = reader
        self.head = typing.cast('messages.Head', reader.head)

    async def receive(self) -> bytes:
        """Return a part of the body, b'' at its end."""
        part = self._reader.take_body()
        while not part and not self._reader.complete:
            await _read_more(self._stream, self._reader)
            part = self._reader.take_body()
        return part

    async def read(self, limit: int) -> bytes:
        """Return the whole body; raise ExchangeBroken over the limit."""
        body = bytearray()
        part = await self.receive()
        while part:
            body += part
            if len(body) > limit:
                raise errors.ExchangeBroken(f'over {limit} bytes of body')
            part = await self.receive()
        return bytes(body)


class Client:
    """Sends calls and keeps connections for later ones."""

    def __init__(self) -> None:
        """Start without connections."""
        self._kept_by_address: dict[models.Address, list[_Kept]] = {}
        self.connections_opened = 0

    async def close(self) -> None:
        """Close the idle connections."""
        for kept_connections in self._kept_by_address.values():
            for kept in kept_connections:
                await kept.stream.aclose()
        self._kept_by_address.clear()

    @contextlib.asynccontextmanager
    async def open(self, call: Call) -> typing.AsyncIterator[Response]:
        """Send a call; leaving the context early cuts the connection."""
        stream = await self._connect(call)
        reader = messages.ResponseReader()
        keep = False
        try:
            await _send(stream, call)
            while reader.head is None:
                await _read_more(stream, reader)
            yield Response(stream, reader)
            keep = reader.keeps_alive()
        finally:
            if not (keep and self._keep(call.address, stream, reader)):
                with anyio.CancelScope(shield=True):
                    await stream.aclose()

    async def fetch(
        self,
        call: Call,
        limit: int,
    ) -> tuple[messages.Head, bytes]:
        """Return the head and the whole body of an answer."""
        async with self.open(call) as response:
            return response.head, await response.read(limit)

    async def _connect(self, call: Call) -> anyio.abc.SocketStream:
        """Return a usable kept connection or a new one."""
        if not call.needs_new_connection:
            stream = await self._take(call.address)
            if stream is not None:
                return stream
        try:
            with anyio.fail_after(const.CONNECT_TIMEOUT_SECONDS):
                stream = await anyio.connect_tcp(
                    call.address.ip,
                    call.address.port,
                )
        except (OSError, TimeoutError) as error:
            raise errors.NotConnected(
                f'{call.address} can not be reached: {error!r}',
            ) from error
        self.connections_opened += 1
        _watch_silence(stream.extra(anyio.abc.SocketAttribute.raw_socket))
        return stream

    async def _take(
        self,
        address: models.Address,
    ) -> anyio.abc.SocketStream | None:
        """Return the newest kept connection that is still open."""
        kept_connections = self._kept_by_address.get(address, [])
        while kept_connections:
            kept = kept_connections.pop()
            raw = kept.stream.extra(anyio.abc.SocketAttribute.raw_socket)
            fresh = anyio.current_time() < kept.usable_until_seconds
            if fresh and not _is_readable(raw):
                return kept.stream
            await kept.stream.aclose()
        return None

    def _keep(
        self,
        address: models.Address,
        stream: anyio.abc.SocketStream,
        reader: messages.ResponseReader,
    ) -> bool:
        """Keep a connection for the time that its peer names."""
        head = typing.cast('messages.Head', reader.head)
        found = _KEEP_ALIVE_TIMEOUT.search(head.header(b'keep-alive'))
        if found is None:
            return False
        idle_seconds = int(found.group(1)) - const.IDLE_MARGIN_SECONDS
        kept_connections = self._kept_by_address.setdefault(address, [])
        full = len(kept_connections) >= const.KEPT_CONNECTIONS_PER_ADDRESS
        if full or idle_seconds <= 0:
            return False
        usable_until = anyio.current_time() + idle_seconds
        kept_connections.append(_Kept(stream, usable_until))
        return True


async def _send(stream: anyio.abc.ByteStream, call: Call) -> None:
    """Send a request; raise ExchangeBroken where the peer is gone."""
    raw = messages.request_bytes(
        call.method,
        call.target,
        call.headers,
        call.body,
    )
    try:
        await stream.send(raw)
    except _LOST as error:
        raise errors.ExchangeBroken('cut while sending') from error


async def _read_more(
    stream: anyio.abc.ByteStream,
    reader: messages.ResponseReader,
) -> None:
    """Feed received bytes; raise ExchangeBroken where the answer is cut."""
    try:
        received = await stream.receive(const.RECEIVE_BYTES)
    except anyio.EndOfStream as end:
        if reader.finish():
            return
        raise errors.ExchangeBroken('cut while receiving') from end
    except _LOST as error:
        raise errors.ExchangeBroken('reset while receiving') from error
    reader.feed(received)


def _watch_silence(raw: socket.socket) -> None:
    """Let the kernel end a connection whose peer has gone silent."""
    raw.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    options = (
        (socket.TCP_KEEPIDLE, const.KEEP_ALIVE_IDLE_SECONDS),
        (socket.TCP_KEEPINTVL, const.KEEP_ALIVE_INTERVAL_SECONDS),
        (socket.TCP_KEEPCNT, const.KEEP_ALIVE_PROBES),
        (socket.TCP_USER_TIMEOUT, const.USER_TIMEOUT_MILLISECONDS),
    )
    for option, setting in options:
        raw.setsockopt(socket.IPPROTO_TCP, option, setting)


def _is_readable(raw: socket.socket) -> bool:
    """Return whether an idle connection has ended or carries stray bytes."""
    poller = select.poll()
    poller.register(raw, select.POLLIN)
    return bool(poller.poll(0))
