"""Entries that watch the registrations of upstreams, in simulated time.

The store, the links to it and the upstreams fail in drawn orders. Run by hand:

    python -m tests.gateway.simulated_registrations --first 1 --seeds 200
"""

import argparse
import collections
import functools
import json
import random
import sys
import typing

import anyio
import expression

from nutmegtrail.gateway import const
from nutmegtrail.gateway import errors
from nutmegtrail.gateway import fleet
from nutmegtrail.gateway import store_availability
from nutmegtrail.gateway import store_listeners
from nutmegtrail.gateway import store_watcher
from nutmegtrail.platform import era
from nutmegtrail.ports import watched_store
from tests import simulated_time
from tests.gateway import samples

PREFIX = 'servers/'
_PREFIXES = (PREFIX, 'op/', 'nutmegtrail/')
_LOST = expression.Error(watched_store.StoreUnavailable('lost'))
_TIMED_OUT = expression.Error(
    watched_store.StoreUnavailable('silent', has_timed_out=True)
)
_CALL_SECONDS = 0.004
_TIMEOUT_SECONDS = 1.5
_KEEP_ALIVE_SECONDS = 3.0
_HEARTBEAT_SECONDS = 1.2
_EXPIRY_SECONDS = 3 * _HEARTBEAT_SECONDS
_SWEEP_SECONDS = 0.1
_TICK_SECONDS = 0.2
_COPIES = 6
# Incarnations that ended earlier are in no copy.
_GONE_LIMIT = 40
_GONE_SECONDS = 60

# What the users' platform asks for, with room for reading a change.
_STABLE_SECONDS = 3.0
_READ_SECONDS = 1.0
# After a disruption: until the entry notices its end, and the grace period.
_SETTLING_SECONDS = 4.5
# Time that an upstream needs to register again, with one heartbeat in reserve.
_DROPPED_SECONDS = 2 * _HEARTBEAT_SECONDS + _READ_SECONDS

_EVENT_WEIGHTS = {
    'cut': 8,
    'outage': 3,
    'link': 3,
    'lapse': 2,
    'withdrawal': 4,
    'draining': 2,
    'crash': 1,
    'late write': 1,
    'copy': 1,
    'lost history': 1,
    'lost answers': 1,
}


class Registration(typing.NamedTuple):
    """Registration of an incarnation of an upstream."""

    upstream_id: str
    started_at_ms: int
    leaving: bool

    @property
    def incarnation(self):
        """Return the identifier and the start time."""
        return self.upstream_id, self.started_at_ms


class _Copy(typing.NamedTuple):
    """Earlier state of the store."""

    item_by_id: dict
    revision: int


class Faults:
    """Faults that last, and when the last one ended."""

    def __init__(self):
        """Initialize without faults."""
        self._active = []
        self.ended_at = float('-inf')
        self.began_at = float('-inf')
        self.changed = anyio.Event()

    @property
    def kind(self):
        """Return the kind of the latest fault, '' if there is none."""
        return next(filter(None, reversed(self._active)), '')

    @property
    def is_active(self):
        """Return whether there is any fault."""
        return bool(self._active)

    async def run(self, kind, seconds):
        """Let a fault last for some time.

        One without a kind only counts as a disruption.
        """
        if not self._active:
            self.began_at = anyio.current_time()
        self._active.append(kind)
        self.notify()
        await anyio.sleep(seconds)
        self._active.remove(kind)
        self.ended_at = anyio.current_time()
        self.notify()

    def notify(self):
        """Wake all that wait for a change."""
        self.changed.set()
        self.changed = anyio.Event()


class Store:
    """Store with registrations that expire.

    `not_ready_since` has the incarnations that were ready and are removed or
    leaving now.
    """

    def __init__(self):
        """Initialize an empty store."""
        self.faults = Faults()
        self.item_by_id = {}
        self.not_ready_since = {}
        self.era = 1
        self.copies = collections.deque(maxlen=_COPIES)
        self.pauses_expiry = False
        self._revision = 1
        self._oldest_revision = 0
        self._events = []
        self._renewed_at_by_id = {}
        self._masked_by_id = {}
        # Called with each incarnation that is written as ready.
        self.on_ready = []

    @property
    def qualified_revision(self):
        """Return the revision with the era."""
        return era.qualify(self.era, self._revision)

    def renew(self, registration):
        """Write a registration; only one that differs is an event."""
        upstream_id = registration.upstream_id
        self._renewed_at_by_id[upstream_id] = anyio.current_time()
        if not registration.leaving:
            for listener in self.on_ready:
                listener(registration.incarnation)
        if self.item_by_id.get(upstream_id, (None,))[0] == registration:
            return
        self._replace(registration)
        self._revision += 1
        self.item_by_id[upstream_id] = (registration, self._revision)
        if not registration.leaving:
            self.not_ready_since.pop(registration.incarnation, None)
        self._notify(registration.upstream_id, registration)

    def remove(self, upstream_id):
        """Remove a registration if it exists."""
        if upstream_id not in self.item_by_id:
            return
        self._mark_not_ready(upstream_id)
        self._unmask(upstream_id)
        self.item_by_id.pop(upstream_id)
        self._revision += 1
        self._notify(upstream_id, None)

    def lose_history(self):
        """Forget the changes so far."""
        self._oldest_revision = self._revision
        self._events.clear()

    def restore(self, copy):
        """Come back from a copy in the next era."""
        now = anyio.current_time()
        for upstream_id in tuple(self.item_by_id):
            self._mark_not_ready(upstream_id)
            self._unmask(upstream_id)
        self.era += 1
        self.item_by_id = dict(copy.item_by_id)
        self._revision = copy.revision
        self._oldest_revision = copy.revision
        self._events.clear()
        for registration, _ in self.item_by_id.values():
            self._renewed_at_by_id[registration.upstream_id] = now
            if not registration.leaving:
                self.not_ready_since.pop(registration.incarnation, None)
        self.faults.ended_at = now
        self.faults.notify()

    def snapshot(self, prefix):
        """Return all registrations."""
        items = ()
        if prefix == PREFIX:
            items = tuple(
                _item(registration, era.qualify(self.era, revision))
                for registration, revision in self.item_by_id.values()
            )
        return expression.Ok(
            watched_store.Snapshot(items, self.qualified_revision, self.era)
        )

    def changes(self, prefix, after_revision):
        """Return the changes after a revision, or that they are lost."""
        after = era.revision_of(after_revision)
        is_other = era.era_of(after_revision) != self.era
        if is_other or after < self._oldest_revision:
            return expression.Error(watched_store.HistoryLost(after_revision))
        read = ()
        if prefix == PREFIX:
            read = tuple(
                _change(upstream_id, registration, self.era, revision)
                for revision, upstream_id, registration in self._events
                if revision > after
            )
        return expression.Ok(
            watched_store.Changes(read, self.qualified_revision)
        )

    async def sweep(self):
        """Remove expired registrations, and keep copies of the store."""
        while True:
            for _ in range(10):
                await anyio.sleep(_SWEEP_SECONDS)
                self._expire()
            if not self.faults.kind:
                copied = _Copy(dict(self.item_by_id), self._revision)
                self.copies.append(copied)

    def _expire(self):
        """Remove registrations that were not renewed; outages may pause it."""
        now = anyio.current_time()
        is_paused = self.faults.kind and self.pauses_expiry
        for upstream_id in tuple(self.item_by_id):
            if is_paused:
                self._renewed_at_by_id[upstream_id] += _SWEEP_SECONDS
            elif now - self._renewed_at_by_id[upstream_id] > _EXPIRY_SECONDS:
                self.remove(upstream_id)

    def _replace(self, registration):
        """Record that a registration takes the place of another one.

        A late write of an earlier incarnation only masks the later one.
        """
        upstream_id = registration.upstream_id
        current, _ = self.item_by_id.get(upstream_id, (registration, 0))
        is_earlier = registration.started_at_ms < current.started_at_ms
        if is_earlier and not current.leaving:
            self._masked_by_id[upstream_id] = current
            return
        self._mark_not_ready(upstream_id)
        masked = self._masked_by_id.get(upstream_id, registration)
        if masked.incarnation == registration.incarnation:
            self._masked_by_id.pop(upstream_id, None)
        elif masked.started_at_ms < registration.started_at_ms:
            self._unmask(upstream_id)

    def _unmask(self, upstream_id):
        """Record that a masked registration is gone."""
        masked = self._masked_by_id.pop(upstream_id, None)
        if masked is not None:
            self.not_ready_since.setdefault(
                masked.incarnation, anyio.current_time()
            )

    def _mark_not_ready(self, upstream_id):
        """Record that a registration is ready no more."""
        registration, _ = self.item_by_id.get(upstream_id, (None, 0))
        if registration is not None and not registration.leaving:
            self.not_ready_since.setdefault(
                registration.incarnation, anyio.current_time()
            )

    def _notify(self, upstream_id, registration):
        """Record an event and wake the watches."""
        self._events.append((self._revision, upstream_id, registration))
        if len(self._events) > 400:
            self._oldest_revision = self._events[99][0]
            del self._events[:100]
        self.faults.notify()


class Client:
    """Client of the store at one entry, whose link to it may fail."""

    def __init__(self, store, generator):
        """Initialize a client with a sound link."""
        self.faults = Faults()
        self.availability = store_availability.StoreAvailability()
        self.loss_ratio = 0
        self.refuses_checks = False
        self._refused_prefixes = set()
        self._store = store
        self._generator = generator
        self._scopes_by_prefix = collections.defaultdict(set)

    def cut_watches(self, prefixes):
        """Cut the watches that wait."""
        for prefix in prefixes:
            for scope in self._scopes_by_prefix[prefix]:
                scope.cancel()
                if self.refuses_checks:
                    self._refused_prefixes.add(prefix)

    async def snapshot(self, prefix):
        """Return all items, or that there was no response."""
        return await self._call(lambda: self._store.snapshot(prefix))

    async def changes(self, prefix, after_revision, wait_seconds):
        """Return changes, after a wait for the first one."""
        if not wait_seconds and prefix in self._refused_prefixes:
            self._refused_prefixes.remove(prefix)
            return _LOST
        if wait_seconds:
            with anyio.CancelScope() as scope:
                self._scopes_by_prefix[prefix].add(scope)
                failure = await self._wait(prefix, after_revision, wait_seconds)
            self._scopes_by_prefix[prefix].discard(scope)
            if scope.cancelled_caught:
                return _LOST
            if failure is not None:
                return failure
        return await self._call(
            functools.partial(self._store.changes, prefix, after_revision)
        )

    async def renew(self):
        """Renew the registration of the entry until cancelled."""
        while True:
            await self._call(functools.partial(expression.Ok, None))
            await anyio.sleep(const.REGISTRATION_INTERVAL_SECONDS)

    async def _call(self, run):
        """Run a call at the store, unless a fault hinders it."""
        await anyio.sleep(_CALL_SECONDS)
        deadline = anyio.current_time() + _TIMEOUT_SECONDS
        while self._fault:
            if self._fault == 'refused':
                return _LOST
            if not await self._changes_before(deadline):
                return _TIMED_OUT
        answer = run()
        if self._generator.random() < self.loss_ratio:
            await anyio.sleep(_TIMEOUT_SECONDS)
            return _TIMED_OUT
        self.availability.record_response()
        return answer

    async def _wait(self, prefix, after_revision, wait_seconds):
        """Wait for a change; return how the connection failed, if it did."""
        until = anyio.current_time() + wait_seconds
        hangs = self._generator.random() < 0.5
        resets = self._generator.random() < 0.5
        while True:
            fault = self._fault
            if fault == 'refused' and not hangs:
                return _LOST
            if fault:
                silent_until = anyio.current_time() + _KEEP_ALIVE_SECONDS
                while self._fault:
                    if not await self._changes_before(silent_until):
                        return _TIMED_OUT
                if resets:
                    return _LOST
                continue
            changes = self._store.changes(prefix, after_revision)
            if changes.is_error() or changes.ok.changes:
                return None
            if not await self._changes_before(until):
                return None

    @property
    def _fault(self):
        """Return the present fault of the store or of the link."""
        return self._store.faults.kind or self.faults.kind

    async def _changes_before(self, deadline):
        """Wait for a change of the store or the link; False at the deadline."""
        with anyio.CancelScope(deadline=deadline):
            async with anyio.create_task_group() as tasks:
                for faults in (self._store.faults, self.faults):
                    tasks.start_soon(
                        _wait_and_cancel, faults.changed, tasks.cancel_scope
                    )
        return anyio.current_time() < deadline


class Upstream:
    """Upstream that registers, leaves, ends and starts again."""

    def __init__(self, upstream_id, store, generator):
        """Initialize an upstream that is not running."""
        self.upstream_id = upstream_id
        self.started_at_ms = 0
        self.is_alive = False
        self.is_leaving = False
        self.faults = Faults()
        self._store = store
        self._generator = generator
        self._withdraws = False

    @property
    def registration(self):
        """Return the registration of the present incarnation."""
        return Registration(
            self.upstream_id, self.started_at_ms, self.is_leaving
        )

    async def run(self):
        """Start again and again; register while alive."""
        while True:
            self.started_at_ms += 1
            self.is_leaving = False
            self._withdraws = False
            self.is_alive = True
            await self._live()
            await anyio.sleep(self._generator.uniform(1, 6))

    def withdraw(self):
        """Leave without a word: remove the registration."""
        self._withdraws = True
        self.is_leaving = True
        self._write()

    def drain(self):
        """Say in the registration that it leaves."""
        self.is_leaving = True
        self._write()

    async def _live(self):
        """Renew the registration until the end."""
        left_at = None
        while self.is_alive:
            self._write()
            await anyio.sleep(
                _HEARTBEAT_SECONDS * self._generator.uniform(0.9, 1)
            )
            if not self.is_leaving:
                continue
            left_at = left_at or anyio.current_time()
            if anyio.current_time() > left_at + 2.3 and self._is_reachable:
                self._store.remove(self.upstream_id)
                self.is_alive = False

    def _write(self):
        """Write or remove the registration if the store is reachable."""
        if not self._is_reachable or not self.is_alive:
            return
        if self._withdraws:
            self._store.remove(self.upstream_id)
        else:
            self._store.renew(self.registration)

    @property
    def _is_reachable(self):
        """Return whether the store is reachable."""
        return not (self._store.faults.kind or self.faults.kind)


class Entry:
    """Entry with the watchers, the fleet and the listener of the product."""

    def __init__(self, store, generator):
        """Initialize an entry that knows no upstreams."""
        self.client = Client(store, generator)
        self.known_upstreams = fleet.Fleet()
        self.limiter = self
        self.cold = self
        # Incarnations that it knew to be removed or leaving.
        self.known_gone = set()
        self.dropped_since = {}
        self.used = set()
        # Those that were left out because they did not reach the store.
        self.excused = set()
        self._listener = store_listeners.UpstreamListener(
            _Documents(), self, lambda _: None, _HEARTBEAT_SECONDS
        )
        store.on_ready.append(self.known_gone.discard)

    def record(self, *_):
        """Take no notice of cold upstreams."""

    def dispatch_all(self):
        """Let the fleet know the time."""
        self.known_upstreams = fleet.decide(
            fleet.TimeElapsed(), self.known_upstreams, anyio.current_time()
        )

    async def run(self):
        """Watch the store until cancelled."""
        client = self.client
        client.availability.add_listener(self._listener)
        async with anyio.create_task_group() as tasks:
            for prefix in _PREFIXES:
                listener = self._listener
                if prefix != PREFIX:
                    listener = _OtherListener()
                watcher = store_watcher.StoreWatcher(
                    client, prefix, listener, client.availability
                )
                tasks.start_soon(watcher.run)
            tasks.start_soon(client.renew)

    def usable(self):
        """Return the incarnations that get work."""
        self.dispatch_all()
        return {
            upstream.incarnation
            for upstream in fleet.usable_upstreams(
                self.known_upstreams, 'drafts'
            )
        }

    def is_known_gone(self, incarnation):
        """Return whether the fleet has recorded a removal or leaving."""
        upstream = self.known_upstreams.upstreams_by_id.get(incarnation[0])
        if upstream is not None and upstream.incarnation == incarnation:
            return upstream.leaving
        return incarnation in self.known_upstreams.removed_at_by_incarnation


class Simulation:
    """Upstreams, entries and drawn events; `problems` has what went wrong.

    With `refuses_checks`, the call after each cut of a watch fails, too.
    """

    def __init__(self, seed, entries=2, upstreams=4, *, refuses_checks=False):
        """Initialize everything without running it."""
        self._refuses_checks = refuses_checks
        self.problems = []
        self.longest_use_seconds = 0
        self.longest_drop_seconds = 0
        self.dropped = 0
        self._generator = random.Random(seed)
        self._entry_count = entries
        self._upstream_count = upstreams

    def run(self, steps):
        """Play a number of events; return the problems."""
        simulated_time.run(lambda: self._run(steps), has_io=False)
        return self.problems

    async def _run(self, steps):
        """Run all parts while events are drawn."""
        generator = self._generator
        self._store = Store()
        self._entries = [
            Entry(self._store, generator) for _ in range(self._entry_count)
        ]
        for entry in self._entries:
            entry.client.refuses_checks = self._refuses_checks
        self._upstreams = [
            Upstream(f'u{number}', self._store, generator)
            for number in range(self._upstream_count)
        ]
        async with anyio.create_task_group() as tasks:
            self._tasks = tasks
            tasks.start_soon(self._store.sweep)
            for runner in (*self._upstreams, *self._entries):
                tasks.start_soon(runner.run)
            tasks.start_soon(self._check_all)
            await anyio.sleep(_STABLE_SECONDS)
            for _ in range(steps):
                await self._step()
            await anyio.sleep(2 * _SETTLING_SECONDS)
            tasks.cancel_scope.cancel()

    async def _step(self):
        """Draw an event and the time to the next one."""
        generator = self._generator
        kinds, weights = zip(*_EVENT_WEIGHTS.items(), strict=True)
        kind = generator.choices(kinds, weights)[0]
        getattr(self, f'_begin_{kind.replace(" ", "_")}')()
        await anyio.sleep(generator.choice((0.02, 0.1, 0.5, 1, 2, 4, 8)))

    def _begin_cut(self):
        """Cut watches of one entry or all."""
        prefixes = self._generator.choice(((PREFIX,), _PREFIXES))
        for entry in self._some(self._entries):
            entry.client.cut_watches(prefixes)

    def _begin_outage(self):
        """Let the store be away; registrations expire or not."""
        self._store.pauses_expiry = self._generator.random() < 0.3
        self._begin_fault(self._store.faults)

    def _begin_link(self):
        """Let the store be away for some entries."""
        for entry in self._some(self._entries):
            self._begin_fault(entry.client.faults)

    def _begin_lapse(self):
        """Let an upstream not reach the store."""
        self._begin_fault(self._generator.choice(self._upstreams).faults)

    def _begin_withdrawal(self):
        """Let an upstream leave without a word."""
        for upstream in self._running():
            upstream.withdraw()

    def _begin_draining(self):
        """Let an upstream say that it leaves."""
        for upstream in self._running():
            upstream.drain()

    def _begin_crash(self):
        """End an upstream."""
        for upstream in self._running():
            upstream.is_alive = False

    def _begin_late_write(self):
        """Let a write of an upstream take effect late."""
        upstream = self._generator.choice(self._upstreams)
        written = upstream.registration._replace(leaving=False)
        self._tasks.start_soon(self._write_late, written)

    def _begin_copy(self):
        """Let the store come back from an earlier copy."""
        if self._store.copies:
            self._tasks.start_soon(self._restore)

    def _begin_lost_history(self):
        """Let the store forget its changes."""
        self._store.lose_history()

    def _begin_lost_answers(self):
        """Let some answers to an entry get lost."""
        for entry in self._some(self._entries):
            self._tasks.start_soon(self._lose_answers, entry.client)

    def _begin_fault(self, faults):
        """Let a fault last for a short or long time."""
        seconds = self._generator.choice((0.3, 1, 2, 3, 4, 6, 12))
        kind = self._generator.choice(('refused', 'silent'))
        self._tasks.start_soon(faults.run, kind, seconds)

    async def _write_late(self, registration):
        """Write a registration after a while if the store is available."""
        await anyio.sleep(self._generator.uniform(0.2, 5))
        if not self._store.faults.kind:
            self._store.renew(registration)

    async def _restore(self):
        """Let the store be away for a moment and come back as a copy."""
        copy = self._generator.choice(self._store.copies)
        await self._store.faults.run('refused', self._generator.choice((0, 1)))
        self._store.restore(copy)

    async def _lose_answers(self, client):
        """Lose answers for some time."""
        client.loss_ratio = 0.3
        await client.faults.run('', self._generator.uniform(1, 4))
        client.loss_ratio = 0

    def _some(self, parts):
        """Return one part or all of them."""
        if self._generator.random() < 0.5:
            return [self._generator.choice(parts)]
        return parts

    def _running(self):
        """Return a random upstream if it runs and does not leave."""
        upstream = self._generator.choice(self._upstreams)
        if upstream.is_alive and not upstream.is_leaving:
            return [upstream]
        return []

    async def _check_all(self):
        """Check all entries until cancelled."""
        while True:
            await anyio.sleep(_TICK_SECONDS)
            for number, entry in enumerate(self._entries):
                usable = entry.usable()
                self._check_gone(number, entry, usable)
                self._check_live(number, entry, usable)

    def _check_gone(self, number, entry, usable):
        """Check that removed and leaving upstreams get no work."""
        now = anyio.current_time()
        store = self._store
        for incarnation, since in store.not_ready_since.items():
            if incarnation not in usable:
                if entry.is_known_gone(incarnation):
                    entry.known_gone.add(incarnation)
                continue
            ended_at = max(store.faults.ended_at, entry.client.faults.ended_at)
            if store.faults.kind or entry.client.faults.is_active:
                continue
            bound = _SETTLING_SECONDS
            if since >= ended_at + _STABLE_SECONDS:
                bound = _READ_SECONDS
                self.longest_use_seconds = max(
                    self.longest_use_seconds, now - since
                )
            if now - max(since, ended_at) > bound:
                self._report(number, incarnation, 'is used after its removal')
        for incarnation in usable & entry.known_gone:
            self._report(number, incarnation, 'is used again')
        if len(store.not_ready_since) > _GONE_LIMIT:
            oldest = now - _GONE_SECONDS
            store.not_ready_since = {
                incarnation: since
                for incarnation, since in store.not_ready_since.items()
                if since > oldest
            }

    def _check_live(self, number, entry, usable):
        """Check that live upstreams are not left out for long.

        Those that did not reach the store themselves are excepted until they
        are used again. So are those whose registration lapsed in an outage
        that an entry may not notice.
        """
        now = anyio.current_time()
        for upstream in self._upstreams:
            incarnation = upstream.registration.incarnation
            is_cut = upstream.faults.kind or (
                now - upstream.faults.ended_at < 2 * _EXPIRY_SECONDS
            )
            if incarnation in usable:
                entry.used.add(incarnation)
                entry.excused.discard(incarnation)
            elif is_cut or self._is_unnoticed(entry, incarnation):
                entry.excused.add(incarnation)
            is_owed = upstream.is_alive and not upstream.is_leaving
            is_left_out = incarnation in entry.used - usable - entry.excused
            if not is_owed or not is_left_out:
                entry.dropped_since.pop(upstream.upstream_id, None)
                continue
            if upstream.upstream_id not in entry.dropped_since:
                self.dropped += 1
            since = entry.dropped_since.setdefault(upstream.upstream_id, now)
            self.longest_drop_seconds = max(
                self.longest_drop_seconds, now - since
            )
            if now - since > _DROPPED_SECONDS:
                self._report(number, incarnation, 'lives and is left out')

    def _is_unnoticed(self, entry, incarnation):
        """Return whether an entry has just read a removal after a short outage."""
        now = anyio.current_time()
        faults = self._store.faults
        for blocking in (faults, entry.client.faults):
            if blocking.kind and blocking.began_at < now - _TICK_SECONDS:
                return False
        is_first = incarnation[0] not in entry.dropped_since
        is_short = faults.ended_at - faults.began_at < (
            const.STORE_SILENCE_SECONDS
        )
        is_recent = now - faults.ended_at < _EXPIRY_SECONDS
        is_removed = incarnation in self._store.not_ready_since
        return is_first and is_short and is_recent and is_removed

    def _report(self, number, incarnation, problem):
        """Record a problem at an entry."""
        now = round(anyio.current_time(), 2)
        self.problems.append(f'{now} entry {number}: {incarnation} {problem}')


class _OtherListener:
    """Listener to the prefixes that hold no registrations."""

    def on_snapshot(self, items):
        """Ignore a snapshot."""

    def on_change(self, change):
        """Ignore a change."""

    def on_store_restored(self):
        """Ignore the return of an earlier copy."""


class _Documents:
    """Decoder of the simulated registrations."""

    def upstream(self, key, content):
        """Decode a registration."""
        if not content:
            raise errors.MalformedDocument(key)
        started_at_ms, leaving = json.loads(content)
        return samples.upstream(
            self.upstream_id_of(key),
            started_at_ms=started_at_ms,
            leaving=leaving,
        )

    def upstream_id_of(self, key):
        """Return the identifier in a key."""
        return key.removeprefix(PREFIX)


async def _wait_and_cancel(event, scope):
    """Cancel a scope once an event has happened."""
    await event.wait()
    scope.cancel()


def _item(registration, revision):
    """Return the stored item of a registration."""
    content = json.dumps([registration.started_at_ms, registration.leaving])
    return watched_store.Item(
        f'{PREFIX}{registration.upstream_id}', revision, content.encode()
    )


def _change(upstream_id, registration, store_era, revision):
    """Return the change of a registration or its removal."""
    qualified = era.qualify(store_era, revision)
    if registration is None:
        return watched_store.Removal(f'{PREFIX}{upstream_id}', qualified)
    return _item(registration, qualified)


def _main():
    """Play seeds; print those with problems."""
    parser = argparse.ArgumentParser()
    parser.add_argument('--first', type=int, default=1)
    parser.add_argument('--seeds', type=int, default=20)
    parser.add_argument('--steps', type=int, default=500)
    parser.add_argument('--refuse-checks', action='store_true')
    options = parser.parse_args()
    failed = []
    longest_use = 0
    longest_drop = 0
    dropped = 0
    for seed in range(options.first, options.first + options.seeds):
        simulation = Simulation(seed, refuses_checks=options.refuse_checks)
        problems = simulation.run(options.steps)
        longest_use = max(longest_use, simulation.longest_use_seconds)
        longest_drop = max(longest_drop, simulation.longest_drop_seconds)
        dropped += simulation.dropped
        if problems:
            failed.append(seed)
            sys.stdout.write(f'seed {seed}: {problems[0]}\n')
    sys.stdout.write(
        f'{options.seeds * options.steps} steps, failed seeds: {failed};'
        f' used {longest_use:.2f} s after a removal, left out {dropped} times,'
        f' {longest_drop:.2f} s at most\n'
    )
    sys.exit(bool(failed))


if __name__ == '__main__':
    _main()
