"""Port to the platform's key-value service."""

import collections.abc
import typing

import expression


class Entry(typing.NamedTuple):
    """A stored value and the service-wide revision of its last change."""

    key: str
    revision: int
    content: bytes


class CompareFailed(typing.NamedTuple):
    """The key was at another revision; nothing was written."""

    key: str


class Unavailable(typing.NamedTuple):
    """The service refused or could not be reached; nothing was written."""

    key: str


class OutcomeUnknown(typing.NamedTuple):
    """The answer was lost; the write may have taken effect."""

    key: str


SwapError: typing.TypeAlias = CompareFailed | Unavailable | OutcomeUnknown
ABSENT_REVISION: typing.Final = 0


class LeaseStore(typing.Protocol):
    """Compare-and-swap and leases; keys are text."""

    async def swap(
        self,
        key: str,
        expected_revision: int,
        content: bytes,
        lease_id: int = 0,
    ) -> expression.Result[int, SwapError]:
        """Write if the key is at the revision; return the new revision."""

    async def grant_lease(
        self,
        ttl_seconds: int,
    ) -> expression.Result[int, Unavailable]:
        """Return the identifier of a new lease."""

    async def keep_alive(
        self,
        lease_id: int,
    ) -> expression.Result[bool, Unavailable]:
        """Renew a lease; return False where it has lapsed."""

    async def revoke_lease(
        self,
        lease_id: int,
    ) -> expression.Result[None, Unavailable]:
        """End a lease and delete its keys."""


class KeyValueStore(LeaseStore, typing.Protocol):
    """Compare-and-swap, leases and watches; keys are text."""

    async def get(
        self,
        key: str,
    ) -> expression.Result[Entry | None, Unavailable]:
        """Return the entry of a key, None where there is none."""

    async def scan(
        self,
        prefix: str,
    ) -> expression.Result[tuple[Entry, ...], Unavailable]:
        """Return all entries whose keys start with the prefix."""

    def watch(
        self,
        prefix: str,
        start_revision: int,
    ) -> collections.abc.AsyncIterator[Entry]:
        """Yield each change under the prefix; end when the service fails."""
