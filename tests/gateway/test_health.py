"""Ejection after failures, and room in a group by its pauses."""

import testtools

from nutmegtrail.gateway import const
from nutmegtrail.gateway import health


class HealthTest(testtools.TestCase):
    """Passive health."""

    def test_ejected_after_failures_in_a_row(self):
        """One failure is borne, a second one ejects for a while."""
        held = health.record_failure(health.Health(), 'u1', 0)
        self.assertFalse(health.is_ejected(held, 'u1', 0))
        held = health.record_failure(held, 'u1', 0)
        self.assertTrue(health.is_ejected(held, 'u1', 0.9))
        self.assertFalse(health.is_ejected(held, 'u1', 1.1))

    def test_success_clears(self):
        """A good answer ends the row."""
        held = health.record_failure(health.Health(), 'u1', 0)
        held = health.record_success(held, 'u1')
        held = health.record_failure(held, 'u1', 1)
        self.assertFalse(health.is_ejected(held, 'u1', 1))

    def test_ejections_are_bounded(self):
        """An upstream that always fails is tried every few seconds."""
        held = health.Health()
        now = 0.0
        for _ in range(50):
            held = health.record_failure(held, 'u1', now)
            until = now + const.MAX_EJECTION_SECONDS
            self.assertFalse(health.is_ejected(held, 'u1', until))
            now = until

    def test_room_falls_with_pauses(self):
        """Load pattern: pauses over the objective leave less room."""
        held = health.record_pause_ratio(health.Health(), 'g0', 1.0, 30, 0)
        room = health.capacity(held, 'g0', 0)
        self.assertTrue(15 < room < 30, room)
        calm = health.record_pause_ratio(health.Health(), 'g0', 0.5, 30, 0)
        self.assertTrue(health.capacity(calm, 'g0', 0) > 30)

    def test_one_long_pause_counts(self):
        """Load pattern `expert_shift`: one slow pass in ten leaves no more.

        Each stream with one pause over its objective is late, so that the
        mean of the pauses says too little.
        """
        held = health.Health()
        for number in range(40):
            sample = 1.2 if number % 10 == 0 else 0.6
            held = health.record_pause_ratio(
                held, 'g0', sample, 100, number / 100
            )
        self.assertTrue(health.capacity(held, 'g0', 0.4) < 90)

    def test_room_while_a_crowd_arrives(self):
        """Load pattern: after a restart all callers come at once.

        The pauses of few requests in the pass before must not make room for
        many more than the same pauses allow.
        """
        held = health.record_pause_ratio(health.Health(), 'g0', 0.5, 32, 0)
        room = health.capacity(held, 'g0', 0)
        later = health.record_pause_ratio(held, 'g0', 0.5, 32, 0.1)
        self.assertAlmostEqual(room, health.capacity(later, 'g0', 0.1), 3)
        self.assertTrue(room < 100, room)

    def test_room_grows_back(self):
        """A slow pass is forgotten within some seconds of fast ones."""
        held = health.record_pause_ratio(health.Health(), 'g0', 3.0, 100, 0)
        before = health.capacity(held, 'g0', 0)
        for number in range(30):
            held = health.record_pause_ratio(held, 'g0', 0.5, 100, number / 10)
        self.assertTrue(health.capacity(held, 'g0', 3) > 4 * before)

    def test_room_without_samples(self):
        """An idle group is not limited by old pauses."""
        held = health.record_pause_ratio(health.Health(), 'g0', 3.0, 30, 0)
        self.assertIsNone(health.capacity(held, 'g0', 5))
        self.assertIsNone(health.capacity(held, 'g1', 0))
