"""Retry budgets of an entry, one for each service."""

import collections
import math
import typing

import anyio

from nutmegtrail.observability import logs
from nutmegtrail.observability import metrics
from nutmegtrail.retry_budget import allowance as allowances
from nutmegtrail.retry_budget import balance
from nutmegtrail.retry_budget import const
from nutmegtrail.retry_budget import fleet_size
from nutmegtrail.retry_budget import grants as retry_grants
from nutmegtrail.retry_budget import slot_claims
from nutmegtrail.retry_budget import standing_slots
from nutmegtrail.retry_budget import volume as request_volume


class Retry(typing.NamedTuple):
    """Attempt that would be sent once more.

    `reason` is how the attempt before it failed, or the kind of a hedge.
    """

    service: str
    request_id: str
    reason: str


class RetryBudgets:
    """Spends retries that this entry has earned or was granted."""

    def __init__(
        self,
        allowance: allowances.Allowance,
        volume: request_volume.RequestVolume,
        grants: retry_grants.RetryGrants,
        standing: standing_slots.StandingSlots,
        fleet_counter: fleet_size.FleetCounter,
        metrics_registry: metrics.Metrics,
    ) -> None:
        """Initialize the budgets without any request."""
        self._allowance = allowance
        self._volume = volume
        self._grants = grants
        self._standing = standing
        self._fleet_counter = fleet_counter
        self._metrics = metrics_registry
        self._started_at_seconds = grants.now()
        self._balances_by_service: dict[str, balance.Balance] = {}
        self._waiting_by_service: collections.Counter[str] = (
            collections.Counter()
        )
        # Times of the latest retries, and of those from the standing slots.
        self._spent_at_by_service: dict[str, collections.deque[float]] = {}
        self._standing_at_by_service: dict[str, collections.deque[float]] = {}

    def record_request(self, service: str) -> None:
        """Count a request of a caller."""
        self._volume.record_request(service)
        self._balances_by_service[service] = balance.earn(
            self._balance(service),
            self._allowance.earned_per_request,
            self._allowance.earned_limit(self._fleet_counter.entries()),
        )
        self._standing.hold(service)

    def available(self, service: str) -> int:
        """Return how many retries may be sent now."""
        return balance.available(
            self._balance(service), self._grants.now()
        ) + self._available_standing(service)

    async def wait(self, retry: Retry, limit_seconds: float) -> bool:
        """Return whether a retry may be sent, waiting for a grant if needed.

        It returns False at once if none can be granted now.
        """
        service = retry.service
        wait_seconds = min(limit_seconds, const.GRANT_WAIT_SECONDS)
        has_retry = False
        self._waiting_by_service[service] += 1
        try:
            with anyio.move_on_after(max(wait_seconds, 0)):
                has_retry = await self._wait(service)
        finally:
            self._waiting_by_service[service] -= 1
        if not has_retry:
            self._metrics.increment('retries_refused', service)
            self._log(retry, 'refused')
        return has_retry

    def spend(self, retry: Retry) -> bool:
        """Take a retry from the budget; return False if exhausted."""
        service = retry.service
        now = self._grants.now()
        remaining = balance.spend(self._balance(service), now)
        if remaining is None:
            if not self._available_standing(service):
                return False
            self._standing_at_by_service[service].append(now)
        else:
            self._balances_by_service[service] = remaining
        self._spent_at_by_service.setdefault(
            service, collections.deque()
        ).append(now)
        self._log(retry, 'allowed')
        recent = self._recent_retries(service)
        is_wave = recent >= const.PREFETCH_RETRIES
        if is_wave and self.available(service) < recent * const.PREFETCH_RATIO:
            self._request_grant(service)
        return True

    async def _wait(self, service: str) -> bool:
        """Return whether a retry is available, after claims if needed."""
        while not self.available(service):
            if not self._grants.is_open(service):
                return False
            self._request_grant(service)
            await self._grants.wait()
        return True

    def _request_grant(self, service: str) -> None:
        """Let retries be granted for those that wait and the next ones."""
        recent = self._recent_retries(service)
        self._grants.request(
            service,
            slot_claims.Wanted(
                max(
                    self._waiting_by_service[service]
                    + math.ceil(recent * const.CLAIM_RATIO),
                    1,
                ),
                self._fleet_counter.entries(),
            ),
        )

    def _balance(self, service: str) -> balance.Balance:
        """Return the balance of a service, with what was granted lately."""
        current = self._balances_by_service.get(service, balance.Balance())
        for grant in self._grants.take(service):
            current = balance.add_grant(current, grant)
        self._balances_by_service[service] = current
        return current

    def _available_standing(self, service: str) -> int:
        """Return the retries of the standing slot that were not sent lately."""
        spent_at = self._standing_at_by_service.setdefault(
            service, collections.deque()
        )
        spent = self._count_since(spent_at, self._allowance.settled_seconds)
        return max(self._standing.retries(service) - spent, 0)

    def _recent_retries(self, service: str) -> int:
        """Return how many retries were sent lately."""
        spent_at = self._spent_at_by_service.get(service, collections.deque())
        return self._count_since(spent_at, const.DEMAND_SECONDS)

    def _count_since(
        self, times: collections.deque[float], seconds: float
    ) -> int:
        """Return how many of the ascending times are not older; drop others."""
        oldest = self._grants.now() - seconds
        while times and times[0] < oldest:
            times.popleft()
        return len(times)

    def _log(self, retry: Retry, outcome: str) -> None:
        """Log and count a decision on a retry."""
        service = retry.service
        self._metrics.count(
            'retries', service=service, reason=retry.reason, outcome=outcome
        )
        now = self._grants.now()
        logs.decision(
            f'retry:{outcome}',
            request_id=retry.request_id,
            service=service,
            reason=retry.reason,
            available=self.available(service),
            recent=self._recent_retries(service),
            requests=round(self._volume.total(service), 1),
            entries=self._fleet_counter.entries(),
            age_seconds=round(now - self._started_at_seconds, 3),
        )
