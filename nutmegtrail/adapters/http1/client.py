"""HTTP/1.1 client with persistent connections.

Its errors tell whether a request may have been sent. `NotConnected` is raised
if no connection could be opened, so that nothing was sent. `ExchangeBroken` is
raised for every later failure, after which the request may have arrived.
"""

import contextlib
import math
import re
import socket
import typing

import anyio
import anyio.abc

from nutmegtrail import models
from nutmegtrail.adapters.http1 import const
from nutmegtrail.adapters.http1 import errors
from nutmegtrail.adapters.http1 import messages
from nutmegtrail.adapters.http1 import sending
from nutmegtrail.adapters.http1 import sockets
from nutmegtrail.byte_budget import budget as byte_budgets
from nutmegtrail.byte_budget import errors as budget_errors
from nutmegtrail.byte_budget import models as budget_models

_KEEP_ALIVE_TIMEOUT: typing.Final = re.compile(
    rb'timeout\s*=\s*(\d{1,9})(?!\d)'
)
_CONNECTION_ERRORS: typing.Final = (
    anyio.BrokenResourceError,
    anyio.ClosedResourceError,
)


class _Connection(typing.NamedTuple):
    """Open connection and the requests that were refused on it.

    Its peer may write one of these refusals once more. `names_requests` is
    set if each response on it has named its request.
    """

    stream: anyio.abc.SocketStream
    refused_ids: frozenset[str] = frozenset()
    is_new: bool = True
    names_requests: bool = False


class _IdleConnection(typing.NamedTuple):
    """Idle connection and the time until which it may be used."""

    connection: _Connection
    usable_until_seconds: float


class Call(typing.NamedTuple):
    """Request to an address; may require a new connection.

    `is_wanted` is asked once the connection is open, and the request is sent
    only if it returns True. `request_id` is what refusals name. With
    `needs_own_response`, only a connection is reused on which each response
    has named its request, so that a response of an earlier one is told apart.
    """

    address: models.Address
    method: bytes
    target: bytes
    headers: messages.Headers
    body: bytes = b''
    needs_new_connection: bool = False
    is_wanted: typing.Callable[[], bool] | None = None
    request_id: str = ''
    needs_own_response: bool = False


class _Receiver:
    """Feeds what is received on a connection to the reader of a response.

    The bytes are counted until `close`. If they have to give way, the wait
    for more ends with ExchangeBroken.
    """

    def __init__(
        self,
        stream: anyio.abc.ByteStream,
        reader: messages.ResponseReader,
        budget: byte_budgets.ByteBudget,
    ) -> None:
        """Initialize the receiver; nothing has been received."""
        self.reader = reader
        self._stream = stream
        self._holding = budget.open(budget_models.Kind.RESPONSE, self._give_way)

    async def receive(self, kept_bytes: int = 0) -> None:
        """Feed received bytes; raise ExchangeBroken if the response ends early.

        `kept_bytes` is the size of the parts that the caller still keeps.
        """
        received = await self._receive()
        self.raise_if_dropped()
        if received:
            self.reader.feed(received)
        try:
            self._holding.resize(kept_bytes + self.reader.kept_bytes)
        except budget_errors.GaveWay as error:
            raise errors.ResponseDropped('response gave way') from error

    def raise_if_dropped(self) -> None:
        """Raise ExchangeBroken if the bytes had to give way."""
        if self._holding.has_given_way:
            raise errors.ResponseDropped('response gave way')

    def close(self) -> None:
        """Free the bytes."""
        self._holding.close()

    async def _receive(self) -> bytes:
        """Return received bytes, b'' if the response ends with them."""
        try:
            return await self._stream.receive(const.RECEIVE_BYTES)
        except anyio.EndOfStream as end:
            self.raise_if_dropped()
            if self.reader.finish():
                return b''
            raise errors.ExchangeBroken('response ended early') from end
        except _CONNECTION_ERRORS as error:
            self.raise_if_dropped()
            raise errors.ExchangeBroken(
                'connection reset while receiving'
            ) from error

    def _give_way(self) -> None:
        """Drop the bytes and end the wait for more."""
        self.reader.discard()
        raw = self._stream.extra(anyio.abc.SocketAttribute.raw_socket)
        with contextlib.suppress(OSError):
            raw.shutdown(socket.SHUT_RDWR)


class Response:
    """Response whose body is received in parts.

    `is_refusal`, `names_request` and `is_foreign` are set by callers that
    understand the response. After a foreign one, each later response on the
    connection may be that of an earlier request, so that it is closed.
    """

    def __init__(
        self,
        receiver: _Receiver,
        *,
        is_first: bool,
    ) -> None:
        """Initialize the response; its head has been read.

        `is_first` is set if there was none before it on the connection.
        """
        self._receiver = receiver
        self._reader = receiver.reader
        self.is_first = is_first
        self.head = typing.cast('messages.Head', receiver.reader.head)
        self.is_refusal = False
        self.names_request = False
        self.is_foreign = False

    async def receive(self, kept_bytes: int = 0) -> bytes:
        """Return the next part of the body, b'' at its end.

        `kept_bytes` is the size of earlier parts that the caller still keeps.
        """
        self._receiver.raise_if_dropped()
        part = self._reader.take_body()
        while not part and not self._reader.complete:
            await self._receiver.receive(kept_bytes)
            part = self._reader.take_body()
        return part

    async def read(self, limit: int) -> bytes:
        """Return the whole body; raise ExchangeBroken above the limit."""
        if _announced_bytes(self.head) > limit:
            raise errors.ExchangeBroken(_too_large(limit))
        body = bytearray()
        part = await self.receive()
        while part:
            body += part
            if len(body) > limit:
                raise errors.ExchangeBroken(_too_large(limit))
            part = await self.receive(len(body))
        return bytes(body)


class Client:
    """Sends calls and reuses idle connections."""

    def __init__(self, budget: byte_budgets.ByteBudget | None = None) -> None:
        """Initialize the client without connections.

        The budget limits the received bytes; without it, their sum has no
        limit.
        """
        self._budget = budget or byte_budgets.ByteBudget(math.inf)
        self._idle_by_address: dict[models.Address, list[_IdleConnection]] = {}
        self.connections_opened = 0

    async def close(self) -> None:
        """Close all idle connections."""
        for idle_connections in self._idle_by_address.values():
            for idle in idle_connections:
                await idle.connection.stream.aclose()
        self._idle_by_address.clear()

    @contextlib.asynccontextmanager
    async def open(self, call: Call) -> typing.AsyncIterator[Response]:
        """Send a call; leaving the context early closes the connection.

        Raises Withdrawn if the call is no longer wanted.
        """
        connection = await self._connect(call)
        reader = messages.ResponseReader(call.method)
        receiver = _Receiver(connection.stream, reader, self._budget)
        kept: _Connection | None = None
        try:
            await _send(connection.stream, call)
            response = await _read_head(connection, receiver)
            yield response
            kept = _after_response(connection, response, reader, call)
        finally:
            receiver.close()
            if kept is None or not self._keep_idle(call, kept, reader):
                with anyio.CancelScope(shield=True):
                    await connection.stream.aclose()

    async def fetch(
        self,
        call: Call,
        limit: int,
    ) -> tuple[messages.Head, bytes]:
        """Return the head and the whole body of a response."""
        async with self.open(call) as response:
            return response.head, await response.read(limit)

    async def _connect(self, call: Call) -> _Connection:
        """Return a usable idle connection or a new one."""
        if not call.needs_new_connection:
            connection = await self._take_idle(call)
            if connection is not None:
                return connection
        try:
            with anyio.fail_after(const.CONNECT_TIMEOUT_SECONDS):
                stream = await anyio.connect_tcp(
                    call.address.ip,
                    call.address.port,
                )
        except (OSError, TimeoutError) as error:
            error_type = errors.NotConnected
            if errors.has_cause(error, ConnectionRefusedError):
                error_type = errors.ConnectionRefused
            raise error_type(
                f'{call.address} did not accept a connection: {error!r}',
            ) from error
        self.connections_opened += 1
        _enable_keepalive(stream.extra(anyio.abc.SocketAttribute.raw_socket))
        return _Connection(stream)

    async def _take_idle(self, call: Call) -> _Connection | None:
        """Return the newest suitable connection that is still open.

        One on which this request was refused is closed.
        """
        while True:
            idle = self._pop_idle(call)
            if idle is None:
                return None
            connection, usable_until_seconds = idle
            raw = connection.stream.extra(anyio.abc.SocketAttribute.raw_socket)
            is_unexpired = anyio.current_time() < usable_until_seconds
            is_fresh = call.request_id not in connection.refused_ids
            if is_unexpired and is_fresh and not sockets.is_readable(raw):
                return connection
            await connection.stream.aclose()

    def _pop_idle(self, call: Call) -> _IdleConnection | None:
        """Remove and return the newest idle connection that suits a call."""
        idle_connections = self._idle_by_address.get(call.address, [])
        for idle in reversed(idle_connections):
            if idle.connection.names_requests or not call.needs_own_response:
                idle_connections.remove(idle)
                return idle
        return None

    def _keep_idle(
        self,
        call: Call,
        connection: _Connection,
        reader: messages.ResponseReader,
    ) -> bool:
        """Keep a connection for the keep-alive timeout of its peer.

        Returns False if it must be closed instead. Calls that need their own
        response would add one each, so that only the first of these is kept.
        """
        head = typing.cast('messages.Head', reader.head)
        timeout = _KEEP_ALIVE_TIMEOUT.search(head.header(b'keep-alive'))
        if timeout is None:
            return False
        idle_seconds = int(timeout.group(1)) - const.IDLE_MARGIN_SECONDS
        idle_connections = self._idle_by_address.setdefault(call.address, [])
        limit = const.MAX_IDLE_CONNECTIONS_PER_ADDRESS
        if call.needs_own_response and not connection.names_requests:
            limit = 1
        is_full = len(idle_connections) >= limit
        if is_full or idle_seconds <= 0:
            return False
        usable_until = anyio.current_time() + idle_seconds
        idle_connections.append(_IdleConnection(connection, usable_until))
        return True


def _after_response(
    connection: _Connection,
    response: Response,
    reader: messages.ResponseReader,
    call: Call,
) -> _Connection | None:
    """Return a connection after a response, None if it must not be kept.

    A refusal that names no request could be taken for that of any later one.
    """
    if response.is_foreign or not reader.keeps_alive():
        return None
    connection = connection._replace(
        is_new=False,
        names_requests=response.names_request
        and (connection.is_new or connection.names_requests),
    )
    if not response.is_refusal:
        return connection
    refused_ids = connection.refused_ids | {call.request_id}
    is_full = len(refused_ids) > const.MAX_REFUSALS_PER_CONNECTION
    if is_full or not response.names_request:
        return None
    return connection._replace(refused_ids=refused_ids)


async def _send(stream: anyio.abc.ByteStream, call: Call) -> None:
    """Send a request; raise ExchangeBroken if the peer has closed.

    Raises Withdrawn if it is no longer wanted.
    """
    if call.is_wanted is not None and not call.is_wanted():
        raise errors.Withdrawn(f'{call.address} is not called')
    head = messages.request_head_bytes(
        call.method,
        call.target,
        call.headers,
        call.body,
    )
    try:
        await sending.send(stream, head, call.body)
    except _CONNECTION_ERRORS as error:
        raise errors.ExchangeBroken(
            'connection closed while sending'
        ) from error


async def _read_head(connection: _Connection, receiver: _Receiver) -> Response:
    """Return the response as soon as its head has arrived."""
    while receiver.reader.head is None:
        await receiver.receive()
    return Response(receiver, is_first=connection.is_new)


def _announced_bytes(head: messages.Head) -> float:
    """Return the length of a body that its head tells, 0 without one."""
    length = head.header(b'content-length')
    if not length.isdigit():
        return 0
    if len(length) > const.LENGTH_DIGITS_LIMIT:
        return math.inf
    return int(length)


def _too_large(limit: int) -> str:
    """Return why a body is not read."""
    return f'response body exceeds {limit} bytes'


def _enable_keepalive(raw: socket.socket) -> None:
    """Let the kernel close a connection whose peer stops responding."""
    raw.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    options = (
        (socket.TCP_KEEPIDLE, const.KEEP_ALIVE_IDLE_SECONDS),
        (socket.TCP_KEEPINTVL, const.KEEP_ALIVE_INTERVAL_SECONDS),
        (socket.TCP_KEEPCNT, const.KEEP_ALIVE_PROBES),
        (socket.TCP_USER_TIMEOUT, const.USER_TIMEOUT_MILLISECONDS),
    )
    for option, setting in options:
        raw.setsockopt(socket.IPPROTO_TCP, option, setting)
