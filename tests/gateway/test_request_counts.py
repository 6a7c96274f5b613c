"""Tests of the counts of requests in flight over all entries."""

import testtools

from nutmegtrail.gateway import const
from nutmegtrail.gateway import request_counts


class CompletenessTest(testtools.TestCase):
    """Whether an entry knows the requests of all others."""

    def test_reports_of_all_entries(self):
        """Reports in several parts count as one entry."""
        counts = request_counts.Counts()
        self.assertTrue(request_counts.is_complete(counts, 1))
        self.assertFalse(request_counts.is_complete(counts, 3))
        for part in range(2):
            counts = request_counts.record_report(counts, f'e2#{part}', {}, 0)
        self.assertFalse(request_counts.is_complete(counts, 3))
        counts = request_counts.record_report(counts, 'e3#0', {}, 0)
        self.assertTrue(request_counts.is_complete(counts, 3))

    def test_entry_that_is_cut_off(self):
        """Pattern `node_cut`: an entry without reports knows its own alone.

        Its pauses seemed several times as slow for its few requests, and for
        ten seconds it had no room.
        """
        counts = request_counts.record_report(
            request_counts.Counts(), 'e2#0', {'u1': 9}, 0
        )
        later = const.GOSSIP_TIMEOUT_SECONDS + 0.1
        counts = request_counts.drop_stale_reports(counts, later)
        self.assertFalse(request_counts.is_complete(counts, 2))
