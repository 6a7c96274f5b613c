"""Keys and leases under which marks of crashing requests are stored."""

import collections
import typing

import anyio

from nutmegtrail import const as shared_const
from nutmegtrail.observability import logs
from nutmegtrail.ports import key_value
from nutmegtrail.retries import const

MARK_PREFIX: typing.Final = f'{shared_const.KEY_VALUE_PREFIX}crashes/'


def mark_key(
    request_fingerprint: str, crash_id: str, prefix: str = MARK_PREFIX
) -> str:
    """Return the key of a mark."""
    return f'{prefix}{request_fingerprint}/{crash_id}'


def parse_mark_key(
    key: str, prefix: str = MARK_PREFIX
) -> tuple[str, str] | None:
    """Return the fingerprint and the crash in a key, None if malformed."""
    request_fingerprint, slash, crash_id = key.removeprefix(prefix).partition(
        '/'
    )
    if not slash or not request_fingerprint or not crash_id:
        return None
    return request_fingerprint, crash_id


def drop_excess(
    pending_by_key: collections.OrderedDict[str, typing.Any],
) -> None:
    """Drop the oldest change that waits for the store if there are too many."""
    if len(pending_by_key) > const.MARKED_REQUESTS_LIMIT:
        dropped_key, _ = pending_by_key.popitem(last=False)
        logs.decision('crash-marks:dropped', key=dropped_key)


class _Lease(typing.NamedTuple):
    """Lease and the time until which new marks may use it."""

    lease_id: int
    usable_until_seconds: float


class MarkLease:
    """Lease that marks share.

    It is never renewed nor revoked: it expires with its last marks, and
    outlives the process that wrote them.
    """

    def __init__(self, store: key_value.LeaseStore) -> None:
        """Initialize without a lease."""
        self._store = store
        self._lease: _Lease | None = None

    async def current(self) -> int | None:
        """Return the ID of a lease for new marks, None if the store failed."""
        now = anyio.current_time()
        if self._lease is None or now > self._lease.usable_until_seconds:
            granted = await self._store.grant_lease(
                int(const.CRASH_MARK_TTL_SECONDS)
            )
            if granted.is_error():
                logs.decision('crash-marks:no-lease')
                return None
            self._lease = _Lease(
                granted.ok, now + const.CRASH_LEASE_REUSE_SECONDS
            )
        return self._lease.lease_id

    def forget(self) -> None:
        """Use another lease for the next marks."""
        self._lease = None
