"""All ranks use the same map in every step, whatever happens to the orders.

Engines follow the platform's rules for orders. Orders are lost, answered
late, or carried out late or twice. Several instances may send an order for one
leader, long after it has ended. Leaders fail or pause at any order, and
others take over with a higher fence.
"""

import random

import testtools

from nutmegtrail.expert_map import switch
from tests.expert_map import rank

_MEMBERS = ('m0', 'm1', 'm2')
_MAP = (((0,), (1,), (2,)),)
_SEEDS = 1_500
_ROUNDS = 160


class Leader:
    """Switch of a leader and the orders that it still has to send."""

    def __init__(self, decision, fence):
        """Initialize the leader with the first orders."""
        self.fence = fence
        self.state = decision.switch
        self.outgoing_orders = list(decision.outgoing_orders)
        self.is_stopped = False

    def apply(self, decision):
        """Adopt the state of a decision and queue its orders."""
        self.state = decision.switch
        self.outgoing_orders.extend(decision.outgoing_orders)


class World:
    """Simulated group, its leaders and the orders in flight."""

    def __init__(self, seed, hold_margin_steps=switch.HOLD_MARGIN_STEPS):
        """Initialize the group with one leader that switches to map 1."""
        self.hold_margin_steps = hold_margin_steps
        self.generator = random.Random(seed)
        self.engines_by_id = {name: rank.Rank() for name in _MEMBERS}
        self.step = 10
        self.delayed_orders = []
        self.copying_ids = set()
        self.version = 1
        decision = switch.begin(
            _MEMBERS, 1, 1, _MAP, hold_margin_steps=hold_margin_steps
        )
        self.leaders = [Leader(decision, 1)]

    def advance(self):
        """Start the next step unless it is held; return whether maps agree."""
        step = self.step + 1
        engines = self.engines_by_id.values()
        if any(engine.held == step for engine in engines):
            return True
        self.step = step
        for engine in engines:
            if engine.armed is not None and engine.armed_step == step:
                engine.map_version = engine.armed
                engine.armed = None
                engine.prepared = None
        return len({engine.map_version for engine in engines}) == 1

    def act(self, *, faults):
        """Perform one random event."""
        if self.delayed_orders and self.generator.random() < 0.1:
            index = self.generator.randrange(len(self.delayed_orders))
            member, order, fence = self.delayed_orders.pop(index)
            self._take(member, order, fence)
            return
        if self.copying_ids and self.generator.random() < 0.3:
            self.copying_ids.discard(self.generator.choice(_MEMBERS))
        leader = self.generator.choice(self.leaders)
        if leader.is_stopped or leader.state.phase in switch.FINAL_PHASES:
            return
        if not leader.outgoing_orders:
            self._observe(leader)
            return
        outgoing = self.generator.choice(leader.outgoing_orders)
        self._send(leader, outgoing, faults=faults)

    def act_without_faults_for(self, rounds):
        """Perform random events without faults."""
        for _ in range(rounds):
            self.act(faults=False)

    def act_with_faults_for(self, rounds):
        """Perform random events with faults; yield whether the maps agree."""
        for _ in range(rounds):
            self.act(faults=True)
            if self.generator.random() < 0.02:
                self.take_over()
            if self.generator.random() < 0.15:
                yield self.advance()

    def take_over(self):
        """Let a new leader read the reports and complete a held switch.

        All ranks must know the new fence before their reports are read. A
        rank that an earlier leader arms after that would switch alone.
        """
        fence = max(leader.fence for leader in self.leaders) + 1
        unused = switch.Order(switch.Operation.DISARM, 1, 1_000 + fence)
        for name in self.generator.sample(_MEMBERS, len(_MEMBERS)):
            if self.generator.random() < 0.1:
                return
            self.engines_by_id[name].take(unused, fence, self.step)
            self.act(faults=True)
        reports = {
            name: engine.report(self.step)
            for name, engine in self.engines_by_id.items()
        }
        decision = switch.resume(_MEMBERS, reports)
        if decision is None:
            self.version += 1
            held_step = max(leader.state.held_step for leader in self.leaders)
            decision = switch.begin(
                _MEMBERS,
                1,
                self.version,
                _MAP,
                held_step,
                self.hold_margin_steps,
            )
        self.leaders.append(Leader(decision, fence))

    def _take(self, member, order, fence):
        """Let an engine take an order; one that copies cannot be armed."""
        engine = self.engines_by_id[member]
        is_arming = order.operation is switch.Operation.ARM
        if is_arming and member in self.copying_ids and fence >= engine.fence:
            engine.fence = fence
            return 409
        status = engine.take(order, fence, self.step)
        if status == 202:
            self.copying_ids.add(member)
        return status

    def _observe(self, leader):
        """Expect the copies to be finished, or read a random report."""
        if self.generator.random() < 0.3:
            leader.apply(switch.decide(switch.CopiesExpected(), leader.state))
            return
        member = self.generator.choice(_MEMBERS)
        report = self.engines_by_id[member].report(self.step)
        if member in self.copying_ids:
            report = report._replace(prepared_version=None)
        event = switch.Reported(member, report)
        leader.apply(switch.decide(event, leader.state))

    def _send(self, leader, outgoing, *, faults):
        """Send an order, which may get lost or be delayed."""
        draw = self.generator.random() if faults else 1
        if draw < 0.3:
            self._lose(leader, outgoing, draw)
            event = switch.Unanswered(outgoing.upstream_id, outgoing.order)
            leader.apply(switch.decide(event, leader.state))
            return
        status = self._take(outgoing.upstream_id, outgoing.order, leader.fence)
        is_arming = outgoing.order.operation is switch.Operation.ARM
        is_repeated = not faults or self.generator.random() < 0.8
        if status == 409 and is_arming and is_repeated:
            return
        leader.outgoing_orders.remove(outgoing)
        if faults and outgoing.order.operation is switch.Operation.PREPARE:
            self._relay_late(leader, outgoing)
        if status == 412:
            leader.is_stopped = True
            return
        event_type = switch.Refused if status == 409 else switch.Accepted
        event = event_type(outgoing.upstream_id, outgoing.order)
        leader.apply(switch.decide(event, leader.state))

    def _relay_late(self, leader, outgoing):
        """Let another instance send a map that a rank has got before."""
        if self.generator.random() < 0.3:
            self.delayed_orders.append(
                (outgoing.upstream_id, outgoing.order, leader.fence)
            )

    def _lose(self, leader, outgoing, draw):
        """Lose an order, delay it, or lose its answer."""
        if draw < 0.1:
            return
        if draw < 0.2:
            self.delayed_orders.append(
                (outgoing.upstream_id, outgoing.order, leader.fence)
            )
            return
        self._take(outgoing.upstream_id, outgoing.order, leader.fence)


class SwitchTest(testtools.TestCase):
    """Switches under random sequences of events."""

    def test_without_faults(self):
        """A switch puts the new map in use on every rank."""
        world = World(0)
        for _ in range(_ROUNDS):
            world.act(faults=False)
            if world.generator.random() < 0.1:
                self.assertTrue(world.advance())
        for _ in range(20):
            self.assertTrue(world.advance())
        versions = {
            engine.map_version for engine in world.engines_by_id.values()
        }
        self.assertEqual({1}, versions)

    def test_lost_orders_move_the_hold(self):
        """After a lost order, the held step leaves more time for retries.

        This is load pattern `applied_late`.
        """
        initial = switch.begin(_MEMBERS, 1, 1, _MAP).switch
        lossy = initial
        for member in _MEMBERS[:1]:
            lost = switch.Order(switch.Operation.PREPARE, 1, 1)
            event = switch.Unanswered(member, lost)
            lossy = switch.decide(event, lossy).switch
        held_steps = [
            self._after_preparation(state, step=20).held_step
            for state in (initial, lossy)
        ]
        self.assertEqual(
            [
                20 + switch.HOLD_MARGIN_STEPS,
                20 + switch.HOLD_MARGIN_LOSSY_STEPS,
            ],
            held_steps,
        )

    def _after_preparation(self, state, step):
        """Return the switch after all ranks have reported finished copies."""
        for member in _MEMBERS:
            report = switch.Report(1, step, 0, 1, None, None)
            event = switch.Reported(member, report)
            state = switch.decide(event, state).switch
        return state

    def test_one_map_in_every_step(self):
        """Faults and take-overs never let a step start on two maps."""
        for seed in range(_SEEDS):
            world = World(seed)
            for maps_agree in world.act_with_faults_for(_ROUNDS):
                self.assertTrue(maps_agree, f'seed {seed}')

    def test_one_map_with_the_shortest_hold_margin(self):
        """Holds of the next step, many of which are refused, change nothing."""
        for seed in range(_SEEDS):
            world = World(seed, switch.MIN_HOLD_MARGIN_STEPS)
            for maps_agree in world.act_with_faults_for(_ROUNDS):
                self.assertTrue(maps_agree, f'seed {seed}')

    def test_expected_hold_margins(self):
        """The held step is the next to begin, at most four steps away.

        Steps are slow after a popularity shift, and reports 0.2 s old.
        """
        margins = [
            switch.expected_hold_margin_steps(0.2, step_seconds)
            for step_seconds in (0.02, 0.07, 0.13, 0.25)
        ]
        self.assertEqual([4, 3, 2, 1], margins)
        for unknown in ((0, 0.13), (0.2, 0)):
            self.assertEqual(
                switch.HOLD_MARGIN_STEPS,
                switch.expected_hold_margin_steps(*unknown),
            )

    def test_refused_holds_of_slow_steps(self):
        """A short margin grows by one step with each refused hold."""
        state = switch.begin(_MEMBERS, 1, 1, _MAP, hold_margin_steps=2).switch
        decision = switch.Decision(self._after_preparation(state, step=20))
        held_steps = [decision.switch.held_step]
        for _ in range(3):
            order = switch.Order(
                switch.Operation.HOLD, 1, step=decision.switch.held_step
            )
            refused = switch.Refused(_MEMBERS[0], order)
            decision = switch.decide(refused, decision.switch)
            held_steps.append(decision.switch.held_step)
        self.assertEqual([22, 23, 25, 28], held_steps)

    def test_late_leader_after_a_take_over(self):
        """Ranks with different prepared versions are fenced before the release.

        The former leader resumes after the release and tries to arm the ranks
        that still have its version.
        """
        world = World(0)
        former_leader = world.leaders[0]
        for name, engine in world.engines_by_id.items():
            prepare = former_leader.outgoing_orders[0].order
            engine.take(prepare, 1, world.step)
            if name == 'm2':
                engine.take(prepare._replace(version=2), 2, world.step)
        hold = switch.Order(switch.Operation.HOLD, 1, step=12)
        world.engines_by_id['m0'].take(hold, 1, world.step)
        former_leader.is_stopped = True
        world.leaders.append(Leader(switch.begin(_MEMBERS, 1, 2, _MAP), 2))
        world.leaders[1].is_stopped = True
        world.take_over()
        world.act_without_faults_for(_ROUNDS)
        arm = switch.Order(switch.Operation.ARM, 1, 1, 12)
        for engine in world.engines_by_id.values():
            engine.take(arm, 1, world.step)
        for _ in range(4):
            self.assertTrue(world.advance())
        self.assertEqual(14, world.step)

    def test_group_moves_again(self):
        """After the faults, the last leader lets the group continue."""
        for seed in range(_SEEDS):
            world = World(seed)
            for maps_agree in world.act_with_faults_for(_ROUNDS):
                self.assertTrue(maps_agree, f'seed {seed}')
            world.delayed_orders.clear()
            for leader in world.leaders:
                leader.is_stopped = True
            for _ in range(9):
                world.leaders[-1].is_stopped = True
                world.take_over()
                world.act_without_faults_for(_ROUNDS)
            before = world.step
            for _ in range(20):
                self.assertTrue(world.advance(), f'seed {seed}')
            self.assertEqual(before + 20, world.step, f'seed {seed}')
