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


class Link:
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
        self._connecting = anyio.Lock()
        self._connection: connection.Connection | None = None
        self._heard_at_seconds = 0.0

    async def start(self) -> None:
        """Connect unless connected; raise ConnectionLost if refused."""
        async with self._connecting:
            if self._connection is not None and not self._connection.closed:
                return
            with anyio.move_on_after(const.HEARTBEAT_TIMEOUT_SECONDS):
                await self._connect()
                return
        raise errors.ConnectionLost(f'{self.address} did not answer')

    def post(self, message: models.Message) -> None:
        """Queue a message; without a connection it is dropped."""
        if self._connection is not None:
            self._connection.post(message)

    async def close(self) -> None:
        """Close the connection."""
        if self._connection is not None:
            await self._connection.close()

    async def _connect(self) -> None:
        """Open the connection and start its tasks."""
        opened = await connection.connect(self.address)
        self._connection = opened
        self._heard_at_seconds = time.monotonic()
        self._tasks.start_soon(opened.run)
        self._tasks.start_soon(self._receive, opened)
        self._tasks.start_soon(self._probe, opened)

    async def _receive(self, opened: connection.Connection) -> None:
        """Hand on what the peer sends until the connection is lost."""
        try:
            while True:
                await self._receive_once(opened)
        except errors.WireError:
            await opened.close()
            self._on_lost()

    async def _receive_once(self, opened: connection.Connection) -> None:
        """Hand on the next messages."""
        for message in await opened.receive():
            self._heard_at_seconds = time.monotonic()
            self._receiver(message)

    async def _probe(self, opened: connection.Connection) -> None:
        """Close the connection when a busy peer has gone silent."""
        nonce = 0
        while not opened.closed:
            await anyio.sleep(const.HEARTBEAT_INTERVAL_SECONDS)
            if not self._is_busy():
                self._heard_at_seconds = time.monotonic()
                continue
            nonce += 1
            opened.post(models.Heartbeat(nonce))
            silence = time.monotonic() - self._heard_at_seconds
            if silence > const.HEARTBEAT_TIMEOUT_SECONDS:
                await opened.close()
