"""The leadership's calls to the store keep their pace."""

import random

import anyio
import expression
import testtools

from nutmegtrail.gateway import leader_lease
from nutmegtrail.ports import watched_store


class _Store:
    """Grants everything and counts the renewals."""

    def __init__(self):
        """Start without calls."""
        self.renewals = 0
        self.revision = 3

    async def grant_lease(self, _):
        """Grant a lease."""
        return expression.Ok(5)

    async def swap(self, *_):
        """Write the key."""
        self.revision += 1
        return expression.Ok(self.revision)

    async def keep_alive(self, _):
        """Renew the lease."""
        self.renewals += 1
        return expression.Ok(value=True)


def _run(scenario, seconds):
    """Return the lease after some time beside a scenario."""
    store = _Store()
    lease = leader_lease.LeaderLease('key', 'me', store, random.Random(1))

    async def _main():
        with anyio.move_on_after(seconds):
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(lease.run)
                await scenario(lease)

    anyio.run(_main)
    return lease, store


class LeaderLeaseTest(testtools.TestCase):
    """A key that is free, taken and free again."""

    def test_renewals_keep_their_pace(self):
        """After it was acquired the lease is renewed a few times a second."""

        async def _scenario(lease):
            lease.on_snapshot(())

        lease, store = _run(_scenario, 1)
        self.assertEqual(4, lease.fence)
        self.assertTrue(1 <= store.renewals <= 4, store.renewals)

    def test_vacancy_that_another_entry_took(self):
        """A vacancy that is over does not keep the loop busy.

        Trial of trouble-2, kmfb-bunker: an entry used a whole core from the
        moment at which another one had taken the vacant key before it.
        """
        waits = []

        async def _scenario(lease):
            lease.on_snapshot(())
            item = watched_store.Item('key', 9, b'other')
            lease.on_snapshot((item,))
            await anyio.wait_all_tasks_blocked()
            waits.append('blocked')

        lease, _ = _run(_scenario, 0.2)
        self.assertIsNone(lease.fence)
        self.assertEqual(['blocked'], waits)
