"""Expert balancing of large groups by an instance on a slow link.

The scenario has 2 groups of 32 ranks whose popular experts change. Each rank
gets orders with a map of about 8 KB, on the same link as callers' streams.
"""

import random

import anyio
import testtools

from nutmegtrail.expert_balancing import const
from nutmegtrail.expert_balancing import expert_balancer
from nutmegtrail.expert_balancing import pacer
from nutmegtrail.expert_map import switch
from nutmegtrail.gateway import dispatcher as dispatching
from nutmegtrail.gateway import fleet
from nutmegtrail.gateway import models
from nutmegtrail.gateway import request_counts
from nutmegtrail.observability import metrics
from nutmegtrail.ports import rank_control
from tests import simulated_time
from tests.gateway import samples

_RANKS = 32
_GROUPS = 2
_LAYERS = 12
_EXPERTS = 128
_COPY_SECONDS = 0.04
_STEP_SECONDS = 0.07
_REPORT_LAG_SECONDS = 0.2
_SHAPE = models.GroupShape(
    _LAYERS, _EXPERTS, expert_slots=5, spare_expert_slots=2
)
_SERVICE = models.Service('drafts', _SHAPE)
# The popular experts are all on one rank of the first map; after the shift,
# other experts are popular that are all on another rank.
_HOT_EXPERTS = frozenset(range(0, _EXPERTS, _RANKS))
_HOT_EXPERTS_AFTER_SHIFT = frozenset(range(1, _EXPERTS, _RANKS))
_SHIFT_SECONDS = 0.8


class _Lease:
    """Leader lease that is never lost."""

    def __init__(self):
        """Initialize the lease as leader."""
        self.fence = 7

    async def resign(self):
        """Give up the leadership."""
        self.fence = None


class _Rank:
    """State of one simulated rank."""

    def __init__(self, rank):
        """Initialize the rank with experts assigned round-robin."""
        held = tuple(range(rank, _EXPERTS, _RANKS))
        self.held = (held,) * _LAYERS
        self.prepared = None
        self.prepared_at = 0
        self.armed_until = 0
        self.fence = 0
        self.held_step = None
        self.map_version = 0


class _Engines:
    """Simulated implementation of `ports.rank_control.RankControl`."""

    def __init__(self):
        """Initialize all ranks with the first map."""
        self.orders = []
        self.unreadable_until_by_id = {}
        self.generator = random.Random(1)
        self.lost_ratio = 0
        self.refused_operations = set()
        self.ranks_by_id = {
            f'm{group}-{rank}': _Rank(rank)
            for group in range(_GROUPS)
            for rank in range(_RANKS)
        }

    async def report(self, upstream):
        """Return a rank's state, without unfinished or recent copies."""
        now = anyio.current_time()
        if now < self.unreadable_until_by_id.get(upstream.upstream_id, 0):
            return None
        rank = self.ranks_by_id[upstream.upstream_id]
        is_reported = now - _REPORT_LAG_SECONDS >= rank.prepared_at
        return switch.Report(
            1,
            int(now / _STEP_SECONDS),
            rank.map_version,
            rank.prepared if is_reported else None,
            None,
            rank.held_step,
        )

    async def choices(self, _):
        """Return expert counters that grow with time."""
        now = anyio.current_time()
        layer = []
        for expert in range(_EXPERTS):
            tokens = now
            if expert in _HOT_EXPERTS:
                tokens += 20 * min(now, _SHIFT_SECONDS)
            if expert in _HOT_EXPERTS_AFTER_SHIFT:
                tokens += 20 * max(now - _SHIFT_SECONDS, 0)
            layer.append(int(tokens * 1_000))
        return tuple(layer * _LAYERS)

    async def held_experts(self, upstream):
        """Return the experts of a rank by layer."""
        return self.ranks_by_id[upstream.upstream_id].held

    async def order(self, upstream, order, fence):
        """Carry out an order and record its time."""
        now = anyio.current_time()
        if self.generator.random() < self.lost_ratio:
            return rank_control.OrderOutcome.UNANSWERED
        if order.operation in self.refused_operations:
            return rank_control.OrderOutcome.REFUSED
        rank = self.ranks_by_id[upstream.upstream_id]
        if fence < rank.fence:
            return rank_control.OrderOutcome.FENCED
        rank.fence = fence
        self.orders.append((now, upstream, order))
        if order.operation is switch.Operation.PREPARE:
            if now < rank.armed_until:
                return rank_control.OrderOutcome.REFUSED
            rank_index = upstream.membership.rank
            held = tuple(layer[rank_index] for layer in order.layers)
            copies = sum(
                len(set(new) - set(old))
                for old, new in zip(rank.held, held, strict=True)
            )
            rank.prepared = order.version
            rank.prepared_at = now + copies * _COPY_SECONDS
        if order.operation is switch.Operation.ARM:
            rank.armed_until = order.step * _STEP_SECONDS
        if order.operation is switch.Operation.HOLD:
            rank.held_step = order.step
        if order.operation is switch.Operation.RELEASE:
            rank.held_step = None
        return rank_control.OrderOutcome.ACCEPTED

    def times(self, operation):
        """Return the times of the orders with an operation."""
        return [
            time
            for time, _, order in self.orders
            if order.operation is operation
        ]

    def versions(self, operation):
        """Return the groups and versions of the orders with an operation."""
        return [
            (upstream.group_name, order.version)
            for _, upstream, order in self.orders
            if order.operation is operation
        ]


def _upstreams():
    """Return the upstreams of all groups."""
    return tuple(
        samples.member(
            f'm{group}-{rank}',
            rank,
            f'g{group}',
            size=_RANKS,
        )
        for group in range(_GROUPS)
        for rank in range(_RANKS)
    )


async def _do_nothing():
    """Do nothing beside the balancer."""


def _run(engines, seconds, bytes_per_second=1e6, concurrent_task=_do_nothing):
    """Run the balancer for some time with one request in flight."""
    dispatcher = dispatching.Dispatcher('kandla-a')
    dispatcher.known_upstreams = fleet.decide(
        fleet.SnapshotReceived(_upstreams()),
        dispatcher.known_upstreams,
        0,
    )
    dispatcher.counts = request_counts.record_start(dispatcher.counts, 'm0-0')
    balancer = expert_balancer.ExpertBalancer(
        engines,
        dispatcher,
        _Lease(),
        pacer.Pacer(bytes_per_second),
        metrics.Metrics(),
    )
    balancer.service = _SERVICE

    async def _main():
        with anyio.move_on_after(seconds):
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(concurrent_task)
                await balancer.run()

    simulated_time.run(_main)


def _placed_pairs(layers, upstream):
    """Return the layer and expert pairs that a map gives to a rank."""
    rank = upstream.membership.rank
    return _held_pairs(tuple(layer[rank] for layer in layers))


def _held_pairs(held):
    """Return the layer and expert pairs that a rank holds."""
    return {
        (number, expert)
        for number, experts in enumerate(held)
        for expert in experts
    }


class ExpertBalancerTest(testtools.TestCase):
    """Balancing of two groups of 32 ranks."""

    def test_first_switch_soon_after_a_take_over(self):
        """A new leader sends orders as soon as reports are current."""
        engines = _Engines()
        _run(engines, 2)
        first = min(engines.times(switch.Operation.PREPARE))
        self.assertTrue(first < const.REPORT_LAG_SECONDS + 0.1, first)

    def test_take_over_while_orders_get_lost(self):
        """Lost orders are repeated until each rank has answered.

        This is load pattern `applied_late`.
        """
        engines = _Engines()
        engines.lost_ratio = 0.3
        _run(engines, 3)
        released = engines.versions(switch.Operation.RELEASE)
        self.assertEqual({'g0', 'g1'}, {group for group, _ in released})

    def test_orders_leave_room_on_the_link(self):
        """The maps sent in any 0.1 s stay within the pacer's rate."""
        engines = _Engines()
        bytes_per_second = 1e6
        _run(engines, 3, bytes_per_second)
        times = engines.times(switch.Operation.PREPARE)
        map_bytes = _EXPERTS * _LAYERS * const.BYTES_PER_PLACED_EXPERT
        self.assertTrue(len(times) >= _RANKS * _GROUPS)
        for start in times:
            burst = [time for time in times if start <= time < start + 0.1]
            allowed = 0.1 * bytes_per_second / map_bytes + 1
            self.assertTrue(len(burst) <= allowed, (len(burst), allowed))

    def test_ranks_with_most_copies_go_first(self):
        """The orders of a group are sent by falling number of copies."""
        engines = _Engines()
        before = {name: rank.held for name, rank in engines.ranks_by_id.items()}
        _run(engines, 2)
        copies = []
        for _, upstream, order in engines.orders:
            if order.version == 1 and order.layers is not None:
                new = _placed_pairs(order.layers, upstream)
                old = _held_pairs(before[upstream.upstream_id])
                copies.append((upstream.group_name, len(new - old)))
        for group in ('g0', 'g1'):
            counts = [count for name, count in copies if name == group]
            self.assertEqual(_RANKS, len(counts))
            self.assertEqual(sorted(counts, reverse=True), counts)

    def test_no_pause_between_switches_that_gain(self):
        """After a switch, the group is evaluated and switched again at once."""
        engines = _Engines()
        _run(engines, 4)
        released = engines.times(switch.Operation.RELEASE)
        prepared = engines.times(switch.Operation.PREPARE)
        first_end = released[_GROUPS - 1]
        next_prepared = min(time for time in prepared if time > first_end)
        self.assertTrue(
            next_prepared - first_end < const.MAP_INTERVAL_SECONDS,
            (first_end, next_prepared),
        )

    def test_map_waits_for_the_previous_switch(self):
        """Ranks that are still armed refuse a map, and it is sent again."""
        engines = _Engines()
        _run(engines, 4)
        prepared = engines.versions(switch.Operation.PREPARE)
        armed = engines.versions(switch.Operation.ARM)
        self.assertTrue(len(prepared) > len(armed), 'none was refused')
        newest = max(version for _, version in prepared)
        abandoned = set(prepared) - set(armed)
        self.assertEqual({newest}, {version for _, version in abandoned})

    def test_late_hold_of_an_earlier_leader(self):
        """A hold order of the earlier leader is rejected after a take-over.

        The earlier leader is cut off from the store and does not know that it
        was replaced. Its hold arrives when the ranks know the new fence.
        """
        engines = _Engines()
        outcomes = []

        async def _hold_late():
            await anyio.sleep(0.1)
            hold = switch.Order(switch.Operation.HOLD, 1, step=99)
            outcomes.append(
                await engines.order(_upstreams()[0], hold, _Lease().fence - 1),
            )

        _run(engines, 2, concurrent_task=_hold_late)
        self.assertEqual([rank_control.OrderOutcome.FENCED], outcomes)
        disarmed = engines.versions(switch.Operation.DISARM)
        self.assertEqual(_RANKS * _GROUPS, len(disarmed))
        # The earlier leader may have armed a version that is not reported yet.
        self.assertTrue(min(version for _, version in disarmed) > 100)

    def test_rank_that_refuses_the_fence(self):
        """No group is switched if a rank refuses the fencing order.

        A rank that refused the order may not know the new fence.
        """
        engines = _Engines()
        engines.refused_operations.add(switch.Operation.DISARM)
        _run(engines, 3)
        self.assertEqual([], engines.times(switch.Operation.PREPARE))

    def test_group_that_is_found_held(self):
        """A group that refuses maps is recovered again and released.

        The ranks were held and armed by an earlier leader. Its orders arrived
        before the ranks knew the new fence, but after the reports were read.
        """
        engines = _Engines()

        async def _hold_late():
            await anyio.sleep(const.REPORT_LAG_SECONDS + 0.02)
            for name, rank in engines.ranks_by_id.items():
                rank.armed_until = 60
                if name.endswith('-0'):
                    rank.held_step = 99

        _run(engines, 6, concurrent_task=_hold_late)
        held = {rank.held_step for rank in engines.ranks_by_id.values()}
        self.assertNotIn(99, held)

    def test_held_group_with_an_unreadable_rank(self):
        """A held group is released once all of its ranks are readable."""
        engines = _Engines()
        engines.ranks_by_id['m0-0'].held_step = 99
        engines.unreadable_until_by_id['m0-5'] = 1
        _run(engines, 4)
        operations = {
            order.operation
            for _, upstream, order in engines.orders
            if upstream.group_name == 'g0'
        }
        self.assertIn(switch.Operation.RELEASE, operations)
        self.assertIsNone(engines.ranks_by_id['m0-0'].held_step)
