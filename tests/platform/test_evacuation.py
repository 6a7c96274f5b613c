"""Entries while operators take a failure domain out of service."""

import anyio
import testtools

from nutmegtrail.evacuation import const
from tests.platform import entries
from tests.soak import relay

_KEY = 'op/evacuate/kandla-b'
# Far below the time that the platform allows.
_KNOWN_SECONDS = 0.5
# A restored store is known, and what it lacks is still awaited.
_RESTORED_SECONDS = 2.0
_REPORT_SECONDS = 0.3
# The engines of the other domain run 12 at once.
_REQUESTS = 8


class EvacuationTest(testtools.TestCase):
    """Two entries in front of four engines, of which two are in the domain."""

    def _run(self, scenario):
        """Run a scenario with engines in two domains."""

        async def _scenario(deployment):
            self.deployment = deployment
            self.evacuated = deployment.engines[:2]
            for engine in self.evacuated:
                deployment.store.put(
                    engine.key, engine.registration(zone='kandla-b')
                )
            await anyio.sleep(_KNOWN_SECONDS)
            self.number = 0
            await scenario(deployment)

        entries.run(_scenario, engine_count=4, entry_count=2)

    async def _check(self, entry, *, expects_requests):
        """Send requests at once and check whether the domain gets any."""
        # The requests of the other entry before these are reported as ended.
        await anyio.sleep(_REPORT_SECONDS)
        before = self._runs()
        async with anyio.create_task_group() as tasks:
            for _ in range(_REQUESTS):
                self.number += 1
                tasks.start_soon(self._send, entry, f'r{self.number}')
        self.assertEqual(expects_requests, self._runs() > before)

    async def _send(self, entry, request_id):
        """Send a request that is served."""
        response = await self.deployment.send(entry, b'slow', request_id)
        self.assertEqual(200, response.status)

    def _runs(self):
        """Return how many requests ran in the domain."""
        return sum(len(engine.runs) for engine in self.evacuated)

    async def _evacuate(self):
        """Give the word and wait until it is known."""
        self.deployment.store.put(_KEY, b'{}')
        await anyio.sleep(_KNOWN_SECONDS)

    def test_whole(self):
        """The domain gets nothing until it is taken back."""

        async def _scenario(deployment):
            for entry in deployment.entries:
                await self._check(entry, expects_requests=True)
            await self._evacuate()
            for entry in deployment.entries:
                await self._check(entry, expects_requests=False)
            text = await deployment.entries[0].metrics()
            self.assertIn('nutmegtrail_failure_domains_out_of_service 1', text)
            deployment.store.remove(_KEY)
            await anyio.sleep(_KNOWN_SECONDS)
            for entry in deployment.entries:
                await self._check(entry, expects_requests=True)

        self._run(_scenario)

    def test_entry_that_is_cut_from_the_store(self):
        """It learns the word, and its end, from the other entry."""

        async def _scenario(deployment):
            store_relay = relay.Relay(deployment.store.address)
            deployment._tasks.start_soon(store_relay.serve)
            entry = deployment.entries[1]
            entry.kill()
            entry.store_address = store_relay.address
            await entry.start()
            await anyio.sleep(_KNOWN_SECONDS)
            store_relay.fault = 'silent'
            await self._evacuate()
            await self._check(entry, expects_requests=False)
            deployment.store.remove(_KEY)
            await anyio.sleep(_KNOWN_SECONDS)
            await self._check(entry, expects_requests=True)

        self._run(_scenario)

    def test_killed_meanwhile(self):
        """Entries that start during the evacuation know it when ready."""

        async def _scenario(deployment):
            await self._evacuate()
            for entry in deployment.entries:
                entry.kill()
            for entry in deployment.entries:
                await entry.start()
                await self._check(entry, expects_requests=False)

        self._run(_scenario)

    def test_killed_as_the_word_is_given(self):
        """An entry that starts beside the word knows it soon."""

        async def _scenario(deployment):
            entry = deployment.entries[0]
            entry.kill()
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(entry.start)
                tasks.start_soon(self._evacuate)
            await self._check(entry, expects_requests=False)

        self._run(_scenario)

    def test_earlier_copy(self):
        """The word holds through a copy that is older than it.

        Operators write it again, some time after the store is back.
        """

        async def _scenario(deployment):
            store = deployment.store
            copy = store.copy()
            await self._evacuate()
            store.items_by_key.pop(_KEY)
            store.is_unavailable = True
            await anyio.sleep(0.3)
            store.restore(copy)
            store.is_unavailable = False
            await anyio.sleep(_RESTORED_SECONDS)
            self.assertNotIn(_KEY, store.items_by_key)
            for entry in deployment.entries:
                await self._check(entry, expects_requests=False)
            await self._evacuate()
            await anyio.sleep(const.REWRITE_SECONDS)
            for entry in deployment.entries:
                await self._check(entry, expects_requests=False)

        self._run(_scenario)

    def test_no_upstream_left(self):
        """Requests are refused at once, with the time to come back."""

        async def _scenario(deployment):
            deployment.store.put('op/evacuate/kandla-a', b'{}')
            await self._evacuate()
            for number, path in enumerate((b'/long/read/2f', b'/long/2f')):
                with anyio.fail_after(0.5):
                    response = await deployment.send(
                        deployment.entries[0], b'x', f'n{number}', path=path
                    )
                self.assertEqual(503, response.status)
                self.assertIn(b'retry-after', response.headers)
            self.assertEqual(
                0, sum(len(engine.runs) for engine in deployment.engines)
            )

        self._run(_scenario)
