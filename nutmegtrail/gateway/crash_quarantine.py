"""Quarantine of crashing requests, shared by all gateway instances.

Each mark is a leased key of the store. The lease outlives the instance that
wrote the mark, so that restarts do not lose it.
"""

import collections
import typing

import anyio

from nutmegtrail.gateway import const
from nutmegtrail.observability import logs
from nutmegtrail.observability import metrics
from nutmegtrail.ports import key_value
from nutmegtrail.ports import watched_store
from nutmegtrail.retries import const as retry_const
from nutmegtrail.retries import mark_store
from nutmegtrail.retries import quarantine


class CrashQuarantine:
    """Marks requests that were in flight when upstreams crashed.

    The marks of all instances are read from the store. Own marks count at
    once and are written in batches.
    """

    def __init__(
        self,
        store: key_value.BatchStore,
        metrics_registry: metrics.Metrics,
    ) -> None:
        """Initialize the quarantine without marks."""
        self.is_known = False
        self._store = store
        self._metrics = metrics_registry
        self._quarantine = quarantine.Quarantine()
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
        self._listeners: list[typing.Callable[[str], None]] = []

    def add_listener(self, listener: typing.Callable[[str], None]) -> None:
        """Call a function with each fingerprint that becomes quarantined."""
        self._listeners.append(listener)

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
        if not change.key.startswith(mark_store.MARK_PREFIX):
            return
        parsed = mark_store.parse_mark_key(change.key)
        if parsed is None:
            logs.decision('crash-marks:malformed', key=change.key)
        elif isinstance(change, watched_store.Removal):
            if change.key not in self._pending_by_key:
                self._quarantine = quarantine.unmark(self._quarantine, *parsed)
        elif self._pending_by_key.get(change.key, b'') is not None:
            self._mark(*parsed)

    def on_store_lost(self) -> None:
        """Keep the marks."""

    def on_store_recovered(self) -> None:
        """Do nothing; the current marks arrive with the next read."""

    def on_store_restored(self) -> None:
        """Write own marks again, and keep those of others.

        The next snapshot may lack both.
        """
        for key, content in self._content_by_own_key.items():
            self._enqueue(key, content)
        self._is_copy = True

    def crash_count(self, request_fingerprint: str) -> int:
        """Return the crashes that are attributed to a request."""
        return len(self._times(request_fingerprint))

    def remaining_seconds(self, request_fingerprint: str) -> float:
        """Return the seconds until the quarantine of a request ends.

        0 means that it is not quarantined.
        """
        times = self._times(request_fingerprint)
        if len(times) < const.CRASH_LIMIT:
            return 0
        expires_at = (
            times[-const.CRASH_LIMIT] + retry_const.CRASH_MARK_TTL_SECONDS
        )
        return max(expires_at - anyio.current_time(), 0)

    def is_suspect(self, request_fingerprint: str) -> bool:
        """Return whether a request should be kept apart from other suspects."""
        return bool(self._times(request_fingerprint))

    def mark(
        self, request_fingerprint: str, crash_id: str, upstream_id: str
    ) -> None:
        """Record that a request was in flight when an upstream crashed."""
        self._mark(request_fingerprint, crash_id)
        key = mark_store.mark_key(request_fingerprint, crash_id)
        content = upstream_id.encode()
        self._content_by_own_key[key] = content
        if len(self._content_by_own_key) > retry_const.MARKED_REQUESTS_LIMIT:
            self._content_by_own_key.popitem(last=False)
        self._enqueue(key, content)
        self._metrics.increment('crash_marks')

    def record_success(self, request_fingerprint: str) -> None:
        """Remove the marks of a request that has not crashed its upstream."""
        marks = self._quarantine.marks_by_fingerprint.get(request_fingerprint)
        if marks is None:
            return
        logs.decision(
            'request:cleared',
            fingerprint=request_fingerprint,
            crashes=len(marks),
        )
        for crash_id in marks:
            self._remove(request_fingerprint, crash_id)

    def withdraw(self, crash_id: str) -> None:
        """Remove all marks of a crash that proved not to have happened."""
        fingerprints = self._quarantine.fingerprints_by_crash_id.get(
            crash_id, ()
        )
        for request_fingerprint in fingerprints:
            self._remove(request_fingerprint, crash_id)

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
        self._quarantine = quarantine.remove_expired(
            self._quarantine, anyio.current_time()
        )
        for key in tuple(self._content_by_own_key):
            if not self._is_marked(key):
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
        marks_by_fingerprint = self._quarantine.marks_by_fingerprint
        for request_fingerprint, marks in marks_by_fingerprint.items():
            for crash_id in marks:
                key = mark_store.mark_key(request_fingerprint, crash_id)
                if key not in listed_keys and key not in self._pending_by_key:
                    self._quarantine = quarantine.unmark(
                        self._quarantine, request_fingerprint, crash_id
                    )

    def _remove(self, request_fingerprint: str, crash_id: str) -> None:
        """Remove a mark here and in the store."""
        self._quarantine = quarantine.unmark(
            self._quarantine, request_fingerprint, crash_id
        )
        key = mark_store.mark_key(request_fingerprint, crash_id)
        self._content_by_own_key.pop(key, None)
        self._enqueue(key, None)

    def _enqueue(self, key: str, content: bytes | None) -> None:
        """Add a change for the store; the oldest are dropped if too many."""
        self._pending_by_key[key] = content
        if len(self._pending_by_key) > retry_const.MARKED_REQUESTS_LIMIT:
            dropped_key, _ = self._pending_by_key.popitem(last=False)
            logs.decision('crash-marks:dropped', key=dropped_key)
        self._has_pending.set()

    def _mark(self, request_fingerprint: str, crash_id: str) -> None:
        """Mark a request; tell the listeners when it is quarantined."""
        marks = self._quarantine.marks_by_fingerprint.get(
            request_fingerprint, ()
        )
        if crash_id in marks:
            return
        was_quarantined = self.remaining_seconds(request_fingerprint) > 0
        self._quarantine = quarantine.mark(
            self._quarantine,
            request_fingerprint,
            crash_id,
            anyio.current_time(),
        )
        if was_quarantined or not self.remaining_seconds(request_fingerprint):
            return
        logs.decision(
            'request:quarantined',
            fingerprint=request_fingerprint,
            crashes=self.crash_count(request_fingerprint),
        )
        self._metrics.increment('requests_quarantined')
        for listener in self._listeners:
            listener(request_fingerprint)

    def _is_marked(self, key: str) -> bool:
        """Return whether the mark of a key is in force."""
        parsed = mark_store.parse_mark_key(key)
        if parsed is None:
            return False
        marks = self._quarantine.marks_by_fingerprint.get(parsed[0], ())
        return parsed[1] in marks

    def _times(self, request_fingerprint: str) -> tuple[float, ...]:
        """Return the times of the crashes attributed to a request."""
        return quarantine.attributed_times(
            self._quarantine, request_fingerprint, anyio.current_time()
        )
