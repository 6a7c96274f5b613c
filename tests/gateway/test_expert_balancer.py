"""Expert maps of large groups, kept by an entry on a slow link.

The load: 2 groups of 32 ranks whose popular experts change, orders with a
map of some 8 KB for each rank, and streams of callers on the same link.
"""

import random

import anyio
import testtools

from nutmegtrail.expert_map import switch
from nutmegtrail.gateway import const
from nutmegtrail.gateway import dispatcher as dispatching
from nutmegtrail.gateway import expert_balancer
from nutmegtrail.gateway import fleet
from nutmegtrail.gateway import models
from nutmegtrail.gateway import pacer
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
# All popular experts are on one rank of the first map, later on another.
_HOT = frozenset(range(0, _EXPERTS, _RANKS))
_HOT_LATER = frozenset(range(1, _EXPERTS, _RANKS))
_SHIFT_SECONDS = 0.8


class _Lease:
    """A leadership that is never lost."""

    def __init__(self):
        """Lead."""
        self.fence = 7

    async def resign(self):
        """Give the leadership back."""
        self.fence = None


class _Rank:
    """State of one rank."""

    def __init__(self, rank):
        """Hold the experts that a new group assigns in turn."""
        held = tuple(range(rank, _EXPERTS, _RANKS))
        self.held = (held,) * _LAYERS
        self.prepared = None
        self.prepared_at = 0
        self.armed_until = 0
        self.fence = 0
        self.held_step = None
        self.map_version = 0


class _Engines:
    """Implements `ports.rank_control.RankControl` in simulated time."""

    def __init__(self):
        """Start all ranks with the first map."""
        self.orders = []
        self.unreadable_until_by_id = {}
        self.generator = random.Random(1)
        self.lost_share = 0
        self.refused_operations = set()
        self.ranks_by_id = {
            f'm{group}-{rank}': _Rank(rank)
            for group in range(_GROUPS)
            for rank in range(_RANKS)
        }

    async def report(self, upstream):
        """Return a rank's state, without its copies under way."""
        now = anyio.current_time()
        if now < self.unreadable_until_by_id.get(upstream.upstream_id, 0):
            return None
        rank = self.ranks_by_id[upstream.upstream_id]
        shown = now - _REPORT_LAG_SECONDS >= rank.prepared_at
        return switch.Report(
            1,
            int(now / _STEP_SECONDS),
            rank.map_version,
            rank.prepared if shown else None,
            None,
            rank.held_step,
        )

    async def choices(self, _):
        """Return counters that grow with time."""
        now = anyio.current_time()
        layer = []
        for expert in range(_EXPERTS):
            tokens = now
            if expert in _HOT:
                tokens += 20 * min(now, _SHIFT_SECONDS)
            if expert in _HOT_LATER:
                tokens += 20 * max(now - _SHIFT_SECONDS, 0)
            layer.append(int(tokens * 1_000))
        return tuple(layer * _LAYERS)

    async def held_experts(self, upstream):
        """Return the experts of a rank."""
        return self.ranks_by_id[upstream.upstream_id].held

    async def order(self, upstream, order, fence):
        """Carry an order out and note when it came."""
        now = anyio.current_time()
        if self.generator.random() < self.lost_share:
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
            place = upstream.membership.rank
            held = tuple(layer[place] for layer in order.layers)
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
        """Return when orders of a kind came."""
        return [
            at for at, _, order in self.orders if order.operation is operation
        ]

    def versions(self, operation):
        """Return the groups and versions that orders of a kind named."""
        return [
            (upstream.group_name, order.version)
            for _, upstream, order in self.orders
            if order.operation is operation
        ]


def _upstreams():
    """Return the ranks of all groups."""
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


async def _nothing():
    """Do nothing beside the keeper."""


def _run(engines, seconds, bytes_per_second=1e6, beside=_nothing):
    """Balance the groups for some time, beside one request under way."""
    dispatcher = dispatching.Dispatcher('kandla-a')
    dispatcher.known_upstreams = fleet.decide(
        fleet.SnapshotReceived(_upstreams()),
        dispatcher.known_upstreams,
        0,
    )
    dispatcher.counts = request_counts.record_start(dispatcher.counts, 'm0-0')
    keeper = expert_balancer.ExpertBalancer(
        engines,
        dispatcher,
        _Lease(),
        pacer.Pacer(bytes_per_second),
        metrics.Metrics(),
    )
    keeper.service = _SERVICE

    async def _main():
        with anyio.move_on_after(seconds):
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(beside)
                await keeper.run()

    simulated_time.run(_main)


def _placed_pairs(layers, upstream):
    """Return the layer and expert pairs of a rank in a map."""
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
    """The balance of two groups of 32 ranks."""

    def test_first_switch_soon_after_a_take_over(self):
        """A new leader reads, waits for the reports and orders at once."""
        engines = _Engines()
        _run(engines, 2)
        first = min(engines.times(switch.Operation.PREPARE))
        self.assertTrue(first < const.REPORT_LAG_SECONDS + 0.1, first)

    def test_take_over_while_orders_get_lost(self):
        """Pattern `applied_late`: each rank is told until it has answered."""
        engines = _Engines()
        engines.lost_share = 0.3
        _run(engines, 3)
        released = engines.versions(switch.Operation.RELEASE)
        self.assertEqual({'g0', 'g1'}, {group for group, _ in released})

    def test_orders_leave_room_on_the_link(self):
        """The maps in any tenth of a second keep to the pacer's rate."""
        engines = _Engines()
        bytes_per_second = 1e6
        _run(engines, 3, bytes_per_second)
        times = engines.times(switch.Operation.PREPARE)
        map_bytes = _EXPERTS * _LAYERS * const.BYTES_PER_PLACED_EXPERT
        self.assertTrue(len(times) >= _RANKS * _GROUPS)
        for start in times:
            burst = [at for at in times if start <= at < start + 0.1]
            allowed = 0.1 * bytes_per_second / map_bytes + 1
            self.assertTrue(len(burst) <= allowed, (len(burst), allowed))

    def test_ranks_with_most_copies_go_first(self):
        """Of a group's orders the one with the longest copies leaves first."""
        engines = _Engines()
        before = {name: rank.held for name, rank in engines.ranks_by_id.items()}
        _run(engines, 2)
        copies = []
        for _, upstream, order in engines.orders:
            if order.version == 1 and order.layers is not None:
                own = _placed_pairs(order.layers, upstream)
                old = _held_pairs(before[upstream.upstream_id])
                copies.append((upstream.group_name, len(own - old)))
        for group in ('g0', 'g1'):
            counts = [count for name, count in copies if name == group]
            self.assertEqual(_RANKS, len(counts))
            self.assertEqual(sorted(counts, reverse=True), counts)

    def test_no_pause_between_switches_that_gain(self):
        """Right after a switch the group is measured and moved again."""
        engines = _Engines()
        _run(engines, 4)
        released = engines.times(switch.Operation.RELEASE)
        prepared = engines.times(switch.Operation.PREPARE)
        first_end = released[_GROUPS - 1]
        following = min(at for at in prepared if at > first_end)
        self.assertTrue(
            following - first_end < const.MAP_INTERVAL_SECONDS,
            (first_end, following),
        )

    def test_map_waits_for_the_switch_before(self):
        """Ranks that are still armed refuse a map, which is sent again."""
        engines = _Engines()
        _run(engines, 4)
        prepared = engines.versions(switch.Operation.PREPARE)
        armed = engines.versions(switch.Operation.ARM)
        self.assertTrue(len(prepared) > len(armed), 'none was refused')
        newest = max(version for _, version in prepared)
        given_up = set(prepared) - set(armed)
        self.assertEqual({newest}, {version for _, version in given_up})

    def test_predecessor_that_does_not_know(self):
        """A leader that is cut from the store holds a group after all.

        Its hold comes after the new leader has taken over, and is refused,
        since the ranks know the new fence by then.
        """
        engines = _Engines()
        outcomes = []

        async def _hold_late():
            await anyio.sleep(0.1)
            hold = switch.Order(switch.Operation.HOLD, 1, step=99)
            outcomes.append(
                await engines.order(_upstreams()[0], hold, _Lease().fence - 1),
            )

        _run(engines, 2, beside=_hold_late)
        self.assertEqual([rank_control.OrderOutcome.FENCED], outcomes)
        disarmed = engines.versions(switch.Operation.DISARM)
        self.assertEqual(_RANKS * _GROUPS, len(disarmed))
        # The predecessor may have armed a version that no report shows yet.
        self.assertTrue(min(version for _, version in disarmed) > 100)

    def test_rank_that_refuses_the_fence(self):
        """A refused order may not make the fence known: no group is moved."""
        engines = _Engines()
        engines.refused_operations.add(switch.Operation.DISARM)
        _run(engines, 3)
        self.assertEqual([], engines.times(switch.Operation.PREPARE))

    def test_group_that_is_found_held(self):
        """A group that refuses maps is read again and let go.

        The ranks were held and armed by a leader whose orders came before
        the ranks knew the new fence, but after the reports were read.
        """
        engines = _Engines()

        async def _hold_late():
            await anyio.sleep(const.REPORT_LAG_SECONDS + 0.02)
            for name, rank in engines.ranks_by_id.items():
                rank.armed_until = 60
                if name.endswith('-0'):
                    rank.held_step = 99

        _run(engines, 6, beside=_hold_late)
        held = {rank.held_step for rank in engines.ranks_by_id.values()}
        self.assertNotIn(99, held)

    def test_held_group_with_an_unreadable_rank(self):
        """A group that a predecessor held is let go once all ranks answer."""
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
