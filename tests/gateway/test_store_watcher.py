"""A follower reads changes through outages and lost history."""

import anyio
import expression
import testtools

from nutmegtrail.gateway import const
from nutmegtrail.gateway import store_watcher
from nutmegtrail.ports import watched_store

_ITEM = watched_store.Item('servers/a', 7, b'')
_LOST = expression.Error(watched_store.StoreUnavailable('status 503'))


class _Store:
    """Answers by a script; a call past its end waits for ever."""

    def __init__(self, *script):
        """Keep the answers to come."""
        self.script = list(script)
        self.calls = []

    async def snapshot(self, prefix):
        """Return the next scripted answer."""
        return await self._next('snapshot', 0)

    async def changes(self, prefix, after_revision, wait_seconds):
        """Return the next scripted answer after its wait."""
        return await self._next(f'after {after_revision}', wait_seconds)

    async def _next(self, call, wait_seconds):
        """Return the next answer; an empty one takes the whole wait."""
        self.calls.append(call)
        if not self.script:
            await anyio.sleep_forever()
        answer = self.script.pop(0)
        if answer.is_ok() and answer.ok == _nothing().ok:
            await anyio.sleep(wait_seconds)
        return answer


class _Listener:
    """Notes what it is told and when."""

    def __init__(self):
        """Start without notes."""
        self.notes = []

    def on_snapshot(self, items):
        """Note a snapshot."""
        self.notes.append(f'listed {len(items)}')

    def on_change(self, change):
        """Note a change."""
        self.notes.append(f'changed {change.key}')

    def on_store_lost(self):
        """Note an outage."""
        self.notes.append('lost')

    def on_store_recovered(self):
        """Note the end of an outage."""
        self.notes.append('regained')


def _snapshot():
    """Return a snapshot of one item."""
    return expression.Ok(watched_store.Snapshot((_ITEM,), 7))


def _nothing():
    """Return an answer without changes."""
    return expression.Ok(watched_store.Changes((), 7))


def _change():
    """Return an answer with one change."""
    return expression.Ok(watched_store.Changes((_ITEM,), 9))


def _follow(store, seconds):
    """Return the notes after some time."""
    listener = _Listener()

    async def _main():
        follower = store_watcher.StoreWatcher(store, 'servers/', listener)
        with anyio.move_on_after(seconds):
            await follower.run()

    anyio.run(_main)
    return listener.notes


class StoreWatcherTest(testtools.TestCase):
    """Scripted answers of the store."""

    def test_changes_follow_the_snapshot(self):
        """Reading goes on from the revision of the last answer."""
        store = _Store(_snapshot(), _change())
        self.assertEqual(['listed 1', 'changed servers/a'], _follow(store, 0.5))
        self.assertEqual(['snapshot', 'after 7', 'after 9'], store.calls)

    def test_lost_history(self):
        """Where changes are no longer kept, all items are read anew."""
        gone = expression.Error(watched_store.HistoryLost(7))
        store = _Store(_snapshot(), gone, _snapshot())
        self.assertEqual(['listed 1', 'listed 1'], _follow(store, 0.1))

    def test_return_of_the_store_is_noticed_at_once(self):
        """The end of an outage does not wait for a change.

        Hunt, kmfb-bunker trouble-1 --seed 303574708552: the end was seen
        with the first change three seconds later, a removal that was then
        taken for one caused by the outage.
        """
        store = _Store(_snapshot(), _LOST, _nothing())
        seconds = const.STORE_RETRY_SECONDS + const.WATCH_WAIT_SECONDS / 2
        self.assertEqual(
            ['listed 1', 'lost', 'regained'], _follow(store, seconds)
        )
