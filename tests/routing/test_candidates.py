"""Tests of the selection of an upstream."""

import collections

import testtools

from nutmegtrail.routing import candidates
from nutmegtrail.routing import const
from nutmegtrail.routing import load
from nutmegtrail.routing import models

_UPSTREAMS = tuple(f'u{number}' for number in range(16))


class CandidatesTest(testtools.TestCase):
    """Candidates by prefix with bounded load."""

    def test_order_is_independent_of_input(self):
        """The order does not depend on the order of the given names."""
        for number in range(50):
            forward = candidates.rank(f'k{number}', _UPSTREAMS)
            backward = candidates.rank(f'k{number}', reversed(_UPSTREAMS))
            self.assertEqual(forward, backward)

    def test_removal_moves_only_keys_of_the_removed(self):
        """Keys of other upstreams do not move when an upstream is removed."""
        for number in range(200):
            key = f'k{number}'
            first = candidates.rank(key, _UPSTREAMS)[0]
            if first != 'u3':
                left = [name for name in _UPSTREAMS if name != 'u3']
                self.assertEqual(first, candidates.rank(key, left)[0])

    def test_hot_prefix_spills_over(self):
        """Requests with one prefix spill over within the load bound."""
        loads = models.Load()
        counts = collections.Counter()
        for _ in range(320):
            choice = candidates.choose('hot', _UPSTREAMS, loads, 0)
            counts[choice.upstream] += 1
            loads = load.add_request(loads, choice.upstream)
        limit = (
            320 / 16 * const.LOAD_BOUND_RATIO + const.LOAD_SLACK_REQUESTS + 1
        )
        self.assertTrue(max(counts.values()) <= limit)

    def test_no_thundering_herd_on_an_idle_upstream(self):
        """An upstream without load does not receive all requests at once."""
        loads = models.Load()
        for name in _UPSTREAMS[1:]:
            loads = load.apply_report(loads, name, 20, 0)
        loads = load.apply_report(loads, 'u0', 0, 0)
        sent_to_empty = 0
        for number in range(40):
            choice = candidates.choose(f'k{number}', _UPSTREAMS, loads, 0.1)
            loads = load.add_request(loads, choice.upstream)
            sent_to_empty += choice.upstream == 'u0'
        self.assertTrue(sent_to_empty <= 20)

    def test_expired_report_is_ignored(self):
        """After a report has expired, only local requests are counted."""
        loads = load.apply_report(models.Load(), 'u1', 9, 0)
        loads = load.add_request(loads, 'u1')
        self.assertEqual(10, load.estimate(loads, 'u1', 1.0))
        late = const.REPORT_MAX_AGE_SECONDS + 1
        self.assertEqual(1, load.estimate(loads, 'u1', late))

    def test_no_upstreams(self):
        """None is returned if there are no upstreams."""
        self.assertIsNone(candidates.choose('k', (), models.Load(), 0))
