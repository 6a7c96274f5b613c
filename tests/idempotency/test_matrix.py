"""Every fault at every step, and pairs of faults, on the claim protocol."""

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
    """Return the broken promises of one case.

    A caller sends a call; when all has come to rest it returns by the
    other sidecar, then once more when all faults have ended.
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
    """Return each fault at each step."""
    return [
        {step: fault}
        for step in range(1, _STEPS + 1)
        for fault in simulation.FAULTS
    ]


def fault_pairs() -> list[dict[int, str]]:
    """Return all pairs of faults at two steps."""
    steps = itertools.combinations(range(1, _STEPS + 1), 2)
    faults = tuple(itertools.product(simulation.FAULTS[1:], repeat=2))
    return [
        dict(zip(pair, kinds, strict=True))
        for pair, kinds in itertools.product(steps, faults)
    ]


def fault_triples() -> list[dict[int, str]]:
    """Return seeded triples of faults at three steps."""
    generator = random.Random(_TRIPLE_SEED)
    return [
        {
            step: generator.choice(simulation.FAULTS[1:])
            for step in generator.sample(range(1, _STEPS + 1), 3)
        }
        for _ in range(_TRIPLES)
    ]


class ClaimMatrixTest(testtools.TestCase):
    """The promises on calls that must not be repeated."""

    def test_single_faults(self):
        """No promise breaks under any fault at any step."""
        self._check(single_faults())

    def test_fault_pairs(self):
        """No promise breaks under two faults."""
        self._check(fault_pairs())

    def test_fault_triples(self):
        """No promise breaks under three faults."""
        self._check(fault_triples())

    def _check(self, cases: list[dict[int, str]]) -> None:
        """Run cases and report all broken promises at once."""
        violations = {str(faults): run_case(faults) for faults in cases}
        failures = {case: found for case, found in violations.items() if found}
        self.assertEqual({}, dict(itertools.islice(failures.items(), 5)))
