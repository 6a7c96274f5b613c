"""A watcher reads changes across outages and lost change history."""

import functools
import itertools

import anyio
import expression
import testtools

from nutmegtrail.gateway import const
from nutmegtrail.gateway import store_availability
from nutmegtrail.gateway import store_watcher
from nutmegtrail.ports import watched_store
from tests import simulated_time

_ITEM = watched_store.Item('servers/a', 7, b'')
_LOST = expression.Error(watched_store.StoreUnavailable('status 503'))


class _Store:
    """Store with scripted answers; calls beyond the script block forever.

    It records its answers at the availability, as the platform's client does.
    """

    def __init__(self, *script):
        """Initialize the store with its answers."""
        self.script = list(script)
        self.calls = []
        self.availability = store_availability.StoreAvailability()
        self.other_answers_seconds = None
        self.failure_seconds = 0

    async def snapshot(self, prefix):
        """Return the next scripted answer."""
        return await self._next('snapshot', 0)

    async def changes(self, prefix, after_revision, wait_seconds):
        """Return the next scripted answer after its wait."""
        return await self._next(f'after {after_revision}', wait_seconds)

    async def _next(self, call, wait_seconds):
        """Return the next answer; one without changes takes the full wait."""
        self.calls.append(call)
        if not self.script:
            await anyio.sleep_forever()
        answer = self.script.pop(0)
        if answer.is_ok() and answer.ok == _no_changes().ok:
            await anyio.sleep(wait_seconds)
        if answer == _LOST:
            await anyio.sleep(self.failure_seconds)
        else:
            self.availability.record_response()
        return answer

    async def answer_others(self):
        """Answer calls that have nothing to do with the watch."""
        while self.other_answers_seconds is not None:
            await anyio.sleep(self.other_answers_seconds)
            self.availability.record_response()


class _Listener:
    """Listener that records its calls."""

    def __init__(self):
        """Initialize the listener without calls."""
        self.recorded_calls = []

    def on_snapshot(self, items):
        """Record a snapshot."""
        self.recorded_calls.append(f'listed {len(items)}')

    def on_change(self, change):
        """Record a change."""
        self.recorded_calls.append(f'changed {change.key}')

    def on_store_lost(self):
        """Record an outage."""
        self.recorded_calls.append('lost')

    def on_store_recovered(self, outage_seconds):
        """Record the end of an outage."""
        self.recorded_calls.append('regained')

    def on_store_restored(self):
        """Record the return of an earlier copy."""
        self.recorded_calls.append('restored')


class _ReadingListener(_Listener):
    """Listener that needs a read now and then."""

    due_seconds = 99

    def on_read_failed(self):
        """Record that changes cannot be read."""
        self.recorded_calls.append('behind')

    def on_read(self):
        """Record that changes were read."""
        self.recorded_calls.append('read')

    def next_read_seconds(self):
        """Return that a read is needed soon."""
        return self.due_seconds


def _snapshot():
    """Return a snapshot of one item."""
    return expression.Ok(watched_store.Snapshot((_ITEM,), 7))


def _no_changes():
    """Return an answer without changes."""
    return expression.Ok(watched_store.Changes((), 7))


def _change():
    """Return an answer with one change."""
    return expression.Ok(watched_store.Changes((_ITEM,), 9))


async def _record(store, seconds, listener=None):
    """Run a watcher for some time and return its listener's calls."""
    listener = listener or _Listener()
    store.availability.add_listener(listener)
    watcher = store_watcher.StoreWatcher(
        store, 'servers/', listener, store.availability
    )
    with anyio.move_on_after(seconds):
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(store.answer_others)
            await watcher.run()
    return listener.recorded_calls


def _watch(store, seconds):
    """Run a watcher in real time and return its listener's calls."""
    return anyio.run(_record, store, seconds)


class StoreWatcherTest(testtools.TestCase):
    """Watcher on a store with scripted answers."""

    def test_changes_follow_the_snapshot(self):
        """Changes are read from the revision of the last answer."""
        store = _Store(_snapshot(), _change())
        self.assertEqual(['listed 1', 'changed servers/a'], _watch(store, 0.5))
        self.assertEqual(['snapshot', 'after 7', 'after 9'], store.calls)

    def test_lost_history(self):
        """A new snapshot is read if the store has dropped its history."""
        history_lost = expression.Error(watched_store.HistoryLost(7))
        store = _Store(_snapshot(), history_lost, _snapshot())
        self.assertEqual(['listed 1', 'listed 1'], _watch(store, 0.1))

    def test_earlier_copy(self):
        """Listeners learn of an earlier copy before its snapshot."""
        history_lost = expression.Error(watched_store.HistoryLost(7))
        copy = expression.Ok(watched_store.Snapshot((), 3, era=1))
        store = _Store(_snapshot(), history_lost, copy)
        self.assertEqual(
            ['listed 1', 'restored', 'listed 0'], _watch(store, 0.1)
        )
        self.assertEqual(
            ['snapshot', 'after 7', 'snapshot', 'after 3'], store.calls
        )

    # Guards against a cut watch that counts as an outage, after which removed
    # upstreams are kept in use.
    def test_cut_watch_is_no_outage(self):
        """A change is read at once after a cut, and listeners learn of none."""
        store = _Store(_snapshot(), _LOST, _change())
        self.assertEqual(['listed 1', 'changed servers/a'], _watch(store, 0.3))
        self.assertEqual(
            ['snapshot', 'after 7', 'after 7', 'after 9'], store.calls
        )

    # Guards against decisions on registrations whose changes wait unread.
    def test_failure_and_the_changes_after_it(self):
        """Listeners learn that changes are not read until they have them."""
        store = _Store(_snapshot(), _LOST, _LOST, _change(), _change())
        listener = _ReadingListener()
        simulated_time.run(lambda: _record(store, 2, listener))
        self.assertEqual(
            [
                'listed 1',
                'read',
                'behind',
                'lost',
                'regained',
                'changed servers/a',
                'read',
                'changed servers/a',
                'read',
            ],
            listener.recorded_calls,
        )

    def test_read_that_is_needed(self):
        """A watch ends when the listener has something to decide."""
        for due_seconds, reads in ((1.5, 7), (99, 3), (-1, 11)):
            answers = itertools.repeat(_no_changes(), 10)
            listener = _ReadingListener()
            listener.due_seconds = due_seconds
            store = _Store(_snapshot(), *answers)
            simulated_time.run(
                functools.partial(_record, store, 10.5, listener)
            )
            self.assertEqual(reads, listener.recorded_calls.count('read'))

    # Guards against the same after the listing that follows a lost history.
    def test_failure_before_a_listing(self):
        """A failed listing counts as well."""
        store = _Store(_LOST, _LOST, _snapshot())
        listener = _ReadingListener()
        simulated_time.run(lambda: _record(store, 2, listener))
        self.assertEqual(
            ['behind', 'lost', 'regained', 'listed 1', 'read'],
            listener.recorded_calls,
        )

    def test_listing_that_fails_once_is_no_outage(self):
        """Neither is a listing that is answered when it is asked for again."""
        store = _Store(_LOST, _snapshot())
        self.assertEqual(['listed 1'], _watch(store, 0.1))

    # Guards against calls without pause to a store that cuts every watch.
    def test_watches_that_are_cut_at_once(self):
        """They are checked no more often than an outage."""
        answers = itertools.chain.from_iterable(
            (_LOST, _change()) for _ in range(100)
        )
        store = _Store(_snapshot(), *answers)
        seconds = 10 * const.STORE_RETRY_SECONDS
        recorded = simulated_time.run(lambda: _record(store, seconds))
        self.assertNotIn('lost', recorded)
        self.assertTrue(10 <= len(recorded) <= 12, recorded)

    def test_outage_while_other_calls_are_answered(self):
        """A prefix whose calls all fail is no outage if others are answered."""
        store = _Store(_snapshot(), *itertools.repeat(_LOST, 9), _change())
        store.other_answers_seconds = 0.05
        store.failure_seconds = 0.1
        recorded = simulated_time.run(lambda: _record(store, 20))
        self.assertEqual(['listed 1', 'changed servers/a'], recorded)

    def test_return_of_the_store_is_noticed_at_once(self):
        """The end of an outage is detected without waiting for a change.

        Seen in kmfb-bunker trouble-1 --seed 303574708552: the end was only
        detected with the first change three seconds later. That change was a
        removal, which was then attributed to the outage.
        """
        store = _Store(_snapshot(), _LOST, _LOST, _no_changes())
        seconds = const.STORE_RETRY_SECONDS + const.WATCH_WAIT_SECONDS / 2
        self.assertEqual(
            ['listed 1', 'lost', 'regained'], _watch(store, seconds)
        )
