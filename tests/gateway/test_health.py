"""Ejection after failures, and room in a group by its pauses."""

import testtools

from nutmegtrail.gateway import const
from nutmegtrail.gateway import health


class HealthTest(testtools.TestCase):
    """Passive health."""

    def test_ejected_after_failures_in_a_row(self):
        """One failure is borne, a second one ejects for a while."""
        held = health.failed(health.Health(), 'u1', 0)
        self.assertFalse(health.is_ejected(held, 'u1', 0))
        held = health.failed(held, 'u1', 0)
        self.assertTrue(health.is_ejected(held, 'u1', 0.9))
        self.assertFalse(health.is_ejected(held, 'u1', 1.1))

    def test_success_clears(self):
        """A good answer ends the row."""
        held = health.failed(health.Health(), 'u1', 0)
        held = health.succeeded(held, 'u1')
        held = health.failed(held, 'u1', 1)
        self.assertFalse(health.is_ejected(held, 'u1', 1))

    def test_ejections_are_bounded(self):
        """An upstream that always fails is tried every few seconds."""
        held = health.Health()
        now = 0.0
        for _ in range(50):
            held = health.failed(held, 'u1', now)
            until = now + const.EJECTION_LIMIT_SECONDS
            self.assertFalse(health.is_ejected(held, 'u1', until))
            now = until

    def test_room_falls_with_pauses(self):
        """Load pattern: pauses at the objective leave less room."""
        held = health.strained(health.Health(), 'g0', 1.0, 0)
        room = health.room(held, 'g0', 30, 0)
        self.assertTrue(15 < room < 30, room)
        calm = health.strained(health.Health(), 'g0', 0.5, 0)
        self.assertTrue(health.room(calm, 'g0', 30, 0) > 30)

    def test_room_without_samples(self):
        """An idle group is not limited by old pauses."""
        held = health.strained(health.Health(), 'g0', 3.0, 0)
        self.assertIsNone(health.room(held, 'g0', 30, 5))
        self.assertIsNone(health.room(held, 'g1', 30, 0))
