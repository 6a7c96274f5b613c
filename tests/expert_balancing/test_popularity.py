"""Popularity computed from the counters of ranks, across rank restarts."""

import random

import testtools

from nutmegtrail.expert_balancing import popularity


def _observe(updated, now, **choices_by_id):
    """Return the popularity after readings of incarnation 1."""
    readings = {
        name: popularity.Reading(1, choices)
        for name, choices in choices_by_id.items()
    }
    return popularity.observe(updated, readings, now)


def _read_at(updated, now, **choices_by_id):
    """Return the popularity after readings with their time."""
    readings = {
        name: popularity.Reading(1, choices, now)
        for name, choices in choices_by_id.items()
    }
    return popularity.observe(updated, readings, now)


def _add(counts, added):
    """Return the counters after some more choices."""
    return [count + new for count, new in zip(counts, added, strict=True)]


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

    def test_choices_from_before_a_shift(self):
        """What a rank counted before the shift was noticed is left out.

        One rank shows the shift first; the other was last read before it.
        """
        updated = popularity.Popularity()
        updated = _read_at(updated, 0, m1=(0, 0), m2=(0, 0))
        updated = _read_at(updated, 0.2, m1=(10, 90))
        updated = popularity.reset_to_latest(updated)
        updated = _read_at(updated, 0.21, m2=(500, 100))
        self.assertEqual((0.0, 0.0), updated.latest_choices)
        updated = _read_at(updated, 0.4, m1=(20, 180), m2=(510, 190))
        self.assertEqual((20.0, 180.0), updated.latest_choices)

    def test_shift_is_noticed_at_the_first_reading(self):
        """Choices of other experts than usual are a shift."""
        updated = self._after_usual_readings()
        updated = _read_at(updated, 3, m1=(2_000, 1_020, 130))
        self.assertTrue(popularity.has_shifted(updated))

    def test_shift_of_moderate_demand(self):
        """A shift shows although all experts are in some demand.

        In groups of 96 ranks the most popular of 192 experts get a few times
        the choices of the others.
        """
        updated = popularity.Popularity()
        counts = [0, 0, 0, 0]
        for number in range(11):
            counts = _add(counts, (100, 60, 50, 40))
            updated = _read_at(updated, number * 0.2, m1=tuple(counts))
            updated = popularity.record_similarity(updated)
        self.assertTrue(popularity.is_steady(updated))
        counts = _add(counts, (40, 50, 60, 100))
        updated = _read_at(updated, 2.2, m1=tuple(counts))
        self.assertTrue(popularity.has_shifted(updated))

    def test_noise_is_no_shift(self):
        """Choices that differ as usual are no shift, nor are none."""
        updated = self._after_usual_readings()
        for choices in ((2_080, 1_000, 20), (2_000, 1_000, 20)):
            latest = _read_at(updated, 3, m1=choices)
            self.assertFalse(popularity.has_shifted(latest))

    def test_few_choices_are_not_steady(self):
        """With few requests, each reading differs from the others.

        This is the light traffic of a large fleet.
        """
        generator = random.Random(1)
        updated = popularity.Popularity()
        counts = [0, 0, 0, 0, 0, 0]
        for number in range(200):
            for expert in generator.choices(range(6), k=3):
                counts[expert] += 5
            updated = _read_at(updated, number * 0.2, m1=tuple(counts))
            updated = popularity.record_similarity(updated)
            if number > 5:
                self.assertFalse(popularity.is_steady(updated), number)

    def test_shift_soon_after_the_start(self):
        """The few choices of the first readings do not hide a shift."""
        updated = popularity.Popularity()
        counts = [0, 0, 0]
        for number in range(20):
            first_choices = ((9, 1, 0), (1, 9, 0), (5, 5, 0))[number % 3]
            added = first_choices if number < 10 else (200, 100, 2)
            counts = _add(counts, added)
            updated = _read_at(updated, number * 0.2, m1=tuple(counts))
            updated = popularity.record_similarity(updated)
        self.assertTrue(popularity.is_steady(updated))
        shifted = (counts[0] + 150, counts[1] + 60, counts[2] + 200)
        updated = _read_at(updated, 4, m1=shifted)
        self.assertTrue(popularity.has_shifted(updated))

    def _after_usual_readings(self):
        """Return the popularity after readings in which it did not change."""
        updated = popularity.Popularity()
        for number in range(11):
            choices = (200 * number, 100 * number, 2 * number)
            updated = _read_at(updated, number * 0.2, m1=choices)
            updated = popularity.record_similarity(updated)
        return updated
