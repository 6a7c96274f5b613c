"""Messages between entries: configuration, leases and crash marks."""

import collections.abc
import functools
import random

import anyio
import anyio.abc

from nutmegtrail import models as shared_models
from nutmegtrail.adapters.peers import link
from nutmegtrail.membership import view as membership_view
from nutmegtrail.wire import errors
from nutmegtrail.wire import models

Post = collections.abc.Callable[[models.Message], None]
Receiver = collections.abc.Callable[[models.Message, Post], None]


class EntryMesh:
    """Sends messages to other entries by host name; losses are tolerated."""

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
        """Return the other entries."""
        return tuple(self._addresses_by_host)

    def follow(self, view: membership_view.View) -> None:
        """Take the other entries over from the membership."""
        self._addresses_by_host = {
            host.host: host.address
            for host in view.entries_by_host.values()
            if host.host != self._host and not host.leaving
        }

    def sample(self, count: int) -> tuple[str, ...]:
        """Return random other entries."""
        hosts = sorted(self._addresses_by_host)
        return tuple(self._generator.sample(hosts, min(count, len(hosts))))

    def send(self, host: str, message: models.Message) -> None:
        """Send a message to an entry; it may be lost."""
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
        """Return a new link to an entry."""
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
    """Return that no call waits on a link between entries."""
    return False
