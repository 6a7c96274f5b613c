"""Construction of the retry budget of an entry, for any of its paths."""

import typing

import anyio

from nutmegtrail.observability import metrics
from nutmegtrail.ports import key_value
from nutmegtrail.ports import watched_store
from nutmegtrail.retry_budget import allowance as allowances
from nutmegtrail.retry_budget import budgets as retry_budgets
from nutmegtrail.retry_budget import clocks
from nutmegtrail.retry_budget import fleet_size
from nutmegtrail.retry_budget import grants as retry_grants
from nutmegtrail.retry_budget import slot_claims
from nutmegtrail.retry_budget import standing_slots
from nutmegtrail.retry_budget import volume as request_volume


class RetryBudget:
    """Components that keep the retries of all entries within the budget."""

    def __init__(
        self,
        allowance: allowances.Allowance,
        store: key_value.ClaimStore,
        count_entries: typing.Callable[[], int],
        metrics_registry: metrics.Metrics,
        position: float,
        host_clocks: clocks.Clocks,
    ) -> None:
        """Create the components without claims.

        The position, from 0 to 1, differs between entries.
        """
        clock = host_clocks.boot
        self.volume = request_volume.RequestVolume(
            allowance.window_seconds, clock
        )
        self._claims = slot_claims.SlotClaims(
            store, allowance, self.volume, position, host_clocks
        )
        self._grants = retry_grants.RetryGrants(self._claims, allowance, clock)
        fleet_counter = fleet_size.FleetCounter(
            count_entries, allowance.window_seconds, clock
        )
        self._standing = standing_slots.StandingSlots(
            self._claims, allowance, clock, fleet_counter
        )
        self.budgets = retry_budgets.RetryBudgets(
            allowance,
            self.volume,
            self._grants,
            self._standing,
            fleet_counter,
            metrics_registry,
        )

    def hold_standing(self, service: str) -> None:
        """Have some retries for a service also without the store."""
        self._standing.hold(service)

    async def run(self) -> None:
        """Claim what is needed until cancelled."""
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(self._grants.run)
            tasks.start_soon(self._standing.run)

    def on_snapshot(self, items: tuple[watched_store.Item, ...]) -> None:
        """Do nothing; slots are read when they are claimed."""

    def on_change(
        self, change: watched_store.Item | watched_store.Removal
    ) -> None:
        """Do nothing; slots are read when they are claimed."""

    def on_store_lost(self) -> None:
        """Do nothing; claims without a response grant nothing."""

    def on_store_recovered(self, outage_seconds: float) -> None:
        """Claim again what could not be claimed."""
        self._standing.claim_again()

    def on_store_restored(self) -> None:
        """Claim nothing for a while: the earlier copy may lack claims."""
        self._claims.on_store_restored()
        self._grants.on_store_restored()
