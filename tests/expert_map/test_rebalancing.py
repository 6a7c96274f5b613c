"""Placement, its estimate and the decision to move."""

import numpy as np
import testtools

from nutmegtrail.expert_map import errors
from nutmegtrail.expert_map import load_estimate
from nutmegtrail.expert_map import placement
from nutmegtrail.expert_map import rebalancing
from nutmegtrail.expert_map import search

_EAGER = rebalancing.Weights(4, 1, 600)
_SPARING = rebalancing.Weights(1, 4, 600)
_RANKS = 8
_EXPERTS = 16


def _loads(seed):
    """Return uneven loads."""
    return np.random.default_rng(seed).uniform(1, 10, _EXPERTS)


class PlacementTest(testtools.TestCase):
    """Placements and the search for better ones."""

    def test_every_expert_is_placed(self):
        """No expert is lost by packing or by any change."""
        speeds = np.ones(_RANKS)
        for seed in range(20):
            packed = placement.pack(_loads(seed), speeds, 3)
            self.assertEqual(_EXPERTS, len(np.unique(packed.slots)))
            for trial in search.improvements(packed, _loads(seed + 1), speeds):
                self.assertEqual(_EXPERTS, len(np.unique(trial.slots)))
                self.assertEqual(packed.slots.shape, trial.slots.shape)

    def test_each_change_lowers_no_good(self):
        """The search never ends above where it started."""
        speeds = np.ones(_RANKS)
        for seed in range(20):
            loads = _loads(seed + 1)
            packed = placement.pack(_loads(seed), speeds, 3)
            before = placement.skew(packed, loads, speeds)
            for trial in search.improvements(packed, loads, speeds):
                after = placement.skew(trial, loads, speeds)
                self.assertTrue(after <= before + 1e-9)
                before = after

    def test_too_few_slots(self):
        """Experts without a slot are refused."""
        self.assertRaises(
            errors.PlacementError,
            placement.pack,
            _loads(1),
            np.ones(2),
            3,
        )

    def test_matching_keeps_rows(self):
        """A placement matched to itself in another order moves nothing."""
        packed = placement.pack(_loads(1), np.ones(_RANKS), 3)
        turned = placement.Placement(packed.slots[::-1])
        matched = placement.match_ranks(packed, turned)
        self.assertEqual(0, placement.count_moves(packed, matched))


class RebalancingTest(testtools.TestCase):
    """The decision to move experts."""

    def _decide(self, loads, weights=_EAGER, error=0.0, speeds=None):
        """Return the verdict on a placement made for other loads."""
        packed = placement.pack(_loads(1), np.ones(_RANKS), 3)
        return rebalancing.decide(
            packed,
            loads,
            loads * error,
            np.ones(_RANKS) if speeds is None else speeds,
            weights,
            move_limit=24,
        )

    def test_skew_within_noise_moves_nothing(self):
        """What the error explains is not chased."""
        verdict = self._decide(_loads(2), error=0.5)
        self.assertEqual('within noise', verdict.reason)
        self.assertIsNone(verdict.placement)

    def test_lasting_skew_is_removed(self):
        """A certain, costly skew is worth moves."""
        verdict = self._decide(_loads(2))
        self.assertIsNotNone(verdict.placement)
        self.assertTrue(verdict.skew_after < verdict.skew_before)

    def test_dear_moves_are_fewer(self):
        """The sparing weights move no more than the eager ones."""
        eager = self._decide(_loads(2))
        sparing = self._decide(_loads(2), _SPARING)
        self.assertTrue(sparing.moves <= eager.moves)

    def test_slow_rank_is_relieved(self):
        """A slow rank counts as one of lower speed."""
        speeds = np.ones(_RANKS)
        speeds[3] = 0.5
        verdict = self._decide(_loads(1), speeds=speeds)
        self.assertTrue(verdict.skew_after < verdict.skew_before)

    def test_jump_is_followed_at_once(self):
        """The estimate follows a jump beyond the noise in one interval."""
        generator = np.random.default_rng(5)
        estimate = load_estimate.start(np.full(4, 100.0))
        for _ in range(10):
            noisy = generator.normal(100, 2, 4)
            estimate = load_estimate.observe(estimate, noisy)
        jumped = load_estimate.observe(
            estimate, np.array([300.0, 100, 100, 100])
        )
        self.assertEqual(300.0, jumped.level[0])
