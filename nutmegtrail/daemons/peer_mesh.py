"""Messages to peers by name, over connections opened when needed."""

import collections.abc
import functools
import random

import anyio
import anyio.abc

from nutmegtrail import models as shared_models
from nutmegtrail.adapters.peers import client
from nutmegtrail.wire import errors
from nutmegtrail.wire import models

SendMessage = collections.abc.Callable[[models.Message], None]
Receiver = collections.abc.Callable[[models.Message, SendMessage], None]


class PeerMesh:
    """Sends messages to peers by name; losses are tolerated."""

    def __init__(
        self,
        host: str,
        receiver: Receiver,
        generator: random.Random,
        tasks: anyio.abc.TaskGroup,
    ) -> None:
        """Start without peers."""
        self._host = host
        self._receiver = receiver
        self._generator = generator
        self._tasks = tasks
        self._addresses_by_host: dict[str, shared_models.Address] = {}
        self._clients_by_host: dict[str, client.PeerClient] = {}

    @property
    def hosts(self) -> tuple[str, ...]:
        """Return the peers."""
        return tuple(self._addresses_by_host)

    def update_peers(
        self,
        addresses_by_host: collections.abc.Mapping[str, shared_models.Address],
    ) -> None:
        """Take the peers over from the membership."""
        self._addresses_by_host = {
            host: address
            for host, address in addresses_by_host.items()
            if host != self._host
        }

    def sample_hosts(self, count: int) -> tuple[str, ...]:
        """Return random peers."""
        hosts = sorted(self._addresses_by_host)
        return tuple(self._generator.sample(hosts, min(count, len(hosts))))

    def send(self, host: str, message: models.Message) -> None:
        """Send a message to a peer; it may be lost."""
        self._tasks.start_soon(self._send, host, message)

    async def _send(self, host: str, message: models.Message) -> None:
        """Connect as needed and send."""
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
        """Return a new link to a peer."""
        created = client.PeerClient(
            address,
            functools.partial(self._receive, host),
            _ignore_disconnect,
            _never_busy,
            self._tasks,
        )
        self._clients_by_host[host] = created
        return created

    def _receive(self, host: str, message: models.Message) -> None:
        """Hand on a message with the way back to its sender."""
        self._receiver(message, functools.partial(self.send, host))


def _ignore_disconnect() -> None:
    """Leave a lost connection to the next message."""


def _never_busy() -> bool:
    """Return that no call waits on a link between peers."""
    return False
