"""Counts of requests travel in small datagrams."""

import testtools

from nutmegtrail import models
from nutmegtrail.gateway import dispatcher as dispatching
from nutmegtrail.gateway import gossip
from nutmegtrail.ports import watched_store


class GossipTest(testtools.TestCase):
    """Encoding and decoding."""

    def test_many_upstreams(self):
        """All counts arrive, in datagrams that pass every link whole."""
        counts = {f'i-{number:010x}': number % 7 for number in range(200)}
        payloads = gossip.encode('entry-1/0123abcd', counts)
        self.assertTrue(all(len(payload) < 1_400 for payload in payloads))
        reports = [gossip.decode(payload) for payload in payloads]
        merged = {}
        for report in reports:
            merged.update(report.counts_by_id)
        self.assertEqual(counts, merged)
        parts = {report.part for report in reports}
        self.assertEqual(len(payloads), len(parts))

    def test_idle(self):
        """An idle entry still tells that it lives."""
        payloads = gossip.encode('entry-1', {})
        self.assertEqual(1, len(payloads))
        self.assertEqual({}, gossip.decode(payloads[0]).counts_by_id)

    def test_other_bytes(self):
        """What is no report is dropped."""
        cases = (b'', b'\xff', b'[]', b'{}', b'{"entry":1,"part":0}')
        for payload in cases:
            self.assertIsNone(gossip.decode(payload))
        bad = b'{"entry":"e","part":0,"counts":{"i":"many"}}'
        self.assertIsNone(gossip.decode(bad))

    def test_restarted_entries_count_once(self):
        """Pattern: after all entries were killed, their old keys linger.

        Each restart registers under a new name at the same address; the old
        registration lasts until its lease ends. Lines, rooms and retries are
        shared by the entries that live.
        """
        dispatcher = dispatching.Dispatcher('kandla-a')
        own = models.Address('10.1.0.40', 7340)
        told = gossip.Gossip('front-1/new', own, None, dispatcher)
        told.on_snapshot(
            tuple(
                watched_store.Item(
                    f'{gossip.REGISTRATION_PREFIX}front-{number}/{life}',
                    revision,
                    f'10.{number}.0.40:7340'.encode(),
                )
                for revision, life in ((5, 'old'), (9, 'new'))
                for number in range(1, 4)
            ),
        )
        self.assertEqual(3, dispatcher.entries)
