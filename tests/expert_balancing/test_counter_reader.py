"""Which ranks are read, and how often, with 3 groups of 24 ranks."""

import testtools

from nutmegtrail.expert_balancing import const
from nutmegtrail.expert_balancing import counter_reader
from tests import simulated_time
from tests.expert_balancing import simulated_groups

_SIZE = simulated_groups.Size(3, 24, 1, 4, expert_slots=5)
_MEMBERS = list(simulated_groups.upstreams(_SIZE))


class _Engines:
    """Ranks whose requests choose one expert, and later another."""

    def __init__(self):
        """Initialize the counters."""
        self.reads = []
        self.unreadable_ids = set()
        self._counts = [0, 0, 0, 0]

    def count(self, *choices):
        """Count the same choices on each rank."""
        self._counts = [
            count + added
            for count, added in zip(self._counts, choices, strict=True)
        ]

    async def choices(self, upstream):
        """Return the counters of a rank."""
        self.reads.append(upstream.upstream_id)
        if upstream.upstream_id in self.unreadable_ids:
            return None
        return tuple(self._counts)


class CounterReaderTest(testtools.TestCase):
    """Readings of a calm fleet, of a shift, and of noise."""

    def setUp(self):
        """Create the engines and the reader."""
        super().setUp()
        self.engines = _Engines()
        self.reader = counter_reader.CounterReader(self.engines)

    def test_calm_fleet(self):
        """One rank is read each time, although the choices vary a little."""
        results = []

        async def _watch():
            for number in range(20):
                self.engines.count(900 + number % 3 * 90, 300, 10, 10)
                results.append(await self.reader.watch(_MEMBERS))

        simulated_time.run(_watch)
        self.assertEqual({False}, set(results))
        self.assertEqual(20, len(self.engines.reads))
        self.assertEqual(1, len(set(self.engines.reads)))

    def test_shift_under_full_load(self):
        """A shift is noticed at the next reading; older choices are left out.

        This is load pattern `expert_shift`.
        """
        results = []

        async def _watch():
            for _ in range(5):
                self.engines.count(900, 300, 10, 10)
                await self.reader.watch(_MEMBERS)
            self.engines.reads.clear()
            self.engines.count(10, 10, 300, 900)
            results.append(await self.reader.watch(_MEMBERS))
            await self.reader.read_sample(_MEMBERS)
            results.append(await self.reader.watch(_MEMBERS))

        simulated_time.run(_watch)
        self.assertEqual([True, False], results)
        # What the other ranks counted before the shift is left out.
        self.assertEqual(4, len(set(self.engines.reads)))
        self.assertEqual(
            (10.0, 10.0, 300.0, 900.0), self.reader.popularity.choices
        )

    def test_leading_again(self):
        """What was counted while another instance led is left out."""

        async def _lead_again():
            await self.reader.restart(_MEMBERS)
            self.engines.count(9_000, 0, 0, 0)
            await self.reader.restart(_MEMBERS)
            self.engines.count(0, 0, 5, 3)
            await self.reader.read_sample(_MEMBERS)

        simulated_time.run(_lead_again)
        self.assertEqual((0.0, 0.0, 20.0, 12.0), self.reader.popularity.choices)

    def test_unreadable_rank(self):
        """Another rank is watched if the first does not answer."""

        async def _watch():
            for _ in range(3):
                self.engines.count(900, 300, 10, 10)
                await self.reader.watch(_MEMBERS)

        self.engines.unreadable_ids.add(_MEMBERS[0].upstream_id)
        simulated_time.run(_watch)
        first, *later = self.engines.reads
        self.assertEqual(_MEMBERS[0].upstream_id, first)
        self.assertEqual(1, len(set(later)))
        self.assertNotIn(first, later)

    def test_light_traffic_is_sampled(self):
        """Until the choices are steady, all sampled ranks are read."""

        async def _read():
            for number in range(6):
                self.engines.count(*((0, 9, 1, 0), (9, 0, 0, 1))[number % 2])
                await self.reader.read_due_sample(_MEMBERS)

        simulated_time.run(_read)
        self.assertFalse(self.reader.is_watching(_MEMBERS))
        self.assertEqual(24, len(self.engines.reads))

    def test_steady_choices_are_watched(self):
        """Once the choices are steady, the sample is read rarely."""

        async def _read():
            for _ in range(6):
                self.engines.count(900, 300, 10, 10)
                await self.reader.read_due_sample(_MEMBERS)

        simulated_time.run(_read)
        self.assertTrue(self.reader.is_watching(_MEMBERS))
        # Two readings and a third that compares them.
        self.assertEqual(12, len(self.engines.reads))

    def test_small_fleets_are_sampled(self):
        """With few ranks, one alone counts too few requests."""
        self.assertFalse(counter_reader.can_watch(_MEMBERS[:16]))
        self.assertFalse(counter_reader.can_watch(_MEMBERS[:32]))
        self.assertTrue(counter_reader.can_watch(_MEMBERS))

    def test_sample_is_read_more_often_after_a_shift(self):
        """The sample is due after some time, which a shift shortens."""
        since_sample_seconds = const.MIN_SAMPLE_INTERVAL_SECONDS
        self.assertTrue(counter_reader.is_sample_due(since_sample_seconds, 0.5))
        self.assertFalse(counter_reader.is_sample_due(0.05, 0.5))
        self.assertFalse(counter_reader.is_sample_due(since_sample_seconds, 9))
        self.assertTrue(
            counter_reader.is_sample_due(const.SAMPLE_INTERVAL_SECONDS, 9)
        )
