"""Follows the keys under a prefix of the store through its outages."""

import typing

import anyio
import expression

from nutmegtrail.gateway import const
from nutmegtrail.observability import logs
from nutmegtrail.ports import watched_store


class Listener(typing.Protocol):
    """Receives what a follower reads."""

    def on_snapshot(self, items: tuple[watched_store.Item, ...]) -> None:
        """Take a snapshot of all items."""

    def on_change(
        self, change: watched_store.Item | watched_store.Removal
    ) -> None:
        """Take a change."""

    def on_store_lost(self) -> None:
        """Notice that the store does not answer."""

    def on_store_recovered(self) -> None:
        """Notice that the store answers again."""


class StoreWatcher:
    """Reads a snapshot, then changes; starts anew where history is lost."""

    def __init__(
        self,
        store: watched_store.WatchedStore,
        prefix: str,
        listener: Listener,
    ) -> None:
        """Keep the collaborators; nothing is read yet."""
        self._store = store
        self._prefix = prefix
        self._listener = listener
        self._retry_seconds = const.STORE_RETRY_SECONDS
        self._is_away = False

    async def run(self) -> None:
        """Follow until cancelled."""
        revision: int | None = None
        while True:
            if revision is None:
                revision = await self._read_snapshot()
            else:
                revision = await self._read_changes(revision)

    async def _read_snapshot(self) -> int | None:
        """Return the snapshot's revision, None after a failure."""
        read = await self._store.snapshot(self._prefix)
        if read.is_error():
            await self._wait(read.error)
            return None
        self._answered()
        logs.decision(
            'store:listed',
            prefix=self._prefix,
            items=len(read.ok.items),
            revision=read.ok.revision,
        )
        self._listener.on_snapshot(read.ok.items)
        return read.ok.revision

    async def _read_changes(self, revision: int) -> int | None:
        """Return the next revision, None where history is lost."""
        read: expression.Result[
            watched_store.Changes, watched_store.ReadError
        ] = await self._store.changes(
            self._prefix,
            revision,
            0 if self._is_away else const.WATCH_WAIT_SECONDS,
        )
        if read.is_error():
            if isinstance(read.error, watched_store.HistoryLost):
                logs.decision(
                    'store:history-lost',
                    prefix=self._prefix,
                    revision=revision,
                )
                return None
            await self._wait(read.error)
            return revision
        self._answered()
        for change in read.ok.changes:
            self._listener.on_change(change)
        if read.ok.changes:
            await anyio.sleep(const.WATCH_BATCH_DELAY_SECONDS)
        return read.ok.revision

    def _answered(self) -> None:
        """Notice an answer."""
        self._retry_seconds = const.STORE_RETRY_SECONDS
        if self._is_away:
            self._is_away = False
            logs.decision('store:regained', prefix=self._prefix)
            self._listener.on_store_recovered()

    async def _wait(self, error: watched_store.StoreUnavailable) -> None:
        """Notice a failure and wait before the next call."""
        if not self._is_away:
            self._is_away = True
            logs.decision(
                'store:lost',
                prefix=self._prefix,
                detail=error.detail,
            )
            self._listener.on_store_lost()
        await anyio.sleep(self._retry_seconds)
        doubled = self._retry_seconds * 2
        self._retry_seconds = min(doubled, const.STORE_RETRY_LIMIT_SECONDS)
