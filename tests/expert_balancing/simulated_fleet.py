"""Entries that balance rank groups, with their store, in simulated time."""

import random

import anyio
import expression

from nutmegtrail.expert_balancing import expert_balancer
from nutmegtrail.expert_balancing import leader_lease
from nutmegtrail.gateway import dispatcher as dispatching
from nutmegtrail.gateway import fleet
from nutmegtrail.gateway import models
from nutmegtrail.gateway import request_counts
from nutmegtrail.observability import metrics
from nutmegtrail.ports import key_value
from nutmegtrail.ports import rank_control
from nutmegtrail.ports import watched_store
from tests import simulated_time
from tests.expert_balancing import lockstep_groups
from tests.expert_balancing import simulated_groups

_CALL_SECONDS = 0.005
_WATCH_SECONDS = 0.05
_START_SECONDS = 0.5
_SERVICE = 'drafts'
_REVISION_STEP = 1


class Store:
    """Store with the registrations and the leader's key."""

    def __init__(self):
        """Initialize a store without keys."""
        self.is_down = False
        self.upstreams_by_id = {}
        self.leader = None
        self._revision = 10
        self._end_by_lease = {}
        self._leader_lease = 0

    def register(self, upstream):
        """Write the registration of an upstream."""
        self.upstreams_by_id[upstream.upstream_id] = upstream

    def remove(self, upstream_id):
        """Remove a registration."""
        self.upstreams_by_id.pop(upstream_id, None)

    def expire(self):
        """Delete the leader's key once its lease has ended."""
        if self.leader is not None:
            ends_at = self._end_by_lease.get(self._leader_lease, 0)
            if anyio.current_time() >= ends_at:
                self.leader = None

    def grant(self, ttl_seconds):
        """Return a new lease."""
        lease_id = len(self._end_by_lease) + 1
        self._end_by_lease[lease_id] = anyio.current_time() + ttl_seconds
        return lease_id

    def renew(self, lease_id, ttl_seconds=1):
        """Return whether a lease goes on."""
        now = anyio.current_time()
        if now >= self._end_by_lease.get(lease_id, 0):
            return False
        self._end_by_lease[lease_id] = now + ttl_seconds
        return True

    def revoke(self, lease_id):
        """End a lease."""
        self._end_by_lease[lease_id] = 0
        self.expire()

    def swap(self, expected_revision, content, lease_id):
        """Write the leader's key; return its revision, None if it differs."""
        self.expire()
        present = self.leader[1] if self.leader else 0
        if expected_revision != present:
            return None
        self._revision += _REVISION_STEP
        self.leader = (content, self._revision)
        self._leader_lease = lease_id
        return self._revision


class StoreClient:
    """Leases of one entry, which may be cut off from the store."""

    def __init__(self, store, entry):
        """Initialize the client."""
        self._store = store
        self._entry = entry

    async def grant_lease(self, ttl_seconds):
        """Grant a lease."""
        if not await self._call():
            return expression.Error(key_value.Unavailable(''))
        return expression.Ok(self._store.grant(ttl_seconds))

    async def keep_alive(self, lease_id):
        """Renew a lease."""
        if not await self._call():
            return expression.Error(key_value.Unavailable(''))
        return expression.Ok(self._store.renew(lease_id))

    async def revoke_lease(self, lease_id):
        """End a lease."""
        if not await self._call():
            return expression.Error(key_value.Unavailable(''))
        self._store.revoke(lease_id)
        return expression.Ok(None)

    async def swap(self, key, expected_revision, content, lease_id=0):
        """Write the leader's key."""
        if not await self._call():
            return expression.Error(key_value.Unavailable(key))
        revision = self._store.swap(expected_revision, content, lease_id)
        if revision is None:
            return expression.Error(key_value.CompareFailed(key))
        return expression.Ok(revision)

    async def _call(self):
        """Take the time of a call; return whether the store responds."""
        await anyio.sleep(_CALL_SECONDS)
        return not (self._store.is_down or self._entry.is_cut_from_store)


class RankClient(rank_control.RankControl):
    """Calls of one entry to the ranks, some of which it may not reach."""

    def __init__(self, engines, entry):
        """Initialize the client."""
        self._engines = engines
        self._entry = entry

    async def report(self, upstream):
        """Return a rank's state."""
        if await self._reaches(upstream):
            return self._engines.report(upstream)
        return None

    async def choices(self, upstream):
        """Return the expert counters of a rank."""
        if await self._reaches(upstream):
            return self._engines.choices(upstream)
        return None

    async def held_experts(self, upstream):
        """Return the experts of a rank."""
        if await self._reaches(upstream):
            return self._engines.held_experts(upstream)
        return None

    async def order(self, upstream, order, fence, patience=1):
        """Send an order."""
        if await self._reaches(upstream):
            return await self._engines.send(upstream, order, fence)
        return rank_control.OrderOutcome.UNANSWERED

    async def _reaches(self, upstream):
        """Take the time of a call; return whether the rank responds."""
        await anyio.sleep(0.001)
        if upstream.upstream_id in self._entry.unreachable_ids:
            await anyio.sleep(lockstep_groups.ORDER_TIMEOUT_SECONDS)
            return False
        return True


class Entry:
    """Entry that can be killed, stopped and cut off."""

    def __init__(self, simulation, name):
        """Initialize an entry that is not running."""
        self.is_cut_from_store = False
        self.unreachable_ids = frozenset()
        self.start_seconds = _START_SECONDS
        self.lease = None
        self._simulation = simulation
        self._name = name
        self._scope = None
        self._starts = 0

    @property
    def is_leading(self):
        """Return whether the running process leads."""
        return self.lease is not None and self.lease.fence is not None

    async def run(self):
        """Run until the simulation ends, starting again after each kill."""
        while True:
            self._scope = anyio.CancelScope()
            with self._scope:
                await self._run_process()
            self.lease = None
            await anyio.sleep(self.start_seconds)

    def kill(self):
        """End the process without any notice."""
        if self._scope is not None:
            self._scope.cancel()

    async def stop(self):
        """End the process as in a planned stop."""
        lease, balancer = self.lease, self._balancer
        if lease is None:
            return
        lease.retire()
        await balancer.close()
        if lease is self.lease:
            self.kill()

    async def _run_process(self):
        """Run one process, which has no memory."""
        simulation = self._simulation
        self._starts += 1
        self.lease = leader_lease.LeaderLease(
            expert_balancer.LEADER_KEY,
            f'{self._name}/{self._starts}',
            StoreClient(simulation.store, self),
            random.Random(simulation.generator.random()),
        )
        self._dispatcher = dispatching.Dispatcher('kandla-a')
        self._balancer = expert_balancer.ExpertBalancer(
            RankClient(simulation.engines, self),
            self._dispatcher,
            self.lease,
            simulated_groups.distributor_without_peers(),
            metrics.Metrics(),
        )
        self._balancer.service = simulation.service
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(self.lease.run)
            tasks.start_soon(self._balancer.run)
            tasks.start_soon(self._watch)

    async def _watch(self):
        """Apply what the store shows, and the requests in flight."""
        known_by_id = None
        leader = ()
        was_lost = False
        while True:
            await anyio.sleep(_WATCH_SECONDS)
            self._count_requests()
            self._apply(fleet.TimeElapsed())
            store = self._simulation.store
            if store.is_down or self.is_cut_from_store:
                if not was_lost:
                    self._apply(fleet.StoreLost())
                was_lost = True
                continue
            if was_lost:
                was_lost = False
                self._apply(fleet.StoreRecovered())
            store.expire()
            if known_by_id is None:
                self._apply(
                    fleet.SnapshotReceived(
                        tuple(store.upstreams_by_id.values())
                    )
                )
            else:
                self._apply_changes(known_by_id, store.upstreams_by_id)
            known_by_id = dict(store.upstreams_by_id)
            if leader != store.leader:
                leader = store.leader
                self._show_leader(leader)

    def _apply_changes(self, known_by_id, shown_by_id):
        """Apply the changed registrations."""
        for upstream_id in known_by_id.keys() - shown_by_id.keys():
            self._apply(fleet.Removed(upstream_id))
        for upstream_id, upstream in shown_by_id.items():
            if known_by_id.get(upstream_id) != upstream:
                self._apply(fleet.Registered(upstream))

    def _show_leader(self, leader):
        """Apply the leader's key, None if there is none."""
        key = expert_balancer.LEADER_KEY
        if leader is None:
            self.lease.on_change(watched_store.Removal(key, 0))
            return
        content, revision = leader
        self.lease.on_change(watched_store.Item(key, revision, content))

    def _apply(self, event):
        """Apply an event to the known upstreams."""
        self._dispatcher.known_upstreams = fleet.decide(
            event, self._dispatcher.known_upstreams, anyio.current_time()
        )

    def _count_requests(self):
        """Record a request in flight while there are any."""
        counts = request_counts.Counts()
        groups = self._simulation.engines.group_by_name.values()
        if any(group.is_busy for group in groups):
            counts = request_counts.record_start(counts, 'g0-0')
        self._dispatcher.counts = counts


class Simulation:
    """Entries, their store and the rank groups that they balance."""

    def __init__(self, entries=2, groups=1, seed=1, copy_seconds=0):
        """Initialize all parts without running them."""
        self.generator = random.Random(seed)
        self.store = Store()
        self.engines = lockstep_groups.Engines(
            groups, random.Random(self.generator.random())
        )
        self.service = models.Service(
            _SERVICE,
            models.GroupShape(
                1,
                lockstep_groups.EXPERTS,
                lockstep_groups.EXPERT_SLOTS,
                lockstep_groups.SPARE_SLOTS,
                copy_seconds=copy_seconds,
                report_lag_seconds=lockstep_groups.REPORT_LAG_SECONDS,
            ),
        )
        self.entries = [
            Entry(self, f'entry-{number}') for number in range(entries)
        ]

    @property
    def groups(self):
        """Return all groups."""
        return tuple(self.engines.group_by_name.values())

    def leader(self):
        """Return the entry that leads, None if there is none."""
        for entry in self.entries:
            if entry.is_leading:
                return entry
        return None

    def set_busy(self, *, is_busy):
        """Let requests come to all groups, or end them."""
        for group in self.groups:
            group.is_busy = is_busy

    def register_all(self):
        """Write the registrations of all ranks of open groups."""
        for group in self.groups:
            for number in range(lockstep_groups.RANKS):
                self.store.register(group.member(number))

    def run(self, scenario):
        """Run a scenario and return its result."""

        async def _main():
            async with anyio.create_task_group() as tasks:
                self.register_all()
                tasks.start_soon(self.engines.run)
                for entry in self.entries:
                    tasks.start_soon(entry.run)
                found = await scenario(self)
                tasks.cancel_scope.cancel()
            return found

        # Nothing here waits for threads or sockets.
        return simulated_time.run(_main, has_io=False)
