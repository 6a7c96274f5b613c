"""Tests of the assignment of queued requests to upstreams."""

import anyio
import testtools

from nutmegtrail.draining import models as draining_models
from nutmegtrail.gateway import dispatcher
from nutmegtrail.gateway import fleet
from nutmegtrail.gateway import models
from nutmegtrail.gateway import request_queue
from nutmegtrail.gateway import signal_recorder
from nutmegtrail.warmup import shares
from nutmegtrail.warmup import sightings
from tests.draining import stops
from tests.gateway import samples


def _queued_request(name, excluded_ids=(), priority=1, allowed_domains=None):
    """Return a request that can wait for one second."""
    now = anyio.current_time()
    return request_queue.QueuedRequest(
        name,
        'a',
        priority,
        now + 1,
        now + 1,
        frozenset(excluded_ids),
        allowed_domains=allowed_domains,
    )


def _lasting_request(name, kind, **changes):
    """Return a request that can wait for long, of a kind that may last."""
    now = anyio.current_time()
    return _queued_request(name)._replace(
        latest_start_seconds=now + 99,
        stoppable=draining_models.Request((kind,), now, now + 99),
        **changes,
    )


class DispatcherTest(testtools.TestCase):
    """Dispatcher with one upstream that has two slots."""

    def _run(self, scenario):
        """Run a scenario in a task group."""

        async def _main():
            self.dispatcher = dispatcher.Dispatcher('kandla-a')
            self.dispatcher.known_upstreams = fleet.decide(
                fleet.SnapshotReceived((samples.upstream('u1'),)),
                fleet.Fleet(),
                0,
            )
            self.outcomes = {}
            with anyio.fail_after(20):
                async with anyio.create_task_group() as tasks:
                    await scenario(tasks)
                    tasks.cancel_scope.cancel()

        anyio.run(_main)

    def _register(self, upstream):
        """Apply the registration of an upstream as the listener does."""
        self.dispatcher.known_upstreams = fleet.decide(
            fleet.Registered(upstream),
            self.dispatcher.known_upstreams,
            anyio.current_time(),
        )
        self.dispatcher.dispatch_all()

    def _signal(self, upstream, **signals):
        """Record what an upstream says of itself in a response."""
        signal_recorder.SignalRecorder(self.dispatcher).record(
            upstream,
            models.ReceivedSignals(
                models.UpstreamSignals(**signals),
                anyio.current_time(),
                'r0',
            ),
        )

    async def _acquire(
        self, name, excluded_ids=(), priority=1, allowed_domains=None
    ):
        """Record the candidate that a request was assigned to."""
        self.outcomes[name] = await self.dispatcher.acquire(
            'drafts',
            _queued_request(name, excluded_ids, priority, allowed_domains),
        )

    def _become_cold(self, requests_per_second):
        """Apply a registration that says that `u1` is cold for a second."""
        cold = self.dispatcher.limiter.cold
        cold.set_rules({'drafts': shares.Rule(3, requests_per_second)})
        cold.record(sightings.Registered('u1', 'drafts', 1, 5, 1.0), 'test')

    def test_allowed_domains(self):
        """A request waits for an allowed upstream and holds up no other."""
        elsewhere = frozenset(('kandla-b',))

        async def _scenario(tasks):
            tasks.start_soon(self._acquire, 'bound', (), 1, elsewhere)
            await anyio.sleep(0.01)
            tasks.start_soon(self._acquire, 'other')
            await anyio.sleep(0.01)
            self.assertEqual(['other'], list(self.outcomes))
            for has_upstreams in (
                self.dispatcher.has_upstreams,
                self.dispatcher.has_available_upstreams,
            ):
                no_ids = frozenset()
                self.assertTrue(has_upstreams('drafts', no_ids))
                self.assertFalse(has_upstreams('drafts', no_ids, elsewhere))
            self._register(samples.upstream('u2', failure_domain='kandla-b'))
            await anyio.sleep(0.01)
            self.assertEqual('u2', self.outcomes['bound'].upstream.upstream_id)

        self._run(_scenario)

    def test_cold_upstream(self):
        """A cold upstream gets its requests in turn, and all once it is warm."""

        async def _scenario(tasks):
            self._become_cold(10)
            for name in ('r1', 'r2'):
                tasks.start_soon(self._acquire, name)
            got = []
            for _ in range(4):
                self.dispatcher.dispatch_all()
                await anyio.sleep(0.06)
                got.append(len(self.outcomes))
            self.assertEqual([0, 0, 1, 1], got)
            usable = fleet.usable_upstreams(
                self.dispatcher.known_upstreams, 'drafts'
            )
            self.assertEqual(1, self.dispatcher.limiter.cold_count(usable))
            await anyio.sleep(0.8)
            self.dispatcher.dispatch_all()
            self.assertEqual({}, self.dispatcher.limiter.cold.by_id)
            await anyio.sleep(0.01)
            self.assertEqual(2, len(self.outcomes))

        self._run(_scenario)

    def test_cold_after_the_assignment(self):
        """A request is withdrawn if its upstream became cold before it left."""

        async def _scenario(tasks):
            await self._acquire('r1')
            upstream = self.outcomes['r1'].upstream
            self._become_cold(10)
            self.assertFalse(self.dispatcher.confirm(upstream, 'r1'))
            await anyio.sleep(0.11)
            self.assertTrue(self.dispatcher.confirm(upstream, 'r1'))
            self.assertFalse(self.dispatcher.confirm(upstream, 'r2'))

        self._run(_scenario)

    def test_release_dispatches_the_next_request(self):
        """A third request waits until one of two slots is released."""

        async def _scenario(tasks):
            for name in ('r1', 'r2', 'r3'):
                tasks.start_soon(self._acquire, name)
            await anyio.wait_all_tasks_blocked()
            self.assertEqual({'r1', 'r2'}, set(self.outcomes))
            self.dispatcher.release(self.outcomes['r1'].upstream, 'r1')
            await anyio.wait_all_tasks_blocked()
            self.assertIn('r3', self.outcomes)

        self._run(_scenario)

    def test_excluded_upstream_does_not_block_others(self):
        """A retry that excludes the only upstream does not block others."""

        async def _scenario(tasks):
            tasks.start_soon(self._acquire, 'repeat', ('u1',))
            await anyio.wait_all_tasks_blocked()
            tasks.start_soon(self._acquire, 'other')
            await anyio.wait_all_tasks_blocked()
            self.assertEqual(['other'], list(self.outcomes))

        self._run(_scenario)

    def test_disconnected_caller_frees_its_slot(self):
        """A cancelled request leaves the queue and takes no slot later."""

        async def _scenario(tasks):
            for name in ('r1', 'r2'):
                tasks.start_soon(self._acquire, name)
            await anyio.wait_all_tasks_blocked()
            with anyio.move_on_after(0.01):
                await self._acquire('r3')
            self.assertEqual(0, self.dispatcher.waiting_count)
            self.dispatcher.release(self.outcomes['r1'].upstream, 'r1')
            await self._acquire('r4')
            self.assertIsNotNone(self.outcomes['r4'])

        self._run(_scenario)

    def test_upstream_that_leaves_is_not_assigned(self):
        """A queued request waits for another upstream than one that leaves."""

        async def _scenario(tasks):
            for name in ('r1', 'r2', 'r3'):
                tasks.start_soon(self._acquire, name)
            await anyio.wait_all_tasks_blocked()
            leaving = self.outcomes['r1'].upstream
            self._signal(leaving, is_leaving=True)
            self.dispatcher.release(leaving, 'r1')
            await anyio.wait_all_tasks_blocked()
            self.assertNotIn('r3', self.outcomes)
            self._register(samples.upstream('u2'))
            await anyio.wait_all_tasks_blocked()
            self.assertEqual('u2', self.outcomes['r3'].upstream.upstream_id)

        self._run(_scenario)

    def test_upstream_that_leaves_after_it_was_assigned(self):
        """A request whose task has not run since gets another upstream.

        Its slot is free again.
        """

        async def _scenario(tasks):
            for name in ('r1', 'r2', 'r3'):
                tasks.start_soon(self._acquire, name)
            await anyio.wait_all_tasks_blocked()
            self._register(samples.upstream('u2', leaving=True))
            leaving = self.outcomes['r1'].upstream
            self.dispatcher.release(leaving, 'r1')
            self._signal(leaving, is_leaving=True)
            self._register(samples.upstream('u2', started_at_ms=9))
            await anyio.wait_all_tasks_blocked()
            self.assertEqual('u2', self.outcomes['r3'].upstream.upstream_id)
            in_flight_by_id = dict(self.dispatcher.counts.local_by_id)
            self.assertEqual(
                {'u1': 1, 'u2': 1},
                {
                    name: count
                    for name, count in in_flight_by_id.items()
                    if count
                },
            )

        self._run(_scenario)

    def test_leaving_is_recorded_once(self):
        """Each further response of an upstream that leaves changes nothing."""

        async def _scenario(_):
            upstream = samples.upstream('u1')
            self._signal(upstream, is_leaving=True)
            known_upstreams = self.dispatcher.known_upstreams
            self._signal(upstream, is_leaving=True)
            self.assertIs(known_upstreams, self.dispatcher.known_upstreams)

        self._run(_scenario)

    def test_hold_off_refuses_hopeless_requests(self):
        """A queued request is refused at once if all upstreams hold off longer.

        So is one that comes later.
        """

        async def _scenario(tasks):
            for name in ('r1', 'r2', 'r3'):
                tasks.start_soon(self._acquire, name)
            await anyio.wait_all_tasks_blocked()
            self.assertEqual((0, 0), self.dispatcher.expected_wait('drafts'))
            self._signal(samples.upstream('u1'), hold_off_seconds=5)
            tasks.start_soon(self._acquire, 'r4')
            await anyio.wait_all_tasks_blocked()
            self.assertIsNone(self.outcomes['r3'])
            self.assertIsNone(self.outcomes['r4'])
            seconds = self.dispatcher.expected_wait('drafts').total_seconds
            self.assertTrue(4 < seconds <= 5, seconds)
            self._register(samples.upstream('u2'))
            self.assertEqual((0, 0), self.dispatcher.expected_wait('drafts'))
            await self._acquire('r5')
            self.assertEqual('u2', self.outcomes['r5'].upstream.upstream_id)

        self._run(_scenario)

    def test_requests_wait_for_the_end_of_a_hold_off(self):
        """A request that can start after the hold-off waits for its end."""

        async def _scenario(tasks):
            self._signal(samples.upstream('u1'), hold_off_seconds=0.2)
            tasks.start_soon(self._acquire, 'r1')
            await anyio.wait_all_tasks_blocked()
            self.dispatcher.dispatch_all()
            await anyio.wait_all_tasks_blocked()
            self.assertEqual({}, self.outcomes)
            await anyio.sleep(0.21)
            self.dispatcher.dispatch_all()
            await anyio.wait_all_tasks_blocked()
            self.assertEqual('u1', self.outcomes['r1'].upstream.upstream_id)

        self._run(_scenario)

    def test_hold_off_after_a_request_was_assigned(self):
        """A request whose task has not run since is not sent."""

        async def _scenario(tasks):
            for name in ('r1', 'r2', 'r3'):
                tasks.start_soon(self._acquire, name)
            await anyio.wait_all_tasks_blocked()
            upstream = self.outcomes['r1'].upstream
            self.dispatcher.release(upstream, 'r1')
            self._signal(upstream, hold_off_seconds=5)
            await anyio.wait_all_tasks_blocked()
            self.assertIsNone(self.outcomes['r3'])
            self.assertEqual(1, self.dispatcher.counts.local_by_id['u1'])

        self._run(_scenario)

    def test_hold_off_of_an_earlier_incarnation(self):
        """A later start under the same identifier is not bound."""

        async def _scenario(_):
            self._signal(samples.upstream('u1'), hold_off_seconds=5)
            self._register(samples.upstream('u1', started_at_ms=2))
            await self._acquire('r1')
            self.assertEqual(2, self.outcomes['r1'].upstream.started_at_ms)

        self._run(_scenario)

    def test_urgent_request_uses_the_headroom(self):
        """Load pattern `burst`: the last room is left to the most urgent.

        Only while such requests have been asking. A less urgent one that waits
        does not block them.
        """

        async def _scenario(tasks):
            ranks = tuple(
                samples.member(f'm{rank}', rank, size=20)._replace(slots=1)
                for rank in range(20)
            )
            self.dispatcher.known_upstreams = fleet.decide(
                fleet.SnapshotReceived(ranks), fleet.Fleet(), 0
            )
            for number in range(19):
                tasks.start_soon(self._acquire, f'r{number}')
            await anyio.wait_all_tasks_blocked()
            self.assertEqual(19, len(self.outcomes))
            tasks.start_soon(self._acquire, 'urgent', (), 0)
            await anyio.wait_all_tasks_blocked()
            self.dispatcher.release(self.outcomes['urgent'].upstream, 'urgent')
            tasks.start_soon(self._acquire, 'less')
            await anyio.wait_all_tasks_blocked()
            self.assertNotIn('less', self.outcomes)
            tasks.start_soon(self._acquire, 'urgent again', (), 0)
            await anyio.wait_all_tasks_blocked()
            self.assertIn('urgent again', self.outcomes)
            self.assertNotIn('less', self.outcomes)

        self._run(_scenario)

    def test_turn_uses_the_whole_room(self):
        """Load pattern `burst` of the most urgent, in a group that is full.

        After seven starts, a less urgent request takes the next place. The
        room that it may use otherwise is never free.
        """

        async def _scenario(tasks):
            ranks = tuple(
                samples.member(f'm{rank}', rank, size=20)._replace(slots=1)
                for rank in range(20)
            )
            self.dispatcher.known_upstreams = fleet.decide(
                fleet.SnapshotReceived(ranks), fleet.Fleet(), 0
            )
            for number in range(20):
                tasks.start_soon(self._acquire, f'r{number}', (), 0)
            await anyio.wait_all_tasks_blocked()
            tasks.start_soon(self._acquire, 'less')
            for number in range(9):
                self.assertNotIn('less', self.outcomes)
                tasks.start_soon(self._acquire, f's{number}', (), 0)
                await anyio.wait_all_tasks_blocked()
                name = f'r{number}'
                self.dispatcher.release(self.outcomes[name].upstream, name)
                await anyio.wait_all_tasks_blocked()
                if 'less' in self.outcomes:
                    break
            self.assertEqual(7, number)

        self._run(_scenario)

    def test_waiting_requests_at_a_stop(self):
        """Requests that wait are refused once they would not end in time.

        They used to be sent during the grace period and cut at its end. A
        stream that has begun is continued.
        """

        async def _scenario(tasks):
            now = anyio.current_time()
            for kind, seconds in (('short', 0.1), ('long', 5)):
                request = draining_models.Request((kind,), now, now + 99)
                self.dispatcher.drain.record_start(kind, request, now - seconds)
                self.dispatcher.drain.record_end(kind, now, is_answered=True)
            for name in ('r0', 'r1'):
                tasks.start_soon(self._acquire, name)
            await anyio.wait_all_tasks_blocked()
            tasks.start_soon(self._acquire_lasting, 'short', False)
            tasks.start_soon(self._acquire_lasting, 'long', False)
            await anyio.wait_all_tasks_blocked()
            stops.begin(self.dispatcher.drain, now, now + 4)
            self.dispatcher.dispatch_all()
            await anyio.wait_all_tasks_blocked()
            self.assertIsNone(self.outcomes['long'])
            self.assertNotIn('short', self.outcomes)
            self.dispatcher.release(self.outcomes['r0'].upstream, 'r0')
            await anyio.wait_all_tasks_blocked()
            self.assertIsNotNone(self.outcomes['short'])
            await self._acquire_lasting('long', False)
            self.assertIsNone(self.outcomes['long'])
            self.dispatcher.release(self.outcomes['r1'].upstream, 'r1')
            await self._acquire_lasting('long', True)
            self.assertIsNotNone(self.outcomes['long'])

        self._run(_scenario)

    async def _acquire_lasting(self, kind, is_resumed):
        """Record the candidate of a request that may last."""
        self.outcomes[kind] = await self.dispatcher.acquire(
            'drafts', _lasting_request(kind, kind, is_resumed=is_resumed)
        )

    def test_refused_over_the_limit(self):
        """Pattern `burst`: requests over the queue limit are refused at once."""

        async def _scenario(tasks):
            for number in range(6):
                tasks.start_soon(self._acquire, f'r{number}')
            await anyio.wait_all_tasks_blocked()
            refused_names = [
                name
                for name, candidate in self.outcomes.items()
                if candidate is None
            ]
            self.assertEqual(['r4', 'r5'], refused_names)

        self._run(_scenario)
