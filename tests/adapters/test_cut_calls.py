"""Calls of the path with sidecars whose answers are cut at each byte."""

import functools

import anyio
import orjson
import testtools

from nutmegtrail.adapters.host_list import http as host_list_http
from nutmegtrail.adapters.key_value import etcd
from nutmegtrail.adapters.rank_engine import http as rank_engine_http
from nutmegtrail.ports import key_value
from tests import loopback

_WAIT_SECONDS = 30
_START = b'HTTP/1.1 200 OK\r\nX-A: 1\r\n'
_FRAMINGS = ('length', 'chunks', 'interim')


def _frame(framing, body):
    """Return a whole answer."""
    whole = b'%bContent-Length: %d\r\n\r\n%b' % (_START, len(body), body)
    if framing == 'chunks':
        return (
            _START
            + b'Transfer-Encoding: chunked\r\n\r\n%x\r\n%b\r\n'
            % (len(body), body)
            + b'0\r\n\r\n'
        )
    if framing == 'interim':
        return b'HTTP/1.1 100 Continue\r\n\r\n' + whole
    return whole


async def _serve(answers, stream):
    """Read a request, send the next answer and close."""
    async with stream:
        await stream.receive()
        answer = answers.pop(0)
        if answer:
            await stream.send(answer)


class CutCallsTest(testtools.TestCase):
    """A cut answer of the store, an engine or the platform is none."""

    def _run(self, scenario):
        """Run a scenario with a peer that gives the answers in a list."""

        async def _main():
            address = loopback.free_address()
            listener = await anyio.create_tcp_listener(
                local_host=address.ip, local_port=address.port
            )
            answers = []
            with anyio.fail_after(_WAIT_SECONDS):
                async with anyio.create_task_group() as tasks:
                    tasks.start_soon(
                        listener.serve, functools.partial(_serve, answers)
                    )
                    await scenario(address, answers)
                    tasks.cancel_scope.cancel()

        anyio.run(_main)

    def _check(self, create_client, call, body, check):
        """Check a call whose answer is cut, and whole at the end."""

        async def _scenario(address, answers):
            client = create_client(address)
            for framing in _FRAMINGS:
                whole = _frame(framing, body)
                for removed in (*range(1, len(whole) + 1), 0):
                    cut = whole[: len(whole) - removed]
                    answers.append(cut)
                    result = await call(client)
                    self.assertEqual(bool(removed), result.is_error(), cut)
                    if removed:
                        check(result.error)
            await client.close()

        self._run(_scenario)

    def _ignore(self, _):
        """Accept any error."""

    def test_write(self):
        """A cut answer to a write leaves its outcome unknown."""

        def _assert_unknown(error):
            self.assertIsInstance(error, key_value.OutcomeUnknown)

        self._check(
            etcd.EtcdStore,
            lambda store: store.swap('a', 1, b'x'),
            orjson.dumps({'succeeded': True, 'header': {'revision': '12'}}),
            _assert_unknown,
        )

    def test_renewal(self):
        """A cut answer neither renews a lease nor ends it."""
        self._check(
            etcd.EtcdStore,
            lambda store: store.keep_alive(7),
            orjson.dumps({'result': {'TTL': '10'}}),
            self._ignore,
        )

    def test_read(self):
        """A cut answer to a read is not an empty one."""
        self._check(
            etcd.EtcdStore,
            lambda store: store.scan('a'),
            orjson.dumps({'kvs': []}),
            self._ignore,
        )

    def test_order(self):
        """A cut answer does not confirm an order to a rank."""
        self._check(
            lambda address: rank_engine_http.HttpRankEngine(address, 0),
            lambda engine: engine.fence(3),
            b'{}',
            self._ignore,
        )

    def test_host_list(self):
        """A cut host list is not an empty one."""
        self._check(
            host_list_http.HttpHostList,
            lambda hosts: hosts.hosts(),
            b'[]',
            self._ignore,
        )

    def test_watch(self):
        """A watch yields whole changes only, and none of a cut line."""
        line = orjson.dumps(
            {
                'result': {
                    'events': [{'kv': {'key': 'YQ==', 'mod_revision': '12'}}]
                }
            }
        )

        async def _scenario(address, answers):
            store = etcd.EtcdStore(address)
            body = line + b'\n' + line
            for removed in range(1, len(body) + 1):
                cut = body[:-removed]
                answers.append(_START + b'\r\n' + cut)
                seen = [entry async for entry in store.watch('a', 1)]
                self.assertEqual(line in cut, bool(seen), cut)
                self.assertTrue(len(seen) <= 1)
            await store.close()

        self._run(_scenario)
