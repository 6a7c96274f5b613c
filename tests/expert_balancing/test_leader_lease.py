"""Frequency of the leader lease's calls to the store."""

import random

import anyio
import expression
import testtools

from nutmegtrail.expert_balancing import leader_lease
from nutmegtrail.ports import watched_store


class _Store:
    """Store that accepts all calls and counts the renewals."""

    def __init__(self):
        """Initialize the store."""
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
    """Run the lease beside a scenario; return the lease and its store."""
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
    """Acquisition and renewal of the leader key."""

    def test_renewals_keep_their_pace(self):
        """An acquired lease is renewed only a few times per second."""

        async def _scenario(lease):
            lease.on_snapshot(())

        lease, store = _run(_scenario, 1)
        self.assertEqual(4, lease.fence)
        self.assertTrue(1 <= store.renewals <= 4, store.renewals)

    def test_vacancy_that_another_entry_took(self):
        """The loop does not spin after another instance took the vacant key.

        Seen in trouble-2 of kmfb-bunker: if another instance acquired the
        vacant key first, the losing instance used a full core from then on.
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
