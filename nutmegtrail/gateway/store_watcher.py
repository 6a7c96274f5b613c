"""Watch of the keys under a store prefix that survives cuts and outages."""

import typing

import anyio
import expression

from nutmegtrail.gateway import const
from nutmegtrail.gateway import store_availability
from nutmegtrail.observability import logs
from nutmegtrail.ports import watched_store


class Listener(store_availability.Listener, typing.Protocol):
    """Receiver of the snapshots and changes that a watcher reads.

    It is told of outages by `store_availability.StoreAvailability`.
    """

    def on_snapshot(self, items: tuple[watched_store.Item, ...]) -> None:
        """Handle a snapshot of all items."""

    def on_change(
        self, change: watched_store.Item | watched_store.Removal
    ) -> None:
        """Handle a written or removed item."""

    def on_store_restored(self) -> None:
        """Handle the return of an earlier copy, before its snapshot."""


@typing.runtime_checkable
class ListingListener(typing.Protocol):
    """Listener that needs to know at which revision a snapshot was read."""

    def on_listed(self, snapshot: watched_store.Snapshot) -> None:
        """Handle a snapshot, before its items."""


@typing.runtime_checkable
class ReadingListener(typing.Protocol):
    """Listener that decides by what is not changed as well."""

    def on_read_failed(self) -> None:
        """Handle the start of a time in which changes cannot be read."""

    def on_read(self) -> None:
        """Handle that all changes so far were handled."""

    def next_read_seconds(self) -> float:
        """Return after which time the listener needs the next read."""


class StoreWatcher:
    """Reads a snapshot and then changes.

    A new snapshot is read if the store no longer has the change history.
    """

    def __init__(
        self,
        store: watched_store.WatchedStore,
        prefix: str,
        listener: Listener,
        availability: store_availability.StoreAvailability,
    ) -> None:
        """Initialize the watcher without reading the store.

        The store records its responses at the availability.
        """
        self._store = store
        self._prefix = prefix
        self._listener = listener
        self._availability = availability
        self._retry_seconds = const.STORE_RETRY_SECONDS
        self._has_failed = False
        self._failed_at_seconds: float | None = None
        self._next_check_at_seconds = float('-inf')
        self._era: int | None = None

    async def run(self) -> None:
        """Watch the prefix until cancelled."""
        revision: int | None = None
        while True:
            if revision is None:
                revision = await self._read_snapshot()
            else:
                revision = await self._read_changes(revision)

    async def _read_snapshot(self) -> int | None:
        """Read a snapshot and return its revision, None after a failure."""
        started_at = anyio.current_time()
        result = await self._store.snapshot(self._prefix)
        if result.is_error():
            await self._back_off(result.error, started_at)
            return None
        logs.decision(
            'store:listed',
            prefix=self._prefix,
            items=len(result.ok.items),
            revision=result.ok.revision,
            era=result.ok.era,
        )
        if self._era is not None and result.ok.era > self._era:
            logs.decision('store:restored', prefix=self._prefix)
            self._listener.on_store_restored()
        self._era = result.ok.era
        if isinstance(self._listener, ListingListener):
            self._listener.on_listed(result.ok)
        self._listener.on_snapshot(result.ok.items)
        self._record_read()
        return result.ok.revision

    async def _read_changes(self, revision: int) -> int | None:
        """Read changes and return the next revision.

        None means that the change history is lost. After a failure the call
        does not wait for a change, so that it tells whether the store responds.
        """
        started_at = anyio.current_time()
        result: expression.Result[
            watched_store.Changes, watched_store.ReadError
        ] = await self._store.changes(
            self._prefix,
            revision,
            0 if self._has_failed else self._wait_seconds(),
        )
        if result.is_error():
            if isinstance(result.error, watched_store.HistoryLost):
                logs.decision(
                    'store:history-lost',
                    prefix=self._prefix,
                    revision=revision,
                )
                return None
            await self._back_off(result.error, started_at)
            return revision
        for change in result.ok.changes:
            self._listener.on_change(change)
        self._record_read()
        if result.ok.changes:
            await anyio.sleep(const.WATCH_BATCH_DELAY_SECONDS)
        return result.ok.revision

    def _wait_seconds(self) -> float:
        """Return how long to wait for a change."""
        if not isinstance(self._listener, ReadingListener):
            return const.WATCH_WAIT_SECONDS
        due_seconds = self._listener.next_read_seconds()
        return min(
            max(due_seconds, const.MIN_WATCH_WAIT_SECONDS),
            const.WATCH_WAIT_SECONDS,
        )

    def _record_read(self) -> None:
        """Record that the keys were read."""
        self._retry_seconds = const.STORE_RETRY_SECONDS
        self._has_failed = False
        if isinstance(self._listener, ReadingListener):
            self._listener.on_read()

    async def _back_off(
        self, error: watched_store.StoreUnavailable, started_at_seconds: float
    ) -> None:
        """Record a failure and wait before the next call.

        The first failure is checked at once, except that watches which are cut
        again and again are checked no more often than an outage.
        """
        now = anyio.current_time()
        if not self._has_failed:
            self._has_failed = True
            self._failed_at_seconds = None if error.has_timed_out else now
            logs.decision(
                'store:watch-failed', prefix=self._prefix, detail=error.detail
            )
            if isinstance(self._listener, ReadingListener):
                self._listener.on_read_failed()
            check_at = max(now, self._next_check_at_seconds)
            self._next_check_at_seconds = check_at + const.STORE_RETRY_SECONDS
            await anyio.sleep_until(check_at)
            return
        if error.has_timed_out:
            self._failed_at_seconds = None
        self._availability.record_failure(
            started_at_seconds, self._failed_at_seconds, error.detail
        )
        await anyio.sleep(self._retry_seconds)
        doubled_seconds = self._retry_seconds * 2
        self._retry_seconds = min(
            doubled_seconds, const.STORE_RETRY_LIMIT_SECONDS
        )
