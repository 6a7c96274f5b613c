"""Use of upstreams while watches, links, the store and upstreams fail.

`simulated_registrations` plays any number of further seeds.
"""

import testtools

from tests.gateway import simulated_registrations

_STEPS = 60
_SEEDS = (1, 2, 9, 13, 15, 20)
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
