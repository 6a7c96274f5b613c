"""Preview of a request by a whole entry."""

import json

import testtools

from nutmegtrail.adapters.http1 import client
from tests.platform import entries


class PreviewTest(testtools.TestCase):
    """Question to the metrics address of an entry."""

    def test_question(self):
        """The entry names the upstream, sends nothing, and serves metrics."""

        async def _scenario(deployment):
            entry = deployment.entries[0]
            target = (
                b'/preview?host=ficu95.example&path=/long/read/2f&account=board'
            )
            call = client.Call(entry.addresses[3], b'GET', target, ())
            head, body = await client.Client().fetch(call, 99_999)
            preview = json.loads(body)
            self.assertEqual(200, head.status)
            self.assertEqual('sent', preview['outcome'])
            service = preview['services'][0]
            self.assertRegex(service['upstream'], r'^d-[01]-')
            for engine in deployment.engines:
                self.assertEqual([], engine.runs)
            self.assertIn('nutmegtrail', await entry.metrics())

        entries.run(_scenario, 2, 1)
