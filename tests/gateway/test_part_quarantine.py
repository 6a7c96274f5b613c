"""Marks of prompt parts, shared by entries through the store."""

import anyio
import testtools

from nutmegtrail.gateway import part_quarantine
from nutmegtrail.observability import metrics
from nutmegtrail.retries import const as retry_const
from nutmegtrail.retries import part_evidence
from tests import simulated_time
from tests.gateway import mark_stores

_BAD = part_evidence.part_key('drafts', 'bad')
_FIRST = part_evidence.part_key('drafts', 'first')


class PartQuarantineTest(testtools.TestCase):
    """Two entries and their store."""

    def _run(self, scenario):
        """Run a scenario beside both entries in simulated time."""
        self.store = mark_stores.SharedStore()
        self.entries = [self._entry(), self._entry()]

        async def _main():
            async with anyio.create_task_group() as tasks:
                for entry in self.entries:
                    tasks.start_soon(entry.replica.run)
                await anyio.sleep(1)
                await scenario()
                tasks.cancel_scope.cancel()

        simulated_time.run(_main)

    def _entry(self):
        """Return the quarantine of one more entry."""
        entry = part_quarantine.PartQuarantine(self.store, metrics.Metrics())
        self.store.listeners.append(entry.replica)
        return entry

    def _gain_experience(self, entry):
        """Let an entry see successes with the first part."""
        for _ in range(retry_const.EXPERIENCED_SUCCESS_COUNT):
            entry.record_success((_FIRST,), anyio.current_time())

    def _crash(self, count=retry_const.PART_CRASH_LIMIT):
        """Mark both parts at crashes, at both entries in turn."""
        for number in range(count):
            self.entries[number % 2].mark(
                (_FIRST, _BAD), f'c{number}', 'u', anyio.current_time()
            )

    def test_verdict_is_shared(self):
        """An entry that has seen few requests follows the verdict of others."""

        async def _scenario():
            self._gain_experience(self.entries[0])
            self._crash()
            await anyio.sleep(1)
            late = self._entry()
            late.replica.on_snapshot(self.store.items())
            for entry in (*self.entries, late):
                self.assertTrue(entry.remaining_seconds((_BAD,)) > 60)
                self.assertEqual(0, entry.remaining_seconds((_FIRST,)))

        self._run(_scenario)

    def test_success_is_shared(self):
        """An entry that starts later does not blame a part of all requests.

        The other part has never succeeded and is still refused.
        """

        async def _scenario():
            for entry in self.entries:
                self._gain_experience(entry)
            for number in range(9):
                self.entries[number % 2].mark(
                    (_FIRST,), f'd{number}', 'u', anyio.current_time()
                )
            await anyio.sleep(1)
            late = self._entry()
            late.replica.on_snapshot(self.store.items())
            self.assertEqual(0, late.remaining_seconds((_FIRST,)))
            self._crash()
            await anyio.sleep(1)
            later = self._entry()
            later.replica.on_snapshot(self.store.items())
            for entry in (late, later):
                self.assertEqual(0, entry.remaining_seconds((_FIRST,)))
                self.assertTrue(entry.remaining_seconds((_BAD,)) > 0)

        self._run(_scenario)

    def test_success_is_read_before_marks(self):
        """An experienced entry blames no part before it has read all.

        Its verdict would be shared.
        """

        async def _scenario():
            self._gain_experience(self.entries[0])
            for number in range(9):
                self.entries[0].mark(
                    (_FIRST,), f'{number}', 'u', anyio.current_time()
                )
            await anyio.sleep(1)
            late = self._entry()
            other = part_evidence.part_key('drafts', 'other')
            for _ in range(retry_const.EXPERIENCED_SUCCESS_COUNT):
                late.record_success((other,), anyio.current_time())
            items = sorted(self.store.items(), key=lambda item: item.key)
            late.replica.on_snapshot(tuple(items))
            self.assertEqual(0, late.remaining_seconds((_FIRST,)))
            await anyio.sleep(1)
            keys = self.store.content_by_key
            self.assertEqual([], [key for key in keys if 'quarantined' in key])

        self._run(_scenario)

    def test_success_clears_a_part_everywhere(self):
        """A part that is begun without a crash is no longer refused."""

        async def _scenario():
            self._gain_experience(self.entries[0])
            self._crash()
            await anyio.sleep(1)
            self.entries[1].record_success((_BAD,), anyio.current_time())
            await anyio.sleep(1)
            for entry in self.entries:
                self.assertEqual(0, entry.remaining_seconds((_BAD,)))
            keys = self.store.content_by_key
            self.assertEqual([], [key for key in keys if _BAD in key])

        self._run(_scenario)

    def test_response_begun_before_the_verdict(self):
        """It says nothing about the crashes after it."""

        async def _scenario():
            begun_at = anyio.current_time()
            self._gain_experience(self.entries[0])
            await anyio.sleep(1)
            self._crash()
            await anyio.sleep(1)
            self.entries[0].record_success((_BAD,), begun_at)
            self.assertTrue(self.entries[0].remaining_seconds((_BAD,)) > 60)

        self._run(_scenario)

    def test_withdrawn_crash(self):
        """A crash that has not happened leaves no mark."""

        async def _scenario():
            self._crash(count=2)
            await anyio.sleep(1)
            for number in range(2):
                self.entries[0].withdraw(f'c{number}')
            await anyio.sleep(1)
            for entry in self.entries:
                self.assertEqual(0, entry.crash_count((_FIRST, _BAD)))

        self._run(_scenario)

    def test_earlier_copy_of_the_store(self):
        """Marks and verdicts are written again after a restored copy."""

        async def _scenario():
            self._gain_experience(self.entries[0])
            self._crash()
            await anyio.sleep(1)
            self.store.content_by_key.clear()
            for entry in self.entries:
                entry.replica.on_store_restored()
                entry.replica.on_snapshot(self.store.items())
            await anyio.sleep(1)
            started = self._entry()
            started.replica.on_snapshot(self.store.items())
            self.assertTrue(started.remaining_seconds((_BAD,)) > 60)

        self._run(_scenario)

    def test_expiry(self):
        """A part is served again when its marks have expired."""

        async def _scenario():
            self._gain_experience(self.entries[0])
            self._crash()
            await anyio.sleep(retry_const.CRASH_MARK_TTL_SECONDS + 61)
            for entry in self.entries:
                self.assertEqual(0, entry.remaining_seconds((_BAD,)))
                self.assertEqual([], list(entry.marks()))

        self._run(_scenario)
