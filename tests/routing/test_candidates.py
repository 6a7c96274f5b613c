"""Choice of an upstream."""

import collections

import testtools

from nutmegtrail.routing import candidates
from nutmegtrail.routing import const
from nutmegtrail.routing import load
from nutmegtrail.routing import models

_UPSTREAMS = tuple(f'u{number}' for number in range(16))


class CandidatesTest(testtools.TestCase):
    """Candidates by prefix under a load bound."""

    def test_same_order_everywhere(self):
        """All entries agree, whatever order they know upstreams in."""
        for number in range(50):
            forward = candidates.rank(f'k{number}', _UPSTREAMS)
            backward = candidates.rank(f'k{number}', reversed(_UPSTREAMS))
            self.assertEqual(forward, backward)

    def test_a_loss_moves_only_its_own_keys(self):
        """Keys stay where they are when another upstream vanishes."""
        for number in range(200):
            key = f'k{number}'
            first = candidates.rank(key, _UPSTREAMS)[0]
            if first != 'u3':
                left = [name for name in _UPSTREAMS if name != 'u3']
                self.assertEqual(first, candidates.rank(key, left)[0])

    def test_hot_prefix_spills(self):
        """One prefix alone spreads over upstreams under the bound."""
        held = models.Load()
        counts = collections.Counter()
        for _ in range(320):
            choice = candidates.choose('hot', _UPSTREAMS, held, 0)
            counts[choice.upstream] += 1
            held = load.add_request(held, choice.upstream)
        limit = 320 / 16 * const.LOAD_BOUND + const.LOAD_SLACK + 1
        self.assertTrue(max(counts.values()) <= limit)

    def test_no_herd_on_an_empty_upstream(self):
        """A newly empty upstream gets its share, not all requests."""
        held = models.Load()
        for name in _UPSTREAMS[1:]:
            held = load.apply_report(held, name, 20, 0)
        held = load.apply_report(held, 'u0', 0, 0)
        taken = 0
        for number in range(40):
            choice = candidates.choose(f'k{number}', _UPSTREAMS, held, 0.1)
            held = load.add_request(held, choice.upstream)
            taken += choice.upstream == 'u0'
        self.assertTrue(taken <= 20)

    def test_old_report_counts_no_more(self):
        """A report beyond its age leaves the entry's own count."""
        held = load.apply_report(models.Load(), 'u1', 9, 0)
        held = load.add_request(held, 'u1')
        self.assertEqual(10, load.estimate(held, 'u1', 1.0))
        late = const.REPORT_LAG_SECONDS + 1
        self.assertEqual(1, load.estimate(held, 'u1', late))

    def test_nobody_to_choose(self):
        """Without upstreams there is no choice."""
        self.assertIsNone(candidates.choose('k', (), models.Load(), 0))
