"""Claim protocol under single faults, pairs and triples at every step."""

import itertools
import random

import testtools

from tests.idempotency import simulation

_STEPS = 18
_TRIPLES = 3_000
_TRIPLE_SEED = 20_261_203


def run_case(
    faults: dict[int, str], shard_module=simulation.shard
) -> list[str]:
    """Return the violated guarantees of one case.

    A caller sends a call. Once no actions are pending, it repeats the call
    through the other sidecar, and once more after all faults have ended.
    """
    case = simulation.Simulation(faults, shard_module)
    case.call('first', 'a')
    case.run()
    case.call('return', 'b')
    case.run()
    case.end_faults()
    case.call('late-return', 'a')
    case.end_faults()
    return case.check()


def single_faults() -> list[dict[int, str]]:
    """Return one case for each fault at each step."""
    return [
        {step: fault}
        for step in range(1, _STEPS + 1)
        for fault in simulation.FAULTS
    ]


def fault_pairs() -> list[dict[int, str]]:
    """Return one case for each pair of faults at two steps."""
    steps = itertools.combinations(range(1, _STEPS + 1), 2)
    faults = tuple(itertools.product(simulation.FAULTS[1:], repeat=2))
    return [
        dict(zip(pair, kinds, strict=True))
        for pair, kinds in itertools.product(steps, faults)
    ]


def fault_triples() -> list[dict[int, str]]:
    """Return random cases of three faults from a fixed seed."""
    generator = random.Random(_TRIPLE_SEED)
    return [
        {
            step: generator.choice(simulation.FAULTS[1:])
            for step in generator.sample(range(1, _STEPS + 1), 3)
        }
        for _ in range(_TRIPLES)
    ]


class ClaimMatrixTest(testtools.TestCase):
    """Guarantees for calls that must run at most once."""

    def test_single_faults(self):
        """All guarantees hold under any fault at any step."""
        self._check(single_faults())

    def test_fault_pairs(self):
        """All guarantees hold under two faults."""
        self._check(fault_pairs())

    def test_fault_triples(self):
        """All guarantees hold under three faults."""
        self._check(fault_triples())

    def _check(self, cases: list[dict[int, str]]) -> None:
        """Run cases and report up to five cases with violations at once."""
        violations = {str(faults): run_case(faults) for faults in cases}
        failures = {case: found for case, found in violations.items() if found}
        self.assertEqual({}, dict(itertools.islice(failures.items(), 5)))
