"""The whole path on loopback: callers, the entry, engines, the store."""

import contextlib
import functools
import json

import anyio
import testtools

from nutmegtrail.adapters.http1 import client
from nutmegtrail.adapters.http1 import errors
from nutmegtrail.bootstrap import gateway
from nutmegtrail.gateway import settings
from tests import loopback
from tests.platform import samples
from tests.platform import stand_in

_WAIT_SECONDS = 40
_STREAM = b''.join(b'id: %d\ndata: x\n\n' % number for number in range(1, 6))


def _settings(addresses, store, retry_base):
    """Return the settings of an entry."""
    names = ('callers', 'readiness', 'peers', 'metrics')
    listen = {
        name: str(address)
        for name, address in zip(names, addresses, strict=True)
    }
    return settings.GatewaySettings.model_validate(
        {
            'process': {'host': 'entry-1', 'failure_domain': 'kandla-a'},
            'listen': listen,
            'store': {'address': str(store.address)},
            'retries': {
                'window_seconds': 10,
                'share': 0.2,
                'base': retry_base,
            },
            'stop': {'grace_seconds': 8},
        },
    )


class PathTest(testtools.TestCase):
    """One entry before two engines of each service."""

    def _run(self, scenario, retry_base=92):
        """Run a scenario beside the entry and its stand-ins."""

        async def _main():
            with anyio.fail_after(_WAIT_SECONDS):
                async with contextlib.AsyncExitStack() as stack:
                    await self._start(stack, retry_base)
                    await scenario()

        anyio.run(_main)

    async def _start(self, stack, retry_base):
        """Start the stand-ins and the entry; wait until it is ready."""
        tasks = await stack.enter_async_context(anyio.create_task_group())
        stack.callback(tasks.cancel_scope.cancel)
        self.store = stand_in.Store()
        self.drafts = [
            stand_in.Engine(f'i-{number}', 'drafts') for number in range(2)
        ]
        self.desk = [
            stand_in.Engine(f'd-{number}', 'desk') for number in range(2)
        ]
        for one in (self.store, *self.drafts, *self.desk):
            served = stand_in.create_server(one)
            await served.start()
            tasks.start_soon(served.serve)
        for engine in (*self.drafts, *self.desk):
            key = f'servers/{engine.name}'
            self.store.put(key, engine.registration())
        self.configure(version=7)
        self.addresses = [loopback.free_address() for _ in range(4)]
        self.entry = gateway.create_gateway(
            _settings(self.addresses, self.store, retry_base),
        )
        self.caller = client.Client()
        tasks.start_soon(self.entry.start)
        while not await self._is_ready():
            await anyio.sleep(0.02)

    def configure(self, version, **changes):
        """Write a configuration in which all streams go to the drafts."""
        document = json.loads(json.dumps(samples.CONFIG))
        document['routes'][1].pop('traffic_split')
        document['routes'][1]['service'] = 'drafts'
        document.update(changes, version=version)
        self.store.put('op/config', json.dumps(document).encode())

    async def _is_ready(self):
        """Return whether the entry wants connections and has upstreams."""
        call = client.Call(self.addresses[1], b'GET', b'/', ())
        try:
            head, _ = await self.caller.fetch(call, 99)
        except errors.NotConnected:
            return False
        return head.status == 200 and self.store.revision > 6

    async def _ask(self, path, key=b'key-1', request_id=b'r1'):
        """Return the status, headers and body that a caller gets."""
        headers = (
            (b'host', b'ficu95.example'),
            (b'x-nutmegtrail-request-id', request_id),
            (b'x-nutmegtrail-deadline-ms', b'4000'),
            (b'api-key', key),
        )
        call = client.Call(
            self.addresses[0],
            b'POST',
            path,
            headers,
            b'body',
            needs_new_connection=True,
        )
        head, body = await self.caller.fetch(call, 9_999)
        return head.status, dict(head.headers), body

    async def _ask_until(self, wanted, path, **changes):
        """Ask until the status is as wanted."""
        status = None
        while status != wanted:
            status, _, _ = await self._ask(path, **changes)
            await anyio.sleep(0.02)

    def _ran(self, engines):
        """Return the number of requests that reached engines."""
        return sum(len(engine.requests) for engine in engines)

    def _script(self, engines, *scripts):
        """Tell all engines of a service their next answers."""
        for engine in engines:
            engine.scripts = list(scripts)

    def test_stream(self):
        """A caller gets all events, sealed by the engine."""

        async def _scenario():
            status, headers, body = await self._ask(b'/long/prefix/a')
            self.assertEqual((200, _STREAM), (status, body))
            self.assertIn(b'x-nutmegtrail-response-seal', headers)
            self.assertEqual(b'r1', headers[b'x-nutmegtrail-request-id'])

        self._run(_scenario)

    def test_resumed_elsewhere(self):
        """One engine cuts its stream; the other one completes it."""

        async def _scenario():
            self._script(self.drafts, 'cut')
            for engine in self.drafts:
                engine.after_cut = self._clear_scripts
            status, _, body = await self._ask(b'/long/prefix/a')
            self.assertEqual((200, _STREAM), (status, body))
            self.assertEqual(2, self._ran(self.drafts))

        self._run(_scenario)

    def test_silence_of_the_last_engine(self):
        """A stream that can not go on elsewhere is not cut for a pause."""

        async def _scenario():
            self._script(self.drafts, 'pausing', 'pausing')
            status, _, body = await self._ask(b'/long/prefix/a')
            self.assertEqual((200, _STREAM), (status, body))

        self._run(_scenario)

    def test_silence_without_retries_left(self):
        """A stream is not cut for a pause when no retry is left for it."""

        async def _scenario():
            self._script(self.drafts, 'pausing')
            status, _, body = await self._ask(b'/long/prefix/a')
            self.assertEqual((200, _STREAM), (status, body))
            self.assertEqual(1, self._ran(self.drafts))

        self._run(_scenario, retry_base=0)

    def test_cut_everywhere(self):
        """A stream that nobody completes does not look complete."""

        async def _scenario():
            self._script(self.drafts, 'cut', 'cut')
            error = None
            try:
                await self._ask(b'/long/prefix/a')
            except errors.ExchangeBroken as caught:
                error = caught
            self.assertIsNotNone(error)
            self.assertEqual(2, self._ran(self.drafts))

        self._run(_scenario)

    def _clear_scripts(self):
        """Let all drafting engines answer completely from now on."""
        self._script(self.drafts)

    def test_booking_is_never_sent_twice(self):
        """A booking whose fate is unknown is neither repeated nor denied."""
        for script in ('lost', 'foreign'):

            async def _scenario(script=script):
                self._script(self.desk, script)
                status, _, _ = await self._ask(b'/long/b')
                self.assertEqual(502, status)
                self.assertEqual(1, self._ran(self.desk))

            self._run(_scenario)

    def test_read_whose_answer_is_lost(self):
        """Pattern `answer_lost`: a silent read is asked for elsewhere."""

        async def _scenario():
            self._script(self.desk, 'silent')
            for engine in self.desk:
                engine.after_cut = functools.partial(self._script, self.desk)
            status, _, body = await self._ask(b'/long/read/c')
            self.assertEqual((200, b'booked'), (status, body))
            self.assertEqual(2, self._ran(self.desk))

        self._run(_scenario)

    def test_booking_whose_answer_is_lost(self):
        """A booking is not asked for elsewhere while its engine is silent."""

        async def _scenario():
            self._script(self.desk, 'silent')
            status, _, _ = await self._ask(b'/long/b')
            self.assertEqual(504, status)
            self.assertEqual(1, self._ran(self.desk))

        self._run(_scenario)

    def test_read_without_retries_left(self):
        """A silent read is waited for where no retry is left."""

        async def _scenario():
            self._script(self.desk, 'silent')
            status, _, _ = await self._ask(b'/long/read/c')
            self.assertEqual(504, status)
            self.assertEqual(1, self._ran(self.desk))

        self._run(_scenario, retry_base=0)

    def test_refused_booking(self):
        """A booking that did not run is refused with a time to come back."""

        async def _scenario():
            self._script(self.desk, 'not_run')
            status, headers, _ = await self._ask(b'/long/b')
            self.assertEqual(503, status)
            self.assertIn(b'retry-after', headers)
            self.assertEqual(1, self._ran(self.desk))

        self._run(_scenario)

    def test_failed_booking(self):
        """The engine's own failure is passed on with its seal."""

        async def _scenario():
            self._script(self.desk, 'failed')
            status, headers, body = await self._ask(b'/long/b')
            self.assertEqual((500, b'failed'), (status, body))
            self.assertIn(b'x-nutmegtrail-response-seal', headers)

        self._run(_scenario)

    def test_keys(self):
        """A removed key is refused soon after the change."""

        async def _scenario():
            status, _, _ = await self._ask(b'/long/b', key=b'wrong')
            self.assertEqual(401, status)
            accounts = [{'name': 'agency', 'api_keys': ['key-2']}]
            self.configure(version=9, tenants=accounts)
            await self._ask_until(401, b'/long/b')
            self.configure(version=8)
            await anyio.sleep(0.1)
            status, _, _ = await self._ask(b'/long/b')
            self.assertEqual(401, status)

        self._run(_scenario)

    def test_unknown_route(self):
        """A path without a route is not found."""

        async def _scenario():
            status, _, _ = await self._ask(b'/other')
            self.assertEqual(404, status)

        self._run(_scenario)

    def test_leaving_engine(self):
        """An engine that is leaving gets nothing more."""

        async def _scenario():
            for engine in self.desk:
                leaving = engine.registration(state='draining')
                self.store.put(f'servers/{engine.name}', leaving)
            await self._ask_until(503, b'/long/b')
            before = self._ran(self.desk)
            await self._ask(b'/long/b')
            self.assertEqual(before, self._ran(self.desk))

        self._run(_scenario)

    def test_outage_of_the_store(self):
        """Requests are served while the store refuses every call."""

        async def _scenario():
            self.store.is_unavailable = True
            self.store.put('unrelated', b'')
            for _ in range(20):
                status, _, _ = await self._ask(b'/long/b')
                self.assertEqual(200, status)
                await anyio.sleep(0.02)

        self._run(_scenario)
