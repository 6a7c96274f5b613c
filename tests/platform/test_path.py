"""End-to-end tests on loopback: clients, a gateway, engines, the store."""

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
from tests import simulated_time
from tests.platform import samples
from tests.platform import stand_in

_SCENARIO_TIMEOUT_SECONDS = 40
_STREAM = b''.join(b'id: %d\ndata: x\n\n' % number for number in range(1, 6))


def _settings(addresses, store, retry_base, host):
    """Return the settings of a gateway."""
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
            'host': host,
            'regions': {'kandla-a': 'gujarat', 'kandla-b': 'sindh'},
        },
    )


class PathTest(testtools.TestCase):
    """One gateway in front of two engines of each service."""

    def _run(self, scenario, retry_base=92, **host):
        """Run a scenario with a gateway and the simulated platform."""

        async def _main():
            with anyio.fail_after(_SCENARIO_TIMEOUT_SECONDS):
                async with contextlib.AsyncExitStack() as stack:
                    await self._start(stack, retry_base, host)
                    await scenario()

        simulated_time.run_processes(_main)

    async def _start(self, stack, retry_base, host):
        """Start the simulated platform and the gateway until it is ready."""
        tasks = await stack.enter_async_context(anyio.create_task_group())
        stack.callback(tasks.cancel_scope.cancel)
        self.store = stand_in.Store()
        self.drafts = [
            stand_in.Engine(f'i-{number}', 'drafts') for number in range(2)
        ]
        self.desk = [
            stand_in.Engine(f'd-{number}', 'desk') for number in range(2)
        ]
        for simulated in (self.store, *self.drafts, *self.desk):
            server = stand_in.create_server(simulated)
            await server.start()
            tasks.start_soon(server.serve)
        for engine in (*self.drafts, *self.desk):
            key = f'servers/{engine.name}'
            self.store.put(key, engine.registration())
        self.configure(version=7)
        self.addresses = [loopback.free_address() for _ in range(4)]
        self.gateway = gateway.create_gateway(
            _settings(self.addresses, self.store, retry_base, host),
        )
        self.client = client.Client()
        tasks.start_soon(self.gateway.start)
        while not await self._is_ready():
            await anyio.sleep(0.02)

    def configure(self, version, **changes):
        """Write a configuration that routes all streams to `drafts`."""
        document = samples.drafts_config()
        document.update(changes, version=version)
        self.store.put('op/config', json.dumps(document).encode())

    async def _is_ready(self):
        """Return whether the gateway is ready and the platform is set up."""
        call = client.Call(self.addresses[1], b'GET', b'/', ())
        try:
            head, _ = await self.client.fetch(call, 99)
        except errors.NotConnected:
            return False
        return head.status == 200 and self.store.revision > 6

    async def _request(self, path, key=b'key-1', request_id=b'r1'):
        """Send a request; return the status, headers and body."""
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
        head, body = await self.client.fetch(call, 9_999)
        return head.status, dict(head.headers), body

    async def _request_until(self, expected_status, path, **changes):
        """Repeat a request until it gets the expected status."""
        status = None
        while status != expected_status:
            status, _, _ = await self._request(path, **changes)
            await anyio.sleep(0.02)

    def _request_count(self, engines):
        """Return the number of requests that the engines received."""
        return sum(len(engine.requests) for engine in engines)

    def _set_scripts(self, engines, *scripts):
        """Set the scripts of all engines of a service."""
        for engine in engines:
            engine.scripts = list(scripts)

    async def _register_elsewhere(self, engine):
        """Move an engine to the other region."""
        self.store.put(
            f'servers/{engine.name}',
            samples.registration(
                service=engine.service,
                address=str(engine.address),
                zone='kandla-b',
                group=None,
                born=engine.started_at_ms,
            ),
        )
        await anyio.sleep(0.5)

    def test_allowed_regions(self):
        """The regions of the route and of the account both bind."""
        bound = json.loads(json.dumps(samples.CONFIG))
        bound['routes'][0]['allowed_regions'] = ['sindh']
        accounts = json.loads(json.dumps(samples.CONFIG['tenants']))
        accounts[0]['allowed_regions'] = ['gujarat']

        async def _scenario():
            elsewhere, near = self.desk
            await self._register_elsewhere(elsewhere)
            self.configure(version=8, routes=bound['routes'])
            await anyio.sleep(0.5)
            for _ in range(4):
                status, _, _ = await self._request(b'/long/b')
                self.assertEqual(200, status)
            self.assertEqual(
                (4, 0), (len(elsewhere.requests), len(near.requests))
            )
            self.configure(version=9, routes=bound['routes'], tenants=accounts)
            await self._request_until(503, b'/long/b')
            begun_at = anyio.current_time()
            status, _, _ = await self._request(b'/long/b')
            self.assertEqual(503, status)
            self.assertTrue(anyio.current_time() - begun_at < 0.3)
            self.assertEqual(0, len(near.requests))

        self._run(_scenario)

    def test_cold_engine(self):
        """A cold engine gets no more requests than it bears."""
        services = json.loads(json.dumps(samples.CONFIG['services']))
        services[1].update(cold_s=5.0, cold_per_s=2.0)

        async def _scenario():
            self.configure(version=8, services=services)
            for engine in self.desk:
                content = engine.registration(cold_left_ms=0)
                self.store.put(f'servers/{engine.name}', content)
            await anyio.sleep(0.5)
            await self._request(b'/long/b')
            # The one that is preferred becomes cold.
            warm, cold = sorted(
                self.desk, key=lambda engine: len(engine.requests)
            )
            cold.requests.clear()
            content = cold.registration(cold_left_ms=5_000)
            self.store.put(f'servers/{cold.name}', content)
            await anyio.sleep(0.5)
            for _ in range(20):
                status, _, _ = await self._request(b'/long/b')
                self.assertEqual(200, status)
            # It bears two requests in the second that these may take.
            self.assertTrue(len(cold.requests) <= 4, len(cold.requests))
            self.assertTrue(len(warm.requests) >= 16, len(warm.requests))

        self._run(_scenario)

    def test_stream(self):
        """A client receives all events with the seal of the engine."""

        async def _scenario():
            status, headers, body = await self._request(b'/long/prefix/a')
            self.assertEqual((200, _STREAM), (status, body))
            self.assertIn(b'x-nutmegtrail-response-seal', headers)
            self.assertEqual(b'r1', headers[b'x-nutmegtrail-request-id'])

        self._run(_scenario)

    def test_host_at_its_limit(self):
        """Pattern: an entry has nearly used up its memory.

        Callers are refused with a time to come back, by another connection.
        """

        async def _scenario():
            await self._request_until(503, b'/long/prefix/a')
            received = self._request_count(self.drafts)
            status, headers, _ = await self._request(b'/long/prefix/a')
            self.assertEqual((503, b'close'), (status, headers[b'connection']))
            self.assertTrue(float(headers[b'retry-after']) > 0)
            status, _, _ = await self._request(b'/long/prefix/a', key=b'other')
            self.assertEqual(401, status)
            self.assertEqual(received, self._request_count(self.drafts))
            self.assertTrue(await self._is_ready())

        self._run(_scenario, memory_megabytes=1)

    def test_stream_resumed_on_another_engine(self):
        """A stream interrupted by one engine is completed by another one."""

        async def _scenario():
            self._set_scripts(self.drafts, 'cut')
            for engine in self.drafts:
                engine.on_interruption = self._clear_scripts
            status, _, body = await self._request(b'/long/prefix/a')
            self.assertEqual((200, _STREAM), (status, body))
            self.assertEqual(2, self._request_count(self.drafts))

        self._run(_scenario)

    def test_stream_pause_without_other_engine(self):
        """A paused stream continues if no other engine can resume it."""

        async def _scenario():
            self._set_scripts(self.drafts, 'pausing', 'pausing')
            status, _, body = await self._request(b'/long/prefix/a')
            self.assertEqual((200, _STREAM), (status, body))

        self._run(_scenario)

    def test_stream_pause_without_retry_budget(self):
        """A paused stream continues if the retry budget is exhausted."""

        async def _scenario():
            self._set_scripts(self.drafts, 'pausing')
            status, _, body = await self._request(b'/long/prefix/a')
            self.assertEqual((200, _STREAM), (status, body))
            self.assertEqual(1, self._request_count(self.drafts))

        self._run(_scenario, retry_base=0)

    def test_stream_pause_with_rejection_elsewhere(self):
        """A paused stream goes on if another engine rejects its resumption.

        Giving it up for the other engine cut it.
        """

        async def _scenario():
            self.drafts[0].scripts = ['pausing']
            self.drafts[1].scripts = ['not_run']
            status, _, body = await self._request(b'/long/prefix/a')
            self.assertEqual((200, _STREAM), (status, body))
            self.assertEqual(2, self._request_count(self.drafts))

        self._run(_scenario)

    def test_late_read_with_rejection_elsewhere(self):
        """A late response is used if another engine rejects the request.

        Giving it up for the other engine answered 502.
        """

        async def _scenario():
            self.desk[0].scripts = ['late']
            self.desk[1].scripts = ['not_run']
            status, _, body = await self._request(b'/long/read/c')
            self.assertEqual((200, b'late'), (status, body))
            self.assertEqual(2, self._request_count(self.desk))

        self._run(_scenario)

    def test_stream_interrupted_on_all_engines(self):
        """A stream that no engine completes ends with a broken connection."""

        async def _scenario():
            self._set_scripts(self.drafts, 'cut', 'cut')
            error = None
            try:
                await self._request(b'/long/prefix/a')
            except errors.ExchangeBroken as caught:
                error = caught
            self.assertIsNotNone(error)
            self.assertEqual(2, self._request_count(self.drafts))

        self._run(_scenario)

    def _clear_scripts(self):
        """Let all `drafts` engines send complete responses from now on."""
        self._set_scripts(self.drafts)

    def test_booking_is_never_sent_twice(self):
        """A booking with an unknown outcome gets 502 and is not repeated."""
        for script in ('lost', 'foreign'):

            async def _scenario(script=script):
                self._set_scripts(self.desk, script)
                status, _, _ = await self._request(b'/long/b')
                self.assertEqual(502, status)
                self.assertEqual(1, self._request_count(self.desk))

            self._run(_scenario)

    def test_read_with_lost_response(self):
        """Pattern `answer_lost`: an unanswered read is retried elsewhere."""

        async def _scenario():
            self._set_scripts(self.desk, 'silent')
            for engine in self.desk:
                engine.on_interruption = functools.partial(
                    self._set_scripts, self.desk
                )
            status, _, body = await self._request(b'/long/read/c')
            self.assertEqual((200, b'booked'), (status, body))
            self.assertEqual(2, self._request_count(self.desk))

        self._run(_scenario)

    def test_booking_with_lost_response(self):
        """An unanswered booking is not sent to another engine."""

        async def _scenario():
            self._set_scripts(self.desk, 'silent')
            status, _, _ = await self._request(b'/long/b')
            self.assertEqual(504, status)
            self.assertEqual(1, self._request_count(self.desk))

        self._run(_scenario)

    def test_read_without_retry_budget(self):
        """An unanswered read times out if the retry budget is exhausted."""

        async def _scenario():
            self._set_scripts(self.desk, 'silent')
            status, _, _ = await self._request(b'/long/read/c')
            self.assertEqual(504, status)
            self.assertEqual(1, self._request_count(self.desk))

        self._run(_scenario, retry_base=0)

    def test_rejected_booking(self):
        """A booking that was not executed is refused with a retry delay."""

        async def _scenario():
            self._set_scripts(self.desk, 'not_run')
            status, headers, _ = await self._request(b'/long/b')
            self.assertEqual(503, status)
            self.assertIn(b'retry-after', headers)
            self.assertEqual(1, self._request_count(self.desk))

        self._run(_scenario)

    def test_failed_booking(self):
        """The error response of an engine is forwarded with its seal."""

        async def _scenario():
            self._set_scripts(self.desk, 'failed')
            status, headers, body = await self._request(b'/long/b')
            self.assertEqual((500, b'failed'), (status, body))
            self.assertIn(b'x-nutmegtrail-response-seal', headers)

        self._run(_scenario)

    def test_keys(self):
        """A removed API key is rejected soon after the change."""

        async def _scenario():
            status, _, _ = await self._request(b'/long/b', key=b'wrong')
            self.assertEqual(401, status)
            accounts = [{'name': 'agency', 'api_keys': ['key-2']}]
            self.configure(version=9, tenants=accounts)
            await self._request_until(401, b'/long/b')
            self.configure(version=8)
            await anyio.sleep(0.1)
            status, _, _ = await self._request(b'/long/b')
            self.assertEqual(401, status)

        self._run(_scenario)

    # Guards against requests that run once the last account is taken out.
    def test_no_accounts(self):
        """Without any account in the configuration, all keys are rejected."""

        async def _scenario():
            self.configure(version=9, tenants=[])
            await self._request_until(401, b'/long/b')
            runs = len(self.desk[0].requests) + len(self.desk[1].requests)
            for key in (b'key-1', b'wrong', b''):
                status, _, _ = await self._request(b'/long/b', key=key)
                self.assertEqual(401, status, key)
            self.assertEqual(
                runs, len(self.desk[0].requests) + len(self.desk[1].requests)
            )

        self._run(_scenario)

    # Guards against requests to a service whose weight is 0.
    def test_route_without_weights(self):
        """A route none of whose services has a weight refuses requests."""

        async def _scenario():
            document = json.loads(json.dumps(samples.CONFIG))
            for route in document['routes']:
                route['traffic_split'] = [{'service': 'desk', 'weight': 0}]
            self.configure(version=9, routes=document['routes'])
            await self._request_until(503, b'/long/b')
            runs = len(self.desk[0].requests) + len(self.desk[1].requests)
            status, headers, _ = await self._request(b'/long/b')
            self.assertEqual(503, status)
            self.assertIn(b'retry-after', headers)
            self.assertEqual(
                runs, len(self.desk[0].requests) + len(self.desk[1].requests)
            )

        self._run(_scenario)

    def test_unknown_route(self):
        """A path without a route gets 404."""

        async def _scenario():
            status, _, _ = await self._request(b'/other')
            self.assertEqual(404, status)

        self._run(_scenario)

    def test_draining_engine(self):
        """A draining engine receives no more requests."""

        async def _scenario():
            for engine in self.desk:
                leaving = engine.registration(state='draining')
                self.store.put(f'servers/{engine.name}', leaving)
            await self._request_until(503, b'/long/b')
            count_before = self._request_count(self.desk)
            await self._request(b'/long/b')
            self.assertEqual(count_before, self._request_count(self.desk))

        self._run(_scenario)

    def test_store_outage(self):
        """Requests are served while the store is unavailable."""

        async def _scenario():
            self.store.is_unavailable = True
            self.store.put('unrelated', b'')
            for _ in range(20):
                status, _, _ = await self._request(b'/long/b')
                self.assertEqual(200, status)
                await anyio.sleep(0.02)

        self._run(_scenario)
