"""A connection to one peer, opened when needed and watched by heartbeats."""

import collections.abc
import time
import typing

import anyio
import anyio.abc

from nutmegtrail import const
from nutmegtrail import models as shared_models
from nutmegtrail.adapters.peers import connection
from nutmegtrail.wire import errors
from nutmegtrail.wire import models

Receiver: typing.TypeAlias = collections.abc.Callable[[models.Message], None]


class PeerClient:
    """Sends messages to a peer; `on_lost` is called once per connection."""

    def __init__(
        self,
        address: shared_models.Address,
        receiver: Receiver,
        on_lost: collections.abc.Callable[[], None],
        is_busy: collections.abc.Callable[[], bool],
        tasks: anyio.abc.TaskGroup,
    ) -> None:
        """Keep the peer's address; nothing is connected yet."""
        self.address = address
        self._receiver = receiver
        self._on_lost = on_lost
        self._is_busy = is_busy
        self._tasks = tasks
        self._connect_lock = anyio.Lock()
        self._connection: connection.Connection | None = None
        self._last_received_at_seconds = 0.0

    async def ensure_connected(self) -> None:
        """Connect unless connected; raise ConnectionLost if refused."""
        async with self._connect_lock:
            if self._connection is not None and not self._connection.is_closed:
                return
            with anyio.move_on_after(const.HEARTBEAT_TIMEOUT_SECONDS):
                await self._connect()
                return
        raise errors.ConnectionLost(f'{self.address} did not answer')

    def enqueue(self, message: models.Message) -> None:
        """Queue a message; without a connection it is dropped."""
        if self._connection is not None:
            self._connection.enqueue(message)

    async def close(self) -> None:
        """Close the connection."""
        if self._connection is not None:
            await self._connection.close()

    async def _connect(self) -> None:
        """Open the connection and start its tasks."""
        opened = await connection.connect(self.address)
        self._connection = opened
        self._last_received_at_seconds = time.monotonic()
        self._tasks.start_soon(opened.run)
        self._tasks.start_soon(self._receive, opened)
        self._tasks.start_soon(self._send_heartbeats, opened)

    async def _receive(self, opened: connection.Connection) -> None:
        """Hand on what the peer sends until the connection is lost."""
        try:
            while True:
                await self._receive_batch(opened)
        except errors.WireError:
            await opened.close()
            self._on_lost()

    async def _receive_batch(self, opened: connection.Connection) -> None:
        """Hand on the next messages."""
        for message in await opened.receive():
            self._last_received_at_seconds = time.monotonic()
            self._receiver(message)

    async def _send_heartbeats(self, opened: connection.Connection) -> None:
        """Close the connection when a busy peer has gone silent."""
        nonce = 0
        while not opened.is_closed:
            await anyio.sleep(const.HEARTBEAT_INTERVAL_SECONDS)
            if not self._is_busy():
                self._last_received_at_seconds = time.monotonic()
                continue
            nonce += 1
            opened.enqueue(models.Heartbeat(nonce))
            silence_seconds = time.monotonic() - self._last_received_at_seconds
            if silence_seconds > const.HEARTBEAT_TIMEOUT_SECONDS:
                await opened.close()
