"""One claimed slot of each service, for times without the store.

Its retries come back a window after they were sent. They end a window before
the lease does, so that the next claim of the slot may grant them at once.
"""

import typing

import anyio

from nutmegtrail.observability import logs
from nutmegtrail.retry_budget import allowance as allowances
from nutmegtrail.retry_budget import const
from nutmegtrail.retry_budget import fleet_size
from nutmegtrail.retry_budget import slot_claims


class StandingSlots:
    """Claims a slot of each service and renews their lease."""

    def __init__(
        self,
        claims: slot_claims.SlotClaims,
        allowance: allowances.Allowance,
        clock: typing.Callable[[], float],
        fleet_counter: fleet_size.FleetCounter,
    ) -> None:
        """Initialize without a slot.

        The clock must go on while the host is suspended, as leases do.
        """
        self._claims = claims
        self._allowance = allowance
        self._clock = clock
        self._fleet_counter = fleet_counter
        self._lease: slot_claims.Lease | None = None
        self._retries_by_service: dict[str, int] = {}
        self._services: set[str] = set()
        self._has_unclaimed = anyio.Event()

    def hold(self, service: str) -> None:
        """Claim a slot of a service soon, and hold it from then on."""
        if service not in self._services:
            self._services.add(service)
            self._has_unclaimed.set()

    def claim_again(self) -> None:
        """Claim soon what could not be claimed before."""
        self._has_unclaimed.set()

    def retries(self, service: str) -> int:
        """Return the retries of the slot of a service within a window."""
        if self._lease is None:
            return 0
        usable_until = (
            self._lease.ends_at_seconds - self._allowance.settled_seconds
        )
        if self._clock() >= usable_until:
            return 0
        return self._retries_by_service.get(service, 0)

    async def run(self) -> None:
        """Claim and renew until cancelled.

        What could not be claimed is tried again with the next renewal.
        """
        interval_seconds = (
            self._allowance.window_seconds * const.RENEWAL_WINDOW_RATIO
        )
        renew_at = anyio.current_time() + interval_seconds
        while True:
            with anyio.CancelScope(deadline=renew_at):
                await self._has_unclaimed.wait()
            if anyio.current_time() >= renew_at:
                renew_at = anyio.current_time() + interval_seconds
                await self._renew()
            self._has_unclaimed = anyio.Event()
            for service in sorted(
                self._services - self._retries_by_service.keys()
            ):
                await self._claim(service)

    async def _renew(self) -> None:
        """Renew the lease; drop the slots once it has ended."""
        lease = self._lease
        if lease is None:
            return
        now = self._clock()
        is_kept = await self._claims.keep_alive(lease.lease_id)
        if is_kept:
            self._lease = lease._replace(
                ends_at_seconds=now + self._allowance.standing_seconds
            )
        elif now >= lease.ends_at_seconds:
            logs.decision(
                'retry:standing-ended',
                services=sorted(self._retries_by_service),
            )
            self._lease = None
            self._retries_by_service.clear()

    async def _claim(self, service: str) -> None:
        """Claim the slot of a service."""
        wanted = slot_claims.Wanted(
            1, self._fleet_counter.entries(), const.STANDING_SLOT_RATIO
        )
        claimed = await self._claims.claim(service, wanted, self._usable_lease)
        if claimed.is_ok():
            self._retries_by_service[service] = claimed.ok.retries
        logs.decision(
            'retry:standing',
            service=service,
            retries=self._retries_by_service.get(service, 0),
            detail=claimed.error.detail if claimed.is_error() else '',
        )

    async def _usable_lease(self) -> slot_claims.Lease | None:
        """Return the lease of all slots, None if the store grants none."""
        if self._lease is None:
            self._lease = await self._claims.grant_lease(
                self._allowance.standing_seconds
            )
        return self._lease
