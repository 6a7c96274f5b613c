"""Popularity computed from the counters of ranks, across rank restarts."""

import testtools

from nutmegtrail.expert_balancing import popularity


def _observe(updated, now, **choices_by_id):
    """Return the popularity after readings of incarnation 1."""
    readings = {
        name: popularity.Reading(1, choices)
        for name, choices in choices_by_id.items()
    }
    return popularity.observe(updated, readings, now)


class PopularityTest(testtools.TestCase):
    """Choices counted between readings."""

    def test_first_reading_is_a_baseline(self):
        """Choices made before the first reading do not count."""
        updated = _observe(popularity.Popularity(), 0, m1=(900, 100))
        self.assertEqual((0.0, 0.0), updated.choices)
        updated = _observe(updated, 0, m1=(901, 103))
        self.assertEqual((1.0, 3.0), updated.choices)

    def test_decay(self):
        """Choices from several half-lives ago have almost no weight."""
        updated = _observe(popularity.Popularity(), 0, m1=(0, 0))
        updated = _observe(updated, 0, m1=(100, 0))
        updated = _observe(updated, 6, m1=(100, 10))
        self.assertTrue(updated.choices[0] < 1)
        self.assertEqual(10.0, updated.choices[1])

    def test_restarted_rank(self):
        """Counters of a restarted rank set a new baseline."""
        updated = _observe(popularity.Popularity(), 0, m1=(50, 50))
        restarted = {'m1': popularity.Reading(2, (1, 1))}
        updated = popularity.observe(updated, restarted, 0)
        self.assertEqual((0.0, 0.0), updated.choices)

    def test_restart_after_a_shift(self):
        """After a popularity shift, only the latest choices count.

        This is load pattern `expert_shift`.
        """
        updated = _observe(popularity.Popularity(), 0, m1=(0, 0))
        updated = _observe(updated, 0.5, m1=(100, 0))
        updated = _observe(updated, 1, m1=(100, 40))
        self.assertTrue(updated.choices[0] > 40)
        self.assertEqual(
            (0.0, 40.0), popularity.reset_to_latest(updated).choices
        )

    def test_layers(self):
        """The flat list of choices is ordered by layer."""
        self.assertEqual(
            ((1.0, 2.0), (3.0, 4.0)),
            popularity.split_by_layer((1.0, 2.0, 3.0, 4.0), 2),
        )
