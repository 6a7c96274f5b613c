"""Port to a key-value store with a readable change history."""

import typing

import expression


class Item(typing.NamedTuple):
    """Stored value and the store-wide revision of its last change."""

    key: str
    revision: int
    content: bytes


class Removal(typing.NamedTuple):
    """Removal of a key at a revision."""

    key: str
    revision: int


class Snapshot(typing.NamedTuple):
    """All items under a prefix; later changes follow the revision.

    The era rises when the store comes back from an earlier copy, which lacks
    what was written since. Revisions of a later era are higher.
    """

    items: tuple[Item, ...]
    revision: int
    era: int = 0


class Changes(typing.NamedTuple):
    """Changes after a revision and the revision to continue from."""

    changes: tuple[Item | Removal, ...]
    revision: int


class StoreUnavailable(typing.NamedTuple):
    """The store refused the call or did not respond.

    `has_timed_out` is set if it was silent, so that it may have been
    unavailable for longer than the call took.
    """

    detail: str
    has_timed_out: bool = False


class HistoryLost(typing.NamedTuple):
    """The store no longer has the changes after the revision."""

    revision: int


ReadError: typing.TypeAlias = StoreUnavailable | HistoryLost


class WatchedStore(typing.Protocol):
    """Reads snapshots and changes of the keys under a prefix."""

    async def snapshot(
        self,
        prefix: str,
    ) -> expression.Result[Snapshot, StoreUnavailable]:
        """Return all items under a prefix, without stale reads."""

    async def changes(
        self,
        prefix: str,
        after_revision: int,
        wait_seconds: float,
    ) -> expression.Result[Changes, ReadError]:
        """Return changes after a revision, waiting for the first one."""
