"""Replica of crash marks that all gateway instances share.

Each mark is a leased key of the store. The lease outlives the instance that
wrote the mark, so that restarts do not lose it.
"""

import collections
import typing

import anyio

from nutmegtrail.gateway import const
from nutmegtrail.observability import logs
from nutmegtrail.ports import key_value
from nutmegtrail.ports import watched_store
from nutmegtrail.retries import const as retry_const
from nutmegtrail.retries import mark_store


class MarkHolder(typing.Protocol):
    """Component whose marks are kept in the store."""

    def add_mark(self, name: str, crash_id: str) -> None:
        """Apply a mark of any instance, which may be known already."""

    def drop_mark(self, name: str, crash_id: str) -> None:
        """Apply the removal of a mark."""

    def remove_expired(self) -> None:
        """Drop expired marks."""

    def has_mark(self, name: str, crash_id: str) -> bool:
        """Return whether a mark is known."""

    def marks(self) -> typing.Iterable[tuple[str, str]]:
        """Return all known marks."""


class MarkReplica:
    """Reads the marks under a prefix and writes those of this instance.

    Own changes are written in batches.
    """

    def __init__(
        self, store: key_value.BatchStore, prefix: str, holder: MarkHolder
    ) -> None:
        """Initialize a replica that has read nothing."""
        self.is_known = False
        self._store = store
        self._prefix = prefix
        self._holder = holder
        # Contents to write, None for keys to delete.
        self._pending_by_key: collections.OrderedDict[str, bytes | None] = (
            collections.OrderedDict()
        )
        self._has_pending = anyio.Event()
        self._lease = mark_store.MarkLease(store)
        self._content_by_own_key: collections.OrderedDict[str, bytes] = (
            collections.OrderedDict()
        )
        # Set while the next snapshot is that of an earlier copy of the store.
        self._is_copy = False

    def write(self, name: str, crash_id: str, content: bytes) -> None:
        """Write a mark of this instance soon."""
        key = mark_store.mark_key(name, crash_id, self._prefix)
        self._content_by_own_key[key] = content
        if len(self._content_by_own_key) > retry_const.MARKED_REQUESTS_LIMIT:
            self._content_by_own_key.popitem(last=False)
        self._enqueue(key, content)

    def delete(self, name: str, crash_id: str) -> None:
        """Delete a mark of any instance soon."""
        key = mark_store.mark_key(name, crash_id, self._prefix)
        self._content_by_own_key.pop(key, None)
        self._enqueue(key, None)

    def on_snapshot(self, items: tuple[watched_store.Item, ...]) -> None:
        """Replace the marks with those of a snapshot and unwritten ones."""
        if not self._is_copy:
            self._drop_unlisted({item.key for item in items})
        self._is_copy = False
        self.is_known = True
        for item in items:
            self.on_change(item)

    def on_change(
        self, change: watched_store.Item | watched_store.Removal
    ) -> None:
        """Apply a mark of any instance or its removal."""
        if not change.key.startswith(self._prefix):
            return
        parsed = mark_store.parse_mark_key(change.key, self._prefix)
        if parsed is None:
            logs.decision('crash-marks:malformed', key=change.key)
        elif isinstance(change, watched_store.Removal):
            if change.key not in self._pending_by_key:
                self._holder.drop_mark(*parsed)
        elif self._pending_by_key.get(change.key, b'') is not None:
            self._holder.add_mark(*parsed)

    def on_store_lost(self) -> None:
        """Keep the marks."""

    def on_store_recovered(self, outage_seconds: float) -> None:
        """Do nothing; the current marks arrive with the next read."""

    def on_store_restored(self) -> None:
        """Write own marks again, and keep those of others.

        The next snapshot may lack both.
        """
        for key, content in self._content_by_own_key.items():
            self._enqueue(key, content)
        self._is_copy = True

    async def run(self) -> None:
        """Write the marks to the store until cancelled."""
        while True:
            if not self._pending_by_key:
                self._has_pending = anyio.Event()
                await self._wait_for_changes()
                continue
            # Marks of one crash are recorded at nearly the same time.
            await anyio.sleep(const.CRASH_MARK_BATCH_SECONDS)
            if not await self._write_batch():
                await anyio.sleep(const.STORE_RETRY_SECONDS)

    async def _wait_for_changes(self) -> None:
        """Wait for a change to write, and drop expired marks meanwhile."""
        with anyio.move_on_after(const.CRASH_MARK_SWEEP_SECONDS):
            await self._has_pending.wait()
            return
        self._holder.remove_expired()
        for key in tuple(self._content_by_own_key):
            parsed = mark_store.parse_mark_key(key, self._prefix)
            if parsed is None or not self._holder.has_mark(*parsed):
                self._content_by_own_key.pop(key)

    async def _write_batch(self) -> bool:
        """Write the oldest changes; return False if the store failed.

        Each change writes or deletes a key whatever it held, so that a change
        whose outcome is unknown can be written again.
        """
        lease_id = await self._lease.current()
        if lease_id is None:
            return False
        batch = dict(
            list(self._pending_by_key.items())[: const.CRASH_MARKS_PER_WRITE]
        )
        written = await self._store.write_batch(
            {
                key: content
                for key, content in batch.items()
                if content is not None
            },
            [key for key, content in batch.items() if content is None],
            lease_id,
        )
        if written.is_error():
            logs.decision('crash-marks:not-written', detail=str(written.error))
            if isinstance(written.error, key_value.LeaseGone):
                self._lease.forget()
            return False
        for key, content in batch.items():
            if self._pending_by_key.get(key, b'') == content:
                self._pending_by_key.pop(key)
        return True

    def _drop_unlisted(self, listed_keys: set[str]) -> None:
        """Drop marks that are neither in the store nor on their way."""
        for name, crash_id in tuple(self._holder.marks()):
            key = mark_store.mark_key(name, crash_id, self._prefix)
            if key not in listed_keys and key not in self._pending_by_key:
                self._holder.drop_mark(name, crash_id)

    def _enqueue(self, key: str, content: bytes | None) -> None:
        """Add a change for the store; the oldest are dropped if too many."""
        self._pending_by_key[key] = content
        mark_store.drop_excess(self._pending_by_key)
        self._has_pending.set()
