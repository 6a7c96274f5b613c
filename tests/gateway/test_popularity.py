"""Popularity follows the counters of ranks that restart."""

import testtools

from nutmegtrail.gateway import popularity


def _observe(held, now, **choices_by_id):
    """Return the popularity after readings of one incarnation."""
    readings = {
        name: popularity.Reading(1, choices)
        for name, choices in choices_by_id.items()
    }
    return popularity.observe(held, readings, now)


class PopularityTest(testtools.TestCase):
    """Sums of what was chosen between readings."""

    def test_first_reading_is_a_baseline(self):
        """Choices of a whole day before the first reading do not count."""
        held = _observe(popularity.Popularity(), 0, m1=(900, 100))
        self.assertEqual((0.0, 0.0), held.choices)
        held = _observe(held, 0, m1=(901, 103))
        self.assertEqual((1.0, 3.0), held.choices)

    def test_fading(self):
        """Choices of several half-lives ago hardly count."""
        held = _observe(popularity.Popularity(), 0, m1=(0, 0))
        held = _observe(held, 0, m1=(100, 0))
        held = _observe(held, 6, m1=(100, 10))
        self.assertTrue(held.choices[0] < 1)
        self.assertEqual(10.0, held.choices[1])

    def test_restarted_rank(self):
        """Counters that start anew are a new baseline."""
        held = _observe(popularity.Popularity(), 0, m1=(50, 50))
        anew = {'m1': popularity.Reading(2, (1, 1))}
        held = popularity.observe(held, anew, 0)
        self.assertEqual((0.0, 0.0), held.choices)

    def test_restart_after_a_shift(self):
        """Pattern `expert_shift`: only the latest choices count."""
        held = _observe(popularity.Popularity(), 0, m1=(0, 0))
        held = _observe(held, 0.5, m1=(100, 0))
        held = _observe(held, 1, m1=(100, 40))
        self.assertTrue(held.choices[0] > 40)
        self.assertEqual((0.0, 40.0), popularity.restarted(held).choices)

    def test_layers(self):
        """Choices come layer after layer."""
        self.assertEqual(
            ((1.0, 2.0), (3.0, 4.0)),
            popularity.by_layer((1.0, 2.0, 3.0, 4.0), 2),
        )
