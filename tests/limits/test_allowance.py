"""Rate limits across entries never exceed the documented bound."""

import random

import testtools

from nutmegtrail.contracts import models as contract_models
from nutmegtrail.limits import allowance
from nutmegtrail.limits import const
from nutmegtrail.limits import models

_RATE = 20.0
_BURST_SECONDS = 2.0
_TICK_SECONDS = 0.05
_CONTRACT = contract_models.Contract(
    key_digests=(f'sha256:{"0" * 64}',),
    requests_per_second=_RATE,
    tokens_per_second=10_000,
    burst_seconds=_BURST_SECONDS,
    models=('m',),
)
_COST = models.Amount(1, 10)


class _Deployment:
    """Entries that lease from one owner; both may fail during a run."""

    def __init__(self, entries):
        """Initialize entries without leases."""
        self.admitted = 0
        self.ledger = allowance.create_ledger(_CONTRACT, 0)
        self.allowances = [models.Allowance() for _ in range(entries)]

    def request_admission(self, entry, now, is_isolated=False):
        """Let an entry try to admit one request."""
        current = allowance.record_demand(self.allowances[entry], _COST)
        spent = allowance.spend(current, _COST, now)
        if spent is None and is_isolated:
            even_rate = models.Amount(_RATE / len(self.allowances), 10_000)
            spent = allowance.spend_fallback(current, _COST, even_rate, now)
        elif spent is None:
            current = self._lease(entry, current, now)
            spent = allowance.spend(current, _COST, now)
        self.allowances[entry] = current if spent is None else spent
        self.admitted += spent is not None

    def _lease(self, entry, current, now):
        """Return the allowance after a lease from the owner."""
        current = allowance.start_lease_request(current, _COST)
        self.ledger, granted = allowance.grant_lease(
            self.ledger,
            str(entry),
            current.requested_amount,
            0,
            _CONTRACT.concurrency,
            now,
        )
        return allowance.apply_grant(current, granted, const.LEASE_SECONDS, now)


def _run(
    entries, seconds, owner_changes=(), isolated_from_seconds=None, seed=1
):
    """Return the deployment after uneven demand far above the contract."""
    generator = random.Random(seed)
    deployment = _Deployment(entries)
    changes = list(owner_changes)
    for tick in range(round(seconds / _TICK_SECONDS)):
        now = tick * _TICK_SECONDS
        if changes and now >= changes[0]:
            changes.pop(0)
            deployment.ledger = allowance.create_ledger(_CONTRACT, now)
        for _ in range(20):
            entry = min(int(generator.expovariate(1)), entries - 1)
            is_isolated = (
                isolated_from_seconds is not None
                and entry == 0
                and now >= isolated_from_seconds
            )
            deployment.request_admission(entry, now, is_isolated)
    return deployment


class AllowanceTest(testtools.TestCase):
    """Leases of the rates of a contract."""

    def test_bound_holds(self):
        """Admitted requests stay within the bound of `allowance`."""
        for seed in range(10):
            for changes in ((), (3.0,), (2.0, 4.0, 6.0)):
                deployment = _run(5, 10, changes, seed=seed)
                extra = len(changes) * _RATE
                bound = _RATE * (_BURST_SECONDS + 10) + extra
                self.assertTrue(deployment.admitted <= bound)
                self.assertTrue(deployment.admitted >= 0.9 * _RATE * 10)

    def test_bound_holds_for_an_isolated_entry(self):
        """An isolated entry admits at most its last granted rate."""
        for seed in range(10):
            deployment = _run(5, 10, isolated_from_seconds=4.0, seed=seed)
            rate = max(
                deployment.allowances[0].granted_rate.requests, _RATE / 5
            )
            bound = _RATE * (_BURST_SECONDS + 10) + rate * (6 + 1)
            self.assertTrue(deployment.admitted <= bound)

    def test_unused_rate_goes_to_active_entries(self):
        """A single active entry gets the whole rate."""
        deployment = _Deployment(2)
        for tick in range(200):
            deployment.request_admission(0, tick * _TICK_SECONDS)
        self.assertTrue(deployment.admitted >= 0.9 * _RATE * 10)

    def test_concurrency_limit_stops_grants(self):
        """Nothing is granted while the concurrency is used up."""
        ledger = allowance.create_ledger(_CONTRACT, 0)
        _, granted = allowance.grant_lease(ledger, 'e', _COST, 64, 64, 1.0)
        self.assertEqual(models.Amount(), granted)

    def test_expired_lease_is_forfeited(self):
        """The remainder of an expired lease cannot be used."""
        current = allowance.apply_grant(
            models.Allowance(),
            models.Amount(5, 100),
            const.LEASE_SECONDS,
            0,
        )
        self.assertIsNotNone(allowance.spend(current, _COST, 0.9))
        self.assertIsNone(allowance.spend(current, _COST, 1.0))
