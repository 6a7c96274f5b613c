"""Exchange of in-flight request counts in small datagrams."""

import time

import anyio
import expression
import orjson
import testtools

from nutmegtrail import models
from nutmegtrail.gateway import const
from nutmegtrail.gateway import dispatcher as dispatching
from nutmegtrail.gateway import evacuation_recorder
from nutmegtrail.gateway import gossip
from nutmegtrail.gateway import models as gateway_models
from nutmegtrail.gateway import request_limits
from nutmegtrail.gateway import share_exchange
from nutmegtrail.gateway import signal_messages
from nutmegtrail.observability import metrics
from nutmegtrail.retry_budget import volume as request_volume
from nutmegtrail.ports import key_value
from nutmegtrail.ports import watched_store
from nutmegtrail.warmup import sightings
from tests import loopback
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


class _BusySocket:
    """Socket that takes a while, and one datagram at a time."""

    def __init__(self):
        """Initialize an idle socket."""
        self.sent = 0
        self._is_busy = False

    async def sendto(self, *_):
        """Send a datagram; raise an error while another one is sent."""
        if self._is_busy:
            raise anyio.BusyResourceError('writing to')
        self._is_busy = True
        await anyio.sleep(0.01)
        self._is_busy = False
        self.sent += 1


def _gossip(
    own,
    dispatcher,
    store=None,
    size=share_exchange.UNKNOWN_SIZE,
    name='front-1/new',
):
    """Return the exchange of an instance at an address."""
    evacuations = evacuation_recorder.EvacuationRecorder(
        dispatcher, metrics.Metrics()
    )
    return gossip.Gossip(
        name,
        own,
        store,
        dispatcher,
        evacuations,
        request_volume.RequestVolume(10, time.monotonic),
        size,
    )


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

    def test_share(self):
        """The share is told in the first part; earlier releases tell none."""
        counts = {f'i-{number:010x}': number % 7 for number in range(200)}
        dispatcher = dispatching.Dispatcher('kandla-a')
        size = share_exchange.HostSize(0.559, 28)
        own = gateway_models.Peer(models.Address('10.1.0.40', 7340), 'kandla-a')
        sender = _gossip(own, dispatcher, size=size)
        peer = models.Address('10.2.0.40', 7340)

        async def _main():
            payloads = gossip.encode('front-1', counts)
            return list(
                gossip._address_reports(payloads, {peer}, sender.shares)
            )

        addressed = simulated_time.run(_main)
        self.assertTrue(all(len(payload) < 1_400 for _, payload in addressed))
        first, *others = [gossip.decode(payload) for _, payload in addressed]
        self.assertEqual(share_exchange.ShareReport(0, 0, *size), first.share)
        self.assertEqual({None}, {report.share for report in others})
        self.assertEqual(48, len(first.counts_by_id))

    def test_malformed_share(self):
        """Shares that are no finite numbers from 0 on are dropped."""
        for share in ('[]', '[1]', '[1,-1,0,0]', '["x",0]', '[1,1,1,1,1]', '7'):
            payload = f'{{"entry":"e","part":0,"counts":{{}},"share":{share}}}'
            self.assertIsNone(gossip.decode(payload.encode()), share)

    def test_loans_reach_the_dispatcher(self):
        """Pattern: an idle entry lends to a busy one, which uses the loan."""
        own = gateway_models.Peer(models.Address('10.1.0.40', 7340), 'a')
        dispatcher = dispatching.Dispatcher('a')
        receiver = _gossip(own, dispatcher)
        receiver._heard_at_by_address = {models.Address('10.2.0.40', 7340): 0}

        async def _main():
            receiver._count_entries()
            receiver.shares.record(
                '10.2.0.40:7340', share_exchange.ShareReport(0, 0.2)
            )
            receiver.shares.offer_loans()
            borrowing = dispatcher.share
            await anyio.sleep(1)
            receiver.shares.offer_loans()
            return borrowing, dispatcher.share

        borrowing, alone = simulated_time.run(_main)
        self.assertAlmostEqual(0.7, borrowing)
        self.assertAlmostEqual(0.5, alone)

    def test_signals(self):
        """All signals arrive, in datagrams that need no IP fragmentation."""
        message = signal_messages.SignalMessage(
            'entry-1/0123abcd',
            tuple(
                signal_messages.LimitEntry(
                    f'i-{number:010x}',
                    1_791_239_588_373 + number,
                    None if number % 3 else number / 3,
                    12.3456,
                    2.3456,
                    bool(number % 2),
                    9_999_999,
                )
                for number in range(70)
            ),
            tuple((f'i-{number:010x}', number) for number in range(50)),
            tuple(
                sightings.Registered(
                    f'i-{number:010x}',
                    'a-service-with-a-name-of-40-characters-x',
                    1_791_239_588_373 + number,
                    7_000_000_000_000_000 + number,
                    2.9876,
                )
                for number in range(24)
            ),
        )
        payloads = [
            orjson.dumps(signal_messages.to_document(part))
            for part in signal_messages.split(message)
        ]
        self.assertTrue(all(len(payload) < 1_400 for payload in payloads))
        received = [gossip.decode(payload) for payload in payloads]
        limits = [told for part in received for told in part.limits]
        leaving = [told for part in received for told in part.leaving]
        cold = [told for part in received for told in part.cold]
        self.assertEqual(
            message,
            (message.entry, tuple(limits), tuple(leaving), tuple(cold)),
        )
        statement = limits[1].statement(100)
        self.assertEqual(
            request_limits.UNLIMITED, statement.requests_per_second
        )
        self.assertAlmostEqual(97.6544, statement.received_at_seconds)

    def test_other_signals(self):
        """Malformed signals are dropped."""
        cases = (
            b'["u1",1,-1,0,0,false,0]',
            b'["u1",1,"x",0,0,false,0]',
            b'["u1",1,2,-1,0,false,0]',
            b'["u1",1,2,0,0,false]',
            b'["u1",1,2,0,0,false,-1]',
            b'"u1"',
            b'7',
        )
        for case in cases:
            payload = b'{"entry":"e","limits":[%b],"leaving":[]}' % case
            self.assertIsNone(gossip.decode(payload), case)
        self.assertIsNone(gossip.decode(b'{"limits":[]}'))
        unpaired = b'{"entry":"e","limits":[],"leaving":[["u1"]]}'
        self.assertIsNone(gossip.decode(unpaired))

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
        own = gateway_models.Peer(models.Address('10.1.0.40', 7340), 'kandla-a')
        receiver = _gossip(own, dispatcher)
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

    def _share(self, heard=(), **fields):
        """Return how an instance shares limits with two registered ones."""
        dispatcher = dispatching.Dispatcher('kandla-a')
        own = gateway_models.Peer(models.Address('10.1.0.40', 7340), 'kandla-a')
        receiver = _gossip(own, dispatcher)
        receiver.on_snapshot(
            tuple(
                watched_store.Item(
                    f'{gossip.REGISTRATION_PREFIX}front-{number}',
                    number,
                    f'10.{number}.0.40:7340'.encode(),
                )
                for number in range(1, 4)
            ),
        )
        receiver._heard_at_by_address = {
            models.Address(f'10.{number}.0.40', 7340): heard_at
            for number, heard_at in heard
        }
        for name, field in fields.items():
            setattr(receiver, name, field)

        async def _main():
            await anyio.sleep(20)
            receiver._share_limits()

        simulated_time.run(_main)
        return dispatcher.limiter.sharing

    def test_instances_share_limits(self):
        """An instance knows whether it hears all others."""
        addresses = tuple(f'10.{number}.0.40:7340' for number in range(1, 4))
        complete = request_limits.Sharing(addresses[0], addresses)
        cases = (
            (((2, 19.9), (3, 19.9)), complete),
            (((2, 19.9),), complete._replace(is_complete=False)),
            (
                ((2, 18.9), (3, 9)),
                complete._replace(is_complete=False, is_isolated=True),
            ),
            (
                ((2, 19.9), (3, 19.9), (4, 19.9)),
                complete._replace(members=(*addresses, '10.4.0.40:7340')),
            ),
        )
        for heard, expected in cases:
            self.assertEqual(expected, self._share(heard), heard)

    def test_instance_that_the_others_know(self):
        """One that hears nobody but is registered keeps its own part."""
        sharing = self._share(_registered_until_seconds=21)
        self.assertFalse(sharing.is_complete)
        self.assertFalse(sharing.is_isolated)

    def test_reachable_peers(self):
        """Peers that were heard of lately are reachable, with their domain.

        Instances of an earlier release do not tell their failure domain.
        """
        own = gateway_models.Peer(models.Address('10.1.0.40', 7340), 'a')
        dispatcher = dispatching.Dispatcher('a')
        receiver = _gossip(own, dispatcher)
        contents = (b'10.2.0.40:7340/b', b'10.3.0.40:7340', b'10.4.0.40:7340/d')
        receiver.on_snapshot(
            tuple(
                watched_store.Item(
                    f'{gossip.REGISTRATION_PREFIX}front-{number}', 1, content
                )
                for number, content in enumerate(contents)
            ),
        )
        receiver._heard_at_by_address = {
            models.Address('10.2.0.40', 7340): 19.5,
            models.Address('10.3.0.40', 7340): 19.9,
            models.Address('10.4.0.40', 7340): 18.0,
            models.Address('10.9.0.40', 7340): 19.9,
        }

        async def _main():
            await anyio.sleep(20)
            return receiver.reachable_peers()

        self.assertEqual(
            (
                (models.Address('10.2.0.40', 7340), 'b'),
                (models.Address('10.3.0.40', 7340), ''),
            ),
            simulated_time.run(_main),
        )

    # Guards against limits that each instance keeps alone after an outage that
    # ended their registrations.
    def test_registrations_that_an_outage_removed(self):
        """Instances that hear each other go on doing so."""
        addresses = [loopback.free_address() for _ in range(2)]
        dispatchers = [dispatching.Dispatcher('a') for _ in addresses]
        instances = [
            _gossip(
                gateway_models.Peer(address, 'a'),
                dispatcher,
                _Store(),
                name=f'front-{address.port}',
            )
            for address, dispatcher in zip(addresses, dispatchers, strict=True)
        ]
        registered = tuple(
            watched_store.Item(
                f'{gossip.REGISTRATION_PREFIX}front-{address.port}',
                1,
                f'{address}/a'.encode(),
            )
            for address in addresses
        )

        async def _main():
            async with anyio.create_task_group() as tasks:
                for instance in instances:
                    instance.on_snapshot(registered)
                    tasks.start_soon(instance.run)
                await anyio.sleep(0.5)
                for instance in instances:
                    instance.on_snapshot(())
                await anyio.sleep(2 * const.GOSSIP_TIMEOUT_SECONDS)
                tasks.cancel_scope.cancel()

        anyio.run(_main)
        for dispatcher in dispatchers:
            self.assertEqual(2, dispatcher.entries)
            sharing = dispatcher.limiter.sharing
            self.assertEqual(sorted(map(str, addresses)), list(sharing.members))

    # Guards against an exchange that ended with each second writer at once.
    def test_two_writers(self):
        """Reports and signals are sent one after the other."""
        own = gateway_models.Peer(models.Address('10.1.0.40', 7340), 'kandla-a')
        dispatcher = dispatching.Dispatcher('kandla-a')
        receiver = _gossip(own, dispatcher)
        peer = gateway_models.Peer(models.Address('10.2.0.40', 7340), '')
        receiver._peer_by_key = {'k': peer}
        datagrams = _BusySocket()

        async def _main():
            async with anyio.create_task_group() as tasks:
                for _ in range(3):
                    tasks.start_soon(
                        receiver._send_to_all, datagrams, [b'x', b'y']
                    )

        simulated_time.run(_main)
        self.assertEqual(6, datagrams.sent)

    def test_registration_after_a_failed_write(self):
        """A failed registration is repeated soon, a successful one is not."""
        store = _Store()

        async def _main():
            dispatcher = dispatching.Dispatcher('kandla-a')
            own = gateway_models.Peer(
                models.Address('10.1.0.40', 7340), 'kandla-a'
            )
            receiver = _gossip(own, dispatcher, store)
            with anyio.move_on_after(2):
                await receiver._register()

        simulated_time.run(_main)
        self.assertEqual(2, store.writes)
