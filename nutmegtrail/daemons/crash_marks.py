"""Crash marks in the key-value service, which restarts of entries survive.

Entries tell each other of crashes at once; the service keeps the marks for
entries that start later. The key of a mark has the fingerprint of the request
and the identifier of the crash, its value whether it still counts.
"""

import collections
import collections.abc
import typing

import anyio

from nutmegtrail.daemons import const
from nutmegtrail.observability import logs
from nutmegtrail.ports import key_value
from nutmegtrail.retries import mark_store
from nutmegtrail.wire import models

_MARKED: typing.Final = b'marked'
_CLEARED: typing.Final = b'cleared'


class CrashMarks:
    """Reads the marks once and writes those that this entry observes."""

    def __init__(
        self,
        store: key_value.KeyValueStore,
        on_mark: collections.abc.Callable[[models.CrashMark], None],
    ) -> None:
        """Initialize without reading the marks."""
        self._store = store
        self._on_mark = on_mark
        self._pending_by_key: collections.OrderedDict[str, bytes] = (
            collections.OrderedDict()
        )
        self._lease = mark_store.MarkLease(store)

    def add(self, crash_mark: models.CrashMark) -> None:
        """Write a mark soon."""
        self._enqueue(crash_mark, _MARKED)

    def clear(self, crash_mark: models.CrashMark) -> None:
        """Write soon that a mark does not count any more."""
        self._enqueue(crash_mark, _CLEARED)

    async def run(self) -> None:
        """Read the marks, then write changes until cancelled."""
        while not await self._load():
            await anyio.sleep(const.CRASH_MARK_WRITE_SECONDS)
        while True:
            await anyio.sleep(const.CRASH_MARK_WRITE_SECONDS)
            await self._write_pending()

    async def _load(self) -> bool:
        """Apply the marks in the service; return False if it failed."""
        scanned = await self._store.scan(mark_store.MARK_PREFIX)
        if scanned.is_error():
            logs.decision('crash-marks:not-read', detail=str(scanned.error))
            return False
        for entry in scanned.ok:
            parsed = mark_store.parse_mark_key(entry.key)
            if entry.content == _MARKED and parsed is not None:
                self._on_mark(models.CrashMark(*parsed))
        logs.decision('crash-marks:read', marks=len(scanned.ok))
        return True

    async def _write_pending(self) -> None:
        """Write changes in their order until one fails."""
        while self._pending_by_key:
            lease_id = await self._lease.current()
            if lease_id is None:
                return
            key, content = next(iter(self._pending_by_key.items()))
            if not await self._write(key, content, lease_id):
                return
            if self._pending_by_key.get(key) == content:
                self._pending_by_key.pop(key)

    async def _write(self, key: str, content: bytes, lease_id: int) -> bool:
        """Write the content of a key; return False to write it again.

        A mark whose key exists already is that of another entry, or was
        written by a call whose answer was lost.
        """
        revision = key_value.ABSENT_REVISION
        if content == _CLEARED:
            existing = await self._store.get(key)
            if existing.is_error():
                return False
            if existing.ok is None:
                return True
            revision = existing.ok.revision
        written = await self._store.swap(key, revision, content, lease_id)
        if written.is_ok():
            return True
        if isinstance(written.error, key_value.CompareFailed):
            return content == _MARKED
        # The lease may have expired.
        self._lease.forget()
        logs.decision('crash-marks:not-written', detail=str(written.error))
        return False

    def _enqueue(self, crash_mark: models.CrashMark, content: bytes) -> None:
        """Add a change; the oldest one is dropped if there are too many."""
        key = mark_store.mark_key(crash_mark.fingerprint, crash_mark.crash_id)
        self._pending_by_key[key] = content
        mark_store.drop_excess(self._pending_by_key)
