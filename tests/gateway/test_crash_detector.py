"""Upstreams that crashed, and others that only look like it."""

import anyio
import testtools

from nutmegtrail.gateway import const
from nutmegtrail.gateway import crash_detector
from nutmegtrail.gateway import crash_quarantine
from nutmegtrail.gateway import dispatcher as dispatching
from nutmegtrail.gateway import fleet
from nutmegtrail.gateway import part_quarantine
from nutmegtrail.observability import metrics
from nutmegtrail.ports import upstream_probe
from nutmegtrail.retries import part_evidence
from tests import simulated_time
from tests.gateway import samples

_PART = part_evidence.part_key('drafts', 'part')
_HEARTBEAT_SECONDS = 1.2
_AFTER_REMOVAL_SECONDS = 10.0


class _Probe:
    """Probe with a fixed result, RUNNING for those in `running_ids`."""

    def __init__(self, condition):
        """Initialize the probe."""
        self.condition_of_all = condition
        self.running_ids = set()
        self.calls = 0

    async def condition(self, upstream):
        """Return the result after a time."""
        self.calls += 1
        await anyio.sleep(0.01)
        if upstream.upstream_id in self.running_ids:
            return upstream_probe.Condition.RUNNING
        return self.condition_of_all


class CrashDetectorTest(testtools.TestCase):
    """One upstream, one interrupted request."""

    def _run(self, scenario, condition=upstream_probe.Condition.UNKNOWN):
        """Run a scenario in simulated time."""
        self.upstream = samples.upstream('a')._replace(started_at_ms=5)
        self.dispatcher = dispatching.Dispatcher('kandla-a')
        self._decide(fleet.Registered(self.upstream), 0)
        self.registry = metrics.Metrics()
        self.quarantine = crash_quarantine.CrashQuarantine(None, self.registry)
        self.probe = _Probe(condition)
        self.parts = part_quarantine.PartQuarantine(None, metrics.Metrics())
        self.detector = crash_detector.CrashDetector(
            self.probe,
            self.dispatcher,
            self.quarantine,
            self.parts,
            self.registry,
            _HEARTBEAT_SECONDS,
        )
        simulated_time.run(scenario)

    def _decide(self, event, now):
        """Apply an event to the fleet."""
        self.dispatcher.known_upstreams = fleet.decide(
            event, self.dispatcher.known_upstreams, now
        )

    def _interrupt(self, request='bad'):
        """Interrupt a request at the upstream."""
        self.detector.record_interruption(
            'r1', request, self.upstream, (_PART,)
        )

    def test_refused_connection(self):
        """An upstream whose host refuses connections has crashed."""

        async def _scenario():
            self._interrupt()
            await self.detector.examine(self.upstream)
            self.assertEqual(1, self.quarantine.crash_count('bad'))
            self.assertEqual(1, self.parts.crash_count((_PART,)))

        self._run(_scenario, upstream_probe.Condition.ENDED)

    def test_reset_without_an_end(self):
        """An upstream that still runs has not crashed, also not later."""

        async def _scenario():
            self._interrupt()
            await self.detector.examine(self.upstream)
            restarted = self.upstream._replace(started_at_ms=9)
            self._decide(fleet.Registered(restarted), 0)
            self.detector.check_registrations()
            self.assertEqual(0, self.quarantine.crash_count('bad'))

        self._run(_scenario, upstream_probe.Condition.RUNNING)

    def test_silent_upstream(self):
        """One that does not respond may be cut off: nothing is known."""

        async def _scenario():
            self._interrupt()
            await self.detector.examine(self.upstream)
            self._decide(fleet.Removed('a'), anyio.current_time())
            self.detector.check_registrations()
            self.assertEqual(0, self.quarantine.crash_count('bad'))

        self._run(_scenario)

    def test_silent_upstream_that_restarts(self):
        """A later start shows that a silent upstream has crashed."""
        successors = (
            samples.upstream('a')._replace(started_at_ms=9),
            samples.upstream('b')._replace(started_at_ms=9),
        )
        for successor in successors:

            async def _scenario(successor=successor):
                self._interrupt()
                self._interrupt('beside')
                self._decide(fleet.Removed('a'), anyio.current_time())
                self._decide(fleet.Registered(successor), 0)
                self.detector.check_registrations()
                self.assertEqual(1, self.quarantine.crash_count('bad'))
                self.assertEqual(1, self.quarantine.crash_count('beside'))
                self.assertIn(
                    'nutmegtrail_upstream_crashes_total 1\n',
                    self.registry.render(),
                )

            self._run(_scenario)

    def test_upstream_that_leaves(self):
        """One that leaves, or that was removed before, stops as planned."""
        events = (
            fleet.Registered(
                samples.upstream('a', leaving=True, started_at_ms=5)
            ),
            fleet.Removed('a'),
        )
        for event in events:

            async def _scenario(event=event):
                self._decide(event, anyio.current_time())
                self._interrupt()
                await self.detector.examine(self.upstream)
                self.detector.check_registrations()
                self.assertEqual(0, self.quarantine.crash_count('bad'))
                self.assertEqual(0, self.probe.calls)

            self._run(_scenario, upstream_probe.Condition.ENDED)

    def test_response_after_the_interruption(self):
        """An upstream that responded to others later has crashed later."""

        async def _scenario():
            self._interrupt()
            await anyio.sleep(const.RESPONSE_READ_SECONDS + 0.1)
            self.detector.record_response(self.upstream)
            self._interrupt('later')
            await self.detector.examine(self.upstream)
            self.assertEqual(0, self.quarantine.crash_count('bad'))
            self.assertEqual(1, self.quarantine.crash_count('later'))

        self._run(_scenario, upstream_probe.Condition.ENDED)

    def test_cut_that_refuses_connections(self):
        """A crash is withdrawn if the upstream stays registered."""

        async def _scenario():
            self._interrupt()
            await self.detector.examine(self.upstream)
            self.detector.check_registrations()
            self.assertEqual(1, self.quarantine.crash_count('bad'))
            await anyio.sleep(_AFTER_REMOVAL_SECONDS)
            self.detector.check_registrations()
            self.assertEqual(0, self.quarantine.crash_count('bad'))

        self._run(_scenario, upstream_probe.Condition.ENDED)

    def test_crash_during_a_store_outage(self):
        """While the store is away, registrations disprove no crash.

        Neither do they while the watch that would tell their removal fails.
        """
        for event in (fleet.StoreLost(), fleet.ReadFailed()):

            async def _scenario(event=event):
                self._interrupt()
                await self.detector.examine(self.upstream)
                self._decide(event, 0)
                await anyio.sleep(_AFTER_REMOVAL_SECONDS)
                self.detector.check_registrations()
                self.assertEqual(1, self.quarantine.crash_count('bad'))

            self._run(_scenario, upstream_probe.Condition.ENDED)

    def test_rank_group_that_stalls_with_one_rank(self):
        """Only requests of the rank that crashed are marked.

        The other ranks break their requests off, too, and run on.
        """

        async def _scenario():
            other = samples.upstream('b', started_at_ms=5)
            self._decide(fleet.Registered(other), 0)
            self.probe.running_ids.add('b')
            self._interrupt()
            self.detector.record_interruption('r2', 'beside', other)
            await self.detector.examine(self.upstream)
            await self.detector.examine(other)
            self.detector.check_registrations()
            self.assertEqual(1, self.quarantine.crash_count('bad'))
            self.assertEqual(0, self.quarantine.crash_count('beside'))

        self._run(_scenario, upstream_probe.Condition.ENDED)

    def test_crash_right_after_a_probe(self):
        """A probe from before an interruption says nothing about it."""

        async def _scenario():
            self._interrupt('harmless')
            await self.detector.examine(self.upstream)
            self.probe.condition_of_all = upstream_probe.Condition.ENDED
            await anyio.sleep(0.01)
            self._interrupt()
            await self.detector.examine(self.upstream)
            self.assertEqual(1, self.quarantine.crash_count('bad'))
            self.assertEqual(0, self.quarantine.crash_count('harmless'))

        self._run(_scenario, upstream_probe.Condition.RUNNING)

    def test_shared_probe(self):
        """Requests that break together cost two probes at most."""

        async def _scenario():
            async with anyio.create_task_group() as tasks:
                for number in range(20):
                    self._interrupt(f'r{number}')
                    tasks.start_soon(self.detector.examine, self.upstream)
            self.assertTrue(self.probe.calls <= 2, self.probe.calls)

        self._run(_scenario, upstream_probe.Condition.RUNNING)

    def test_interruption_after_the_crash(self):
        """Attempts whose end is noticed later are marked with the others."""

        async def _scenario():
            self._interrupt('first')
            await self.detector.examine(self.upstream)
            self._interrupt('second')
            self.assertEqual(1, self.quarantine.crash_count('second'))

        self._run(_scenario, upstream_probe.Condition.ENDED)
