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
