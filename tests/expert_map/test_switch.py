"""In every step all ranks use one map, whatever becomes of the orders.

Engines follow the platform's rules for orders. Orders are lost, answered
late, carried out late or twice; leaders die or pause at any order and
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
    """A leader's switch and the orders that it still has to send."""

    def __init__(self, decision, fence):
        """Start with the first orders."""
        self.fence = fence
        self.state = decision.switch
        self.sends = list(decision.sends)
        self.stopped = False

    def take(self, decision):
        """Take a decision over."""
        self.state = decision.switch
        self.sends.extend(decision.sends)


class World:
    """A group, its leaders and the orders on their way."""

    def __init__(self, seed):
        """Start with one leader that switches to map 1."""
        self.generator = random.Random(seed)
        self.engines_by_id = {name: rank.Rank() for name in _MEMBERS}
        self.step = 10
        self.late = []
        self.version = 1
        begun = switch.begin(_MEMBERS, 1, 1, _MAP)
        self.leaders = [Leader(begun, 1)]

    def advance(self):
        """Begin a step if nobody holds it; return whether maps agree."""
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
        """Let one thing happen."""
        if self.late and self.generator.random() < 0.1:
            place = self.generator.randrange(len(self.late))
            member, order, fence = self.late.pop(place)
            self.engines_by_id[member].take(order, fence, self.step)
            return
        leader = self.generator.choice(self.leaders)
        if leader.stopped or leader.state.phase in switch.FINAL:
            return
        if not leader.sends:
            self._read(leader)
            return
        send = self.generator.choice(leader.sends)
        self._send(leader, send, faults=faults)

    def act_for(self, rounds):
        """Let things happen without faults."""
        for _ in range(rounds):
            self.act(faults=False)

    def harm_for(self, rounds):
        """Let things happen with faults; yield whether each step agrees."""
        for _ in range(rounds):
            self.act(faults=True)
            if self.generator.random() < 0.02:
                self.take_over()
            if self.generator.random() < 0.15:
                yield self.advance()

    def take_over(self):
        """Let a new leader read the reports and complete a held switch.

        Before it reads, all ranks have to know its fence: a rank that a
        predecessor arms after its report was read would switch alone.
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
            )
        self.leaders.append(Leader(decision, fence))

    def _read(self, leader):
        """Read a report."""
        member = self.generator.choice(_MEMBERS)
        report = self.engines_by_id[member].report(self.step)
        event = switch.Reported(member, report)
        leader.take(switch.decide(event, leader.state))

    def _send(self, leader, send, *, faults):
        """Send an order; it may be lost, answered or not, or done late."""
        draw = self.generator.random() if faults else 1
        if draw < 0.3:
            self._lose(leader, send, draw)
            event = switch.Unanswered(send.upstream_id, send.order)
            leader.take(switch.decide(event, leader.state))
            return
        engine = self.engines_by_id[send.upstream_id]
        status = engine.take(send.order, leader.fence, self.step)
        leader.sends.remove(send)
        if status == 412:
            leader.stopped = True
            return
        kind = switch.Refused if status == 409 else switch.Accepted
        event = kind(send.upstream_id, send.order)
        leader.take(switch.decide(event, leader.state))

    def _lose(self, leader, send, draw):
        """Lose an order, do it late, or lose its answer."""
        if draw < 0.1:
            return
        if draw < 0.2:
            self.late.append((send.upstream_id, send.order, leader.fence))
            return
        engine = self.engines_by_id[send.upstream_id]
        engine.take(send.order, leader.fence, self.step)


class SwitchTest(testtools.TestCase):
    """Seeded orders of everything that can happen."""

    def test_without_faults(self):
        """A switch ends on the new map in every rank."""
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
        """Pattern `applied_late`: the held step leaves time for repeats."""
        begun = switch.begin(_MEMBERS, 1, 1, _MAP).switch
        lossy = begun
        for member in _MEMBERS[:1]:
            lost = switch.Order(switch.Operation.PREPARE, 1, 1)
            event = switch.Unanswered(member, lost)
            lossy = switch.decide(event, lossy).switch
        held_steps = [
            self._prepared(state, step=20).held_step for state in (begun, lossy)
        ]
        self.assertEqual(
            [
                20 + switch.HOLD_MARGIN_STEPS,
                20 + switch.HOLD_MARGIN_LOSSY_STEPS,
            ],
            held_steps,
        )

    def _prepared(self, state, step):
        """Return the switch after all ranks have reported their copies."""
        for member in _MEMBERS:
            report = switch.Report(1, step, 0, 1, None, None)
            event = switch.Reported(member, report)
            state = switch.decide(event, state).switch
        return state

    def test_one_map_in_every_step(self):
        """Faults and take-overs never let a step begin on two maps."""
        for seed in range(_SEEDS):
            world = World(seed)
            for agrees in world.harm_for(_ROUNDS):
                self.assertTrue(agrees, f'seed {seed}')

    def test_late_leader_after_a_take_over(self):
        """Ranks that prepared different versions are fenced before a go.

        The former leader wakes up after the group was let go and tries to
        arm the ranks that still have its version.
        """
        world = World(0)
        former = world.leaders[0]
        for name, engine in world.engines_by_id.items():
            prepare = former.sends[0].order
            engine.take(prepare, 1, world.step)
            if name == 'm2':
                engine.take(prepare._replace(version=2), 2, world.step)
        hold = switch.Order(switch.Operation.HOLD, 1, step=12)
        world.engines_by_id['m0'].take(hold, 1, world.step)
        former.stopped = True
        world.leaders.append(Leader(switch.begin(_MEMBERS, 1, 2, _MAP), 2))
        world.leaders[1].stopped = True
        world.take_over()
        world.act_for(_ROUNDS)
        arm = switch.Order(switch.Operation.ARM, 1, 1, 12)
        for engine in world.engines_by_id.values():
            engine.take(arm, 1, world.step)
        for _ in range(4):
            self.assertTrue(world.advance())
        self.assertEqual(14, world.step)

    def test_group_moves_again(self):
        """After the faults a last leader lets the group go on."""
        for seed in range(_SEEDS):
            world = World(seed)
            for agrees in world.harm_for(_ROUNDS):
                self.assertTrue(agrees, f'seed {seed}')
            world.late.clear()
            for leader in world.leaders:
                leader.stopped = True
            for _ in range(9):
                world.leaders[-1].stopped = True
                world.take_over()
                world.act_for(_ROUNDS)
            before = world.step
            for _ in range(20):
                self.assertTrue(world.advance(), f'seed {seed}')
            self.assertEqual(before + 20, world.step, f'seed {seed}')
