"""Waiting requests get places, in order, and none is lost."""

import anyio
import testtools

from nutmegtrail.gateway import dispatcher
from nutmegtrail.gateway import fleet
from nutmegtrail.gateway import request_queue
from tests.gateway import samples


def _waiting(name, excluded=()):
    """Return a request that can wait for a second."""
    now = anyio.current_time()
    return request_queue.Waiting(
        name,
        'a',
        1,
        now + 1,
        now + 1,
        frozenset(excluded),
    )


class DispatcherTest(testtools.TestCase):
    """One upstream with two slots."""

    def _run(self, scenario):
        """Run a scenario with a task group."""

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

    async def _ask(self, name, excluded=()):
        """Note what a request got."""
        self.outcomes[name] = await self.dispatcher.acquire(
            'drafts',
            _waiting(name, excluded),
        )

    def test_release_serves_the_next(self):
        """A third request waits for one of two slots."""

        async def _scenario(tasks):
            for name in ('r1', 'r2', 'r3'):
                tasks.start_soon(self._ask, name)
            await anyio.wait_all_tasks_blocked()
            self.assertEqual({'r1', 'r2'}, set(self.outcomes))
            self.dispatcher.release(self.outcomes['r1'].upstream)
            await anyio.wait_all_tasks_blocked()
            self.assertIn('r3', self.outcomes)

        self._run(_scenario)

    def test_excluded_upstream_holds_up_nobody(self):
        """A repeat that must avoid the only upstream lets others pass."""

        async def _scenario(tasks):
            tasks.start_soon(self._ask, 'repeat', ('u1',))
            await anyio.wait_all_tasks_blocked()
            tasks.start_soon(self._ask, 'other')
            await anyio.wait_all_tasks_blocked()
            self.assertEqual(['other'], list(self.outcomes))

        self._run(_scenario)

    def test_caller_that_leaves_frees_its_place(self):
        """A cancelled wait is forgotten; a cancelled place is released."""

        async def _scenario(tasks):
            for name in ('r1', 'r2'):
                tasks.start_soon(self._ask, name)
            await anyio.wait_all_tasks_blocked()
            with anyio.move_on_after(0.01):
                await self._ask('r3')
            self.assertEqual(0, self.dispatcher.waiting_count)
            self.dispatcher.release(self.outcomes['r1'].upstream)
            await self._ask('r4')
            self.assertIsNotNone(self.outcomes['r4'])

        self._run(_scenario)

    def test_refused_over_the_limit(self):
        """Pattern `burst`: what would wait too long is refused at once."""

        async def _scenario(tasks):
            for number in range(6):
                tasks.start_soon(self._ask, f'r{number}')
            await anyio.wait_all_tasks_blocked()
            refused = [
                name for name, got in self.outcomes.items() if got is None
            ]
            self.assertEqual(['r4', 'r5'], refused)

        self._run(_scenario)
