"""Use of upstreams while watches, links, the store and upstreams fail.

`simulated_registrations` plays any number of further seeds.
"""

import testtools

from tests.gateway import simulated_registrations

_STEPS = 60
_SEEDS = (1, 2, 9, 13, 15, 20)
_FAILING_SEEDS = (70042, 70046, 70052)
# A lost response to a renewal counted as an outage.
_LONG_SEED = 378
_LONG_STEPS = 260


class RegistrationsTest(testtools.TestCase):
    """Two entries and four upstreams, in simulated time."""

    # Guards against orders to removed upstreams (DRAIN), and against live
    # upstreams that are left out, after any order of cut watches, outages,
    # lapses, removals, returns, earlier copies and late writes.
    def test_drawn_orders_of_events(self):
        """Removed upstreams get no work, live ones are not left out for long."""
        for seed in _SEEDS:
            simulation = simulated_registrations.Simulation(seed)
            self.assertEqual([], simulation.run(_STEPS), seed)
        simulation = simulated_registrations.Simulation(_LONG_SEED)
        self.assertEqual([], simulation.run(_LONG_STEPS), _LONG_SEED)

    # Guards against removed upstreams that get work after a cut watch and one
    # failed call, which counted as an outage (DRAIN).
    def test_failing_calls_after_cuts(self):
        """The same holds if the call after each cut of a watch fails."""
        for seed in _FAILING_SEEDS:
            simulation = simulated_registrations.Simulation(
                seed, refuses_checks=True
            )
            self.assertEqual([], simulation.run(_STEPS), seed)
