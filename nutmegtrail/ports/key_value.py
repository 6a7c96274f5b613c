"""Port to the platform's key-value service."""

import collections.abc
import typing

import expression


class Entry(typing.NamedTuple):
    """Stored value and the store-wide revision of its last change."""

    key: str
    revision: int
    content: bytes


class CompareFailed(typing.NamedTuple):
    """The key had a different revision; nothing was written."""

    key: str


class Unavailable(typing.NamedTuple):
    """The service refused or was unreachable; nothing was written."""

    key: str


class OutcomeUnknown(typing.NamedTuple):
    """The response was lost; the write may have taken effect."""

    key: str


class LeaseGone(typing.NamedTuple):
    """The lease has expired or was revoked; nothing was written."""

    lease_id: int


SwapError: typing.TypeAlias = CompareFailed | Unavailable | OutcomeUnknown
BatchError: typing.TypeAlias = LeaseGone | Unavailable | OutcomeUnknown
ABSENT_REVISION: typing.Final = 0


class LeaseStore(typing.Protocol):
    """Store with compare-and-swap and leases; keys are strings."""

    async def swap(
        self,
        key: str,
        expected_revision: int,
        content: bytes,
        lease_id: int = 0,
    ) -> expression.Result[int, SwapError]:
        """Write if the key has the expected revision; return the new one.

        The key is bound to the lease unless `lease_id` is 0.
        """

    async def grant_lease(
        self,
        ttl_seconds: int,
    ) -> expression.Result[int, Unavailable]:
        """Return the ID of a new lease."""

    async def keep_alive(
        self,
        lease_id: int,
    ) -> expression.Result[bool, Unavailable]:
        """Renew a lease; return False if it has expired."""

    async def revoke_lease(
        self,
        lease_id: int,
    ) -> expression.Result[None, Unavailable]:
        """Revoke a lease, which deletes its keys."""


class BatchStore(LeaseStore, typing.Protocol):
    """Store that writes and deletes several keys at once."""

    async def write_batch(
        self,
        content_by_key: collections.abc.Mapping[str, bytes],
        deleted_keys: collections.abc.Sequence[str],
        lease_id: int,
    ) -> expression.Result[None, BatchError]:
        """Write keys under a lease and delete others, whatever they held."""


class ClaimStore(LeaseStore, typing.Protocol):
    """Store in which keys are claimed by creating them."""

    async def listing(
        self, prefix: str
    ) -> expression.Result[collections.abc.Mapping[str, bytes], Unavailable]:
        """Return the contents under a prefix by key.

        None is older than the call.
        """

    async def create(
        self,
        content_by_key: collections.abc.Mapping[str, bytes],
        lease_id: int,
    ) -> expression.Result[None, SwapError]:
        """Create keys under a lease, all or none of them.

        Returns CompareFailed if one of them exists or the lease has ended.
        """


class KeyValueStore(LeaseStore, typing.Protocol):
    """Store with compare-and-swap, leases and watches; keys are strings."""

    async def get(
        self,
        key: str,
    ) -> expression.Result[Entry | None, Unavailable]:
        """Return the entry of a key, None if it does not exist."""

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
        """Yield changes under the prefix; end when the service fails."""


class EntryStore(KeyValueStore, ClaimStore, typing.Protocol):
    """Store of an entry of the path with sidecars."""
