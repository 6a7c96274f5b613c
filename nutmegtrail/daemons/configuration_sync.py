"""Keeps an entry's configuration at the highest revision that exists.

A few readers in each failure domain watch the key-value service; every
new document is pushed on to random entries, and digests that are
exchanged each second repair what a push missed.
"""

import collections.abc
import time
import typing

import anyio

from nutmegtrail.configuration import const
from nutmegtrail.configuration import documents
from nutmegtrail.configuration import models
from nutmegtrail.configuration import replica
from nutmegtrail.daemons import peer_mesh
from nutmegtrail.observability import logs
from nutmegtrail.ports import key_value
from nutmegtrail.wire import models as wire_models

OnChange: typing.TypeAlias = collections.abc.Callable[[models.Document], None]


class ConfigurationSync:
    """Holds the replica; `ready` once a whole configuration is known."""

    def __init__(
        self,
        host: str,
        store: key_value.KeyValueStore,
        mesh: peer_mesh.PeerMesh,
        on_change: OnChange,
        is_reader: collections.abc.Callable[[], bool],
    ) -> None:
        """Keep the collaborators; nothing is known yet."""
        self.replica = replica.Replica()
        self.digest = replica.digest(self.replica)
        self.revision = 0
        self.ready = False
        self._host = host
        self._store = store
        self._mesh = mesh
        self._on_change = on_change
        self._is_reader = is_reader
        self._complete_peers: set[str] = set()
        self._read_revision = 0

    async def run_reader(self) -> None:
        """Read at the start, then watch while this entry is a reader."""
        while True:
            if not self.ready or self._is_reader():
                await self._read_and_watch()
            await anyio.sleep(const.WATCH_RETRY_SECONDS)

    async def run_digests(self) -> None:
        """Compare with a random entry from time to time."""
        while True:
            await anyio.sleep(const.DIGEST_INTERVAL_SECONDS)
            message = wire_models.DocumentDigest(self._host, self.digest)
            for host in self._mesh.sample(1):
                self._mesh.send(host, message)

    def compare_digest(
        self,
        message: wire_models.DocumentDigest,
        post: peer_mesh.Post,
    ) -> None:
        """Answer a digest that differs with all revisions."""
        if message.digest == self.digest:
            self._peer_agrees(message.sender)
        else:
            post(self._vector(reply=True))

    def compare_vector(
        self,
        message: wire_models.DocumentVector,
        post: peer_mesh.Post,
    ) -> None:
        """Push what is newer here and ask for what is newer there."""
        revisions_by_name = dict(
            zip(message.names, message.revisions, strict=True),
        )
        difference = replica.compare(self.replica, revisions_by_name)
        for document in difference.newer_local:
            post(_push(document))
        if not difference.newer_remote:
            self._peer_agrees(message.sender)
        elif message.reply:
            post(self._vector(reply=False))

    def take(self, pushed: wire_models.DocumentPush) -> None:
        """Apply a pushed document and pass it on if it is new."""
        document = models.Document(
            pushed.name,
            pushed.revision,
            pushed.content,
        )
        self._apply(document, 'push')

    async def _read_and_watch(self) -> None:
        """Read all documents, then follow the changes for a while."""
        scanned = await self._store.scan(const.DOCUMENT_PREFIX)
        if scanned.is_error():
            return
        for entry in scanned.ok:
            self._take_read(entry, 'read')
        self._become_ready('key-value service')
        until = time.monotonic() + const.FULL_READ_INTERVAL_SECONDS
        while self._is_reader() and time.monotonic() < until:
            await self._watch()
            await anyio.sleep(const.WATCH_RETRY_SECONDS)

    async def _watch(self) -> None:
        """Follow the changes above what was read here, not pushed."""
        start = self._read_revision + 1
        async for changed in self._store.watch(const.DOCUMENT_PREFIX, start):
            self._take_read(changed, 'watch')

    def _take_read(self, entry: key_value.Entry, source: str) -> None:
        """Apply an entry of the service and remember its revision."""
        self._read_revision = max(self._read_revision, entry.revision)
        self._apply(_document(entry), source)

    def _apply(self, document: models.Document, source: str) -> None:
        """Take a document over if it is newer, and pass it on."""
        applied = replica.apply(self.replica, document)
        if applied is self.replica:
            return
        self.replica = applied
        self.digest = replica.digest(applied)
        self.revision = max(self.revision, document.revision)
        logs.decision(
            'configuration:applied',
            document=document.name,
            revision=document.revision,
            source=source,
            at_seconds=time.time(),
        )
        self._on_change(document)
        if source != 'read':
            for host in self._mesh.sample(const.PUSH_FANOUT):
                self._mesh.send(host, _push(document))

    def _peer_agrees(self, sender: str) -> None:
        """Count an entry that holds nothing newer; several are enough."""
        if self.ready or not self.replica.documents_by_name:
            return
        self._complete_peers.add(sender)
        needed = min(const.BOOTSTRAP_PEER_COUNT, len(self._mesh.hosts))
        if len(self._complete_peers) >= needed:
            self._become_ready('other entries')

    def _become_ready(self, source: str) -> None:
        """Log the first whole configuration."""
        if not self.ready:
            self.ready = True
            logs.decision(
                'configuration:ready',
                source=source,
                revision=self.revision,
            )

    def _vector(self, *, reply: bool) -> wire_models.DocumentVector:
        """Return the names and revisions of all documents."""
        held = self.replica.documents_by_name
        return wire_models.DocumentVector(
            self._host,
            tuple(held),
            tuple(document.revision for document in held.values()),
            reply,
        )


def _document(entry: key_value.Entry) -> models.Document:
    """Return the document that a stored entry holds."""
    name = documents.name_of(entry.key)
    return models.Document(name, entry.revision, entry.content)


def _push(document: models.Document) -> wire_models.DocumentPush:
    """Return the message that carries a document."""
    return wire_models.DocumentPush(*document)
