"""Load pattern: uneven upstreams behind several entries."""

import testtools

from nutmegtrail.gateway import const
from nutmegtrail.gateway import fleet
from nutmegtrail.gateway import health
from nutmegtrail.gateway import request_counts
from nutmegtrail.gateway import selection
from tests.gateway import samples


def _choose(upstreams, counts, standings=None, excluded=(), room_share=1):
    """Return the chosen upstream's name, None if none."""
    members = fleet.decide(
        fleet.SnapshotReceived(tuple(upstreams)), fleet.Fleet(), 0
    )
    situation = selection.Situation(
        members,
        standings or health.Health(),
        counts,
    )
    places = selection.places(situation, 'drafts', 0)
    chosen = selection.choose(
        places,
        frozenset(excluded),
        'kandla-a',
        room_share,
    )
    return None if chosen is None else chosen.upstream.upstream_id


def _counts(**own):
    """Return the counts of one entry."""
    held = request_counts.Counts()
    for name, count in own.items():
        for _ in range(count):
            held = request_counts.record_start(held, name)
    return held


_TWO = (samples.upstream('u1'), samples.upstream('u2'))


class SelectionTest(testtools.TestCase):
    """Where work goes."""

    def test_least_loaded_of_all_entries(self):
        """Requests of other entries count."""
        counts = request_counts.record_report(_counts(u1=1), 'e2', {'u2': 2}, 0)
        self.assertEqual('u1', _choose(_TWO, counts))

    def test_silent_entry_is_forgotten(self):
        """The counts of an entry that is gone do not block slots."""
        counts = request_counts.record_report(_counts(u1=2), 'e2', {'u2': 2}, 0)
        self.assertIsNone(_choose(_TWO, counts))
        counts = request_counts.drop_stale_reports(counts, 5)
        self.assertEqual('u2', _choose(_TWO, counts))

    def test_none_free(self):
        """Full and excluded upstreams are not chosen."""
        self.assertIsNone(_choose(_TWO, _counts(u1=2, u2=2)))
        excluded = frozenset(('u1', 'u2'))
        self.assertIsNone(_choose(_TWO, _counts(), excluded=excluded))

    def test_slow_upstream_gets_less(self):
        """Pattern `srv_slow`: one that takes five times as long is last."""
        standings = health.record_latency(health.Health(), 'u1', 0.5, 0)
        standings = health.record_latency(standings, 'u2', 0.1, 0)
        self.assertEqual('u2', _choose(_TWO, _counts(u2=1), standings))

    def test_less_loaded_group(self):
        """Equal ranks: the group with fewer requests is taken."""
        ranks = (
            samples.member('m1', 0),
            samples.member('m2', 1),
            samples.member('n1', 0, group='g1'),
        )
        self.assertEqual('n1', _choose(ranks, _counts(m2=1)))

    def test_strained_group_is_full(self):
        """Pattern `expert_shift`: pauses over the objective close a group."""
        ranks = (samples.member('m1', 0), samples.member('m2', 1))
        standings = health.record_pause_ratio(health.Health(), 'g0', 2.0, 2, 0)
        counts = _counts(m1=1, m2=1)
        self.assertIsNone(_choose(ranks, counts, standings))
        self.assertEqual('m2', _choose(ranks, _counts(m1=1), standings))

    def test_ejected_group(self):
        """A group that another rank keeps from working gets nothing."""
        ranks = (samples.member('m1', 0), samples.member('m2', 1))
        standings = health.record_failure(health.Health(), 'g0', 0, 1)
        self.assertIsNone(_choose(ranks, _counts(), standings))

    def test_crowd_at_many_entries(self):
        """Pattern: after a restart all callers come to all entries at once.

        Until they hear of each other the entries together start no more
        than the group has room for.
        """
        entries = 9
        ranks = tuple(
            samples.member(f'm{rank}', rank, size=32)._replace(slots=5)
            for rank in range(32)
        )
        members = fleet.decide(fleet.SnapshotReceived(ranks), fleet.Fleet(), 0)
        started = 0
        for _ in range(entries):
            counts = request_counts.Counts()
            for _ in range(100):
                situation = selection.Situation(
                    members,
                    health.Health(),
                    counts,
                    entries,
                    {'g0': 0},
                )
                chosen = selection.choose(
                    selection.places(situation, 'drafts', 0),
                    frozenset(),
                    'kandla-a',
                )
                if chosen is None:
                    break
                name = chosen.upstream.upstream_id
                counts = request_counts.record_start(counts, name)
                started += 1
        room = 32 * 5 * const.INITIAL_CAPACITY_RATIO
        self.assertTrue(room - entries < started <= room + entries, started)

    def test_late_requests_leave_room(self):
        """Pattern `burst`: a request that is late leaves the last places."""
        ranks = tuple(
            samples.member(f'm{rank}', rank, size=8) for rank in range(8)
        )
        counts = _counts(**{f'm{rank}': 1 for rank in range(8)})
        counts = request_counts.record_start(counts, 'm0')
        self.assertEqual('m1', _choose(ranks, counts))
        self.assertIsNone(_choose(ranks, counts, room_share=0.8))
