"""A shift of demand under full load with 3 groups of 24 ranks.

Load pattern `expert_shift`: a rank copies an expert in 0.076 s, and steps of
0.07 s are reported 0.2 s late.
"""

import testtools

from nutmegtrail.expert_balancing import const
from nutmegtrail.expert_balancing import expert_balancer
from nutmegtrail.expert_map import switch
from tests.expert_balancing import simulated_groups

_SIZE = simulated_groups.Size(3, 24, 16, 96, expert_slots=5, copy_seconds=0.076)
_SHIFT_AT_SECONDS = 3.1


class ShiftTest(testtools.TestCase):
    """Time from a shift to the first map that helps."""

    def setUp(self):
        """Play a shift after the first maps have been in force for a while."""
        super().setUp()
        self.engines = simulated_groups.Engines(_SIZE)
        self.engines.shift_at_seconds = _SHIFT_AT_SECONDS
        simulated_groups.run(
            self.engines,
            simulated_groups.upstreams(_SIZE),
            simulated_groups.distributor_without_peers(25e6),
            _SHIFT_AT_SECONDS + 1.5,
        )

    def test_first_map_after_a_shift(self):
        """All groups have a better map within 0.6 s."""
        released = [
            time
            for time in self.engines.times(switch.Operation.RELEASE)
            if time > _SHIFT_AT_SECONDS
        ]
        delay = released[_SIZE.groups - 1] - _SHIFT_AT_SECONDS
        self.assertTrue(delay < 0.6, delay)

    def test_each_map_is_copied_quickly(self):
        """No rank copies for longer than the limit for one map."""
        self.assertTrue(self.engines.longest_copy_seconds > 0)
        limit = const.MIN_COPIES_LIMIT * _SIZE.copy_seconds
        self.assertTrue(
            self.engines.longest_copy_seconds <= limit,
            self.engines.longest_copy_seconds,
        )


class GainTest(testtools.TestCase):
    """Gains that are worth orders to all ranks of a group."""

    def test_small_gains_in_large_fleets(self):
        """A gain of 0.12 is worth orders to 8 ranks, but not to 72.

        Steps vary by that much without a shift, and the next stage of a map
        gains more.
        """
        for gain_ratio, worth_by_size in (
            (0.08, (False, False)),
            (0.12, (True, False)),
            (0.2, (True, True)),
        ):
            self.assertEqual(
                worth_by_size,
                tuple(
                    expert_balancer.outweighs_copies(
                        gain_ratio, is_large_fleet=is_large_fleet
                    )
                    for is_large_fleet in (False, True)
                ),
            )
