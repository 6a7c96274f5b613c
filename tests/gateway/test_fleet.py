"""Which upstreams may be used, through changes and outages of the store."""

import testtools

from nutmegtrail.gateway import fleet
from tests.gateway import samples


def _decide(held, *timed_events):
    """Return the fleet after events at their times."""
    for now, event in timed_events:
        held = fleet.decide(event, held, now)
    return held


def _names(held):
    """Return the usable upstreams."""
    return {one.upstream_id for one in fleet.usable_upstreams(held, 'drafts')}


_BOTH = fleet.SnapshotReceived((samples.upstream('u1'), samples.upstream('u2')))


class FleetTest(testtools.TestCase):
    """Registrations, removals and outages."""

    def test_leaving_and_removed_get_no_work(self):
        """A leaving upstream and a removed one are out at once."""
        leaving = samples.upstream('u1', leaving=True)
        held = _decide(
            fleet.Fleet(),
            (0, _BOTH),
            (1, fleet.Registered(leaving)),
        )
        self.assertEqual({'u2'}, _names(held))
        held = _decide(held, (2, fleet.Removed('u2')))
        self.assertEqual(set(), _names(held))

    def test_outage_keeps_known_upstreams(self):
        """What lapsed in an outage is used until the return window ends."""
        held = _decide(
            fleet.Fleet(),
            (0, _BOTH),
            (5, fleet.StoreLost()),
            (10, fleet.StoreRecovered()),
            (10, fleet.Removed('u1')),
            (11, fleet.TimeElapsed()),
        )
        self.assertEqual({'u1', 'u2'}, _names(held))
        held = _decide(held, (12.3, fleet.TimeElapsed()))
        self.assertEqual({'u2'}, _names(held))

    def test_returned_within_the_window(self):
        """An upstream that registers again stays."""
        held = _decide(
            fleet.Fleet(),
            (0, _BOTH),
            (5, fleet.StoreLost()),
            (10, fleet.StoreRecovered()),
            (10, fleet.SnapshotReceived((samples.upstream('u2'),))),
            (11, fleet.Registered(samples.upstream('u1'))),
            (13, fleet.TimeElapsed()),
        )
        self.assertEqual({'u1', 'u2'}, _names(held))

    def test_leaving_in_an_outage_is_not_kept(self):
        """An upstream that was known to leave does not come back."""
        held = _decide(
            fleet.Fleet(),
            (0, _BOTH),
            (1, fleet.Registered(samples.upstream('u1', leaving=True))),
            (5, fleet.StoreLost()),
            (10, fleet.StoreRecovered()),
            (10, fleet.SnapshotReceived((samples.upstream('u2'),))),
        )
        self.assertEqual({'u2'}, _names(held))

    def test_broken_group_gets_no_work(self):
        """Ranks of a group that is not open are registered, not usable."""
        closed = samples.member('m1', 0, is_open=False)
        held = _decide(fleet.Fleet(), (0, fleet.SnapshotReceived((closed,))))
        self.assertEqual(set(), _names(held))
        self.assertEqual(1, len(fleet.registered_upstreams(held, 'drafts')))
