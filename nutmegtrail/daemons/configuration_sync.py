"""Synchronization of an entry's configuration to the latest revision.

A few readers in each failure domain watch the key-value service. Every
new document is pushed to random entries, and digests exchanged each second
repair missed pushes.
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
    """Holds the replica; `is_ready` once a full configuration is known."""

    def __init__(
        self,
        host: str,
        store: key_value.KeyValueStore,
        mesh: peer_mesh.PeerMesh,
        on_change: OnChange,
        is_reader: collections.abc.Callable[[], bool],
    ) -> None:
        """Initialize the synchronization with an empty replica."""
        self.replica = replica.Replica()
        self.digest = replica.digest(self.replica)
        self.revision = 0
        self.is_ready = False
        self._host = host
        self._store = store
        self._mesh = mesh
        self._on_change = on_change
        self._is_reader = is_reader
        self._confirming_peers: set[str] = set()
        self._read_revision = 0

    async def run_reader(self) -> None:
        """Read at the start, then read and watch while this is a reader."""
        while True:
            if not self.is_ready or self._is_reader():
                await self._read_and_watch()
            await anyio.sleep(const.WATCH_RETRY_SECONDS)

    async def run_digests(self) -> None:
        """Send the digest to a random entry periodically."""
        while True:
            await anyio.sleep(const.DIGEST_INTERVAL_SECONDS)
            message = wire_models.DocumentDigest(self._host, self.digest)
            for host in self._mesh.sample_hosts(1):
                self._mesh.send(host, message)

    def handle_digest(
        self,
        message: wire_models.DocumentDigest,
        send_reply: peer_mesh.SendMessage,
    ) -> None:
        """Reply to a differing digest with the revisions of all documents."""
        if message.digest == self.digest:
            self._record_confirming_peer(message.sender)
        else:
            send_reply(self._build_vector(reply=True))

    def handle_vector(
        self,
        message: wire_models.DocumentVector,
        send_reply: peer_mesh.SendMessage,
    ) -> None:
        """Push documents that are newer here; request those newer there."""
        revisions_by_name = dict(
            zip(message.names, message.revisions, strict=True),
        )
        difference = replica.compare(self.replica, revisions_by_name)
        for document in difference.newer_local:
            send_reply(_build_push(document))
        if not difference.newer_remote:
            self._record_confirming_peer(message.sender)
        elif message.reply:
            send_reply(self._build_vector(reply=False))

    def handle_push(self, push: wire_models.DocumentPush) -> None:
        """Apply a pushed document and forward it if it is new."""
        document = models.Document(
            push.name,
            push.revision,
            push.content,
        )
        self._apply(document, 'push')

    async def _read_and_watch(self) -> None:
        """Read all documents, then watch for changes until the next read."""
        scanned = await self._store.scan(const.DOCUMENT_PREFIX)
        if scanned.is_error():
            return
        for entry in scanned.ok:
            self._apply_entry(entry, 'read')
        self._mark_ready('key-value service')
        full_read_at_seconds = (
            time.monotonic() + const.FULL_READ_INTERVAL_SECONDS
        )
        while self._is_reader() and time.monotonic() < full_read_at_seconds:
            await self._watch()
            await anyio.sleep(const.WATCH_RETRY_SECONDS)

    async def _watch(self) -> None:
        """Watch for changes after the last revision read from the service.

        Pushed revisions do not count: a change below a pushed one may be
        unread.
        """
        start_revision = self._read_revision + 1
        async for changed in self._store.watch(
            const.DOCUMENT_PREFIX, start_revision
        ):
            self._apply_entry(changed, 'watch')

    def _apply_entry(self, entry: key_value.Entry, source: str) -> None:
        """Apply an entry of the key-value service and record its revision."""
        self._read_revision = max(self._read_revision, entry.revision)
        self._apply(_to_document(entry), source)

    def _apply(self, document: models.Document, source: str) -> None:
        """Apply a document if it is newer; push it unless from a full read."""
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
            for host in self._mesh.sample_hosts(const.PUSH_FANOUT):
                self._mesh.send(host, _build_push(document))

    def _record_confirming_peer(self, sender: str) -> None:
        """Count an entry that confirms that this replica is current.

        The replica is ready once several entries have no newer document.
        """
        if self.is_ready or not self.replica.documents_by_name:
            return
        self._confirming_peers.add(sender)
        required_peers = min(const.BOOTSTRAP_PEER_COUNT, len(self._mesh.hosts))
        if len(self._confirming_peers) >= required_peers:
            self._mark_ready('other entries')

    def _mark_ready(self, source: str) -> None:
        """Become ready and log the source of the first full configuration."""
        if not self.is_ready:
            self.is_ready = True
            logs.decision(
                'configuration:ready',
                source=source,
                revision=self.revision,
            )

    def _build_vector(self, *, reply: bool) -> wire_models.DocumentVector:
        """Return the names and revisions of all documents."""
        documents_by_name = self.replica.documents_by_name
        return wire_models.DocumentVector(
            self._host,
            tuple(documents_by_name),
            tuple(document.revision for document in documents_by_name.values()),
            reply,
        )


def _to_document(entry: key_value.Entry) -> models.Document:
    """Return the document of a key-value entry."""
    name = documents.name_of(entry.key)
    return models.Document(name, entry.revision, entry.content)


def _build_push(document: models.Document) -> wire_models.DocumentPush:
    """Return the message that pushes a document."""
    return wire_models.DocumentPush(*document)
