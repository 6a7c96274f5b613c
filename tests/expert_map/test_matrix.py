"""Map switches with faults at every message, in pairs and in any order."""

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
    """Return the violations in a switch and in one after it."""
    simulated_group = group.Group(faults, checks_fencing, seed)
    simulated_group.propose('a', 'm1')
    simulated_group.run()
    simulated_group.settle()
    simulated_group.pass_switch()
    simulated_group.propose('b', 'm2')
    simulated_group.run()
    simulated_group.settle()
    return simulated_group.check()


class SwitchMatrixTest(testtools.TestCase):
    """All ranks of a group use the same expert map in every step."""

    def test_switch_without_faults(self):
        """Both switches take effect."""
        simulated_group = group.Group({})
        simulated_group.propose('a', 'm1')
        simulated_group.run()
        self.assertEqual([], simulated_group.check())
        self.assertEqual('m1', simulated_group.current_map())

    def test_single_faults(self):
        """No step runs on two maps with any single fault at any message."""
        steps = range(1, _DELIVERIES + 1)
        cases = [
            {step: fault}
            for step, fault in itertools.product(steps, group.FAULTS)
        ]
        self._check(cases)

    def test_fault_pairs(self):
        """No step runs on two maps with any two faults."""
        pairs = itertools.combinations(range(1, _DELIVERIES + 1), 2)
        kinds = tuple(itertools.product(group.FAULTS[1:], repeat=2))
        cases = [
            dict(zip(pair, faults, strict=True))
            for pair, faults in itertools.product(pairs, kinds)
        ]
        self._check(cases)

    def test_any_order_with_a_restart(self):
        """No step runs on two maps with a fault and any order of messages."""
        for seed in range(_ORDERS):
            step = seed % _DELIVERIES + 1
            fault = group.FAULTS[seed % len(group.FAULTS)]
            violations = run_case({step: fault}, seed % 2 == 0, seed)
            self.assertEqual([], violations, f'seed {seed}')

    def test_two_proposers_at_once(self):
        """No step runs on two maps if two sidecars propose at the same time."""
        for seed in range(_ORDERS):
            simulated_group = group.Group({}, seed % 2 == 0, seed)
            simulated_group.propose('a', 'm1')
            simulated_group.propose('b', 'm2')
            simulated_group.run()
            simulated_group.settle()
            self.assertEqual([], simulated_group.check(), f'seed {seed}')

    def test_second_switch_waits_for_the_first(self):
        """No step runs on two maps if the first switch is still pending."""
        simulated_group = group.Group({})
        simulated_group.propose('a', 'm1')
        simulated_group.run()
        simulated_group.propose('b', 'm2')
        simulated_group.run()
        simulated_group.settle()
        self.assertEqual([], simulated_group.check())

    def test_refusal_for_a_reached_step(self):
        """A member refuses a switch at a step that its engine may have run."""
        member = models.Member(
            'a',
            models.Phase.SERVING,
            models.MapState('m0', 0),
            horizon=64,
            staged_map_ids=frozenset(('m1',)),
        )
        for since_step, accepted in ((64, False), (65, True)):
            proposal = models.MapState('m1', since_step)
            prepare = models.Prepare(models.Ballot(1, 'a'), proposal)
            decision = group.member.decide(prepare, member)
            self.assertEqual(accepted, decision.actions[0].message.accepted)

    def _check(self, cases: list[dict[int, str]]) -> None:
        """Run cases with and without fencing; report the first violations."""
        failures = {}
        for faults, checks_fencing in itertools.product(cases, (True, False)):
            violations = run_case(faults, checks_fencing)
            if violations:
                failures[f'{faults} fencing {checks_fencing}'] = violations[:2]
        self.assertEqual({}, dict(itertools.islice(failures.items(), 4)))
