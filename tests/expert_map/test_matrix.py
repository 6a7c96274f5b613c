"""Every fault at every message of a switch, pairs, and any order."""

import itertools

import testtools

from nutmegtrail.expert_map import models
from tests.expert_map import group

_DELIVERIES = 14
_ORDERS = 3_000


def run_case(
    faults: dict[int, str],
    checks_fencing: bool,
    seed: int | None = None,
) -> list[str]:
    """Return the broken promises of a switch and of one after it."""
    world = group.Group(faults, checks_fencing, seed)
    world.propose('a', 'm1')
    world.run()
    world.settle()
    world.pass_switch()
    world.propose('b', 'm2')
    world.run()
    world.settle()
    return world.check()


class SwitchMatrixTest(testtools.TestCase):
    """In every step all ranks of a group use one expert map."""

    def test_switch_without_faults(self):
        """Both switches take effect."""
        world = group.Group({})
        world.propose('a', 'm1')
        world.run()
        self.assertEqual([], world.check())
        self.assertEqual('m1', world.map_in_force())

    def test_single_faults(self):
        """No step runs on two maps under any fault at any message."""
        steps = range(1, _DELIVERIES + 1)
        cases = [
            {step: fault}
            for step, fault in itertools.product(steps, group.FAULTS)
        ]
        self._check(cases)

    def test_fault_pairs(self):
        """No step runs on two maps under two faults."""
        pairs = itertools.combinations(range(1, _DELIVERIES + 1), 2)
        kinds = tuple(itertools.product(group.FAULTS[1:], repeat=2))
        cases = [
            dict(zip(pair, faults, strict=True))
            for pair, faults in itertools.product(pairs, kinds)
        ]
        self._check(cases)

    def test_any_order_with_a_restart(self):
        """No step runs on two maps whatever the order of the messages."""
        for seed in range(_ORDERS):
            step = seed % _DELIVERIES + 1
            fault = group.FAULTS[seed % len(group.FAULTS)]
            broken = run_case({step: fault}, seed % 2 == 0, seed)
            self.assertEqual([], broken, f'seed {seed}')

    def test_two_proposers_at_once(self):
        """No step runs on two maps where two sidecars propose."""
        for seed in range(_ORDERS):
            world = group.Group({}, seed % 2 == 0, seed)
            world.propose('a', 'm1')
            world.propose('b', 'm2')
            world.run()
            world.settle()
            self.assertEqual([], world.check(), f'seed {seed}')

    def test_second_switch_waits_for_the_first(self):
        """No step runs on two maps where the first switch is to come."""
        world = group.Group({})
        world.propose('a', 'm1')
        world.run()
        world.propose('b', 'm2')
        world.run()
        world.settle()
        self.assertEqual([], world.check())

    def test_refusal_for_a_reached_step(self):
        """A member refuses a step that its engine may have run."""
        own = models.Member(
            'a',
            models.Phase.SERVING,
            models.MapState('m0', 0),
            horizon=64,
            staged_ids=frozenset(('m1',)),
        )
        for since_step, accepted in ((64, False), (65, True)):
            proposal = models.MapState('m1', since_step)
            prepare = models.Prepare(models.Ballot(1, 'a'), proposal)
            decision = group.member.decide(prepare, own)
            self.assertEqual(accepted, decision.actions[0].message.accepted)

    def _check(self, cases: list[dict[int, str]]) -> None:
        """Run cases with and without fencing and report what broke."""
        failures = {}
        for faults, checks in itertools.product(cases, (True, False)):
            broken = run_case(faults, checks)
            if broken:
                failures[f'{faults} fencing {checks}'] = broken[:2]
        self.assertEqual({}, dict(itertools.islice(failures.items(), 4)))
