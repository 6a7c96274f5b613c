"""Messages to peers by name, over connections opened when needed."""

import collections.abc
import functools
import random

import anyio
import anyio.abc

from nutmegtrail import models as shared_models
from nutmegtrail.adapters.peers import link
from nutmegtrail.wire import errors
from nutmegtrail.wire import models

Post = collections.abc.Callable[[models.Message], None]
Receiver = collections.abc.Callable[[models.Message, Post], None]


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
        self._links_by_host: dict[str, link.Link] = {}

    @property
    def hosts(self) -> tuple[str, ...]:
        """Return the peers."""
        return tuple(self._addresses_by_host)

    def follow(
        self,
        addresses_by_host: collections.abc.Mapping[str, shared_models.Address],
    ) -> None:
        """Take the peers over from the membership."""
        self._addresses_by_host = {
            host: address
            for host, address in addresses_by_host.items()
            if host != self._host
        }

    def sample(self, count: int) -> tuple[str, ...]:
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
        chosen = self._links_by_host.get(host)
        if chosen is None or chosen.address != address:
            chosen = self._create_link(host, address)
        try:
            await chosen.start()
        except errors.ConnectionLost:
            return
        chosen.post(message)

    def _create_link(
        self, host: str, address: shared_models.Address
    ) -> link.Link:
        """Return a new link to a peer."""
        created = link.Link(
            address,
            functools.partial(self._receive, host),
            _ignore_loss,
            _never_busy,
            self._tasks,
        )
        self._links_by_host[host] = created
        return created

    def _receive(self, host: str, message: models.Message) -> None:
        """Hand on a message with the way back to its sender."""
        self._receiver(message, functools.partial(self.send, host))


def _ignore_loss() -> None:
    """Leave a lost connection to the next message."""


def _never_busy() -> bool:
    """Return that no call waits on a link between peers."""
    return False
