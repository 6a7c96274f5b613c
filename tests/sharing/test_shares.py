"""Shares of the entries while their demand, reports and number change."""

import random

import testtools

from nutmegtrail.sharing import const
from nutmegtrail.sharing import demand as demands
from nutmegtrail.sharing import shares

_INTERVAL_SECONDS = 0.05


def _always(*_):
    """Let every report arrive."""
    return True


class _Entries:
    """Entries that exchange reports; `arrives` tells which are not lost."""

    def __init__(self, demand_by_entry, arrives=_always):
        """Initialize entries that know of each other's number only."""
        self.demand_by_entry = demand_by_entry
        self.arrives = arrives
        self.now_seconds = 0.0
        self.largest_sum = 0.0
        self.shares_by_entry = {
            entry: shares.Shares(len(demand_by_entry))
            for entry in demand_by_entry
        }

    def own(self, entry):
        """Return the current share of an entry."""
        return shares.own_share(self.shares_by_entry[entry], self.now_seconds)

    def run(self, seconds, *silent):
        """Exchange reports for a while; silent entries take no part."""
        for _ in range(round(seconds / _INTERVAL_SECONDS)):
            self.now_seconds += _INTERVAL_SECONDS
            talking = [
                entry for entry in self.demand_by_entry if entry not in silent
            ]
            for entry in talking:
                self._send(entry, talking)
                self._sum()

    def _send(self, sender, talking):
        """Send the report of an entry to the others."""
        decided = shares.offer_loans(
            self.shares_by_entry[sender],
            self.demand_by_entry[sender],
            self.now_seconds,
        )
        self.shares_by_entry[sender] = decided
        self._sum()
        for receiver in talking:
            if receiver == sender or not self.arrives(sender, receiver):
                continue
            told = shares.PeerState(
                self.demand_by_entry[sender],
                shares.told_loans(decided).get(receiver, 0),
                self.now_seconds,
            )
            self.shares_by_entry[receiver] = shares.record_report(
                self.shares_by_entry[receiver], sender, told
            )
            self._sum()

    def _sum(self):
        """Keep the largest sum of the shares of all entries."""
        total = sum(self.own(entry) for entry in self.shares_by_entry)
        self.largest_sum = max(self.largest_sum, total)


class SharesTest(testtools.TestCase):
    """Shares follow demand and never sum to more than 1."""

    def _assert_within_one(self, entries):
        """Check that the entries never had more than all together."""
        self.assertTrue(entries.largest_sum <= 1 + 1e-9, entries.largest_sum)

    def test_one_large_among_many_small(self):
        """Pattern: an entry that gets half of all requests.

        With equal parts it had a 22nd of the room, and its requests waited
        beside free room.
        """
        demand_by_entry = {f'small-{number}': 5.0 for number in range(21)}
        entries = _Entries({'large': 105.0, **demand_by_entry})
        entries.run(1)
        floor = const.FLOOR_RATIO / 22
        self.assertAlmostEqual(
            floor + 0.5 * (1 - const.FLOOR_RATIO),
            entries.own('large'),
            places=3,
        )
        self.assertTrue(entries.own('small-0') > floor)
        self._assert_within_one(entries)

    def test_demand_that_moves_between_domains(self):
        """Pattern: waves of demand, out of phase between failure domains."""
        entries = _Entries({'a-1': 30.0, 'a-2': 30.0, 'b-1': 4.0, 'b-2': 4.0})
        for _ in range(4):
            entries.run(2)
            self.assertTrue(entries.own('a-1') > 0.33, entries.own('a-1'))
            self.assertTrue(entries.own('b-1') < 0.17, entries.own('b-1'))
            demand = entries.demand_by_entry
            demand.update(zip(demand, (4.0, 4.0, 30.0, 30.0), strict=True))
            entries.run(2)
            self.assertTrue(entries.own('b-1') > 0.33, entries.own('b-1'))
            demand.update(zip(demand, (30.0, 30.0, 4.0, 4.0), strict=True))
        self._assert_within_one(entries)

    def test_entry_that_wakes_into_full_shares(self):
        """Pattern: an idle entry gets requests while others use everything.

        It has its floor at once and its equal part as soon as loans end, which is
        decided in the next round.
        """
        entries = _Entries({'idle': 0.0, 'b': 20.0, 'c': 20.0})
        entries.run(2)
        self.assertAlmostEqual(
            const.FLOOR_RATIO / 3, entries.own('idle'), places=4
        )
        entries.demand_by_entry['idle'] = 20.0
        entries.run(
            const.OFFER_SECONDS + const.RECLAIM_SECONDS + 2 * _INTERVAL_SECONDS
        )
        self.assertAlmostEqual(1 / 3, entries.own('idle'))
        self._assert_within_one(entries)

    def test_reports_lost_between_half_of_the_entries(self):
        """Pattern: two halves do not hear each other, while demand changes."""
        generator = random.Random(3)

        def _arrives(sender, receiver):
            return (sender < 4) == (receiver < 4) and generator.random() > 0.3

        entries = _Entries({entry: 10.0 for entry in range(8)}, _arrives)
        for _ in range(40):
            entries.run(0.3)
            changed = generator.randrange(8)
            entries.demand_by_entry[changed] = generator.uniform(0, 40)
        self._assert_within_one(entries)

    def test_borrowers_by_turns(self):
        """Pattern: bursts at one entry after the other, faster than loans end.

        What one borrower may still use is not lent to the next one, also if an
        entry lends nearly all of its part.
        """
        self.patch(const, 'FLOOR_RATIO', 0.1)
        entries = _Entries({entry: 0.0 for entry in range(6)})
        for number in range(30):
            entries.demand_by_entry.update({entry: 0.0 for entry in range(6)})
            entries.demand_by_entry[number % 5] = 50.0
            entries.run(const.OFFER_SECONDS)
        self._assert_within_one(entries)

    def test_silent_borrower(self):
        """Pattern: an entry that has borrowed is cut off from all others."""
        entries = _Entries({'a': 1.0, 'b': 40.0, 'c': 1.0})
        entries.run(2)
        self.assertTrue(entries.own('b') > 0.6, entries.own('b'))
        entries.run(1, 'b')
        self.assertAlmostEqual(1 / 3, entries.own('b'))
        self._assert_within_one(entries)

    def test_entry_that_joins(self):
        """Pattern: an entry starts while others lend to each other.

        Loans beyond the new parts end within the time of a loan.
        """
        entries = _Entries({'a': 0.0, 'b': 40.0})
        entries.run(2)
        entries.demand_by_entry['c'] = 10.0
        entries.shares_by_entry['c'] = shares.Shares()
        entries.shares_by_entry = {
            entry: known._replace(entries=3)
            for entry, known in entries.shares_by_entry.items()
        }
        entries.run(const.RECLAIM_SECONDS + _INTERVAL_SECONDS)
        entries.largest_sum = 0
        entries.run(3)
        self._assert_within_one(entries)

    def test_entries_of_an_earlier_release(self):
        """Entries that tell no demand keep their equal part."""
        known = shares.offer_loans(shares.Shares(4), 10, 5)
        self.assertAlmostEqual(0.25, shares.own_share(known, 5))
        self.assertEqual({}, dict(shares.told_loans(known)))

    def test_demand_fades(self):
        """The demand is the rate of arrivals, and fades without any."""
        demand = demands.Demand()
        for number in range(200):
            demand = demands.record_arrival(demand, number / 20)
        now_seconds = 199 / 20
        self.assertAlmostEqual(
            20, demands.per_second(demand, now_seconds), delta=0.6
        )
        later_seconds = now_seconds + const.DEMAND_HALF_LIFE_SECONDS
        self.assertAlmostEqual(
            10, demands.per_second(demand, later_seconds), delta=0.3
        )
