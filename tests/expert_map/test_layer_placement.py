"""Load pattern `expert_shift`: few experts get most of the tokens."""

import random

import testtools

from nutmegtrail.expert_map import layer_placement

_RANKS = 8
_EXPERTS = 64
_BOUNDS = layer_placement.Bounds(places=11, new_experts=4)


def _first_layer():
    """Return experts dealt out in turn."""
    return tuple(tuple(range(rank, _EXPERTS, _RANKS)) for rank in range(_RANKS))


def _loads(seed):
    """Return steep loads in a random order."""
    weights = [1 / (place + 1) ** 1.6 for place in range(_EXPERTS)]
    random.Random(seed).shuffle(weights)
    return tuple(weights)


class LayerPlacementTest(testtools.TestCase):
    """Replicas of the hot experts even out the ranks."""

    def test_twenty_popularities(self):
        """Each map is whole, within its bounds and takes half the excess off."""
        for seed in range(20):
            before = _first_layer()
            loads = _loads(seed)
            after = layer_placement.improve(before, loads, _BOUNDS, 0.01)
            self.assertTrue(layer_placement.is_complete((after,), _EXPERTS, 11))
            for old, new in zip(before, after, strict=True):
                self.assertTrue(len(set(new) - set(old)) <= 4)
            slow = layer_placement.slowness((before,), (loads,))
            fast = layer_placement.slowness((after,), (loads,))
            self.assertTrue(slow > 2, (seed, slow))
            self.assertTrue(fast - 1 < (slow - 1) / 2, (seed, fast))

    def test_price_bounds_the_copies(self):
        """A higher price of a copy means fewer copies."""
        before = _first_layer()
        loads = _loads(3)
        counts = [
            sum(
                layer_placement.copies_by_rank(
                    (before,),
                    (layer_placement.improve(before, loads, _BOUNDS, price),),
                ),
            )
            for price in (0.01, 0.08, 0.5)
        ]
        self.assertEqual(sorted(counts, reverse=True), counts)
        self.assertTrue(counts[0] > counts[-1])

    def test_full_ranks_give_up_spare_replicas(self):
        """Where all places are taken, a second replica makes room."""
        before = ((0, 1, 2), (0, 1, 3))
        loads = (1.0, 1.0, 8.0, 2.0)
        bounds = layer_placement.Bounds(places=3, new_experts=1)
        after = layer_placement.improve(before, loads, bounds, 0.01)
        self.assertTrue(layer_placement.is_complete((after,), 4, 3))
        self.assertTrue(
            layer_placement.slowness((after,), (loads,))
            < layer_placement.slowness((before,), (loads,)),
        )

    def test_even_loads_stay(self):
        """Nothing moves where nothing is gained."""
        before = _first_layer()
        loads = (1.0,) * _EXPERTS
        self.assertEqual(
            before,
            layer_placement.improve(before, loads, _BOUNDS, 0.01),
        )
