"""Retries that are granted by claims in the store, where all entries see them.

A claimed slot is a key under a lease. It outlives the retries that it grants by
a whole window, also if its entry ends. So no window contains more retries of a
service than its slots grant, whoever sends them.

Slots are claimed when they are needed, and their retries can be spent for a
short time.
"""

import collections
import typing

import anyio

from nutmegtrail.observability import logs
from nutmegtrail.retry_budget import allowance as allowances
from nutmegtrail.retry_budget import balance
from nutmegtrail.retry_budget import const
from nutmegtrail.retry_budget import slot_claims


class RetryGrants:
    """Claims slots for the services that need retries."""

    def __init__(
        self,
        claims: slot_claims.SlotClaims,
        allowance: allowances.Allowance,
        clock: typing.Callable[[], float],
    ) -> None:
        """Initialize without claims.

        The clock must go on while the host is suspended, as leases do.
        """
        self._claims = claims
        self._allowance = allowance
        self._clock = clock
        self._lease: slot_claims.Lease | None = None
        self._wanted_by_service: collections.OrderedDict[
            str, slot_claims.Wanted
        ] = collections.OrderedDict()
        self._has_wanted = anyio.Event()
        self._claimed = anyio.Event()
        self._grants_by_service: dict[str, list[balance.Grant]] = {}
        self._closed_until_by_service: dict[str, float] = {}

    def now(self) -> float:
        """Return the time by which grants can be spent."""
        return self._clock()

    def is_open(self, service: str) -> bool:
        """Return whether a claim may succeed now."""
        now = self._clock()
        return now >= max(
            self._claims.closed_until_seconds,
            self._closed_until_by_service.get(service, now),
        )

    def request(self, service: str, wanted: slot_claims.Wanted) -> None:
        """Claim slots for a service soon, if a claim may succeed."""
        if self.is_open(service):
            self._wanted_by_service[service] = wanted
            self._has_wanted.set()

    async def wait(self) -> None:
        """Wait until the next claim has ended."""
        await self._claimed.wait()

    def take(self, service: str) -> tuple[balance.Grant, ...]:
        """Return what was granted to a service since the last call."""
        return tuple(self._grants_by_service.pop(service, ()))

    def on_store_restored(self) -> None:
        """Claim nothing under a lease that the earlier copy may lack."""
        self._lease = None

    async def run(self) -> None:
        """Claim what is wanted until cancelled."""
        while True:
            await self._has_wanted.wait()
            self._has_wanted = anyio.Event()
            while self._wanted_by_service:
                service, wanted = self._wanted_by_service.popitem(last=False)
                await self._claim(service, wanted)
                self._claimed.set()
                self._claimed = anyio.Event()

    async def _claim(self, service: str, wanted: slot_claims.Wanted) -> None:
        """Claim slots; without success, close the service for a while."""
        claimed = await self._claims.claim(service, wanted, self._usable_lease)
        if claimed.is_error():
            self._close(service, claimed.error)
            return
        retries, lease = claimed.ok
        self._grants_by_service.setdefault(service, []).append(
            balance.Grant(
                retries,
                lease.asked_at_seconds + self._allowance.usable_seconds,
            )
        )
        logs.decision(
            'retry:granted',
            service=service,
            wanted=wanted.retries,
            retries=retries,
            lease_age_seconds=round(self._clock() - lease.asked_at_seconds, 4),
        )

    async def _usable_lease(self) -> slot_claims.Lease | None:
        """Return a lease whose grants can be spent for some time."""
        reuse_seconds = self._allowance.usable_seconds * const.LEASE_REUSE_RATIO
        if (
            self._lease is None
            or self._clock() >= self._lease.asked_at_seconds + reuse_seconds
        ):
            self._lease = await self._claims.grant_lease(
                self._allowance.lease_seconds
            )
        return self._lease

    def _close(self, service: str, reason: slot_claims.NotClaimed) -> None:
        """Claim nothing for a service for a while."""
        if reason.is_lease_doubtful:
            self._lease = None
        self._closed_until_by_service[service] = (
            self._clock() + const.CLAIM_RETRY_SECONDS
        )
        logs.decision(
            'retry:not-granted', service=service, detail=reason.detail
        )
