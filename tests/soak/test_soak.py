"""A short run of the soak; seeds that ever failed stay here for good."""

import anyio
import testtools

from tests.soak import run

_HARM_SECONDS = 3.0
# Seed 1 is a sample. Seed 244 failed once beside two other soaks: an entry of
# one of them, seed 227, looked for its readiness port, which an engine of this
# one had taken meanwhile.
_SEEDS = (1, 244)


class SoakTest(testtools.TestCase):
    """Real entries before a rank group under kills, stops and harmed links."""

    def test_seeds(self):
        """Every promise is kept, and callers are served afterwards."""
        for seed in _SEEDS:
            broken, folder = anyio.run(run.run_seed, seed, _HARM_SECONDS)
            self.assertEqual([], broken, f'seed {seed}, logs in {folder}')
