"""Marks of crashing requests, shared by entries through the store."""

import anyio
import testtools

from nutmegtrail.gateway import const
from nutmegtrail.gateway import crash_quarantine
from nutmegtrail.observability import metrics
from nutmegtrail.ports import key_value
from nutmegtrail.ports import watched_store
from nutmegtrail.retries import const as retry_const
from nutmegtrail.retries import mark_store
from tests import simulated_time
from tests.gateway import mark_stores


_CRASH_NUMBERS = tuple(range(const.CRASH_LIMIT))


class CrashQuarantineTest(testtools.TestCase):
    """Two entries and their store."""

    def _run(self, scenario):
        """Run a scenario beside both entries in simulated time."""
        self.store = mark_stores.SharedStore()
        self.entries = [self._entry(), self._entry()]

        async def _main():
            async with anyio.create_task_group() as tasks:
                for entry in self.entries:
                    tasks.start_soon(entry.replica.run)
                await scenario()
                tasks.cancel_scope.cancel()

        simulated_time.run(_main)

    def _entry(self):
        """Return the quarantine of one more entry."""
        entry = crash_quarantine.CrashQuarantine(self.store, metrics.Metrics())
        self.store.listeners.append(entry.replica)
        return entry

    def _crash(self, *requests, numbers=_CRASH_NUMBERS):
        """Mark requests with crashes, at both entries in turn."""
        for number in numbers:
            for request in requests:
                self.entries[number % 2].mark(request, f'c{number}', 'd-1')

    def test_crashes_at_both_entries(self):
        """Neither entry sees all crashes, and both refuse the request."""

        async def _scenario():
            self._crash('bad')
            await anyio.sleep(1)
            for entry in self.entries:
                self.assertTrue(entry.remaining_seconds('bad') > 1)
            self.assertEqual(2, self.store.leases)

        self._run(_scenario)

    def test_restart_of_all_entries(self):
        """A new entry learns the marks from the store."""

        async def _scenario():
            self._crash('bad')
            await anyio.sleep(1)
            entry = self._entry()
            entry.replica.on_snapshot(self.store.items())
            self.assertTrue(entry.remaining_seconds('bad') > 1)

        self._run(_scenario)

    def test_failed_writes(self):
        """Marks are written again until the store has them."""

        async def _scenario():
            self.store.failures = [
                key_value.LeaseGone(1),
                key_value.Unavailable('k'),
                key_value.OutcomeUnknown('k'),
            ]
            self._crash('bad', numbers=(0, 2, 4))
            await anyio.sleep(5)
            self.assertEqual(3, self.entries[1].crash_count('bad'))

        self._run(_scenario)

    def test_success_clears(self):
        """A success at any entry clears a request at all of them."""

        async def _scenario():
            self._crash('good')
            await anyio.sleep(1)
            self.entries[1].record_success('good')
            await anyio.sleep(1)
            for entry in self.entries:
                self.assertEqual(0, entry.remaining_seconds('good'))
                self.assertFalse(entry.is_suspect('good'))
            self.assertEqual({}, self.store.content_by_key)

        self._run(_scenario)

    def test_withdrawn_crash(self):
        """A withdrawn crash is removed for all requests and entries."""

        async def _scenario():
            self._crash('a', 'b', numbers=(0,))
            await anyio.sleep(1)
            self.entries[1].withdraw('c0')
            await anyio.sleep(1)
            self.assertFalse(self.entries[0].is_suspect('a'))
            self.assertEqual({}, self.store.content_by_key)

        self._run(_scenario)

    def test_expiry(self):
        """A request is refused until its marks expire, as it was told."""

        async def _scenario():
            self._crash('bad')
            seconds = self.entries[0].remaining_seconds('bad')
            self.assertEqual(0, seconds)
            await anyio.sleep(1)
            seconds = self.entries[0].remaining_seconds('bad')
            self.assertTrue(0 < seconds <= retry_const.CRASH_MARK_TTL_SECONDS)
            await anyio.sleep(seconds + 0.1)
            self.assertEqual(0, self.entries[0].remaining_seconds('bad'))

        self._run(_scenario)

    def test_snapshot_without_marks(self):
        """Expired leases remove marks; those not yet written stay."""

        async def _scenario():
            self._crash('old')
            await anyio.sleep(1)
            self.entries[0].mark('new', 'c9', 'd-1')
            self.entries[0].replica.on_snapshot(())
            self.assertFalse(self.entries[0].is_suspect('old'))
            self.assertTrue(self.entries[0].is_suspect('new'))

        self._run(_scenario)

    def test_mass_crash_stays_within_the_rate(self):
        """Marks of many requests are written in few calls."""

        async def _scenario():
            for number in range(320):
                self.entries[0].mark(f'r{number}', f'c{number % 64}', 'd-1')
            await anyio.sleep(2)
            self.assertEqual(320, len(self.store.content_by_key))
            self.assertTrue(len(self.store.batches) <= 10)
            self.assertTrue(max(self.store.batches) <= 32)

        self._run(_scenario)

    def test_foreign_keys(self):
        """Keys of another form are ignored."""

        async def _scenario():
            prefix = mark_store.MARK_PREFIX
            for key in (prefix, f'{prefix}x', f'{prefix}x/', f'{prefix}/x'):
                self.entries[0].replica.on_change(
                    watched_store.Item(key, 1, b'')
                )
                self.entries[0].replica.on_change(watched_store.Removal(key, 1))
            self.entries[0].replica.on_change(
                watched_store.Item('other/a/b', 1, b'')
            )
            self.assertFalse(self.entries[0].is_suspect('a'))

        self._run(_scenario)

    def test_earlier_copy_of_the_store(self):
        """Marks that the store has lost are written again and stay in force."""

        async def _scenario():
            self._crash('bad')
            await anyio.sleep(1)
            self.store.content_by_key.clear()
            for entry in self.entries:
                entry.replica.on_store_restored()
                entry.replica.on_snapshot(self.store.items())
                self.assertTrue(entry.remaining_seconds('bad') > 1)
            await anyio.sleep(1)
            self.assertEqual(3, len(self.store.content_by_key))
            started = self._entry()
            started.replica.on_snapshot(self.store.items())
            self.assertTrue(started.remaining_seconds('bad') > 1)

        self._run(_scenario)
