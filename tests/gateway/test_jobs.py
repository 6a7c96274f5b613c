"""When a refused caller should come back."""

import testtools

from nutmegtrail.gateway import jobs


class RetryAfterTest(testtools.TestCase):
    """A part of the caller's remaining time, within bounds."""

    def test_bounds(self):
        """Clients wait for a third of their time at most."""
        self.assertEqual(1.0, jobs.retry_after_seconds(8))
        self.assertEqual(0.1, jobs.retry_after_seconds(0.4))
        self.assertEqual(2.0, jobs.retry_after_seconds(60))
