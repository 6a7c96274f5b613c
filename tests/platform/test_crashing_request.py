"""Requests that end the engines that run them, over several entries."""

import anyio
import testtools

from tests.platform import engine_process
from tests.platform import entries

# The bound of the platform: from this long after the third end, a request may
# reach three more engines.
_STABLE_SECONDS = 3.0
_MAX_LATE_RUNS = 3
_COPIES = 30
_COPY_INTERVAL_SECONDS = 0.25
# Time for the store's watch to deliver marks.
_WATCH_SECONDS = 0.5
_ONCE_PATH = b'/long/2f'
_OTHER_KEY = b'key-9'
_OTHER_ACCOUNT = b'board'


def _late_runs(deployment):
    """Return the runs of the fatal request after the bound."""
    ends = sorted(end for engine in deployment.engines for end in engine.ends)
    if len(ends) < 3:
        return []
    return [
        run_at
        for run_at in deployment.run_times(engine_process.FATAL_BODY)
        if run_at > ends[2] + _STABLE_SECONDS
    ]


class CrashingRequestTest(testtools.TestCase):
    """Two entries in front of eight engines."""

    def _run(self, scenario):
        """Run a scenario with a started deployment."""
        entries.run(scenario, engine_count=8, entry_count=2)

    def _assert_refused(self, deployment, responses, first):
        """Check that requests were refused truthfully."""
        for number, response in enumerate(responses):
            self.assertEqual(503, response.status)
            self.assertTrue(float(response.headers[b'retry-after']) > 1)
            self.assertEqual(0, deployment.run_count(f'copy-{first + number}'))

    def test_copies_at_two_entries(self):
        """A request that ends its engines is not sent on for ever.

        Its copies come with different request IDs at both entries in turn,
        and neither entry sees all of the ends.
        """

        async def _scenario(deployment):
            for number in range(_COPIES):
                deployment.send_later(
                    deployment.entries[number % 2],
                    engine_process.FATAL_BODY,
                    f'copy-{number}',
                )
                await anyio.sleep(_COPY_INTERVAL_SECONDS)
            late_runs = _late_runs(deployment)
            self.assertTrue(len(late_runs) <= _MAX_LATE_RUNS, len(late_runs))

        self._run(_scenario)

    def test_other_entry_refuses_at_once(self):
        """An entry that saw none of the ends refuses the next copy."""

        async def _scenario(deployment):
            await deployment.send_fatal(2, deployment.entries[:1])
            self.assertEqual(
                3, len(deployment.run_times(engine_process.FATAL_BODY))
            )
            await anyio.sleep(_WATCH_SECONDS)
            started_at = anyio.current_time()
            responses = await deployment.send_fatal(
                3, deployment.entries[1:], first=2
            )
            self.assertTrue(anyio.current_time() - started_at < 1)
            self._assert_refused(deployment, responses, 2)

        self._run(_scenario)

    def test_restart_of_all_entries(self):
        """Entries that start without memory refuse a request that is known."""

        async def _scenario(deployment):
            await deployment.send_fatal(2, deployment.entries)
            await anyio.sleep(_WATCH_SECONDS)
            for entry in deployment.entries:
                entry.kill()
            for entry in deployment.entries:
                await entry.start()
            await anyio.sleep(_WATCH_SECONDS)
            responses = await deployment.send_fatal(
                4, deployment.entries, first=2
            )
            self._assert_refused(deployment, responses, 2)

        self._run(_scenario)

    def test_store_outage(self):
        """Without the store each entry counts alone, and later together."""

        async def _scenario(deployment):
            deployment.store.is_unavailable = True
            await deployment.send_fatal(6, deployment.entries)
            runs = len(deployment.run_times(engine_process.FATAL_BODY))
            self.assertTrue(runs <= 6, runs)
            deployment.store.is_unavailable = False
            await anyio.sleep(3)
            for entry in deployment.entries:
                entry.kill()
                await entry.start()
            await anyio.sleep(_WATCH_SECONDS)
            responses = await deployment.send_fatal(
                2, deployment.entries, first=6
            )
            self._assert_refused(deployment, responses, 6)

        self._run(_scenario)

    def test_request_that_may_run_once(self):
        """The copy that ended an engine is not called unrun, later ones are.

        A request that may run once is sent to one engine only.
        """

        async def _scenario(deployment):
            responses = []
            for number in range(5):
                responses += await deployment.send_fatal(
                    1,
                    [deployment.entries[number % 2]],
                    first=number,
                    path=_ONCE_PATH,
                )
                await anyio.sleep(_WATCH_SECONDS)
            statuses = [response.status for response in responses]
            self.assertEqual([502, 502, 502, 503, 503], statuses)
            self._assert_refused(deployment, responses[3:], 3)

        self._run(_scenario)

    def test_bystanders(self):
        """Requests beside the fatal one are served, then and later.

        Among them are one with the same path and body from another account
        and one that comes again and again.
        """

        async def _scenario(deployment):
            for number in range(4):
                for slow in range(12):
                    deployment.send_later(
                        deployment.entries[slow % 2],
                        b'slow %d' % (slow // 2),
                        f'slow-{number}-{slow}',
                    )
                await anyio.sleep(0.05)
                deployment.send_later(
                    deployment.entries[number % 2],
                    engine_process.FATAL_BODY,
                    f'copy-{number}',
                )
                await anyio.sleep(0.6)
            await anyio.sleep(2)
            for number in range(6):
                response = await deployment.send(
                    deployment.entries[number % 2],
                    b'slow %d' % number,
                    f'again-{number}',
                )
                self.assertEqual(200, response.status)
            response = await deployment.send(
                deployment.entries[0],
                engine_process.FATAL_BODY,
                'other',
                key=_OTHER_KEY,
            )
            self.assertEqual(200, response.status)
            self.assertEqual(
                1,
                len(
                    deployment.run_times(
                        engine_process.FATAL_BODY, _OTHER_ACCOUNT
                    )
                ),
            )
            refused = [
                request_id
                for request_id, response in deployment.response_by_id.items()
                if request_id.startswith('slow') and response.status != 200
            ]
            self.assertEqual([], refused)

        self._run(_scenario)

    def test_responses_lost_without_an_end(self):
        """A request whose responses are lost is never quarantined."""

        async def _scenario(deployment):
            for engine in deployment.engines:
                engine.scripts = ['lost' for _ in range(9)]
            for number in range(9):
                response = await deployment.send(
                    deployment.entries[number % 2], b'harmless', f'r{number}'
                )
                self.assertNotEqual(503, response.status)
            for engine in deployment.engines:
                engine.scripts = []
            await anyio.sleep(4)
            response = await deployment.send(
                deployment.entries[0], b'harmless', 'last'
            )
            self.assertEqual(200, response.status)

        self._run(_scenario)

    def test_many_copies_at_once(self):
        """Copies that wait for an engine are refused after the third end."""

        async def _scenario(deployment):
            for number in range(_COPIES):
                deployment.send_later(
                    deployment.entries[number % 2],
                    engine_process.FATAL_BODY,
                    f'copy-{number}',
                )
            await anyio.sleep(_STABLE_SECONDS + 2)
            for number in range(_COPIES, _COPIES + 10):
                deployment.send_later(
                    deployment.entries[number % 2],
                    engine_process.FATAL_BODY,
                    f'copy-{number}',
                )
            await anyio.sleep(1)
            self.assertEqual([], _late_runs(deployment))

        self._run(_scenario)

    def test_metrics(self):
        """Counters tell crashes, marks and quarantined requests."""

        async def _scenario(deployment):
            await deployment.send_fatal(3, deployment.entries[:1])
            text = await deployment.entries[0].metrics()
            for name in ('upstream_crashes', 'crash_marks'):
                self.assertIn(f'nutmegtrail_{name}_total 3\n', text)
            self.assertIn('nutmegtrail_requests_quarantined_total 1\n', text)
            self.assertIn(
                'nutmegtrail_request_outcomes_total{route_kind="idempotent",'
                'outcome="answered",reason="quarantined"} 1\n',
                text,
            )

        self._run(_scenario)
