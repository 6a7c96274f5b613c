"""Keeps the lease that tells others that a sidecar lives."""

import collections.abc
import time

import anyio

from nutmegtrail.idempotency import const
from nutmegtrail.idempotency import keys
from nutmegtrail.idempotency import models
from nutmegtrail.ports import key_value


class OwnerLease:
    """Renews one lease; `valid` errs on the side of lapsed."""

    def __init__(
        self,
        owner: models.Owner,
        store: key_value.KeyValueStore,
    ) -> None:
        """Keep the collaborators; no lease is held yet."""
        self._owner = owner
        self._store = store
        self._lease_id = 0
        self._valid_until_seconds = 0.0

    @property
    def is_valid(self) -> bool:
        """Return whether the lease surely lives now."""
        return time.monotonic() < self._valid_until_seconds

    async def run(self, on_lapsed: collections.abc.Callable[[], None]) -> None:
        """Hold the lease until cancelled; report each lapse."""
        while True:
            if not self.is_valid:
                on_lapsed()
            if self._lease_id:
                await self._renew(on_lapsed)
            else:
                await self._acquire()
            await anyio.sleep(const.LEASE_RENEWAL_SECONDS)

    async def close(self) -> None:
        """Revoke the lease, so that others need not wait for its end."""
        self._valid_until_seconds = 0
        if self._lease_id:
            await self._store.revoke_lease(self._lease_id)

    async def _acquire(self) -> None:
        """Obtain a lease and put the owner's key under it."""
        requested_at_seconds = time.monotonic()
        granted = await self._store.grant_lease(const.LEASE_TTL_SECONDS)
        if granted.is_error():
            return
        key = keys.owner_key(self._owner.upstream)
        existing = await self._store.get(key)
        if existing.is_error():
            return
        entry = existing.ok
        revision = key_value.ABSENT_REVISION
        if entry is not None:
            revision = entry.revision
        stored = await self._store.swap(
            key,
            revision,
            self._owner.incarnation.encode(),
            granted.ok,
        )
        if stored.is_ok():
            self._lease_id = granted.ok
            self._extend(requested_at_seconds)

    async def _renew(
        self,
        on_lapsed: collections.abc.Callable[[], None],
    ) -> None:
        """Renew the lease; drop it where the service no longer knows it."""
        requested_at_seconds = time.monotonic()
        renewed = await self._store.keep_alive(self._lease_id)
        if renewed.is_error():
            return
        if renewed.ok:
            self._extend(requested_at_seconds)
            return
        self._lease_id = 0
        self._valid_until_seconds = 0
        on_lapsed()

    def _extend(self, requested_at_seconds: float) -> None:
        """Count the lease's life from before it was asked for."""
        lifetime_seconds = const.LEASE_TTL_SECONDS - const.LEASE_MARGIN_SECONDS
        self._valid_until_seconds = requested_at_seconds + lifetime_seconds
