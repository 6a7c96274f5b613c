"""Requests that end the engines that run them, over several entries."""

import anyio
import testtools

from tests.platform import engine_process
from tests.platform import entries

# The bound of the platform: from this long after the third end, a request may
# reach three more engines.
_STABLE_SECONDS = 3.0
_MAX_LATE_RUNS = 3
_COPIES = 30
_COPY_INTERVAL_SECONDS = 0.25


def _late_runs(deployment):
    """Return the runs of the fatal request after the bound."""
    ends = sorted(end for engine in deployment.engines for end in engine.ends)
    if len(ends) < 3:
        return []
    return [
        run_at
        for run_at in deployment.run_times(engine_process.FATAL_BODY)
        if run_at > ends[2] + _STABLE_SECONDS
    ]


class CrashingRequestTest(testtools.TestCase):
    """Two entries in front of eight engines."""

    def test_copies_at_two_entries(self):
        """A request that ends its engines is not sent on for ever.

        Its copies come with different request IDs at both entries in turn,
        and neither entry sees all of the ends.
        """

        async def _scenario(deployment):
            for number in range(_COPIES):
                deployment.send_later(
                    deployment.entries[number % 2],
                    engine_process.FATAL_BODY,
                    f'copy-{number}',
                )
                await anyio.sleep(_COPY_INTERVAL_SECONDS)
            late_runs = _late_runs(deployment)
            self.assertTrue(len(late_runs) <= _MAX_LATE_RUNS, len(late_runs))

        entries.run(_scenario, engine_count=8, entry_count=2)
