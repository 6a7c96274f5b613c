"""Exchange of in-flight request counts in small datagrams."""

import anyio
import expression
import testtools

from nutmegtrail import models
from nutmegtrail.gateway import dispatcher as dispatching
from nutmegtrail.gateway import gossip
from nutmegtrail.ports import key_value
from nutmegtrail.ports import watched_store
from tests import simulated_time


class _Store:
    """Store whose first write finds another revision of the key."""

    def __init__(self):
        """Initialize the store."""
        self.writes = 0

    async def grant_lease(self, _):
        """Grant a lease."""
        return expression.Ok(7)

    async def keep_alive(self, _):
        """Renew the lease."""
        return expression.Ok(value=True)

    async def swap(self, key, *_):
        """Fail the first time."""
        self.writes += 1
        if self.writes == 1:
            return expression.Error(key_value.CompareFailed(key))
        return expression.Ok(9)


class GossipTest(testtools.TestCase):
    """Encoding and decoding of reports, and registered instances."""

    def test_many_upstreams(self):
        """All counts arrive, in datagrams that need no IP fragmentation."""
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
        """An idle instance still sends a datagram, to show that it is alive."""
        payloads = gossip.encode('entry-1', {})
        self.assertEqual(1, len(payloads))
        self.assertEqual({}, gossip.decode(payloads[0]).counts_by_id)

    def test_other_bytes(self):
        """Malformed datagrams are dropped."""
        cases = (b'', b'\xff', b'[]', b'{}', b'{"entry":1,"part":0}')
        for payload in cases:
            self.assertIsNone(gossip.decode(payload))
        bad = b'{"entry":"e","part":0,"counts":{"i":"many"}}'
        self.assertIsNone(gossip.decode(bad))

    def test_restarted_entries_count_once(self):
        """Restarted instances are counted once, despite old registrations.

        After all instances were killed, each one registers under a new name at
        the same address, and its old registration lasts until the lease
        expires. Queue length, group capacity and retry budget are divided by
        the number of live instances.
        """
        dispatcher = dispatching.Dispatcher('kandla-a')
        own = models.Address('10.1.0.40', 7340)
        receiver = gossip.Gossip('front-1/new', own, None, dispatcher)
        receiver.on_snapshot(
            tuple(
                watched_store.Item(
                    f'{gossip.REGISTRATION_PREFIX}front-{number}/{incarnation}',
                    revision,
                    f'10.{number}.0.40:7340'.encode(),
                )
                for revision, incarnation in ((5, 'old'), (9, 'new'))
                for number in range(1, 4)
            ),
        )
        self.assertEqual(3, dispatcher.entries)
        receiver.on_snapshot(())
        self.assertEqual(1, dispatcher.entries)

    def test_registration_after_a_failed_write(self):
        """A failed registration is repeated soon, a successful one is not."""
        store = _Store()

        async def _main():
            dispatcher = dispatching.Dispatcher('kandla-a')
            own = models.Address('10.1.0.40', 7340)
            receiver = gossip.Gossip('front-1/new', own, store, dispatcher)
            with anyio.move_on_after(2):
                await receiver._register()

        simulated_time.run(_main)
        self.assertEqual(2, store.writes)
