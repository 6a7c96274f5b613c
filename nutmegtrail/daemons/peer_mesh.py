"""Delivery of messages to named peers over connections opened on demand."""

import collections.abc
import functools
import random

import anyio
import anyio.abc

from nutmegtrail import models as shared_models
from nutmegtrail.adapters.peers import client
from nutmegtrail.adapters.peers import connection
from nutmegtrail.wire import errors
from nutmegtrail.wire import models

SendMessage = collections.abc.Callable[[models.Message], None]
Receiver = collections.abc.Callable[[models.Message, SendMessage], None]


class PeerMesh:
    """Sends messages to peers by name, without a guarantee of delivery."""

    def __init__(
        self,
        host: str,
        receiver: Receiver,
        generator: random.Random,
        tasks: anyio.abc.TaskGroup,
        budgets: connection.Budgets,
    ) -> None:
        """Initialize the mesh without peers."""
        self._budgets = budgets
        self._host = host
        self._receiver = receiver
        self._generator = generator
        self._tasks = tasks
        self._addresses_by_host: dict[str, shared_models.Address] = {}
        self._clients_by_host: dict[str, client.PeerClient] = {}

    @property
    def hosts(self) -> tuple[str, ...]:
        """Return the names of the peers."""
        return tuple(self._addresses_by_host)

    def update_peers(
        self,
        addresses_by_host: collections.abc.Mapping[str, shared_models.Address],
    ) -> None:
        """Replace the peers by those of the membership, without this host."""
        self._addresses_by_host = {
            host: address
            for host, address in addresses_by_host.items()
            if host != self._host
        }

    def sample_hosts(self, count: int) -> tuple[str, ...]:
        """Return up to `count` random peers."""
        hosts = sorted(self._addresses_by_host)
        return tuple(self._generator.sample(hosts, min(count, len(hosts))))

    def send(self, host: str, message: models.Message) -> None:
        """Send a message to a peer in the background; it may be lost."""
        self._tasks.start_soon(self._send, host, message)

    async def _send(self, host: str, message: models.Message) -> None:
        """Connect if needed and send; drop the message on failure."""
        address = self._addresses_by_host.get(host)
        if address is None:
            return
        peer_client = self._clients_by_host.get(host)
        if peer_client is None or peer_client.address != address:
            peer_client = self._create_client(host, address)
        try:
            await peer_client.ensure_connected()
        except errors.ConnectionLost:
            return
        peer_client.enqueue(message)

    def _create_client(
        self, host: str, address: shared_models.Address
    ) -> client.PeerClient:
        """Create and store the client of a peer."""
        created = client.PeerClient(
            address,
            functools.partial(self._receive, host),
            _ignore_disconnect,
            _never_busy,
            self._tasks,
            self._budgets,
        )
        self._clients_by_host[host] = created
        return created

    def _receive(self, host: str, message: models.Message) -> None:
        """Pass a message to the receiver with a callback for replies."""
        self._receiver(message, functools.partial(self.send, host))


def _ignore_disconnect() -> None:
    """Ignore a lost connection; the next message opens a new one."""


def _never_busy() -> bool:
    """Return False: no call waits on a connection between peers."""
    return False
