"""Crash marks in the key-value service, which restarts of entries survive.

Entries tell each other of crashes at once; the service keeps the marks for
entries that start later. The key of a mark has the fingerprint of the request
and the identifier of the crash, its value whether it still counts.
"""

import collections
import collections.abc
import typing

import anyio

from nutmegtrail import const as shared_const
from nutmegtrail.daemons import const
from nutmegtrail.observability import logs
from nutmegtrail.ports import key_value
from nutmegtrail.retries import const as retry_const
from nutmegtrail.wire import models

MARK_PREFIX: typing.Final = f'{shared_const.KEY_VALUE_PREFIX}crashes/'
_MARKED: typing.Final = b'marked'
_CLEARED: typing.Final = b'cleared'


class _Lease(typing.NamedTuple):
    """Lease of the marks and the time until which new marks may use it."""

    lease_id: int
    usable_until_seconds: float


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
        self._lease: _Lease | None = None

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
        scanned = await self._store.scan(MARK_PREFIX)
        if scanned.is_error():
            logs.decision('crash-marks:not-read', detail=str(scanned.error))
            return False
        for entry in scanned.ok:
            fingerprint, _, crash_id = entry.key.removeprefix(
                MARK_PREFIX
            ).partition('/')
            if entry.content == _MARKED and crash_id:
                self._on_mark(models.CrashMark(fingerprint, crash_id))
        logs.decision('crash-marks:read', marks=len(scanned.ok))
        return True

    async def _write_pending(self) -> None:
        """Write changes in their order until one fails."""
        while self._pending_by_key:
            lease = await self._current_lease()
            if lease is None:
                return
            key, content = next(iter(self._pending_by_key.items()))
            if not await self._write(key, content, lease.lease_id):
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
        self._lease = None
        logs.decision('crash-marks:not-written', detail=str(written.error))
        return False

    async def _current_lease(self) -> _Lease | None:
        """Return a lease for marks, None if the service failed.

        It is never renewed nor revoked, and expires with its last marks.
        """
        now = anyio.current_time()
        if self._lease is None or now > self._lease.usable_until_seconds:
            granted = await self._store.grant_lease(
                int(retry_const.CRASH_MARK_TTL_SECONDS)
            )
            if granted.is_error():
                logs.decision('crash-marks:no-lease')
                return None
            self._lease = _Lease(
                granted.ok, now + retry_const.CRASH_LEASE_REUSE_SECONDS
            )
        return self._lease

    def _enqueue(self, crash_mark: models.CrashMark, content: bytes) -> None:
        """Add a change; the oldest one is dropped if there are too many."""
        key = f'{MARK_PREFIX}{crash_mark.fingerprint}/{crash_mark.crash_id}'
        self._pending_by_key[key] = content
        if len(self._pending_by_key) > retry_const.MARKED_REQUESTS_LIMIT:
            dropped_key, _ = self._pending_by_key.popitem(last=False)
            logs.decision('crash-marks:dropped', key=dropped_key)
