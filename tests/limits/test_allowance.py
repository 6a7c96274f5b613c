"""Contracts hold across entries; the stated bound is never exceeded."""

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


class _Fleet:
    """Entries that lease from one owner; it may change, entries may be cut."""

    def __init__(self, entries):
        """Start without leases."""
        self.admitted = 0
        self.ledger = allowance.create_ledger(_CONTRACT, 0)
        self.held = [models.Allowance() for _ in range(entries)]

    def ask(self, entry, now, cut=False):
        """Ask an entry to admit one request."""
        held = allowance.record_demand(self.held[entry], _COST)
        spent = allowance.spend(held, _COST, now)
        if spent is None and cut:
            even = models.Amount(_RATE / len(self.held), 10_000)
            spent = allowance.spend_fallback(held, _COST, even, now)
        elif spent is None:
            held = self._lease(entry, held, now)
            spent = allowance.spend(held, _COST, now)
        self.held[entry] = held if spent is None else spent
        self.admitted += spent is not None

    def _lease(self, entry, held, now):
        """Return the allowance after a lease from the owner."""
        held = allowance.start_lease_request(held, _COST)
        self.ledger, given = allowance.grant_lease(
            self.ledger,
            str(entry),
            held.requested_amount,
            0,
            _CONTRACT.concurrency,
            now,
        )
        return allowance.apply_grant(held, given, const.LEASE_SECONDS, now)


def _run(entries, seconds, owner_changes=(), cut_from=None, seed=1):
    """Return the fleet after uneven demand far over the contract."""
    generator = random.Random(seed)
    fleet = _Fleet(entries)
    changes = list(owner_changes)
    for tick in range(round(seconds / _TICK_SECONDS)):
        now = tick * _TICK_SECONDS
        if changes and now >= changes[0]:
            changes.pop(0)
            fleet.ledger = allowance.create_ledger(_CONTRACT, now)
        for _ in range(20):
            entry = min(int(generator.expovariate(1)), entries - 1)
            cut = cut_from is not None and entry == 0 and now >= cut_from
            fleet.ask(entry, now, cut)
    return fleet


class AllowanceTest(testtools.TestCase):
    """Leases of a contract's rates."""

    def test_bound_holds(self):
        """Over-admission stays within the stated formula."""
        for seed in range(10):
            for changes in ((), (3.0,), (2.0, 4.0, 6.0)):
                fleet = _run(5, 10, changes, seed=seed)
                extra = len(changes) * _RATE
                bound = _RATE * (_BURST_SECONDS + 10) + extra
                self.assertTrue(fleet.admitted <= bound)
                self.assertTrue(fleet.admitted >= 0.9 * _RATE * 10)

    def test_bound_holds_for_an_entry_that_is_cut_off(self):
        """A cut entry goes on with its last share at most."""
        for seed in range(10):
            fleet = _run(5, 10, cut_from=4.0, seed=seed)
            share = max(fleet.held[0].share.requests, _RATE / 5)
            bound = _RATE * (_BURST_SECONDS + 10) + share * (6 + 1)
            self.assertTrue(fleet.admitted <= bound)

    def test_unused_share_goes_to_those_who_ask(self):
        """An entry alone gets the whole rate within a lease's life."""
        fleet = _Fleet(2)
        for tick in range(200):
            fleet.ask(0, tick * _TICK_SECONDS)
        self.assertTrue(fleet.admitted >= 0.9 * _RATE * 10)

    def test_concurrency_stops_leases(self):
        """No lease is given while the open requests use the contract up."""
        ledger = allowance.create_ledger(_CONTRACT, 0)
        _, given = allowance.grant_lease(ledger, 'e', _COST, 64, 64, 1.0)
        self.assertEqual(models.Amount(), given)

    def test_expired_lease_is_forfeited(self):
        """What was not used in time can not be used later."""
        held = allowance.apply_grant(
            models.Allowance(),
            models.Amount(5, 100),
            const.LEASE_SECONDS,
            0,
        )
        self.assertIsNotNone(allowance.spend(held, _COST, 0.9))
        self.assertIsNone(allowance.spend(held, _COST, 1.0))
