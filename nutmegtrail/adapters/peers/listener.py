"""The TCP server on which a process receives messages from its peers."""

import collections.abc
import typing

import anyio
import anyio.abc

from nutmegtrail import models as shared_models
from nutmegtrail.adapters.peers import connection
from nutmegtrail.wire import errors
from nutmegtrail.wire import models

SendMessage: typing.TypeAlias = collections.abc.Callable[[models.Message], None]
Receiver: typing.TypeAlias = collections.abc.Callable[
    [models.Message, SendMessage], None
]


class Listener:
    """Accepts connections and passes their messages to a receiver."""

    def __init__(
        self,
        address: shared_models.Address,
        receiver: Receiver,
        on_lost: collections.abc.Callable[[SendMessage], None],
        budgets: connection.Budgets,
    ) -> None:
        """Initialize the listener without opening its port."""
        self._budgets = budgets
        self._address = address
        self._receiver = receiver
        self._on_lost = on_lost

    async def serve(self) -> None:
        """Accept connections until cancelled."""
        listener = await anyio.create_tcp_listener(
            local_host=self._address.ip,
            local_port=self._address.port,
        )
        await listener.serve(self._serve_peer)

    async def _serve_peer(self, stream: anyio.abc.SocketStream) -> None:
        """Serve one connection until it is lost."""
        peer_connection = connection.Connection(stream, self._budgets)
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(peer_connection.run)
            try:
                await self._receive(peer_connection)
            except errors.WireError:
                await peer_connection.close()
        self._on_lost(peer_connection.enqueue)

    async def _receive(self, peer_connection: connection.Connection) -> None:
        """Pass on messages until the connection is lost."""
        while True:
            for message in await peer_connection.receive():
                self._receiver(message, peer_connection.enqueue)
