"""A client of one peer, connected on demand and checked by heartbeats."""

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
    """Exchanges messages with a peer over one connection at a time.

    `on_lost` is called once for each connection that is lost.
    """

    def __init__(
        self,
        address: shared_models.Address,
        receiver: Receiver,
        on_lost: collections.abc.Callable[[], None],
        is_busy: collections.abc.Callable[[], bool],
        tasks: anyio.abc.TaskGroup,
        budgets: connection.Budgets,
    ) -> None:
        """Initialize the client without a connection."""
        self._budgets = budgets
        self.address = address
        self._receiver = receiver
        self._on_lost = on_lost
        self._is_busy = is_busy
        self._tasks = tasks
        self._connect_lock = anyio.Lock()
        self._connection: connection.Connection | None = None
        self._last_received_at_seconds = 0.0

    async def ensure_connected(self) -> None:
        """Connect unless connected; raise ConnectionLost on failure."""
        async with self._connect_lock:
            if self._connection is not None and not self._connection.is_closed:
                return
            with anyio.move_on_after(const.HEARTBEAT_TIMEOUT_SECONDS):
                await self._connect()
                return
        raise errors.ConnectionLost(f'{self.address} timed out on connecting')

    def enqueue(self, message: models.Message) -> None:
        """Queue a message; drop it if there is no connection."""
        if self._connection is not None:
            self._connection.enqueue(message)

    async def close(self) -> None:
        """Close the connection."""
        if self._connection is not None:
            await self._connection.close()

    async def _connect(self) -> None:
        """Open a connection and start its tasks."""
        opened = await connection.connect(self.address, self._budgets)
        self._connection = opened
        self._last_received_at_seconds = time.monotonic()
        self._tasks.start_soon(opened.run)
        self._tasks.start_soon(self._receive, opened)
        self._tasks.start_soon(self._send_heartbeats, opened)

    async def _receive(self, opened: connection.Connection) -> None:
        """Pass on the peer's messages until the connection is lost."""
        try:
            while True:
                await self._receive_batch(opened)
        except errors.WireError:
            await opened.close()
            self._on_lost()

    async def _receive_batch(self, opened: connection.Connection) -> None:
        """Pass on the messages of one read."""
        for message in await opened.receive():
            self._last_received_at_seconds = time.monotonic()
            self._receiver(message)

    async def _send_heartbeats(self, opened: connection.Connection) -> None:
        """Send heartbeats while calls wait; close a silent connection."""
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
