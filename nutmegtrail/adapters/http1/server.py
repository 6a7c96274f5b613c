"""HTTP/1.1 server that detects disconnects while it handles a request."""

import http
import math
import typing

import anyio
import anyio.abc
import anyio.lowlevel
import anyio.streams.stapled

from nutmegtrail import const as shared_const
from nutmegtrail import models
from nutmegtrail.adapters.http1 import const
from nutmegtrail.adapters.http1 import errors
from nutmegtrail.adapters.http1 import messages
from nutmegtrail.adapters.http1 import sending
from nutmegtrail.adapters.http1 import silent_connections
from nutmegtrail.adapters.http1 import sockets
from nutmegtrail.byte_budget import budget as byte_budgets
from nutmegtrail.byte_budget import errors as budget_errors
from nutmegtrail.byte_budget import models as budget_models
from nutmegtrail.observability import logs

Handler: typing.TypeAlias = typing.Callable[
    ['Exchange'], typing.Awaitable[None]
]
RefusalHeaders: typing.TypeAlias = typing.Callable[
    [messages.Request], messages.Headers
]

_Listener: typing.TypeAlias = anyio.streams.stapled.MultiListener[
    anyio.abc.SocketStream
]


def _no_headers(_: messages.Request) -> messages.Headers:
    """Return no headers."""
    return ()


class ConnectionLimits(typing.NamedTuple):
    """Size limits and timeouts of a connection.

    Above the number of `silent_connections`, those are closed on which no byte
    has arrived within the header timeout.
    """

    sizes: messages.SizeLimits
    header_timeout_seconds: float
    idle_timeout_seconds: float
    silent_connections: int = const.SILENT_CONNECTIONS_LIMIT


LimitsSource: typing.TypeAlias = typing.Callable[[], ConnectionLimits]


class Exchange:
    """Request and its response."""

    def __init__(
        self,
        request: messages.Request,
        stream: anyio.abc.ByteStream,
        received_at_seconds: float,
        must_close: typing.Callable[[], bool],
        budget: byte_budgets.ByteBudget | None = None,
    ) -> None:
        """Initialize the exchange; nothing has been sent."""
        self.request = request
        self.received_at_seconds = received_at_seconds
        self.status = 0
        self.has_started = False
        self.is_complete = False
        self.keep_alive = request.keep_alive
        self._stream = stream
        self._must_close = must_close
        self._budget = budget or byte_budgets.ByteBudget(math.inf)

    async def respond(
        self,
        status: int,
        headers: messages.Headers,
        payload: bytes,
    ) -> None:
        """Send a complete response."""
        length = (b'content-length', b'%d' % len(payload))
        head = self._head(status, (*headers, length))
        await self._start(head, payload)
        self.is_complete = True

    async def start_chunked(
        self,
        status: int,
        headers: messages.Headers,
        payload: bytes,
    ) -> None:
        """Send the head and the first part of a chunked body."""
        encoding = (b'transfer-encoding', b'chunked')
        head = self._head(status, (*headers, encoding))
        await self._start(head, messages.chunk(payload))

    async def write(self, payload: bytes) -> None:
        """Send the next part of a chunked body."""
        await self._send(messages.chunk(payload))

    async def finish(self) -> None:
        """End a chunked body."""
        await self._send(messages.LAST_CHUNK)
        self.is_complete = True

    def _head(self, status: int, headers: messages.Headers) -> bytes:
        """Return the response head; announce if the connection closes."""
        self.status = status
        if self._must_close():
            self.keep_alive = False
        if not self.keep_alive:
            headers = (*headers, (b'connection', b'close'))
        return messages.response_head_bytes(status, headers)

    async def _start(self, head: bytes, payload: bytes) -> None:
        """Send the first bytes of the response.

        If it is cancelled before it sends them, the response has not started
        and the handler can send another one.
        """
        await anyio.lowlevel.checkpoint_if_cancelled()
        self.has_started = True
        await self._send(payload, head)

    async def _send(self, payload: bytes, head: bytes = b'') -> None:
        """Send bytes; raise ClientDisconnected on failure or timeout.

        All but small ones count until they are sent, and the connection is
        given up if they have to give way.
        """
        if len(payload) <= const.UNCOUNTED_BYTES:
            await self._send_in_time(head, payload)
            return
        scope = anyio.CancelScope()
        holding = self._budget.open(budget_models.Kind.DELIVERY, scope.cancel)
        try:
            with scope:
                holding.grow(len(payload))
                await self._send_in_time(head, payload)
        except budget_errors.GaveWay as error:
            raise errors.ClientDisconnected('no room to deliver') from error
        finally:
            holding.close()
        if scope.cancelled_caught:
            logs.decision('client:gave-way', status=self.status)
            raise errors.ClientDisconnected('delivery gave way')

    async def _send_in_time(self, head: bytes, payload: bytes) -> None:
        """Send bytes; raise ClientDisconnected on failure or timeout."""
        try:
            with anyio.fail_after(const.CLIENT_WRITE_TIMEOUT_SECONDS):
                await sending.send(self._stream, head, payload)
        except TimeoutError as error:
            logs.decision(
                'client:stopped-reading',
                status=self.status,
                timeout_seconds=const.CLIENT_WRITE_TIMEOUT_SECONDS,
            )
            raise errors.ClientDisconnected('client stopped reading') from error
        except (
            anyio.BrokenResourceError,
            anyio.ClosedResourceError,
        ) as error:
            raise errors.ClientDisconnected('client disconnected') from error


class Server:
    """Server that passes all requests at an address to a handler."""

    def __init__(
        self,
        address: models.Address,
        handler: Handler,
        limits: LimitsSource,
        budget: byte_budgets.ByteBudget | None = None,
        refusal_headers: RefusalHeaders = _no_headers,
    ) -> None:
        """Initialize the server without listening.

        The budget limits the kept bytes of requests and responses; without
        it, their sum has no limit. `refusal_headers` returns the headers of
        the response to a request for which there is no room.
        """
        self.address = address
        self._refusal_headers = refusal_headers
        self._budget = budget or byte_budgets.ByteBudget(math.inf)
        self._handler = handler
        self._limits = limits
        self._listener: _Listener | None = None
        self._accept_scope: anyio.CancelScope | None = None
        self._idle_scopes: set[anyio.CancelScope] = set()
        self._partial_scopes: set[anyio.CancelScope] = set()
        self._open_exchanges: set[Exchange] = set()
        self._silent_connections = silent_connections.SilentConnections()
        self.is_stopping = False
        self.is_closed = False
        self.is_cut = False

    async def start(self) -> None:
        """Start listening; connections are queued until `serve`."""
        listeners = await anyio.create_tcp_listener(
            local_host=self.address.ip,
            local_port=self.address.port,
            backlog=const.LISTEN_BACKLOG,
        )
        self._listener = listeners

    async def serve(self) -> None:
        """Serve connections until the listener is closed."""
        if self._listener is None:
            await self.start()
        listener = typing.cast('_Listener', self._listener)
        async with anyio.create_task_group() as tasks:
            self._accept_scope = anyio.CancelScope()
            with self._accept_scope:
                await self._accept(listener, tasks)
            # Closing the listener resets connections that are not accepted yet.
            with anyio.move_on_after(const.ACCEPT_PENDING_SECONDS):
                for each in listener.listeners:
                    await self._accept_pending(
                        typing.cast('anyio.abc.SocketListener', each), tasks
                    )
            await listener.aclose()

    async def _accept(
        self,
        listener: _Listener,
        tasks: anyio.abc.TaskGroup,
    ) -> None:
        """Accept connections until cancelled."""
        async with anyio.create_task_group() as accepting:
            for each in listener.listeners:
                accepting.start_soon(
                    self._accept_from,
                    typing.cast('anyio.abc.SocketListener', each),
                    tasks,
                )

    async def _accept_from(
        self,
        listener: anyio.abc.SocketListener,
        tasks: anyio.abc.TaskGroup,
    ) -> None:
        """Accept connections; go on after a failure.

        A connection that cannot be accepted, for example because the process
        has too many open files, must not affect the others. Only the wait is
        cancelled, since a cancelled `accept` may lose a connection.
        """
        raw = listener.extra(anyio.abc.SocketAttribute.raw_socket)
        while True:
            await anyio.wait_readable(raw)
            if not await self._accept_pending(listener, tasks):
                await anyio.sleep(const.ACCEPT_RETRY_SECONDS)

    async def _accept_pending(
        self,
        listener: anyio.abc.SocketListener,
        tasks: anyio.abc.TaskGroup,
    ) -> bool:
        """Accept the connections that wait; return whether none failed."""
        raw = listener.extra(anyio.abc.SocketAttribute.raw_socket)
        while sockets.is_readable(raw):
            try:
                with anyio.CancelScope(shield=True):
                    stream = await listener.accept()
            except OSError:
                logs.failure(
                    'connection:not-accepted', address=str(self.address)
                )
                return False
            tasks.start_soon(self._serve_connection, stream)
        return True

    async def wait_for_open_requests(self) -> None:
        """Wait until the requests that are handled now have ended."""
        awaited = frozenset(self._open_exchanges)
        while awaited & self._open_exchanges:
            await anyio.sleep(const.OPEN_REQUESTS_POLL_SECONDS)

    def stop(self) -> None:
        """Close connections after their requests that have been received."""
        self.is_stopping = True

    def close(self) -> None:
        """Stop listening and close idle connections."""
        self.is_stopping = True
        self.is_closed = True
        if self._accept_scope is not None:
            self._accept_scope.cancel()
        for scope in tuple(self._idle_scopes):
            scope.cancel()

    def cut(self) -> None:
        """Refuse requests that have not arrived as a whole."""
        self.is_cut = True
        for scope in tuple(self._partial_scopes):
            scope.cancel()

    async def _serve_connection(self, stream: anyio.abc.SocketStream) -> None:
        """Serve the requests of one connection."""
        try:
            await _Connection(stream, self).run()
        except errors.ClientDisconnected:
            return
        except Exception:
            # A failure in handling one request must not affect the others.
            logs.failure('connection:failed', address=str(self.address))
        finally:
            with anyio.CancelScope(shield=True):
                await stream.aclose()


class _Connection:
    """Connection of one client."""

    def __init__(self, stream: anyio.abc.SocketStream, server: Server) -> None:
        """Initialize the connection; nothing has been read."""
        self._stream = stream
        self._server = server
        limits = server._limits()
        self._reader = messages.RequestReader(limits.sizes)
        self._has_served = False
        self._is_closing = False
        # Whether requests may have been sent before the close was announced.
        self._may_cross = False
        self._refusal: errors.RequestRefused | None = None
        self._rest_scope = anyio.CancelScope()
        self._received = server._budget.open(
            budget_models.Kind.REQUEST, self._give_way
        )
        self._request_since_seconds = math.inf
        self._header_timeout_seconds: float = 0

    async def run(self) -> None:
        """Serve requests until either side closes the connection."""
        try:
            request = await self._next_request()
            while request is not None and await self._serve(request):
                request = await self._next_request()
            if self._may_cross:
                await self._refuse_crossing()
        except errors.RequestRefused as error:
            await self._reject(error)
        finally:
            self._received.close()

    async def _next_request(self) -> messages.Request | None:
        """Return the next request, None if the client sends no more."""
        while not self._reader.ready:
            if self._refusal is not None:
                raise self._refusal
            received = await self._receive()
            if not received:
                return None
            self._feed(received)
        self._request_since_seconds = math.inf
        self._header_timeout_seconds = 0
        return self._reader.take()

    def _feed(self, received: bytes) -> None:
        """Parse received bytes.

        The refusal of an invalid request is kept until the valid ones before
        it have been answered. Bytes behind it belong to no request.
        """
        if self._refusal is not None:
            return
        self._reader.limits = self._server._limits().sizes
        try:
            self._reader.feed(received)
        except errors.RequestRefused as error:
            self._refusal = error
        self._count_received()

    def _count_received(self) -> None:
        """Count the requests that wait; refuse them if there is no room."""
        if self._received.has_given_way:
            return
        try:
            self._received.resize(self._reader.kept_bytes)
        except budget_errors.GaveWay:
            self._give_way()

    def _give_way(self) -> None:
        """Drop the requests that wait, and refuse the first of them."""
        if self._refusal is None:
            self._refusal = self._no_room(self._reader.peek())
        self._reader.discard()
        self._rest_scope.cancel()

    def _no_room(self, request: messages.Request) -> errors.RequestRefused:
        """Return the refusal of a request that there is no room for."""
        return errors.RequestRefused(
            http.HTTPStatus.SERVICE_UNAVAILABLE,
            'no room for the request',
            self._server._refusal_headers(request),
        )

    async def _receive(self) -> bytes:
        """Return received bytes, b'' at the end or after an idle timeout."""
        if self._reader.has_partial_request:
            return await self._receive_rest()
        if not self._server.is_closed:
            return await self._receive_next()
        if self._has_served:
            return await self._receive_arrived(
                const.ARRIVED_BYTES_TIMEOUT_SECONDS
            )
        return await self._receive_arrived(const.CROSSING_SECONDS)

    async def _receive_next(self) -> bytes:
        """Return the first bytes of a request, b'' after the wait for them.

        The wait for the first request ends early if too many connections wait
        for theirs.
        """
        if self._has_served:
            return await self._receive_first()
        limits = self._server._limits()
        with self._server._silent_connections.waiting(
            limits.silent_connections, limits.header_timeout_seconds
        ):
            return await self._receive_first()
        logs.decision('connection:silent', address=str(self._server.address))
        return await self._receive_arrived(const.CROSSING_SECONDS)

    async def _receive_first(self) -> bytes:
        """Return the first bytes of a request, b'' after an idle timeout.

        If the timeout changes during the wait, the longer one applies, because
        clients use the connection for the current one.
        """
        idle_since = anyio.current_time()
        timeout_seconds = self._server._limits().idle_timeout_seconds
        remaining_seconds = timeout_seconds
        while remaining_seconds > 0:
            with anyio.move_on_after(remaining_seconds) as scope:
                self._server._idle_scopes.add(scope)
                try:
                    return await _receive_or_end(self._stream)
                finally:
                    self._server._idle_scopes.discard(scope)
            if self._server.is_closed:
                break
            current_seconds = self._server._limits().idle_timeout_seconds
            idle_until = idle_since + max(timeout_seconds, current_seconds)
            remaining_seconds = idle_until - anyio.current_time()
        return await self._receive_arrived(const.ARRIVED_BYTES_TIMEOUT_SECONDS)

    async def _receive_rest(self) -> bytes:
        """Return more bytes of a request; refuse it after a timeout.

        It is refused before the timeout if the server stops without it.
        """
        waiting_since = anyio.current_time()
        self._request_since_seconds = min(
            self._request_since_seconds, waiting_since
        )
        remaining_seconds = self._rest_deadline(waiting_since) - waiting_since
        while remaining_seconds > 0 and not self._server.is_cut:
            with anyio.move_on_after(remaining_seconds) as scope:
                self._server._partial_scopes.add(scope)
                self._rest_scope = scope
                try:
                    return await _receive_or_end(self._stream)
                finally:
                    self._server._partial_scopes.discard(scope)
            if self._refusal is not None:
                raise self._refusal
            deadline = self._rest_deadline(waiting_since)
            remaining_seconds = deadline - anyio.current_time()
        raise errors.RequestRefused(
            http.HTTPStatus.REQUEST_TIMEOUT,
            'timed out while receiving the request',
        )

    def _rest_deadline(self, waiting_since_seconds: float) -> float:
        """Return until when to wait for the next bytes of a request.

        The whole request has a limit too: a client that sends a byte now and
        then would otherwise hold its connection for ever. If the timeout
        changes during the request, the longest one applies.
        """
        self._header_timeout_seconds = max(
            self._header_timeout_seconds,
            self._server._limits().header_timeout_seconds,
        )
        return self._header_timeout_seconds + min(
            waiting_since_seconds,
            self._request_since_seconds
            + shared_const.BODY_READ_TIMEOUT_SECONDS,
        )

    async def _receive_arrived(self, timeout_seconds: float) -> bytes:
        """Return bytes that have arrived before the connection closes.

        A request among them is answered, the last one of the connection. The
        timeout must be positive: only then does the event loop read from the
        socket before the wait is cancelled.
        """
        self._is_closing = True
        with anyio.move_on_after(timeout_seconds):
            return await _receive_or_end(self._stream)
        return b''

    async def _serve(self, request: messages.Request) -> bool:
        """Handle a request; return whether the connection stays open.

        Raises RequestRefused if there is no room to keep it meanwhile.
        """
        self._count_received()
        running = self._server._budget.open(budget_models.Kind.RUNNING, _stay)
        try:
            running.grow(request.size_bytes)
        except budget_errors.GaveWay as error:
            raise self._no_room(request) from error
        try:
            return await self._run(request)
        finally:
            running.close()

    async def _run(self, request: messages.Request) -> bool:
        """Run a request; return whether the connection stays open."""
        self._has_served = True
        exchange = Exchange(
            request,
            self._stream,
            anyio.current_time(),
            self._must_close,
            self._server._budget,
        )
        cancelled_error = anyio.get_cancelled_exc_class()
        self._server._open_exchanges.add(exchange)
        try:
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(self._watch_for_disconnect, tasks.cancel_scope)
                await self._handle(exchange)
                tasks.cancel_scope.cancel()
        except cancelled_error:
            await self._end_cancelled(exchange)
            raise
        except Exception:
            logs.failure('request:failed', address=str(self._server.address))
            await self._respond_with_error(exchange)
        finally:
            self._server._open_exchanges.discard(exchange)
        self._may_cross = (
            exchange.is_complete
            and self._server.is_stopping
            and request.keep_alive
        )
        return exchange.is_complete and exchange.keep_alive

    def _must_close(self) -> bool:
        """Return whether a response that starts now announces the close.

        It does not if another request has been received, in whole or in part:
        clients take requests behind the announcement as not read.
        """
        if self._reader.ready or self._reader.has_partial_request:
            return False
        return self._server.is_stopping or self._is_closing

    async def _handle(self, exchange: Exchange) -> None:
        """Call the handler; respond with 502 if it fails before it responds.

        No status that tells callers that the request has not run would be
        true.
        """
        is_connected = True
        try:
            await self._server._handler(exchange)
        except* errors.ClientDisconnected:
            is_connected = False
            exchange.keep_alive = False
        except* Exception:
            logs.failure('request:failed', address=str(self._server.address))
        else:
            self._log_unanswered(exchange)
            return
        if is_connected:
            await self._respond_with_error(exchange)

    def _log_unanswered(self, exchange: Exchange) -> None:
        """Log if the handler has ended without a response."""
        if not exchange.has_started:
            logs.decision(
                'request:unanswered', address=str(self._server.address)
            )

    async def _end_cancelled(self, exchange: Exchange) -> None:
        """Respond with 502 if a stop ends before the request does.

        A server that is cancelled without a stop ends as if it were killed.
        """
        if exchange.is_complete or not self._server.is_stopping:
            return
        logs.decision(
            'request:cancelled',
            address=str(self._server.address),
            has_started=exchange.has_started,
            seconds=round(
                anyio.current_time() - exchange.received_at_seconds, 4
            ),
            pipelined=len(self._reader.ready),
        )
        with anyio.move_on_after(
            const.CANCELLED_RESPONSE_TIMEOUT_SECONDS, shield=True
        ):
            await self._respond_with_error(exchange)

    async def _respond_with_error(self, exchange: Exchange) -> None:
        """Send 502, unless a response has started or the client is gone."""
        if exchange.has_started:
            return
        exchange.keep_alive = False
        try:
            await exchange.respond(http.HTTPStatus.BAD_GATEWAY, (), b'')
        except errors.ClientDisconnected:
            return

    async def _watch_for_disconnect(self, scope: anyio.CancelScope) -> None:
        """Cancel the handling of a request when its client disconnects.

        A client that closes only its sending side counts as disconnected too:
        it cannot be told apart from one that is gone, and upstreams must not
        go on working for that one.
        """
        while len(self._reader.ready) < const.PIPELINED_REQUESTS_LIMIT:
            received = await _receive_or_end(self._stream)
            if not received:
                scope.cancel()
                return
            self._feed(received)

    async def _refuse_crossing(self) -> None:
        """Refuse requests that were sent before the close was known.

        Closing a connection with unread bytes would reset it, and the end of
        the last response could be lost.
        """
        with anyio.move_on_after(const.CROSSING_SECONDS):
            while True:
                while self._reader.ready:
                    self._reader.take()
                    await self._reject(
                        errors.RequestRefused(
                            http.HTTPStatus.SERVICE_UNAVAILABLE,
                            'received after the last request',
                        )
                    )
                received = await _receive_or_end(self._stream)
                if not received:
                    return
                self._feed(received)

    async def _reject(self, error: errors.RequestRefused) -> None:
        """Send an error response to an invalid request."""
        logs.decision(
            'request:refused',
            address=str(self._server.address),
            status=error.status,
            detail=str(error),
        )
        headers = ((b'content-length', b'0'), (b'connection', b'close'))
        payload = messages.response_head_bytes(
            error.status, (*error.headers, *headers)
        )
        try:
            with anyio.move_on_after(const.CLIENT_WRITE_TIMEOUT_SECONDS):
                await self._stream.send(payload)
        except (anyio.BrokenResourceError, anyio.ClosedResourceError):
            return


def _stay() -> None:
    """Keep a running request, which never gives way."""


async def _receive_or_end(stream: anyio.abc.ByteStream) -> bytes:
    """Return received bytes, b'' if the connection has ended."""
    try:
        return await stream.receive(const.RECEIVE_BYTES)
    except (
        anyio.EndOfStream,
        anyio.BrokenResourceError,
        anyio.ClosedResourceError,
    ):
        return b''
