"""Engines that fall silent for a while and then go on."""

import anyio
import testtools

from nutmegtrail.adapters.http1 import client
from nutmegtrail.adapters.http1 import errors
from tests.platform import entries
from tests.platform import stream_engine

_ENGINES = 4
_ENTRIES = 2
_STREAMS = 64
_STREAM_INTERVAL_SECONDS = 0.1
# Callers abandon a stream after a pause of two seconds.
_SILENCES_SECONDS = (0.9, 1.4, 1.8)
_SILENCE_INTERVAL_SECONDS = 2.1
_FIRST_VERSION = 8
_WHOLE = b''.join(
    b'id: %d\ndata: x\n\n' % number
    for number in range(1, stream_engine.EVENT_COUNT + 1)
)


def _create_engine(number, store, tasks):
    """Return an engine of the service 'drafts'."""
    return stream_engine.StreamEngine(f'i-{number}', store, tasks)


class _Caller:
    """Caller that keeps what it received of each stream."""

    def __init__(self, deployment):
        """Initialize a caller without requests."""
        self._deployment = deployment
        self._client = client.Client()
        self.whole_ids = []
        self.refused_ids = []
        self.broken_ids = []

    async def request(self, number):
        """Request a stream and read it to its end."""
        request_id = f's-{number}'
        call = client.Call(
            self._deployment.entries[number % _ENTRIES].addresses[0],
            b'POST',
            b'/long/prefix/2f',
            (
                (b'host', b'ficu95.example'),
                (b'x-nutmegtrail-request-id', request_id.encode()),
                (b'x-nutmegtrail-deadline-ms', b'8000'),
                (b'api-key', b'key-1'),
            ),
        )
        try:
            head, body = await self._client.fetch(call, 99_999)
        except errors.ExchangeBroken:
            self.broken_ids.append(request_id)
            return
        if head.status == 200 and body == _WHOLE:
            self.whole_ids.append(request_id)
        elif head.status == 503:
            self.refused_ids.append(request_id)
        else:
            self.broken_ids.append(request_id)


class SilentEngineTest(testtools.TestCase):
    """Two entries in front of four engines, each full or nearly so."""

    def _serve_streams(self, silence_seconds):
        """Send streams while engines fall silent; return the caller.

        A new configuration arrives beside each silence.
        """
        callers = []

        async def _scenario(deployment):
            caller = _Caller(deployment)
            callers.append(caller)
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(_disturb, deployment, silence_seconds)
                for number in range(_STREAMS):
                    tasks.start_soon(caller.request, number)
                    await anyio.sleep(_STREAM_INTERVAL_SECONDS)

        entries.run(_scenario, _ENGINES, _ENTRIES, _create_engine)
        return callers[0]

    def test_no_stream_is_broken_off(self):
        """A stream is not ended early because its engine is silent.

        The engine is sound and goes on; the other engines have no place to
        resume the stream.
        """
        for silence_seconds in _SILENCES_SECONDS:
            caller = self._serve_streams(silence_seconds)
            self.assertEqual([], caller.broken_ids, silence_seconds)
            self.assertTrue(len(caller.whole_ids) > _STREAMS // 2)

    def test_no_silence(self):
        """Without silences all streams are served."""
        caller = self._serve_streams(0)
        self.assertEqual([], caller.broken_ids)
        self.assertEqual(_STREAMS, len(caller.whole_ids))


async def _disturb(deployment, silence_seconds):
    """Let one engine after the other fall silent."""
    for number, engine in enumerate(deployment.engines[:3]):
        await anyio.sleep(_SILENCE_INTERVAL_SECONDS)
        deployment.configure(_FIRST_VERSION + number)
        engine.fall_silent(silence_seconds)
