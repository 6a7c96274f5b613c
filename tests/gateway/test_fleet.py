"""Usable upstreams during registration changes and store outages."""

import testtools

from nutmegtrail.gateway import fleet
from tests.gateway import samples


def _decide(updated, *timed_events):
    """Return the fleet after events at the given times."""
    for now, event in timed_events:
        updated = fleet.decide(event, updated, now)
    return updated


def _usable_ids(updated):
    """Return the identifiers of the usable upstreams."""
    return {
        upstream.upstream_id
        for upstream in fleet.usable_upstreams(updated, 'drafts')
    }


_BOTH = fleet.SnapshotReceived((samples.upstream('u1'), samples.upstream('u2')))


class FleetTest(testtools.TestCase):
    """Registrations, removals and outages."""

    def test_leaving_and_removed_get_no_work(self):
        """Leaving and removed upstreams get no new requests."""
        leaving = samples.upstream('u1', leaving=True)
        updated = _decide(
            fleet.Fleet(),
            (0, _BOTH),
            (1, fleet.Registered(leaving)),
        )
        self.assertEqual({'u2'}, _usable_ids(updated))
        updated = _decide(updated, (2, fleet.Removed('u2')))
        self.assertEqual(set(), _usable_ids(updated))

    def test_outage_keeps_known_upstreams(self):
        """Upstreams that expired in an outage are used for a grace period."""
        updated = _decide(
            fleet.Fleet(),
            (0, _BOTH),
            (5, fleet.StoreLost()),
            (10, fleet.StoreRecovered()),
            (10, fleet.Removed('u1')),
            (11, fleet.TimeElapsed()),
        )
        self.assertEqual({'u1', 'u2'}, _usable_ids(updated))
        updated = _decide(updated, (12.3, fleet.TimeElapsed()))
        self.assertEqual({'u2'}, _usable_ids(updated))

    def test_returned_within_the_window(self):
        """An upstream that registers again within the grace period is kept."""
        updated = _decide(
            fleet.Fleet(),
            (0, _BOTH),
            (5, fleet.StoreLost()),
            (10, fleet.StoreRecovered()),
            (10, fleet.SnapshotReceived((samples.upstream('u2'),))),
            (11, fleet.Registered(samples.upstream('u1'))),
            (13, fleet.TimeElapsed()),
        )
        self.assertEqual({'u1', 'u2'}, _usable_ids(updated))

    def test_leaving_in_an_outage_is_not_kept(self):
        """An upstream that was leaving before the outage is not kept."""
        updated = _decide(
            fleet.Fleet(),
            (0, _BOTH),
            (1, fleet.Registered(samples.upstream('u1', leaving=True))),
            (5, fleet.StoreLost()),
            (10, fleet.StoreRecovered()),
            (10, fleet.SnapshotReceived((samples.upstream('u2'),))),
        )
        self.assertEqual({'u2'}, _usable_ids(updated))

    def test_broken_group_gets_no_work(self):
        """Ranks of a group that is not open are registered but not usable."""
        closed = samples.member('m1', 0, is_open=False)
        updated = _decide(fleet.Fleet(), (0, fleet.SnapshotReceived((closed,))))
        self.assertEqual(set(), _usable_ids(updated))
        self.assertEqual(1, len(fleet.registered_upstreams(updated, 'drafts')))

    def test_earlier_copy_shows_a_leaving_upstream(self):
        """A leaving upstream gets no work, although the copy calls it ready.

        The write of the state is one of those that the copy lacks.
        """
        updated = _decide(
            fleet.Fleet(),
            (0, _BOTH),
            (1, fleet.Registered(samples.upstream('u1', leaving=True))),
            (2, fleet.StoreRestored()),
            (2, _BOTH),
        )
        self.assertEqual({'u2'}, _usable_ids(updated))
        again = fleet.Registered(samples.upstream('u1'))
        updated = _decide(updated, (3, again))
        self.assertEqual({'u2'}, _usable_ids(updated))
        restarted = fleet.Registered(samples.upstream('u1', started_at_ms=9))
        updated = _decide(updated, (4, restarted))
        self.assertEqual({'u1', 'u2'}, _usable_ids(updated))

    def test_earlier_copy_shows_a_removed_upstream(self):
        """A removed upstream waits until its registration must have expired."""
        updated = _decide(
            fleet.Fleet(),
            (0, _BOTH),
            (1, fleet.Removed('u1')),
            (2, fleet.StoreRestored()),
            (2, _BOTH),
        )
        self.assertEqual({'u2'}, _usable_ids(updated))
        expired = _decide(
            updated, (4, fleet.Removed('u1')), (9, fleet.TimeElapsed())
        )
        self.assertEqual({'u2'}, _usable_ids(expired))
        registered = fleet.Registered(samples.upstream('u1'))
        alive = _decide(updated, (3, registered))
        self.assertEqual({'u1', 'u2'}, _usable_ids(alive))
        unchanged = _decide(updated, (9, fleet.TimeElapsed()))
        self.assertEqual({'u1', 'u2'}, _usable_ids(unchanged))

    def test_earlier_copy_lacks_an_upstream(self):
        """An upstream that the copy lacks stays until it can register."""
        updated = _decide(
            fleet.Fleet(),
            (0, _BOTH),
            (2, fleet.StoreRestored()),
            (2, fleet.SnapshotReceived(())),
        )
        self.assertEqual({'u1', 'u2'}, _usable_ids(updated))
        updated = _decide(updated, (9, fleet.TimeElapsed()))
        self.assertEqual(set(), _usable_ids(updated))

    def test_ordinary_snapshot_shows_a_removed_upstream(self):
        """Without an earlier copy, an upstream that is back gets work."""
        updated = _decide(
            fleet.Fleet(), (0, _BOTH), (1, fleet.Removed('u1')), (2, _BOTH)
        )
        self.assertEqual({'u1', 'u2'}, _usable_ids(updated))
