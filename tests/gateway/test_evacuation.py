"""No request reaches an upstream in a failure domain out of service."""

import collections

import anyio
import testtools

from nutmegtrail.evacuation import domains
from nutmegtrail.gateway import attempts
from nutmegtrail.gateway import const
from nutmegtrail.gateway import dispatcher as dispatching
from nutmegtrail.gateway import evacuation_recorder
from nutmegtrail.gateway import fleet
from nutmegtrail.gateway import gossip
from nutmegtrail.gateway import health
from nutmegtrail.gateway import models
from nutmegtrail.gateway import request_counts
from nutmegtrail.gateway import selection
from nutmegtrail.gateway import store_listeners
from nutmegtrail.observability import metrics
from nutmegtrail.platform import documents
from nutmegtrail.ports import watched_store
from tests import simulated_time
from tests.gateway import samples
from tests.gateway import scripted_path

_READ = models.RouteKind.IDEMPOTENT
_event = scripted_path.event
_FIRST_DOMAIN = 'kandla-a'
_SECOND_DOMAIN = 'kandla-b'
_RANKS = 24
_DOMAINS = 3
_SLOTS = 5


def _recorder(dispatcher):
    """Return the recorder of an entry."""
    return evacuation_recorder.EvacuationRecorder(dispatcher, metrics.Metrics())


class _Path(scripted_path.Path):
    """Path whose upstream `u1` is in a failure domain of its own."""

    def __init__(self, *scripts, **route):
        """Initialize the path; `u1` is chosen first."""
        super().__init__(*scripts, **route)
        first, *others = self.upstreams
        self.others = [
            upstream._replace(failure_domain=_SECOND_DOMAIN)
            for upstream in others
        ]
        self.register(first, *self.others)
        self.recorder = _recorder(self.dispatcher)

    def start_with(self, *names):
        """Begin with some domains out of service."""
        self.dispatcher.known_upstreams = fleet.decide(
            fleet.DomainsOutOfService(frozenset(names)),
            self.dispatcher.known_upstreams,
            0,
        )

    def take_out(self):
        """Take the domain of `u1` out of service."""
        self.recorder.record(domains.TakenOut(_FIRST_DOMAIN, 1))

    def take_back(self):
        """Take the domain of `u1` back into service."""
        self.recorder.record(domains.TakenBack(_FIRST_DOMAIN, 2))


class SendTest(testtools.TestCase):
    """Requests that are about to be sent when a domain is taken out."""

    def _check(self, path, ports, *actions):
        """Run a request and check which upstreams got it."""
        outcome = path.run(*actions)
        self.assertEqual(ports, path.client.sent_ports)
        self.assertEqual({}, path.in_flight())
        return outcome

    def test_connecting(self):
        """A request whose connection is being opened goes elsewhere."""
        for kind in models.RouteKind:
            path = _Path(
                ((0.2, scripted_path.CONNECTED, 200, _event(1)),),
                ((0.3, 200, _event(1)),),
                kind=kind,
            )
            self.assertIsNone(self._check(path, [2], (0.1, path.take_out)))
            self.assertTrue(path.job.exchange.is_complete)

    def test_queued(self):
        """A request that waits for a slot gets none in the domain."""
        path = _Path((), ((0.5, 200, b'a'),), kind=_READ)
        path.dispatcher.counts = request_counts.Counts()
        for name in ('u1', 'u1', 'u2', 'u2'):
            path.dispatcher.counts = request_counts.record_start(
                path.dispatcher.counts, name
            )

        def _free(upstream):
            return lambda: path.dispatcher.release(upstream, 'r0')

        path.run(
            (0.1, path.take_out),
            (0.2, _free(path.upstreams[0])),
            (0.3, _free(path.others[0])),
        )
        self.assertEqual([2], path.client.sent_ports)

    def test_hedge(self):
        """A hedge is not sent to the domain."""
        path = _Path(
            (),
            ((0.1, 200, 1.2, scripted_path.CUT),),
            ((200, b'a'),),
            kind=_READ,
        )
        path.start_with(_FIRST_DOMAIN)
        self._check(path, [2, 3])

    def test_hedge_that_connects(self):
        """A hedge whose connection is being opened is not sent."""
        path = _Path(
            ((0.4, scripted_path.CONNECTED, 200, b'a'),),
            ((0.9, 200, b'a'),),
            kind=_READ,
        )
        path.dispatcher.counts = request_counts.record_start(
            path.dispatcher.counts, 'u1'
        )
        path.run((0.38, path.take_out))
        self.assertEqual([2], path.client.sent_ports)

    def test_retry(self):
        """A request that no upstream ran is not tried again in the domain."""
        path = _Path((), ((0.2, 503),), ((0.3, 200, b'a'),), kind=_READ)
        path.start_with(_FIRST_DOMAIN)
        self._check(path, [2, 3])

    def test_resumed_stream(self):
        """A stream is not resumed in the domain."""
        path = _Path(
            (),
            ((0.1, 200, _event(1), 0.2, scripted_path.CUT),),
            ((200, _event(2)),),
        )
        path.start_with(_FIRST_DOMAIN)
        self._check(path, [2, 3])

    def test_running_stream(self):
        """A stream that runs in the domain is left to end."""
        path = _Path(((0.1, 200, _event(1), 0.9, _event(2)),), ())
        self.assertIsNone(self._check(path, [1], (0.2, path.take_out)))
        self.assertTrue(path.job.exchange.is_complete)

    def test_only_upstreams(self):
        """Requests are refused at once, also those that wait."""
        path = _Path((), (), kind=_READ)
        path.start_with(_FIRST_DOMAIN, _SECOND_DOMAIN)
        outcome = self._check(path, [])
        self.assertEqual(attempts.GiveUp(attempts.Outcome.NOT_RUN), outcome)
        self.assertEqual(0, path.ended_at)
        waiting = _Path((), kind=_READ)
        for _ in range(2):
            waiting.dispatcher.counts = request_counts.record_start(
                waiting.dispatcher.counts, 'u1'
            )
        outcome = waiting.run((0.1, waiting.take_out))
        self.assertEqual(attempts.GiveUp(attempts.Outcome.NOT_RUN), outcome)
        self.assertEqual(0.1, waiting.ended_at)

    def test_taken_back(self):
        """The domain gets requests again when it is taken back."""
        path = _Path(((0.3, 200, b'a'),), ((0.2, 503),), kind=_READ)
        path.run((0.1, path.take_out), (0.15, path.take_back))
        self.assertEqual([1], path.client.sent_ports)
        again = _Path(((0.3, 200, b'a'),), ((0.2, 503),), kind=_READ)
        again.start_with(_FIRST_DOMAIN)
        again.run((0.1, again.take_out), (0.15, again.take_back))
        self.assertEqual([2, 1], again.client.sent_ports)


class RegistrationTest(testtools.TestCase):
    """Operators' words and registrations, as the listeners apply them."""

    def _listeners(self):
        """Return a dispatcher and the listeners that change it."""
        dispatcher = dispatching.Dispatcher(_FIRST_DOMAIN)
        self.handler = _Handler()
        self.recorder = _recorder(dispatcher)
        operator = store_listeners.OperatorListener(
            documents,
            self.recorder,
            store_listeners.ConfigurationListener(
                documents, self.handler, self.handler
            ),
        )
        upstreams = store_listeners.UpstreamListener(
            documents, dispatcher, set().add, 1.2
        )
        return dispatcher, operator, upstreams

    def _item(self, key, revision, content=b'{}'):
        """Return an item of the store."""
        return watched_store.Item(key, revision, content)

    def test_both_orders(self):
        """An upstream that registers after the word gets no requests either."""
        registration = self._item(
            'servers/u1',
            5,
            b'{"service":"drafts","address":"127.0.0.1:1","state":"ready",'
            b'"zone":"kandla-a"}',
        )
        word = self._item('op/evacuate/kandla-a', 6)

        async def _main():
            for is_word_first in (False, True):
                dispatcher, operator, upstreams = self._listeners()
                changes = [(upstreams, registration), (operator, word)]
                if is_word_first:
                    changes.reverse()
                for listener, change in changes:
                    listener.on_change(change)
                self._check_usable(dispatcher, 0)
                # A read of all registrations does not change that.
                upstreams.on_snapshot((registration,))
                self._check_usable(dispatcher, 0)
                operator.on_change(
                    watched_store.Removal('op/evacuate/kandla-a', 7)
                )
                self._check_usable(dispatcher, 1)

        simulated_time.run(_main)

    def test_snapshot(self):
        """Evacuations are no configurations, and a listing without one counts.

        They were logged as malformed configurations.
        """

        async def _main():
            _, operator, _ = self._listeners()
            self.assertFalse(self.recorder.is_known)
            for items, revision, expected in (
                ((self._item('op/evacuate/a', 3, b'?'),), 3, {'a'}),
                ((), 4, frozenset()),
            ):
                snapshot = watched_store.Snapshot(items, revision)
                operator.on_listed(snapshot)
                operator.on_snapshot(items)
                self.assertEqual(
                    expected, self.recorder.evacuations.out_of_service
                )
            self.assertTrue(self.recorder.is_known)
            self.assertIsNone(self.handler.configuration)

        simulated_time.run(_main)

    def _check_usable(self, dispatcher, count):
        """Check how many upstreams take requests."""
        usable = fleet.usable_upstreams(dispatcher.known_upstreams, 'drafts')
        self.assertEqual(count, len(usable))


class _Handler:
    """Receiver of configurations."""

    configuration = None
    service = None


class TellingTest(testtools.TestCase):
    """Entries tell each other what they know."""

    async def _tell(self, teller, told):
        """Let an entry tell another one at once what is new."""

        async def _send(payloads):
            for payload in payloads:
                told.record_message(gossip.decode(payload))

        with anyio.move_on_after(0.01):
            await teller.tell('e', _send)

    def test_entry_without_store(self):
        """An entry cut from the store learns the word, and its end."""

        async def _main():
            told = _recorder(dispatching.Dispatcher('a'))
            teller = _recorder(dispatching.Dispatcher('a'))
            for recorder in (told, teller):
                recorder.record(domains.SnapshotReceived(3, 0, {}))
                self.assertIsNone(recorder.message('e'))
            for event, expected in (
                (domains.TakenOut('a', 4), {'a'}),
                (domains.TakenBack('a', 5), frozenset()),
            ):
                teller.record(event)
                await self._tell(teller, told)
                self.assertEqual(expected, told.evacuations.out_of_service)

        simulated_time.run(_main)

    def test_entry_that_lags_is_told(self):
        """An entry that restarted tells one that tells an ended evacuation."""

        async def _main():
            lagging = _recorder(dispatching.Dispatcher('a'))
            lagging.record(domains.SnapshotReceived(4, 0, {'a': 4}))
            restarted = _recorder(dispatching.Dispatcher('a'))
            restarted.record(domains.SnapshotReceived(9, 0, {}))
            restarted.record_message(lagging.message('e1'))
            await self._tell(restarted, lagging)
            for recorder in (lagging, restarted):
                self.assertEqual(
                    frozenset(), recorder.evacuations.out_of_service
                )

        simulated_time.run(_main)


class GroupTest(testtools.TestCase):
    """Rank group over three domains, one of which is out of service."""

    def _context(self, busy_domains, *events):
        """Return a context whose ranks in some domains have two requests.

        The events are pairs of a time and the domains out of service from then.
        """
        ranks = tuple(
            samples.member(f'u{rank}', rank)._replace(
                slots=_SLOTS, failure_domain=f'd{rank % _DOMAINS}'
            )
            for rank in range(_RANKS)
        )
        known = fleet.decide(fleet.SnapshotReceived(ranks), fleet.Fleet(), 0)
        for now, names in events:
            known = fleet.decide(
                fleet.DomainsOutOfService(frozenset(names)), known, now
            )
        counts = request_counts.Counts()
        for rank in ranks:
            if rank.failure_domain in busy_domains:
                for _ in range(2):
                    counts = request_counts.record_start(
                        counts, rank.upstream_id
                    )
        return selection.SelectionContext(known, health.Health(), counts)

    def test_requests_that_still_run(self):
        """Those in the domain slow the group, which has less room at once.

        16 of 24 ranks with 5 slots take requests, all have 2. The group seemed
        to have only the 32 requests of the ranks that take more.
        """
        usable = 16 * _SLOTS * const.INITIAL_CAPACITY_RATIO
        cases = (
            (('d0', 'd1', 'd2'), 48, 2, usable + 16),
            (('d1', 'd2'), 32, 2, usable),
        )
        for busy, in_flight, level, capacity in cases:
            context = self._context(busy, (0, ('d0',)))
            candidates = selection.find_candidates(context, 'drafts', 0)
            self.assertEqual(16, len(candidates))
            for candidate in candidates:
                self.assertEqual(in_flight, candidate.group_in_flight)
                self.assertEqual(level, candidate.level)
                self.assertAlmostEqual(capacity, candidate.group_capacity)

    def test_most_ranks_out_of_service(self):
        """Idle ranks get requests, however many still run at the others."""
        context = self._context(('d0', 'd1'), (0, ('d0', 'd1')))
        counts = context.counts
        for rank in range(_RANKS):
            for _ in range(3 * bool(rank % _DOMAINS < 2)):
                counts = request_counts.record_start(counts, f'u{rank}')
        busy = context._replace(counts=counts)
        self.assertEqual(8, self._place(busy, 50, 0)['d2'])

    def test_group_is_still_ordered(self):
        """Ranks in the domain run in each step, so the balancer sees them."""
        context = self._context((), (0, ('d0', 'd1', 'd2')))
        registered = fleet.registered_upstreams(
            context.known_upstreams, 'drafts'
        )
        self.assertEqual(_RANKS, len(registered))
        self.assertEqual((), selection.find_candidates(context, 'drafts', 0))

    def _place(self, context, count, now):
        """Return how many of some requests each domain gets at a time."""
        placed = collections.Counter()
        for _ in range(count):
            candidate = selection.choose(
                selection.find_candidates(context, 'drafts', now),
                frozenset(),
                selection.Preference('d0'),
            )
            if candidate is None:
                break
            placed[candidate.upstream.failure_domain] += 1
            context = context._replace(
                counts=request_counts.record_start(
                    context.counts, candidate.upstream.upstream_id
                )
            )
        return placed

    def test_return(self):
        """Work comes back in a ramp, not in one wave.

        The others have 2 requests of 5 at each rank, and 24 come at once. All
        of them went to the 8 idle ranks of the domain that is back.
        """
        context = self._context(('d1', 'd2'), (0, ('d0',)), (9, ()))
        shares = [
            self._place(context, 24, 9 + const.DOMAIN_RAMP_SECONDS * ratio)[
                'd0'
            ]
            for ratio in (0, 0.2, 0.4, 1)
        ]
        self.assertEqual([0, 8, 16, 24], shares)

    def test_return_of_the_only_domain(self):
        """The ramp keeps no request from upstreams that could run it."""
        context = self._context((), (0, ('d0', 'd1', 'd2')), (9, ('d1', 'd2')))
        self.assertEqual(28, self._place(context, 50, 9)['d0'])


class RampTest(testtools.TestCase):
    """Memory of domains that came back."""

    def test_forgotten(self):
        """A domain that is taken out again, or long back, has no ramp."""
        known = fleet.Fleet()
        for now, names in ((0, 'a'), (1, '')):
            known = fleet.decide(
                fleet.DomainsOutOfService(frozenset(names)), known, now
            )
        self.assertEqual({'a': 1}, known.returned_at_by_domain)
        again = fleet.decide(
            fleet.DomainsOutOfService(frozenset('a')), known, 2
        )
        self.assertEqual({}, again.returned_at_by_domain)
        later = fleet.decide(
            fleet.TimeElapsed(), known, 1 + const.DOMAIN_RAMP_SECONDS
        )
        self.assertEqual({}, later.returned_at_by_domain)
