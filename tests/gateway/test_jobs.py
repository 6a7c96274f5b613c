"""Tests of the retry delay for refused callers."""

import testtools

from nutmegtrail.gateway import jobs


class RetryAfterTest(testtools.TestCase):
    """Delay as a share of the caller's remaining time."""

    def test_bounds(self):
        """Clients wait for at most a third of their remaining time."""
        self.assertEqual(1.0, jobs.retry_after_seconds(8))
        self.assertEqual(0.1, jobs.retry_after_seconds(0.4))
        self.assertEqual(2.0, jobs.retry_after_seconds(60))

    def test_end_of_hold_offs(self):
        """Without an upstream that takes requests, callers return when one does.

        The bounds are the same.
        """
        self.assertEqual(0.7, jobs.retry_after_seconds(8, 0.7))
        self.assertEqual(1.3, jobs.retry_after_seconds(0.4, 1.3))
        self.assertEqual(0.1, jobs.retry_after_seconds(8, 0.01))
        self.assertEqual(2.0, jobs.retry_after_seconds(8, 30))
