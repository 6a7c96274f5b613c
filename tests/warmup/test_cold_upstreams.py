"""Tests of the upstreams that an entry believes to be cold."""

import anyio
import eliot
import testtools

from nutmegtrail.warmup import cold_upstreams
from nutmegtrail.warmup import shares
from nutmegtrail.warmup import sightings
from tests import simulated_time

_RULES = {'drafts': shares.Rule(3, 28)}


def _registered(revision, cold_seconds, started_at_ms=1, name='u1'):
    """Return the event of a registration."""
    return sightings.Registered(
        name, 'drafts', started_at_ms, revision, cold_seconds
    )


class ColdUpstreamsTest(testtools.TestCase):
    """Beliefs of one entry in simulated time."""

    def _run(self, scenario, rules=_RULES):
        """Run a scenario; return the changes of belief that were logged."""
        log_lines = []
        eliot.add_destinations(log_lines.append)
        self.addCleanup(eliot.remove_destination, log_lines.append)
        log_lines.clear()
        self.cold = cold_upstreams.ColdUpstreams()
        self.cold.set_rules(rules)
        simulated_time.run(scenario)
        return [
            (line['message_type'], line['source'])
            for line in log_lines
            if line['message_type'].startswith('upstream:')
        ]

    def test_changes_of_belief(self):
        """Each change is logged once."""

        async def _scenario():
            self.assertTrue(self.cold.record(_registered(5, 3), 'a'))
            self.assertFalse(self.cold.record(_registered(5, 3), 'b'))
            # Another incarnation is cold for as long again.
            self.assertTrue(self.cold.record(_registered(6, 3, 2), 'c'))
            await anyio.sleep(2.9)
            self.cold.refresh({'u1': None})
            self.assertEqual(['u1'], list(self.cold.by_id))
            await anyio.sleep(0.2)
            self.cold.refresh({'u1': None})
            self.assertEqual({}, self.cold.by_id)
            self.assertFalse(self.cold.record(_registered(7, 0, 2), 'd'))

        changes = self._run(_scenario)
        self.assertEqual(
            [
                ('upstream:cold', 'a'),
                ('upstream:cold', 'c'),
                ('upstream:warm', 'elapsed'),
            ],
            changes,
        )

    def test_services_without_a_rule(self):
        """Upstreams of other services are never cold."""
        for rule in (shares.Rule(), shares.Rule(3, 0), shares.Rule(0, 28)):

            async def _scenario():
                self.cold.record(_registered(5, 3), 'a')
                self.assertEqual({}, self.cold.by_id)

            self.assertEqual([], self._run(_scenario, {'drafts': rule}))

    def test_configuration_after_registrations(self):
        """The order of configuration and registrations does not matter."""

        async def _scenario():
            self.cold.record(_registered(5, 3), 'a')
            await anyio.sleep(1)
            self.cold.set_rules(_RULES)
            cold = self.cold.by_id['u1']
            self.assertEqual(
                (28, 3), (cold.requests_per_second, cold.until_seconds)
            )

        self.assertEqual(
            [('upstream:cold', 'configuration')], self._run(_scenario, {})
        )

    def test_upstreams_that_are_gone(self):
        """Cold upstreams are told to others even if they are gone."""

        async def _scenario():
            for number in range(5):
                self.cold.record(_registered(5, 3, name=f'u{number}'), 'a')
            self.cold.refresh({'u0': None})
            self.assertEqual(5, len(self.cold.registrations()))
            await anyio.sleep(3)
            self.cold.refresh({'u0': None})
            self.assertEqual((), self.cold.registrations())

        self._run(_scenario)
