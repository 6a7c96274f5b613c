"""Maps with few copies after a shift of demand to other experts.

Load pattern `expert_shift` in groups of 24 ranks with 16 layers of 96 experts
and 5 slots. A rank copies an expert in 0.076 s.
"""

import math
import random

import testtools

from nutmegtrail.expert_map import layer_placement
from nutmegtrail.expert_map import map_search

_RANKS = 24
_EXPERTS = 96
_LAYERS = 16
_LAYER_LIMITS = layer_placement.Limits(slots_per_rank=5, new_experts_per_rank=2)
_MIN_GAIN = 0.64 / _RANKS


def _loads(seed):
    """Return steeply falling loads of all layers in random order."""
    generator = random.Random(seed)
    loads_by_layer = []
    for _ in range(_LAYERS):
        weights = [1 / (place + 1) ** 0.9 for place in range(_EXPERTS)]
        generator.shuffle(weights)
        loads_by_layer.append(tuple(weights))
    return tuple(loads_by_layer)


def _search(layers, loads_by_layer, copies_per_rank):
    """Return the improved map."""
    search = map_search.MapSearch(
        layers,
        loads_by_layer,
        map_search.Limits(_LAYER_LIMITS, copies_per_rank, _MIN_GAIN),
    )
    has_options = True
    while has_options:
        has_options = search.step()
    return search.best_layers()


def _map_before_shift():
    """Return a map that suits the demand before the shift."""
    first_layer = tuple(
        tuple(range(rank, _EXPERTS, _RANKS)) for rank in range(_RANKS)
    )
    return _search((first_layer,) * _LAYERS, _loads(1), math.inf)


class MapSearchTest(testtools.TestCase):
    """Copies on the rank with the most of them, and what they gain."""

    def setUp(self):
        """Shift the demand."""
        super().setUp()
        self.before = _map_before_shift()
        self.loads_by_layer = _loads(2)
        self.skew_before = self._skew(self.before)

    def test_first_copies_gain_most(self):
        """Three copies on each rank halve the excess over an even load.

        A map without a limit needs more than twice the time for copying.
        """
        staged = _search(self.before, self.loads_by_layer, 3)
        whole = _search(self.before, self.loads_by_layer, math.inf)
        self.assertEqual(3, self._most_copies(self.before, staged))
        self.assertTrue(self._most_copies(self.before, whole) > 6)
        self.assertTrue(
            self._skew(staged) - 1 < (self.skew_before - 1) / 2,
            (self.skew_before, self._skew(staged)),
        )

    def test_stages_reach_the_balance_of_a_whole_map(self):
        """Three maps of three copies each balance as well as one map."""
        whole = _search(self.before, self.loads_by_layer, math.inf)
        staged = self.before
        for _ in range(3):
            previous = staged
            staged = _search(previous, self.loads_by_layer, 3)
            self.assertTrue(self._most_copies(previous, staged) <= 3)
        self.assertTrue(self._skew(staged) < self._skew(whole) + 0.05)

    def test_valid_maps(self):
        """Every expert stays placed, and no rank exceeds its slots."""
        for copies_per_rank in (1, 2, 5):
            staged = _search(self.before, self.loads_by_layer, copies_per_rank)
            self.assertTrue(layer_placement.is_valid(staged, _EXPERTS, 5))

    def test_balanced_map_stays(self):
        """Without a shift, nothing is copied."""
        even = ((1.0,) * _EXPERTS,) * _LAYERS
        first_layer = tuple(
            tuple(range(rank, _EXPERTS, _RANKS)) for rank in range(_RANKS)
        )
        layers = (first_layer,) * _LAYERS
        self.assertEqual(layers, _search(layers, even, 3))

    def _skew(self, layers):
        """Return the skew of a map after the shift."""
        return layer_placement.skew(layers, self.loads_by_layer)

    def _most_copies(self, before, after):
        """Return the copies on the rank with the most of them."""
        return max(layer_placement.copies_by_rank(before, after))
