"""Placement of layers in which few experts get most of the tokens.

This is load pattern `expert_shift`.
"""

import math
import random

import testtools

from nutmegtrail.expert_map import layer_placement
from nutmegtrail.expert_map import map_search

_RANKS = 8
_EXPERTS = 64
_LIMITS = layer_placement.Limits(slots_per_rank=11, new_experts_per_rank=4)


def _first_layer():
    """Return a layer with the experts assigned round-robin."""
    return tuple(tuple(range(rank, _EXPERTS, _RANKS)) for rank in range(_RANKS))


def _loads(seed):
    """Return steeply falling loads in random order."""
    weights = [1 / (place + 1) ** 1.6 for place in range(_EXPERTS)]
    random.Random(seed).shuffle(weights)
    return tuple(weights)


def _improve(layer, loads, limits, min_gain):
    """Return the improved map of a single layer."""
    search = map_search.MapSearch(
        (layer,), (loads,), map_search.Limits(limits, math.inf, min_gain)
    )
    has_options = True
    while has_options:
        has_options = search.step()
    return search.best_layers()[0]


class LayerPlacementTest(testtools.TestCase):
    """Replicas of hot experts balance the ranks."""

    def test_twenty_load_distributions(self):
        """Each map is valid, within its limits and halves the excess skew."""
        for seed in range(20):
            before = _first_layer()
            loads = _loads(seed)
            after = _improve(before, loads, _LIMITS, 0.01)
            self.assertTrue(layer_placement.is_valid((after,), _EXPERTS, 11))
            for old, new in zip(before, after, strict=True):
                self.assertTrue(len(set(new) - set(old)) <= 4)
            skew_before = layer_placement.skew((before,), (loads,))
            skew_after = layer_placement.skew((after,), (loads,))
            self.assertTrue(skew_before > 2, (seed, skew_before))
            self.assertTrue(
                skew_after - 1 < (skew_before - 1) / 2, (seed, skew_after)
            )

    def test_min_gain_limits_the_copies(self):
        """A higher minimum gain per copy means fewer copies."""
        before = _first_layer()
        loads = _loads(3)
        counts = [
            sum(
                layer_placement.copies_by_rank(
                    (before,),
                    (_improve(before, loads, _LIMITS, min_gain),),
                ),
            )
            for min_gain in (0.01, 0.08, 0.5)
        ]
        self.assertEqual(sorted(counts, reverse=True), counts)
        self.assertTrue(counts[0] > counts[-1])

    def test_full_ranks_give_up_spare_replicas(self):
        """If all slots are taken, a second replica is evicted."""
        before = ((0, 1, 2), (0, 1, 3))
        loads = (1.0, 1.0, 8.0, 2.0)
        limits = layer_placement.Limits(
            slots_per_rank=3, new_experts_per_rank=1
        )
        after = _improve(before, loads, limits, 0.01)
        self.assertTrue(layer_placement.is_valid((after,), 4, 3))
        self.assertTrue(
            layer_placement.skew((after,), (loads,))
            < layer_placement.skew((before,), (loads,)),
        )

    def test_even_loads_stay(self):
        """An even load moves no experts."""
        before = _first_layer()
        loads = (1.0,) * _EXPERTS
        self.assertEqual(
            before,
            _improve(before, loads, _LIMITS, 0.01),
        )
