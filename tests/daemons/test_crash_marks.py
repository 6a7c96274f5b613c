"""Crash marks that entries with sidecars keep in the key-value service."""

import anyio
import expression
import testtools

from nutmegtrail.daemons import crash_marks
from nutmegtrail.ports import key_value
from nutmegtrail.wire import models
from tests import fakes
from tests import simulated_time

_MARK = models.CrashMark('f1', 'sidecar/1')


class _Store(fakes.FakeStore):
    """Fake store that also scans and grants leases."""

    def __init__(self, faults=()):
        """Initialize the store."""
        super().__init__(faults)
        self.leases = 0
        self.scan_failures = 0

    async def scan(self, prefix):
        """Return the entries under a prefix."""
        if self.scan_failures:
            self.scan_failures -= 1
            return expression.Error(key_value.Unavailable(prefix))
        return expression.Ok(
            tuple(
                entry
                for key, entry in self.entries_by_key.items()
                if key.startswith(prefix)
            )
        )

    async def grant_lease(self, _):
        """Grant a lease."""
        self.leases += 1
        return expression.Ok(self.leases)


class CrashMarksTest(testtools.TestCase):
    """Entries that start one after the other."""

    def _read(self, store, *changes):
        """Run an entry that makes changes; return the marks that it read."""
        marks = []

        async def _main():
            kept = crash_marks.CrashMarks(store, marks.append)
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(kept.run)
                for name, mark in changes:
                    getattr(kept, name)(mark)
                await anyio.sleep(3)
                tasks.cancel_scope.cancel()

        simulated_time.run(_main)
        return marks

    def test_later_entries_read_the_marks(self):
        """A mark that one entry wrote is read by those that start later."""
        store = _Store()
        self.assertEqual([], self._read(store, ('add', _MARK)))
        self.assertEqual([_MARK], self._read(store))

    def test_faults(self):
        """A mark is written once despite any fault, and read despite some."""
        for fault in ('unavailable', 'request-lost', 'answer-lost'):
            store = _Store([fault])
            store.scan_failures = 2
            self._read(store, ('add', _MARK))
            self.assertEqual([_MARK], self._read(store), fault)

    def test_cleared(self):
        """A mark that was cleared counts at no later entry."""
        for fault in ('none', 'unavailable', 'request-lost', 'answer-lost'):
            store = _Store()
            self._read(store, ('add', _MARK))
            store._faults = [fault]
            self._read(store, ('clear', _MARK))
            self.assertEqual([], self._read(store), fault)

    def test_cleared_without_a_mark(self):
        """Clearing a mark that the service does not have is no error."""
        store = _Store()
        self._read(store, ('clear', _MARK))
        self.assertEqual({}, store.entries_by_key)
