"""TCP relay on loopback that delays, drops or resets traffic."""

import socket
import struct

import anyio
import anyio.abc

from tests import loopback

# SO_LINGER enabled with a timeout of 0 s: closing the socket sends a reset.
_LINGER_RESET = struct.pack('ii', 1, 0)
_PAUSE_CHECK_SECONDS = 0.02
_DELAY_SECONDS = 0.15


class Relay:
    """TCP relay to a target address.

    `fault` is empty for normal forwarding. 'delayed' delays every chunk,
    'silent' drops all traffic, 'no requests' and 'no answers' drop the
    traffic of one direction. While `is_paused` is set, traffic is held back
    and goes on afterwards.
    """

    def __init__(self, target_address):
        """Initialize the relay without starting its listener."""
        self.address = loopback.free_address()
        self.fault = ''
        self.is_paused = False
        self._target_address = target_address
        self._connection_scopes = set()

    async def serve(self):
        """Relay connections until cancelled."""
        listener = await anyio.create_tcp_listener(
            local_host=self.address.ip,
            local_port=self.address.port,
        )
        await listener.serve(self._handle_connection)

    def reset_connections(self):
        """Reset all open connections."""
        for scope in tuple(self._connection_scopes):
            scope.cancel()

    async def _handle_connection(self, client):
        """Relay one connection; reset it if it fails or is cancelled."""
        with anyio.CancelScope() as scope:
            self._connection_scopes.add(scope)
            try:
                await self._forward_connection(client)
            except (OSError, anyio.BrokenResourceError, anyio.EndOfStream):
                scope.cancel()
            finally:
                self._connection_scopes.discard(scope)
        if scope.cancel_called:
            _enable_reset_on_close(client)
        with anyio.CancelScope(shield=True):
            await client.aclose()

    async def _forward_connection(self, client):
        """Connect to the target and forward both directions."""
        async with await anyio.connect_tcp(
            self._target_address.ip,
            self._target_address.port,
        ) as target:
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(self._forward, client, target, 'requests')
                tasks.start_soon(self._forward, target, client, 'answers')

    async def _forward(self, source, sink, direction):
        """Forward one direction until its end, subject to the fault."""
        try:
            async for chunk in source:
                while self.is_paused:
                    await anyio.sleep(_PAUSE_CHECK_SECONDS)
                if self.fault == 'delayed':
                    await anyio.sleep(_DELAY_SECONDS)
                is_dropped = self.fault in {'silent', f'no {direction}'}
                if not is_dropped:
                    await sink.send(chunk)
            await sink.send_eof()
        except (anyio.BrokenResourceError, anyio.ClosedResourceError):
            self.reset_connections()


def _enable_reset_on_close(stream):
    """Make closing a stream reset its connection, unless already closed."""
    raw_socket = stream.extra(anyio.abc.SocketAttribute.raw_socket)
    if raw_socket.fileno() >= 0:
        raw_socket.setsockopt(
            socket.SOL_SOCKET, socket.SO_LINGER, _LINGER_RESET
        )
