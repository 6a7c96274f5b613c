"""Entries whose watches of the store are cut, while the store is available."""

import anyio
import testtools

from tests.platform import entries

_WATCH_SECONDS = 0.5
_CUT_SECONDS = 0.05
_RETRY_SECONDS = 1.0
_REQUESTS = 12


class CutWatchTest(testtools.TestCase):
    """Two entries in front of two engines."""

    # Guards against orders to a removed engine (DRAIN), which exits when it
    # has drained.
    def test_removal_right_after_a_cut(self):
        """An engine that is removed just after a cut gets no more work."""

        async def _scenario(deployment):
            leaving, other = deployment.engines
            elsewhere = other.registration(zone='kandla-b')
            deployment.store.put(other.key, elsewhere)
            await anyio.sleep(_WATCH_SECONDS)
            await self._send(deployment, 'before')
            self.assertNotEqual([], leaving.runs)
            deployment.store.cut_watches('servers/')
            await anyio.sleep(_CUT_SECONDS)
            deployment.store.remove(leaving.key)
            await anyio.sleep(_WATCH_SECONDS)
            leaving.runs.clear()
            await self._send(deployment, 'after')
            self.assertEqual([], leaving.runs)

        entries.run(_scenario, engine_count=2, entry_count=2)

    # Guards against orders to a removed engine (DRAIN): a cut watch and one
    # refused call counted as an outage, in which a registration may expire.
    def test_removal_while_the_next_call_is_refused(self):
        """The removal counts although the call after the cut fails, too."""

        async def _scenario(deployment):
            leaving, _ = deployment.engines
            await anyio.sleep(_WATCH_SECONDS)
            deployment.store.cut_watches('servers/', refusals=2)
            await anyio.sleep(_CUT_SECONDS)
            deployment.store.remove(leaving.key)
            await anyio.sleep(_RETRY_SECONDS)
            leaving.runs.clear()
            await self._send(deployment, 'after')
            self.assertEqual([], leaving.runs)

        entries.run(_scenario, engine_count=2, entry_count=2)

    # Guards against a removal that is lost with the watch that would tell it.
    def test_removal_while_a_watch_is_cut_again_and_again(self):
        """The removal is read however often watches are cut."""

        async def _scenario(deployment):
            leaving, _ = deployment.engines
            deployment.store.remove(leaving.key)
            for _ in range(20):
                for prefix in ('servers/', 'op/', 'nutmegtrail/'):
                    deployment.store.cut_watches(prefix)
                await anyio.sleep(_CUT_SECONDS)
            leaving.runs.clear()
            await self._send(deployment, 'after')
            self.assertEqual([], leaving.runs)

        entries.run(_scenario, engine_count=2, entry_count=2)

    async def _send(self, deployment, name):
        """Send requests to the entries in turn; all of them are served."""
        for number in range(_REQUESTS):
            response = await deployment.send(
                deployment.entries[number % 2], b'x', f'{name}-{number}'
            )
            self.assertEqual(200, response.status)
