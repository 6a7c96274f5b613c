"""Tests that a failed background task does not stop the gateway."""

import anyio
import testtools

from nutmegtrail.gateway import const
from nutmegtrail.gateway import daemon


class SuperviseTest(testtools.TestCase):
    """Supervision of background tasks."""

    def test_started_again(self):
        """A failed task is restarted after a delay."""
        starts = []

        async def _task():
            starts.append(anyio.current_time())
            raise ValueError('a fault')

        async def _main():
            with anyio.move_on_after(const.TASK_RETRY_SECONDS * 1.5):
                await daemon.supervise(_task)

        anyio.run(_main)
        self.assertEqual(2, len(starts))
