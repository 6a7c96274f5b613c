"""Tests of outlier ejection and of the capacity by pause ratio."""

import testtools

from nutmegtrail.gateway import const
from nutmegtrail.gateway import health
from nutmegtrail.overload import models as overload_models


class HealthTest(testtools.TestCase):
    """Passive health checks."""

    def test_ejected_after_failures_in_a_row(self):
        """A second consecutive failure ejects for a limited time."""
        upstream_health = health.record_failure(health.Health(), 'u1', 0)
        self.assertFalse(health.is_ejected(upstream_health, 'u1', 0))
        upstream_health = health.record_failure(upstream_health, 'u1', 0)
        self.assertTrue(health.is_ejected(upstream_health, 'u1', 0.9))
        self.assertFalse(health.is_ejected(upstream_health, 'u1', 1.1))

    def test_success_resets_failures(self):
        """A success resets the consecutive failures."""
        upstream_health = health.record_failure(health.Health(), 'u1', 0)
        upstream_health = health.record_success(upstream_health, 'u1')
        upstream_health = health.record_failure(upstream_health, 'u1', 1)
        self.assertFalse(health.is_ejected(upstream_health, 'u1', 1))

    def test_ejections_are_bounded(self):
        """An upstream that always fails is retried every few seconds."""
        upstream_health = health.Health()
        now = 0.0
        for _ in range(50):
            upstream_health = health.record_failure(upstream_health, 'u1', now)
            ejection_end = now + const.MAX_EJECTION_SECONDS
            self.assertFalse(
                health.is_ejected(upstream_health, 'u1', ejection_end)
            )
            now = ejection_end

    def test_capacity_falls_with_pauses(self):
        """Pauses over the objective reduce the capacity."""
        upstream_health = health.record_pause(
            health.Health(), 'g0', overload_models.PauseSample(1.0, 30), 0
        )
        capacity = health.capacity(upstream_health, 'g0', 0)
        self.assertTrue(15 < capacity < 30, capacity)
        low_pause = health.record_pause(
            health.Health(), 'g0', overload_models.PauseSample(0.5, 30), 0
        )
        self.assertTrue(health.capacity(low_pause, 'g0', 0) > 30)

    def test_single_long_pause_reduces_capacity(self):
        """Pattern `expert_shift`: one slow pass in ten limits the capacity.

        A stream is late after one pause over its objective, so the mean of the
        pauses is not sufficient.
        """
        upstream_health = health.Health()
        for number in range(40):
            sample = 1.2 if number % 10 == 0 else 0.6
            upstream_health = health.record_pause(
                upstream_health,
                'g0',
                overload_models.PauseSample(sample, 100),
                number / 100,
            )
        self.assertTrue(health.capacity(upstream_health, 'g0', 0.4) < 90)

    def test_capacity_during_a_burst(self):
        """After a restart all callers connect at once.

        Pauses that were sampled with few requests in the previous pass must not
        raise the capacity.
        """
        upstream_health = health.record_pause(
            health.Health(), 'g0', overload_models.PauseSample(0.5, 32), 0
        )
        capacity = health.capacity(upstream_health, 'g0', 0)
        later = health.record_pause(
            upstream_health, 'g0', overload_models.PauseSample(0.5, 32), 0.1
        )
        self.assertAlmostEqual(capacity, health.capacity(later, 'g0', 0.1), 3)
        self.assertTrue(capacity < 100, capacity)

    def test_capacity_recovers(self):
        """Capacity recovers within a few seconds after a slow pass."""
        upstream_health = health.record_pause(
            health.Health(), 'g0', overload_models.PauseSample(3.0, 100), 0
        )
        before = health.capacity(upstream_health, 'g0', 0)
        for number in range(30):
            upstream_health = health.record_pause(
                upstream_health,
                'g0',
                overload_models.PauseSample(0.5, 100),
                number / 10,
            )
        self.assertTrue(health.capacity(upstream_health, 'g0', 3) > 4 * before)

    def test_capacity_without_samples(self):
        """Old samples do not limit an idle group."""
        upstream_health = health.record_pause(
            health.Health(), 'g0', overload_models.PauseSample(3.0, 30), 0
        )
        self.assertIsNone(health.capacity(upstream_health, 'g0', 5))
        self.assertIsNone(health.capacity(upstream_health, 'g1', 0))

    def test_hold_off_ends(self):
        """An upstream that wants no requests gets them after that time."""
        upstream_health = health.record_hold_off(
            health.Health(), ('u1', 1), 2.5, 10
        )
        self.assertEqual(12.5, health.held_until(upstream_health, ('u1', 1)))
        for other in (('u2', 1), ('u1', 2)):
            self.assertEqual(
                float('-inf'), health.held_until(upstream_health, other)
            )

    def test_hold_off_is_never_shortened(self):
        """A later response may prolong a hold-off; a success does not end it.

        Each response states the time from its own arrival on.
        """
        incarnation = ('u1', 1)
        upstream_health = health.record_hold_off(
            health.Health(), incarnation, 5, 0
        )
        for seconds, now, expected in ((1, 1, 5), (4.5, 1, 5.5), (0.1, 2, 5.5)):
            upstream_health = health.record_hold_off(
                upstream_health, incarnation, seconds, now
            )
            upstream_health = health.record_success(upstream_health, 'u1')
            self.assertEqual(
                expected, health.held_until(upstream_health, incarnation)
            )

    def test_hold_offs_are_bounded(self):
        """Ended hold-offs are forgotten, then those that end first."""
        upstream_health = health.Health()
        for number in range(const.HOLD_OFFS_LIMIT + 50):
            upstream_health = health.record_hold_off(
                upstream_health, (f'u{number}', 1), 9_999, number
            )
        held_until = upstream_health.held_until_by_incarnation
        self.assertEqual(const.HOLD_OFFS_LIMIT, len(held_until))
        self.assertNotIn(('u0', 1), held_until)
        upstream_health = health.record_hold_off(
            upstream_health, ('u1', 1), 1, 99_999
        )
        self.assertEqual(1, len(upstream_health.held_until_by_incarnation))
