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
            (11, fleet.Read()),
            (11, fleet.TimeElapsed()),
        )
        self.assertEqual({'u1', 'u2'}, _usable_ids(updated))
        updated = _decide(
            updated, (12.3, fleet.Read()), (12.3, fleet.TimeElapsed())
        )
        self.assertEqual({'u2'}, _usable_ids(updated))

    # Guards against work for removed upstreams (DRAIN) after a failed call or
    # two.
    def test_outage_too_short_to_expire(self):
        """A removal after an outage in which nothing expired counts at once."""
        short = fleet.StoreRecovered(may_have_expired=False)
        updated = _decide(
            fleet.Fleet(),
            (0, _BOTH),
            (5, fleet.StoreLost()),
            (5.5, short),
            (5.5, fleet.Removed('u1')),
        )
        self.assertEqual({'u2'}, _usable_ids(updated))
        self.assertFalse(updated.is_store_unavailable)

    def test_short_outage_in_a_grace_period(self):
        """The grace period of an outage before it is longer by the short one."""
        updated = _decide(
            fleet.Fleet(),
            (0, _BOTH),
            (5, fleet.StoreLost()),
            (10, fleet.StoreRecovered()),
            (10, fleet.Removed('u1')),
            (11, fleet.StoreLost()),
            (12.1, fleet.StoreRecovered(may_have_expired=False)),
            (13.2, fleet.Read()),
        )
        self.assertEqual({'u1', 'u2'}, _usable_ids(updated))
        updated = _decide(updated, (13.4, fleet.Read()))
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
            (13, fleet.Read()),
            (13, fleet.TimeElapsed()),
        )
        self.assertEqual({'u1', 'u2'}, _usable_ids(updated))

    # Guards against live upstreams that are dropped because the store is away
    # when they would register again.
    def test_second_outage_in_the_grace_period(self):
        """A missing upstream stays until the store was back for long enough."""
        updated = _decide(
            fleet.Fleet(),
            (0, _BOTH),
            (5, fleet.StoreLost()),
            (10, fleet.StoreRecovered()),
            (10, fleet.Removed('u1')),
            (11, fleet.StoreLost()),
            (40, fleet.TimeElapsed()),
        )
        self.assertEqual({'u1', 'u2'}, _usable_ids(updated))
        updated = _decide(
            updated,
            (41, fleet.StoreRecovered()),
            (43, fleet.Read()),
            (43, fleet.TimeElapsed()),
        )
        self.assertEqual({'u1', 'u2'}, _usable_ids(updated))
        updated = _decide(
            updated, (43.3, fleet.Read()), (43.3, fleet.TimeElapsed())
        )
        self.assertEqual({'u2'}, _usable_ids(updated))

    # Guards against live upstreams that are dropped because the watch is cut off
    # when they register again.
    def test_watch_that_fails_in_the_grace_period(self):
        """A missing upstream stays until registrations are read again."""
        behind = _decide(
            fleet.Fleet(),
            (0, _BOTH),
            (5, fleet.StoreLost()),
            (10, fleet.StoreRecovered()),
            (10, fleet.Removed('u1')),
            (11, fleet.ReadFailed()),
            (15, fleet.TimeElapsed()),
        )
        self.assertEqual({'u1', 'u2'}, _usable_ids(behind))
        gone = _decide(
            behind,
            (16, fleet.Read()),
            (16, fleet.Read()),
            (16, fleet.TimeElapsed()),
        )
        self.assertEqual({'u2'}, _usable_ids(gone))
        back = _decide(
            behind,
            (16, fleet.Registered(samples.upstream('u1'))),
            (16, fleet.Read()),
            (16, fleet.Read()),
            (16, fleet.TimeElapsed()),
        )
        self.assertEqual({'u1', 'u2'}, _usable_ids(back))

    # Guards against a removed upstream that gets work because the watch is cut
    # off when its registration in a copy expires.
    def test_watch_that_fails_after_an_earlier_copy(self):
        """A removed upstream waits until registrations are read again."""
        behind = _decide(
            fleet.Fleet(),
            (0, _BOTH),
            (1, fleet.Removed('u1')),
            (2, fleet.StoreRestored()),
            (2, _BOTH),
            (3, fleet.ReadFailed()),
            (20, fleet.TimeElapsed()),
        )
        self.assertEqual({'u2'}, _usable_ids(behind))
        expired = _decide(
            behind,
            (20, fleet.Removed('u1')),
            (20, fleet.Read()),
            (20, fleet.TimeElapsed()),
        )
        self.assertEqual({'u2'}, _usable_ids(expired))

    # Guards against a removed upstream that gets work since one of its writes
    # took effect late, in an outage, and was removed again.
    def test_registered_and_removed_in_an_outage(self):
        """The grace period is for upstreams that were known before."""
        updated = _decide(
            fleet.Fleet(),
            (0, _BOTH),
            (1, fleet.Removed('u1')),
            (2, fleet.StoreLost()),
            (9, fleet.StoreRecovered()),
            (9, fleet.Registered(samples.upstream('u1'))),
            (9, fleet.Removed('u1')),
        )
        self.assertEqual({'u2'}, _usable_ids(updated))
        updated = _decide(
            updated,
            (9, fleet.Registered(samples.upstream('u1'))),
            (9, _BOTH),
            (9, fleet.SnapshotReceived(())),
        )
        self.assertEqual({'u2'}, _usable_ids(updated))

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
            updated,
            (4, fleet.Removed('u1')),
            (9, fleet.Read()),
            (9, fleet.TimeElapsed()),
        )
        self.assertEqual({'u2'}, _usable_ids(expired))
        registered = fleet.Registered(samples.upstream('u1'))
        alive = _decide(updated, (3, registered))
        self.assertEqual({'u1', 'u2'}, _usable_ids(alive))
        unchanged = _decide(
            updated, (9, fleet.Read()), (9, fleet.TimeElapsed())
        )
        self.assertEqual({'u1', 'u2'}, _usable_ids(unchanged))

    # Guards against a removed upstream that gets work because the store was
    # away when its registration would have expired.
    def test_outage_after_an_earlier_copy(self):
        """A removed upstream waits for its expiry as long again."""
        updated = _decide(
            fleet.Fleet(),
            (0, _BOTH),
            (1, fleet.Removed('u1')),
            (2, fleet.StoreRestored()),
            (2, _BOTH),
            (3, fleet.StoreLost()),
            (20, fleet.TimeElapsed()),
        )
        self.assertEqual({'u2'}, _usable_ids(updated))
        updated = _decide(
            updated,
            (21, fleet.StoreRecovered()),
            (26, fleet.Read()),
            (26, fleet.TimeElapsed()),
        )
        self.assertEqual({'u2'}, _usable_ids(updated))
        listed = _decide(updated, (21, _BOTH))
        self.assertEqual({'u2'}, _usable_ids(listed))
        expired = _decide(
            updated,
            (26, fleet.Removed('u1')),
            (30, fleet.Read()),
            (30, fleet.TimeElapsed()),
        )
        self.assertEqual({'u2'}, _usable_ids(expired))
        alive = _decide(
            updated, (27.1, fleet.Read()), (27.1, fleet.TimeElapsed())
        )
        self.assertEqual({'u1', 'u2'}, _usable_ids(alive))

    # Guards against removals that are forgotten while the store is away.
    def test_earlier_copy_after_a_long_outage(self):
        """An upstream that was removed before it gets no work from the copy."""
        updated = _decide(
            fleet.Fleet(),
            (0, _BOTH),
            (1, fleet.Removed('u1')),
            (2, fleet.StoreLost()),
            (900, fleet.TimeElapsed()),
            (901, fleet.StoreRecovered()),
            (902, fleet.Read()),
            (902, fleet.TimeElapsed()),
            (902, fleet.StoreRestored()),
            (902, _BOTH),
        )
        self.assertEqual({'u2'}, _usable_ids(updated))

    # Guards against the incarnation before a restart, which a copy shows.
    def test_earlier_copy_shows_an_earlier_incarnation(self):
        """The later one stays in use until it has registered again."""
        for known in (
            (fleet.Removed('u1'),),
            (),
        ):
            restarted = fleet.Registered(
                samples.upstream('u1', started_at_ms=9)
            )
            updated = _decide(
                fleet.Fleet(),
                (0, _BOTH),
                *((1, event) for event in known),
                (2, restarted),
                (3, fleet.StoreRestored()),
                (3, _BOTH),
            )
            self.assertEqual(
                9, updated.upstreams_by_id['u1'].started_at_ms, known
            )
            updated = _decide(updated, (4, restarted), (20, fleet.Read()))
            self.assertEqual(
                9, updated.upstreams_by_id['u1'].started_at_ms, known
            )

    # Guards against a live upstream that gives place to its own past.
    def test_late_write_of_an_earlier_incarnation(self):
        """An incarnation that is known to have ended replaces no later one."""
        earlier = samples.upstream('u1')
        later = samples.upstream('u1', started_at_ms=9)
        for written in (
            fleet.Registered(earlier),
            fleet.SnapshotReceived((earlier,)),
        ):
            updated = _decide(
                fleet.Fleet(),
                (0, _BOTH),
                (1, fleet.Removed('u1')),
                (2, fleet.Registered(later)),
                (3, written),
            )
            self.assertEqual(later, updated.upstreams_by_id['u1'])
        unknown = fleet.Registered(samples.upstream('u1', started_at_ms=4))
        updated = _decide(updated, (4, unknown))
        self.assertEqual(4, updated.upstreams_by_id['u1'].started_at_ms)

    # Guards against live upstreams that are dropped while a watch that will
    # fail has not failed yet.
    def test_time_alone_removes_nothing(self):
        """A missing upstream is dropped by a read that does not show it."""
        updated = _decide(
            fleet.Fleet(),
            (0, _BOTH),
            (5, fleet.StoreLost()),
            (10, fleet.StoreRecovered()),
            (10, fleet.Removed('u1')),
        )
        self.assertEqual(12.2, fleet.due_at_seconds(updated))
        updated = _decide(updated, (15, fleet.TimeElapsed()))
        self.assertEqual({'u1', 'u2'}, _usable_ids(updated))
        updated = _decide(updated, (15, fleet.Read()))
        self.assertEqual({'u2'}, _usable_ids(updated))
        self.assertEqual(float('inf'), fleet.due_at_seconds(updated))

    def test_earlier_copy_lacks_an_upstream(self):
        """An upstream that the copy lacks stays until it can register."""
        updated = _decide(
            fleet.Fleet(),
            (0, _BOTH),
            (2, fleet.StoreRestored()),
            (2, fleet.SnapshotReceived(())),
        )
        self.assertEqual({'u1', 'u2'}, _usable_ids(updated))
        updated = _decide(updated, (9, fleet.Read()), (9, fleet.TimeElapsed()))
        self.assertEqual(set(), _usable_ids(updated))

    def test_ordinary_snapshot_shows_a_removed_upstream(self):
        """Without an earlier copy, an upstream that is back gets work."""
        updated = _decide(
            fleet.Fleet(), (0, _BOTH), (1, fleet.Removed('u1')), (2, _BOTH)
        )
        self.assertEqual({'u1', 'u2'}, _usable_ids(updated))

    def test_announced_leaving_overrides_the_registration(self):
        """An upstream that says it leaves gets no work, though it is ready.

        Its registration may be written late, or never tell.
        """
        updated = _decide(
            fleet.Fleet(),
            (0, _BOTH),
            (1, fleet.AnnouncedLeaving('u1', 1)),
        )
        self.assertEqual({'u2'}, _usable_ids(updated))
        self.assertEqual(2, len(fleet.registered_upstreams(updated, 'drafts')))
        written_later = (
            _BOTH,
            fleet.Registered(samples.upstream('u1', slots=9)),
            fleet.StoreRestored(),
            _BOTH,
        )
        for now, event in enumerate(written_later, start=2):
            updated = _decide(updated, (now, event))
            self.assertEqual({'u2'}, _usable_ids(updated), event)

    def test_announced_leaving_survives_a_removal(self):
        """The same incarnation gets no work after it registers again."""
        announced = _decide(
            fleet.Fleet(),
            (0, _BOTH),
            (1, fleet.AnnouncedLeaving('u1', 1)),
        )
        again = fleet.Registered(samples.upstream('u1'))
        removed = (2, fleet.Removed('u1'))
        outage = ((2, fleet.StoreLost()), (900, fleet.TimeElapsed()))
        cases = (
            (removed, (3, again)),
            (removed, (3, _BOTH)),
            (
                removed,
                (100, fleet.Read()),
                (100, fleet.TimeElapsed()),
                (101, again),
            ),
            (*outage, (901, fleet.StoreRecovered()), (901, again)),
            (
                *outage,
                (901, fleet.StoreRecovered()),
                (901, fleet.SnapshotReceived(())),
                (902, fleet.Read()),
                (902, fleet.TimeElapsed()),
                (903, again),
            ),
            (
                removed,
                (3, fleet.StoreLost()),
                (900, fleet.TimeElapsed()),
                (901, fleet.StoreRecovered()),
                (901, fleet.Read()),
                (901, fleet.TimeElapsed()),
                (902, again),
            ),
            (
                removed,
                (3, fleet.StoreRestored()),
                (3, _BOTH),
                (10, fleet.Read()),
                (10, fleet.TimeElapsed()),
            ),
        )
        for timed_events in cases:
            updated = _decide(announced, *timed_events)
            self.assertNotIn('u1', _usable_ids(updated), timed_events)

    def test_announced_leaving_of_an_unregistered_upstream(self):
        """An upstream may answer after its registration has gone."""
        updated = _decide(
            fleet.Fleet(),
            (0, _BOTH),
            (1, fleet.Removed('u1')),
            (2, fleet.AnnouncedLeaving('u1', 1)),
            (3, fleet.Registered(samples.upstream('u1'))),
        )
        self.assertEqual({'u2'}, _usable_ids(updated))

    def test_announced_leaving_ends_with_the_incarnation(self):
        """A later start under the same identifier gets work.

        So does one that does not tell its start. An earlier start, which an
        old copy of the store shows, has ended.
        """
        for started_at_ms, is_usable in ((9, True), (0, True), (4, False)):
            restarted = fleet.Registered(
                samples.upstream('u1', started_at_ms=started_at_ms)
            )
            updated = _decide(
                fleet.Fleet(),
                (0, fleet.Registered(samples.upstream('u1', started_at_ms=5))),
                (1, fleet.AnnouncedLeaving('u1', 5)),
                (2, restarted),
            )
            self.assertEqual(is_usable, 'u1' in _usable_ids(updated))
            late_answer = (3, fleet.AnnouncedLeaving('u1', 5))
            updated = _decide(updated, late_answer)
            self.assertEqual(is_usable, 'u1' in _usable_ids(updated))

    def test_announced_leaving_without_a_start_time(self):
        """It holds until the registration ends: another start may follow."""
        upstream = samples.upstream('u1', started_at_ms=0)
        updated = _decide(
            fleet.Fleet(),
            (0, fleet.Registered(upstream)),
            (1, fleet.AnnouncedLeaving('u1', 0)),
            (2, fleet.Registered(upstream._replace(slots=9))),
        )
        self.assertEqual(set(), _usable_ids(updated))
        updated = _decide(
            updated, (3, fleet.Removed('u1')), (4, fleet.Registered(upstream))
        )
        self.assertEqual({'u1'}, _usable_ids(updated))

    def test_announcements_are_forgotten(self):
        """Announcements of upstreams that are gone take no memory for long."""
        updated = fleet.Fleet()
        for number in range(500):
            upstream = samples.upstream(f'u{number}')
            updated = _decide(
                updated,
                (number, fleet.Registered(upstream)),
                (number, fleet.AnnouncedLeaving(upstream.upstream_id, 1)),
                (number, fleet.Removed(upstream.upstream_id)),
                (number, fleet.TimeElapsed()),
            )
        self.assertTrue(len(updated.announcements_by_id) < 130)
        registered = _decide(
            fleet.Fleet(),
            (0, _BOTH),
            (1, fleet.AnnouncedLeaving('u1', 1)),
            (1_000, fleet.TimeElapsed()),
            (1_001, _BOTH),
        )
        self.assertEqual({'u2'}, _usable_ids(registered))
