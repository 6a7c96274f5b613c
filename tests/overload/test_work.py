"""Tests of the work that a request needs."""

import testtools

from nutmegtrail.overload import const
from nutmegtrail.overload import work


class WorkTest(testtools.TestCase):
    """Work by the tokens of a request; usual are 800 read and 95 written."""

    def test_relative(self):
        """Written tokens need more than read ones; unknown ones are usual."""
        for tokens, expected in (
            ((800, 95), 1.0),
            ((0, 95), 1.0),
            ((800, 0), 1.0),
            ((1_600, 190), 2.0),
            ((800_000, 95_000), const.MAX_WORK),
            ((1, 1), const.MIN_WORK),
        ):
            relative = work.relative(tokens, (800, 95), 61_400, 0.002)
            self.assertAlmostEqual(expected, relative)
        self.assertEqual(1, work.relative((9, 9), (0, 95), 61_400, 0.002))
        long_prompt = work.relative((3_200, 95), (800, 95), 61_400, 0.002)
        long_output = work.relative((800, 380), (800, 95), 61_400, 0.002)
        self.assertTrue(1 < long_prompt < 1.5, long_prompt)
        self.assertTrue(long_output > 3, long_output)
