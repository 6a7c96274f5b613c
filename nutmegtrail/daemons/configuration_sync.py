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
        self.is_ready = False
        self._host = host
        self._store = store
        self._mesh = mesh
        self._on_change = on_change
        self._is_reader = is_reader
        self._up_to_date_peers: set[str] = set()
        self._read_revision = 0

    async def run_reader(self) -> None:
        """Read at the start, then watch while this entry is a reader."""
        while True:
            if not self.is_ready or self._is_reader():
                await self._read_and_watch()
            await anyio.sleep(const.WATCH_RETRY_SECONDS)

    async def run_digests(self) -> None:
        """Compare with a random entry from time to time."""
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
        """Answer a digest that differs with all revisions."""
        if message.digest == self.digest:
            self._record_up_to_date_peer(message.sender)
        else:
            send_reply(self._build_vector(reply=True))

    def handle_vector(
        self,
        message: wire_models.DocumentVector,
        send_reply: peer_mesh.SendMessage,
    ) -> None:
        """Push what is newer here and ask for what is newer there."""
        revisions_by_name = dict(
            zip(message.names, message.revisions, strict=True),
        )
        difference = replica.compare(self.replica, revisions_by_name)
        for document in difference.newer_local:
            send_reply(_build_push(document))
        if not difference.newer_remote:
            self._record_up_to_date_peer(message.sender)
        elif message.reply:
            send_reply(self._build_vector(reply=False))

    def handle_push(self, push: wire_models.DocumentPush) -> None:
        """Apply a pushed document and pass it on if it is new."""
        document = models.Document(
            push.name,
            push.revision,
            push.content,
        )
        self._apply(document, 'push')

    async def _read_and_watch(self) -> None:
        """Read all documents, then follow the changes for a while."""
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
        """Follow the changes above what was read here, not pushed."""
        start_revision = self._read_revision + 1
        async for changed in self._store.watch(
            const.DOCUMENT_PREFIX, start_revision
        ):
            self._apply_entry(changed, 'watch')

    def _apply_entry(self, entry: key_value.Entry, source: str) -> None:
        """Apply an entry of the service and remember its revision."""
        self._read_revision = max(self._read_revision, entry.revision)
        self._apply(_to_document(entry), source)

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
            for host in self._mesh.sample_hosts(const.PUSH_FANOUT):
                self._mesh.send(host, _build_push(document))

    def _record_up_to_date_peer(self, sender: str) -> None:
        """Count an entry that holds nothing newer; several are enough."""
        if self.is_ready or not self.replica.documents_by_name:
            return
        self._up_to_date_peers.add(sender)
        required_peers = min(const.BOOTSTRAP_PEER_COUNT, len(self._mesh.hosts))
        if len(self._up_to_date_peers) >= required_peers:
            self._mark_ready('other entries')

    def _mark_ready(self, source: str) -> None:
        """Log the first whole configuration."""
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
    """Return the document that a stored entry holds."""
    name = documents.name_of(entry.key)
    return models.Document(name, entry.revision, entry.content)


def _build_push(document: models.Document) -> wire_models.DocumentPush:
    """Return the message that carries a document."""
    return wire_models.DocumentPush(*document)
