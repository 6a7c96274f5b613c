"""Entries while their store comes back from an earlier copy."""

import anyio
import testtools

from nutmegtrail.expert_balancing import expert_balancer
from nutmegtrail.gateway import gossip
from tests.platform import engine_process
from tests.platform import entries

_WATCH_SECONDS = 0.5
# A restored store is known after a watch that waits; then all entries register
# and one of them leads.
_RECOVERY_SECONDS = 4.0


class StoreRestoreTest(testtools.TestCase):
    """Two entries in front of four engines."""

    def _run(self, scenario):
        """Run a scenario with a started deployment."""
        entries.run(scenario, engine_count=4, entry_count=2)

    async def _restore(self, deployment, copy):
        """Let the store be away for a moment and come back as a copy."""
        deployment.store.is_unavailable = True
        await anyio.sleep(0.3)
        deployment.store.restore(copy)
        deployment.store.is_unavailable = False
        await anyio.sleep(_RECOVERY_SECONDS)

    def _leader_item(self, deployment):
        """Return the item of the leader's key."""
        return deployment.store.items_by_key[expert_balancer.LEADER_KEY]

    def test_leader_and_registrations(self):
        """All entries are registered, and one leads, under a live lease.

        The copy is from before the entries registered, or from after that. Its
        leases go on, and the ones since are given out again.
        """

        async def _scenario(deployment):
            store = deployment.store
            for copy in (deployment.first_copy, store.copy()):
                await self._restore(deployment, copy)
                registered = [
                    key
                    for key in store.items_by_key
                    if key.startswith(gossip.REGISTRATION_PREFIX)
                ]
                self.assertEqual(2, len(registered))
                revision = self._leader_item(deployment)['revision']
                await anyio.sleep(3)
                leader = self._leader_item(deployment)
                self.assertEqual(revision, leader['revision'])

        self._run(_scenario)

    def test_quarantine(self):
        """A request that was refused before is refused after the restore."""

        async def _scenario(deployment):
            await deployment.send_fatal(2, deployment.entries)
            await anyio.sleep(_WATCH_SECONDS)
            runs = deployment.run_times(engine_process.FATAL_BODY)
            await self._restore(deployment, deployment.first_copy)
            responses = await deployment.send_fatal(
                2, deployment.entries, first=2
            )
            self.assertEqual([503, 503], [reply.status for reply in responses])
            for entry in deployment.entries:
                entry.kill()
                await entry.start()
            await anyio.sleep(_WATCH_SECONDS)
            responses = await deployment.send_fatal(
                2, deployment.entries, first=4
            )
            self.assertEqual([503, 503], [reply.status for reply in responses])
            self.assertEqual(
                runs, deployment.run_times(engine_process.FATAL_BODY)
            )

        self._run(_scenario)

    def test_leaving_engine(self):
        """An engine that leaves gets no work, although the copy says ready."""

        async def _scenario(deployment):
            engine = deployment.engines[0]
            copy = deployment.store.copy()
            deployment.store.put(
                engine.key, engine.registration(state='draining')
            )
            await anyio.sleep(_WATCH_SECONDS)
            deployment.store.is_unavailable = True
            deployment.store.restore(copy)
            # The engine's own write comes late.
            deployment.store.put(engine.key, engine.registration())
            deployment.store.is_unavailable = False
            for number in range(40):
                response = await deployment.send(
                    deployment.entries[number % 2], b'x', f'r{number}'
                )
                self.assertEqual(200, response.status)
                await anyio.sleep(0.05)
            self.assertEqual([], engine.runs)

        self._run(_scenario)
