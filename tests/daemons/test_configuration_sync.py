"""What an entry's configuration reader asks the key-value service for."""

import anyio
import expression
import testtools

from nutmegtrail.configuration import documents
from nutmegtrail.daemons import configuration_sync
from nutmegtrail.ports import key_value
from nutmegtrail.wire import models


class _Mesh:
    """No other entries."""

    hosts = ()

    def sample_hosts(self, count):
        """Return no entries."""
        return ()


class _Store:
    """Holds one document; notes scans and the starts of watches."""

    def __init__(self, revision):
        """Start with a document at a revision."""
        key = documents.key_of('deployment')
        self.entry = key_value.Entry(key, revision, b'{}')
        self.scan_count = 0
        self.watch_starts = []
        self.on_watch = None

    async def scan(self, prefix):
        """Return the document."""
        self.scan_count += 1
        return expression.Ok((self.entry,))

    async def watch(self, prefix, start_revision):
        """End at once, after the first watch has met a push."""
        self.watch_starts.append(start_revision)
        if self.on_watch is not None:
            self.on_watch()
        for entry in ():
            yield entry


async def _read(sync, store, watch_count):
    """Let a reader run until it has watched a few times."""
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(sync.run_reader)
        while len(store.watch_starts) < watch_count:
            await anyio.sleep(0)
        tasks.cancel_scope.cancel()


class ConfigurationSyncTest(testtools.TestCase):
    """Reading and watching."""

    def _create_sync(self, store):
        """Return the synchronisation of a reader."""
        return configuration_sync.ConfigurationSync(
            'e1',
            store,
            _Mesh(),
            lambda document: None,
            lambda: True,
        )

    def test_push_does_not_advance_the_watch(self):
        """A change below a pushed one is still watched for."""
        store = _Store(5)
        sync = self._create_sync(store)
        push = models.DocumentPush('contracts/0001', 9, b'{}')
        store.on_watch = lambda: sync.handle_push(push)
        anyio.run(_read, sync, store, 2)
        self.assertEqual([6, 6], store.watch_starts[:2])

    def test_an_ended_watch_is_resumed_without_a_scan(self):
        """All documents are read at the start only."""
        store = _Store(5)
        anyio.run(_read, self._create_sync(store), store, 3)
        self.assertEqual(1, store.scan_count)
