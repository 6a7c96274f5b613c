"""Tests of the upstream selection with uneven load and several entries."""

import collections
import random

import testtools

from nutmegtrail.gateway import const
from nutmegtrail.gateway import fleet
from nutmegtrail.gateway import health
from nutmegtrail.gateway import request_counts
from nutmegtrail.gateway import selection
from nutmegtrail.overload import models as overload_models
from tests.gateway import samples


def _choose(
    upstreams, counts, upstream_health=None, excluded_ids=(), capacity_ratio=1
):
    """Return the ID of the selected upstream, None if none."""
    known_upstreams = fleet.decide(
        fleet.SnapshotReceived(tuple(upstreams)), fleet.Fleet(), 0
    )
    context = selection.SelectionContext(
        known_upstreams,
        upstream_health or health.Health(),
        counts,
    )
    candidates = selection.find_candidates(context, 'drafts', 0)
    candidate = selection.choose(
        candidates,
        frozenset(excluded_ids),
        selection.Preference('kandla-a'),
        capacity_ratio,
    )
    return None if candidate is None else candidate.upstream.upstream_id


def _counts(**in_flight_by_id):
    """Return the counts of a single entry."""
    counts = request_counts.Counts()
    for name, count in in_flight_by_id.items():
        for _ in range(count):
            counts = request_counts.record_start(counts, name)
    return counts


def _beyond_slots(total):
    """Return how many requests wait for a slot of their rank."""
    return sum(max(count - _LARGE_GROUP_SLOTS, 0) for count in total.values())


_LARGE_GROUP_SLOTS = 3
_TWO_UPSTREAMS = (samples.upstream('u1'), samples.upstream('u2'))


class SelectionTest(testtools.TestCase):
    """Selection by load, latency and capacity."""

    def test_least_loaded_of_all_entries(self):
        """Requests of other entries are counted."""
        counts = request_counts.record_report(_counts(u1=1), 'e2', {'u2': 2}, 0)
        self.assertEqual('u1', _choose(_TWO_UPSTREAMS, counts))

    def test_silent_entry_is_ignored(self):
        """The counts of a silent entry do not occupy slots."""
        counts = request_counts.record_report(_counts(u1=2), 'e2', {'u2': 2}, 0)
        self.assertIsNone(_choose(_TWO_UPSTREAMS, counts))
        counts = request_counts.drop_stale_reports(counts, 5)
        self.assertEqual('u2', _choose(_TWO_UPSTREAMS, counts))

    def test_none_free(self):
        """Full and excluded upstreams are not selected."""
        self.assertIsNone(_choose(_TWO_UPSTREAMS, _counts(u1=2, u2=2)))
        excluded_ids = frozenset(('u1', 'u2'))
        self.assertIsNone(
            _choose(_TWO_UPSTREAMS, _counts(), excluded_ids=excluded_ids)
        )

    def test_slow_upstream_gets_less(self):
        """Pattern `srv_slow`: an upstream five times slower comes last."""
        upstream_health = health.record_latency(health.Health(), 'u1', 0.5, 0)
        upstream_health = health.record_latency(upstream_health, 'u2', 0.1, 0)
        self.assertEqual(
            'u2', _choose(_TWO_UPSTREAMS, _counts(u2=1), upstream_health)
        )

    def test_less_loaded_group(self):
        """Among equally loaded ranks, the less loaded group is selected."""
        ranks = (
            samples.member('m1', 0),
            samples.member('m2', 1),
            samples.member('n1', 0, group='g1'),
        )
        self.assertEqual('n1', _choose(ranks, _counts(m2=1)))

    def test_group_over_pause_objective_is_full(self):
        """Pattern `expert_shift`: a group over its pause objective is full."""
        ranks = (samples.member('m1', 0), samples.member('m2', 1))
        upstream_health = health.record_pause(
            health.Health(), 'g0', overload_models.PauseSample(2.0, 2), 0
        )
        counts = _counts(m1=1, m2=1)
        self.assertIsNone(_choose(ranks, counts, upstream_health))
        self.assertEqual('m2', _choose(ranks, _counts(m1=1), upstream_health))

    def test_ejected_group(self):
        """A group that a faulty rank keeps from working gets no requests."""
        ranks = (samples.member('m1', 0), samples.member('m2', 1))
        upstream_health = health.record_failure(health.Health(), 'g0', 0, 1)
        self.assertIsNone(_choose(ranks, _counts(), upstream_health))

    def test_held_off_upstream(self):
        """An upstream that wants no requests gets none, but its group does.

        Its requests still count as load of the group.
        """
        ranks = (samples.member('m1', 0), samples.member('m2', 1))
        held_off = health.record_hold_off(health.Health(), ('m1', 1), 1, 0)
        self.assertEqual('m2', _choose(ranks, _counts(m2=1), held_off))
        full = health.record_pause(
            held_off, 'g0', overload_models.PauseSample(2.0, 2), 0
        )
        self.assertIsNone(_choose(ranks, _counts(m1=2), full))

    def test_end_and_incarnation_of_a_hold_off(self):
        """Requests resume at the end, and at once for a later start."""
        upstream = samples.upstream('u1', started_at_ms=5)
        cases = (
            (('u1', 5), 1, None),
            (('u1', 5), 0, 'u1'),
            (('u1', 4), 1, 'u1'),
        )
        for incarnation, seconds, expected in cases:
            upstream_health = health.record_hold_off(
                health.Health(), incarnation, seconds, 0
            )
            self.assertEqual(
                expected, _choose((upstream,), _counts(), upstream_health)
            )

    def test_available_from(self):
        """Usable upstreams are available from the end of their hold-offs."""
        upstreams = (*_TWO_UPSTREAMS, samples.upstream('u3', leaving=True))
        known_upstreams = fleet.decide(
            fleet.SnapshotReceived(upstreams), fleet.Fleet(), 0
        )
        upstream_health = health.record_hold_off(
            health.Health(), ('u1', 1), 3, 0
        )
        context = selection.SelectionContext(
            known_upstreams, upstream_health, _counts()
        )
        self.assertEqual(
            {'u1': 3, 'u2': float('-inf')},
            selection.available_from_by_id(context, 'drafts', 0),
        )

    def test_burst_at_many_entries(self):
        """After a restart all callers connect to all entries at once.

        Until the entries learn of each other's requests, together they must not
        start more than the capacity of the group.
        """
        entries = 9
        ranks = tuple(
            samples.member(f'm{rank}', rank, size=32)._replace(slots=5)
            for rank in range(32)
        )
        known_upstreams = fleet.decide(
            fleet.SnapshotReceived(ranks), fleet.Fleet(), 0
        )
        started = 0
        for _ in range(entries):
            counts = request_counts.Counts()
            for _ in range(100):
                context = selection.SelectionContext(
                    known_upstreams,
                    health.Health(),
                    counts,
                    1 / entries,
                    {'g0': 0},
                )
                candidate = selection.choose(
                    selection.find_candidates(context, 'drafts', 0),
                    frozenset(),
                    selection.Preference('kandla-a'),
                )
                if candidate is None:
                    break
                name = candidate.upstream.upstream_id
                counts = request_counts.record_start(counts, name)
                started += 1
        capacity = 32 * 5 * const.INITIAL_CAPACITY_RATIO
        self.assertTrue(
            capacity - entries < started <= capacity + entries, started
        )

    def test_entries_choose_different_upstreams(self):
        """Requests of 14 entries between two reports meet at few upstreams.

        Load pattern `burst` on the large fleets: 96 ranks with 3 slots run
        1.4 requests each. Until the next report, each entry sends 3 more and
        does not know of those of the others. A request beyond the slots of a
        rank waits there for another one to end.
        """
        running = {f'm{rank}': 1 + (rank % 5 > 2) for rank in range(96)}
        total = self._send_between_reports(running, requests_per_entry=3)
        waiting = _beyond_slots(total)
        self.assertTrue(waiting <= 2, (waiting, total.most_common(9)))

    def test_herd_at_ranks_that_become_idle(self):
        """Few requests meet at ranks that all entries see become idle.

        Load pattern `burst` on the large fleets: 96 ranks with 3 slots have 0
        to 3 requests each. Until the next report 14 entries send one request
        each. One in fifty may wait for a slot of its rank.
        """
        generator = random.Random(1)
        rounds = 60
        waiting = 0
        for _ in range(rounds):
            loads = generator.choices(range(4), (8, 30, 42, 16), k=96)
            running = {f'm{rank}': load for rank, load in enumerate(loads)}
            total = self._send_between_reports(running, requests_per_entry=1)
            waiting += _beyond_slots(total)
        self.assertTrue(waiting <= rounds * 14 / 50, waiting)

    def _send_between_reports(self, running, requests_per_entry):
        """Return the requests by rank after 14 entries have sent some.

        No entry knows of those that the others send.
        """
        ranks = tuple(
            samples.member(f'm{rank}', rank, size=96)._replace(
                slots=_LARGE_GROUP_SLOTS, failure_domain=f'z{rank % 5}'
            )
            for rank in range(96)
        )
        known_upstreams = fleet.decide(
            fleet.SnapshotReceived(ranks), fleet.Fleet(), 0
        )
        total = collections.Counter(running)
        for entry in range(14):
            preference = selection.Preference(f'z{entry % 5}', f'entry-{entry}')
            counts = request_counts.record_report(
                request_counts.Counts(), 'others', running, 0
            )
            for _ in range(requests_per_entry):
                context = selection.SelectionContext(
                    known_upstreams,
                    health.Health(),
                    counts,
                    1 / 14,
                    {'g0': sum(running.values())},
                )
                candidates = selection.find_candidates(context, 'drafts', 0)
                candidate = selection.choose(
                    candidates, frozenset(), preference
                )
                name = candidate.upstream.upstream_id
                counts = request_counts.record_start(counts, name)
                total[name] += 1
        return total

    def test_plain_upstreams_by_their_own_load(self):
        """Without groups, an idle upstream is preferred to a busy one."""
        upstreams = tuple(samples.upstream(f'u{number}') for number in range(9))
        counts = _counts(**{f'u{number}': 1 for number in range(9)})
        counts = request_counts.record_end(counts, 'u7')
        self.assertEqual('u7', _choose(upstreams, counts))

    def test_late_requests_leave_capacity(self):
        """Pattern `burst`: late requests leave the last capacity free."""
        ranks = tuple(
            samples.member(f'm{rank}', rank, size=8) for rank in range(8)
        )
        counts = _counts(**{f'm{rank}': 1 for rank in range(8)})
        counts = request_counts.record_start(counts, 'm0')
        self.assertEqual('m1', _choose(ranks, counts))
        self.assertIsNone(_choose(ranks, counts, capacity_ratio=0.8))
