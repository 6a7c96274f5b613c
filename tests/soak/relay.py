"""Loopback relay that delays, silences, cuts or resets connections."""

import socket
import struct

import anyio
import anyio.abc

from tests import loopback

_RESET = struct.pack('ii', 1, 0)
_DELAY_SECONDS = 0.15


class Relay:
    """Passes bytes to a target; `fault` changes how."""

    def __init__(self, target):
        """Keep the target; nothing listens yet."""
        self.address = loopback.free_address()
        self.fault = ''
        self._target = target
        self._scopes = set()

    async def serve(self):
        """Relay connections until cancelled."""
        listener = await anyio.create_tcp_listener(
            local_host=self.address.ip,
            local_port=self.address.port,
        )
        await listener.serve(self._relay)

    def reset_all(self):
        """End all open connections by a reset."""
        for scope in tuple(self._scopes):
            scope.cancel()

    async def _relay(self, caller):
        """Relay one connection; a cancelled one is reset."""
        with anyio.CancelScope() as scope:
            self._scopes.add(scope)
            try:
                await self._connect(caller)
            except (OSError, anyio.BrokenResourceError, anyio.EndOfStream):
                scope.cancel()
            finally:
                self._scopes.discard(scope)
        if scope.cancel_called:
            _reset(caller)
        with anyio.CancelScope(shield=True):
            await caller.aclose()

    async def _connect(self, caller):
        """Relay both directions of a connection."""
        async with await anyio.connect_tcp(
            self._target.ip,
            self._target.port,
        ) as target:
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(self._pump, caller, target, 'requests')
                tasks.start_soon(self._pump, target, caller, 'answers')

    async def _pump(self, source, sink, direction):
        """Pass bytes on until an end; faults hold them up or drop them."""
        try:
            async for part in source:
                if self.fault == 'delayed':
                    await anyio.sleep(_DELAY_SECONDS)
                silenced = self.fault in {'silent', f'no {direction}'}
                if not silenced:
                    await sink.send(part)
            await sink.send_eof()
        except (anyio.BrokenResourceError, anyio.ClosedResourceError):
            self.reset_all()


def _reset(stream):
    """Let the close of a connection be a reset, unless it is closed."""
    raw = stream.extra(anyio.abc.SocketAttribute.raw_socket)
    if raw.fileno() >= 0:
        raw.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, _RESET)
