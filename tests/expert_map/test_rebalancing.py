"""Expert placement, load estimates and rebalancing decisions."""

import numpy as np
import testtools

from nutmegtrail.expert_map import errors
from nutmegtrail.expert_map import load_estimate
from nutmegtrail.expert_map import placement
from nutmegtrail.expert_map import rebalancing
from nutmegtrail.expert_map import search

_LOW_MOVE_WEIGHT = rebalancing.Weights(4, 1, 600)
_HIGH_MOVE_WEIGHT = rebalancing.Weights(1, 4, 600)
_RANKS = 8
_EXPERTS = 16


def _loads(seed):
    """Return random loads between 1 and 10."""
    return np.random.default_rng(seed).uniform(1, 10, _EXPERTS)


class PlacementTest(testtools.TestCase):
    """Placements and the search for better ones."""

    def test_every_expert_is_placed(self):
        """Packing and all changes keep every expert placed."""
        speeds = np.ones(_RANKS)
        for seed in range(20):
            packed = placement.pack(_loads(seed), speeds, 3)
            self.assertEqual(_EXPERTS, len(np.unique(packed.slots)))
            for candidate in search.improvements(
                packed, _loads(seed + 1), speeds
            ):
                self.assertEqual(_EXPERTS, len(np.unique(candidate.slots)))
                self.assertEqual(packed.slots.shape, candidate.slots.shape)

    def test_no_change_increases_skew(self):
        """No change of the search increases the skew."""
        speeds = np.ones(_RANKS)
        for seed in range(20):
            loads = _loads(seed + 1)
            packed = placement.pack(_loads(seed), speeds, 3)
            before = placement.skew(packed, loads, speeds)
            for candidate in search.improvements(packed, loads, speeds):
                after = placement.skew(candidate, loads, speeds)
                self.assertTrue(after <= before + 1e-9)
                before = after

    def test_too_few_slots(self):
        """Packing fails if there are fewer slots than experts."""
        self.assertRaises(
            errors.PlacementError,
            placement.pack,
            _loads(1),
            np.ones(2),
            3,
        )

    def test_matching_keeps_rows(self):
        """Matching a placement to its reversed rank order moves nothing."""
        packed = placement.pack(_loads(1), np.ones(_RANKS), 3)
        reversed_ranks = placement.Placement(packed.slots[::-1])
        matched = placement.match_ranks(packed, reversed_ranks)
        self.assertEqual(0, placement.count_moves(packed, matched))


class RebalancingTest(testtools.TestCase):
    """The decision to move experts."""

    def _decide(
        self, loads, weights=_LOW_MOVE_WEIGHT, relative_error=0.0, speeds=None
    ):
        """Return the decision for a placement that was made for other loads."""
        packed = placement.pack(_loads(1), np.ones(_RANKS), 3)
        return rebalancing.decide(
            packed,
            loads,
            loads * relative_error,
            np.ones(_RANKS) if speeds is None else speeds,
            weights,
            move_limit=24,
        )

    def test_skew_within_noise_moves_nothing(self):
        """Skew that the error of the estimate can explain triggers no move."""
        decision = self._decide(_loads(2), relative_error=0.5)
        self.assertEqual('within noise', decision.reason)
        self.assertIsNone(decision.placement)

    def test_lasting_skew_is_removed(self):
        """Skew without any estimation error is worth moving experts."""
        decision = self._decide(_loads(2))
        self.assertIsNotNone(decision.placement)
        self.assertTrue(decision.skew_after < decision.skew_before)

    def test_costly_moves_are_fewer(self):
        """A higher move weight does not lead to more moves."""
        low_weight = self._decide(_loads(2))
        high_weight = self._decide(_loads(2), _HIGH_MOVE_WEIGHT)
        self.assertTrue(high_weight.moves <= low_weight.moves)

    def test_slow_rank_is_relieved(self):
        """A rank with lower speed is relieved of load."""
        speeds = np.ones(_RANKS)
        speeds[3] = 0.5
        decision = self._decide(_loads(1), speeds=speeds)
        self.assertTrue(decision.skew_after < decision.skew_before)

    def test_jump_is_followed_at_once(self):
        """The estimate adopts a jump beyond the noise within one interval."""
        generator = np.random.default_rng(5)
        estimate = load_estimate.start(np.full(4, 100.0))
        for _ in range(10):
            noisy = generator.normal(100, 2, 4)
            estimate = load_estimate.observe(estimate, noisy)
        jumped = load_estimate.observe(
            estimate, np.array([300.0, 100, 100, 100])
        )
        self.assertEqual(300.0, jumped.level[0])
