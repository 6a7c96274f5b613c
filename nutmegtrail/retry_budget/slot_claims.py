"""Claims of slots of the retry budget in the store."""

import math
import typing

import expression

from nutmegtrail.ports import key_value
from nutmegtrail.retry_budget import allowance as allowances
from nutmegtrail.retry_budget import clocks
from nutmegtrail.retry_budget import const
from nutmegtrail.retry_budget import slots
from nutmegtrail.retry_budget import volume as request_volume


class Lease(typing.NamedTuple):
    """Lease of claims, when it was asked for and when it ends at the latest."""

    lease_id: int
    asked_at_seconds: float
    ends_at_seconds: float


class Wanted(typing.NamedTuple):
    """Retries that are wanted, and the entries that share the budget.

    `slot_ratio` is the part of all slots that may be taken for it.
    """

    retries: int
    entries: int
    slot_ratio: float = 1.0


class Claimed(typing.NamedTuple):
    """Retries that slots grant, and the lease under which they are claimed."""

    retries: int
    lease: Lease


class NotClaimed(typing.NamedTuple):
    """Reason for which no slot was claimed.

    `is_lease_doubtful` is True if the lease may be the reason.
    """

    detail: str
    is_lease_doubtful: bool = False


GetLease: typing.TypeAlias = typing.Callable[[], typing.Awaitable[Lease | None]]


class SlotClaims:
    """Creates the keys of free slots.

    Other entries may claim the same ones at the same time, so that it is tried
    a few times.
    """

    def __init__(
        self,
        store: key_value.ClaimStore,
        allowance: allowances.Allowance,
        volume: request_volume.RequestVolume,
        position: float,
        host_clocks: clocks.Clocks,
    ) -> None:
        """Initialize without claims; the positions of entries differ."""
        self._store = store
        self._allowance = allowance
        self._volume = volume
        self._position = position
        self._clock = host_clocks.boot
        self._utc_clock = host_clocks.utc
        # Slots that this entry has claimed, with the ends of their leases. The
        # store may lose keys before that.
        self._own_until_by_key: dict[str, float] = {}
        self._closed_until_seconds = float('-inf')

    @property
    def closed_until_seconds(self) -> float:
        """Return the time until which nothing is claimed."""
        return self._closed_until_seconds

    def on_store_restored(self) -> None:
        """Claim nothing for a while: the earlier copy may lack claims."""
        self._closed_until_seconds = (
            self._clock() + self._allowance.standing_seconds
        )

    async def grant_lease(self, ttl_seconds: int) -> Lease | None:
        """Return a new lease, None if the store does not grant one."""
        now = self._clock()
        granted = await self._store.grant_lease(ttl_seconds)
        if granted.is_error():
            return None
        return Lease(granted.ok, now, now + ttl_seconds)

    async def keep_alive(self, lease_id: int) -> bool | None:
        """Renew a lease; return False if it has ended, None if unknown."""
        renewed = await self._store.keep_alive(lease_id)
        return renewed.ok if renewed.is_ok() else None

    async def claim(
        self, service: str, wanted: Wanted, get_lease: GetLease
    ) -> expression.Result[Claimed, NotClaimed]:
        """Return the retries that were granted, or why none were.

        The lease is not asked for before a slot is free.
        """
        if self._clock() < self._closed_until_seconds:
            return expression.Error(NotClaimed('claims may be missing'))
        for _ in range(const.CLAIM_ATTEMPTS):
            listed = await self._store.listing(slots.service_prefix(service))
            if listed.is_error():
                return expression.Error(NotClaimed(str(listed.error)))
            chosen = self._choose(service, wanted, listed.ok)
            if not chosen:
                detail = f'{len(listed.ok)} slots are taken'
                return expression.Error(NotClaimed(detail))
            lease = await get_lease()
            if lease is None:
                return expression.Error(NotClaimed('no lease'))
            created = await self._create(service, chosen, lease)
            if created.is_ok():
                retries = len(chosen) * self._allowance.slot_retries
                return expression.Ok(Claimed(retries, lease))
            if not isinstance(created.error, key_value.CompareFailed):
                return expression.Error(
                    NotClaimed(str(created.error), is_lease_doubtful=True)
                )
        return expression.Error(
            NotClaimed(
                'other entries claimed the same slots', is_lease_doubtful=True
            )
        )

    def _choose(
        self,
        service: str,
        wanted: Wanted,
        content_by_key: typing.Mapping[str, bytes],
    ) -> tuple[int, ...]:
        """Return free slots to claim, none if all are taken."""
        self._record_earlier(service, content_by_key.values())
        slot_count = self._allowance.slot_count(
            wanted.entries, self._volume.sustained(service)
        )
        return slots.choose(
            slots.taken_slots(service, {*content_by_key, *self._own_keys()}),
            int(slot_count * wanted.slot_ratio),
            math.ceil(wanted.retries / self._allowance.slot_retries),
            self._position,
        )

    def _record_earlier(
        self, service: str, contents: typing.Iterable[bytes]
    ) -> None:
        """Record the requests that other claims tell.

        A time to come is that of a clock that has jumped; its age is unknown.
        """
        now = int(self._utc_clock())
        for told in filter(None, map(slots.decode_requests, contents)):
            if told.at_seconds <= now:
                self._volume.record_earlier(
                    service, told.requests, now - told.at_seconds
                )

    async def _create(
        self, service: str, chosen: tuple[int, ...], lease: Lease
    ) -> expression.Result[None, key_value.SwapError]:
        """Create the keys of slots."""
        keys = [slots.slot_key(service, slot) for slot in chosen]
        for key in keys:
            self._own_until_by_key[key] = lease.ends_at_seconds
        content = slots.encode_requests(
            slots.ToldRequests(
                int(self._volume.told(service)), int(self._utc_clock())
            )
        )
        created = await self._store.create(
            dict.fromkeys(keys, content), lease.lease_id
        )
        # Without a response, the keys may still be written.
        if created.is_error() and isinstance(
            created.error, key_value.CompareFailed
        ):
            for key in keys:
                self._own_until_by_key.pop(key, None)
        return created

    def _own_keys(self) -> frozenset[str]:
        """Return the keys of own slots whose leases have not ended."""
        now = self._clock()
        self._own_until_by_key = {
            key: until
            for key, until in self._own_until_by_key.items()
            if now < until
        }
        return frozenset(self._own_until_by_key)
