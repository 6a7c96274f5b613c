"""Callers that send the same request ID at the same time."""

import anyio
import testtools

from tests.platform import entries

_SLOTS = 6


class SameIdentifierTest(testtools.TestCase):
    """One entry in front of one engine."""

    def test_queued_requests(self):
        """Requests that wait at the same time are all answered.

        A queue that told them apart by the callers' request ID would answer
        the last one only.
        """

        async def _scenario(deployment):
            statuses = []

            async def _send(number):
                response = await deployment.send(
                    deployment.entries[0], b'slow %d' % number, 'same'
                )
                statuses.append(response.status)

            async with anyio.create_task_group() as tasks:
                for number in range(_SLOTS + 3):
                    tasks.start_soon(_send, number)
            self.assertEqual([200 for _ in range(_SLOTS + 3)], statuses)

        entries.run(_scenario, engine_count=1, entry_count=1)
