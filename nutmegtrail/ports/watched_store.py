"""Port to a store whose history of changes can be read."""

import typing

import expression


class Item(typing.NamedTuple):
    """A stored value and the store-wide revision of its last change."""

    key: str
    revision: int
    content: bytes


class Removal(typing.NamedTuple):
    """A key was removed at a revision."""

    key: str
    revision: int


class Snapshot(typing.NamedTuple):
    """All items under a prefix; changes are read on from the revision."""

    items: tuple[Item, ...]
    revision: int


class Changes(typing.NamedTuple):
    """Changes after a revision and the revision to go on from."""

    changes: tuple[Item | Removal, ...]
    revision: int


class StoreUnavailable(typing.NamedTuple):
    """The store refused the call or did not answer."""

    detail: str


class HistoryLost(typing.NamedTuple):
    """The changes after the revision are no longer kept."""

    revision: int


ReadError: typing.TypeAlias = StoreUnavailable | HistoryLost


class WatchedStore(typing.Protocol):
    """Snapshots and changes of the keys under a prefix."""

    async def snapshot(
        self,
        prefix: str,
    ) -> expression.Result[Snapshot, StoreUnavailable]:
        """Return all items under a prefix, none of them stale."""

    async def changes(
        self,
        prefix: str,
        after_revision: int,
        wait_seconds: float,
    ) -> expression.Result[Changes, ReadError]:
        """Return the changes after a revision as soon as there is one."""
