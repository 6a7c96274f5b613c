"""Server and client on loopback: hang-ups, stops, kept connections."""

import anyio
import testtools

from nutmegtrail import models
from nutmegtrail.adapters.http1 import client
from nutmegtrail.adapters.http1 import errors
from nutmegtrail.adapters.http1 import messages
from nutmegtrail.adapters.http1 import server
from tests import loopback

_LIMITS = server.ConnectionLimits(messages.SizeLimits(8_192, 8_192), 5, 5)
_KEPT = ((b'keep-alive', b'timeout=5'),)
_WAIT_SECONDS = 20


class _Handler:
    """Answers at once, or when told to."""

    def __init__(self):
        """Start without a request."""
        self.asked = anyio.Event()
        self.go_on = anyio.Event()
        self.cancelled = anyio.Event()

    async def __call__(self, exchange):
        """Serve a request; a slow one waits."""
        if exchange.request.target == b'/slow':
            self.asked.set()
            try:
                await self.go_on.wait()
            except anyio.get_cancelled_exc_class():
                self.cancelled.set()
                raise
        await exchange.answer(200, _KEPT, exchange.request.body)


def _call(address, target=b'/', **changes):
    """Return a call with a body."""
    made = client.Call(address, b'POST', target, ((b'host', b'h'),), b'hello')
    return made._replace(**changes)


class ExchangeTest(testtools.TestCase):
    """One server, one client."""

    def _run(self, scenario):
        """Run a scenario beside a server."""

        async def _main():
            self.handler = _Handler()
            self.address = loopback.free_address()
            self.server = server.Server(
                self.address,
                self.handler,
                lambda: _LIMITS,
            )
            await self.server.start()
            with anyio.fail_after(_WAIT_SECONDS):
                async with anyio.create_task_group() as tasks:
                    tasks.start_soon(self.server.serve)
                    await scenario(tasks)
                    tasks.cancel_scope.cancel()

        anyio.run(_main)

    def test_kept_connection(self):
        """A second call uses the connection of the first."""

        async def _scenario(_):
            caller = client.Client()
            for _ in range(2):
                head, body = await caller.fetch(_call(self.address), 99)
                self.assertEqual((200, b'hello'), (head.status, body))
            self.assertEqual(1, caller.connections_opened)
            await caller.fetch(
                _call(self.address, needs_new_connection=True), 99
            )
            self.assertEqual(2, caller.connections_opened)
            await caller.close()

        self._run(_scenario)

    def test_caller_hangs_up(self):
        """The work on a request ends when its caller has gone."""

        async def _scenario(_):
            stream = await anyio.connect_tcp(
                self.address.ip,
                self.address.port,
            )
            await stream.send(b'GET /slow HTTP/1.1\r\nHost: h\r\n\r\n')
            await self.handler.asked.wait()
            await stream.aclose()
            await self.handler.cancelled.wait()

        self._run(_scenario)

    def test_stop_cuts_nothing(self):
        """An answer under way is completed; its connection then closes."""

        async def _scenario(tasks):
            caller = client.Client()
            answers = []

            async def _ask():
                call = _call(self.address, b'/slow')
                answers.append(await caller.fetch(call, 99))

            tasks.start_soon(_ask)
            await self.handler.asked.wait()
            self.server.stop()
            self.server.close()
            self.handler.go_on.set()
            while not answers:
                await anyio.sleep(0.01)
            self.assertEqual(b'hello', answers[0][1])
            error = None
            try:
                await caller.fetch(_call(self.address), 99)
            except errors.NotConnected as caught:
                error = caught
            self.assertIsNotNone(error)

        self._run(_scenario)

    def test_new_connection_while_stopping(self):
        """A connection that came before the listener closed is served.

        Soak seed 1: requests on new connections were cut without an answer
        for as long as the balancer still sent them to a stopping entry.
        """

        async def _scenario(_):
            self.server.stop()
            stream = await anyio.connect_tcp(
                self.address.ip,
                self.address.port,
            )
            await anyio.sleep(0.1)
            await stream.send(b'GET / HTTP/1.1\r\nHost: h\r\n\r\n')
            answer = await stream.receive()
            self.assertIn(b'200 OK', answer)
            self.assertIn(b'connection: close', answer)
            await stream.aclose()

        self._run(_scenario)

    def test_nobody_listens(self):
        """A refused connection says that nothing was sent."""

        async def _scenario(_):
            call = _call(loopback.free_address())
            error = None
            try:
                await client.Client().fetch(call, 99)
            except errors.NotConnected as caught:
                error = caught
            self.assertIsNotNone(error)

        self._run(_scenario)


class BrokenUpstreamTest(testtools.TestCase):
    """An upstream that misbehaves on its connections."""

    def _fetch(self, *replies):
        """Return the outcomes of calls to an upstream with set replies."""

        async def _main():
            left = list(replies)
            outcomes = []
            caller = client.Client()

            async def _serve(stream):
                async with stream:
                    while left:
                        try:
                            await stream.receive()
                        except anyio.EndOfStream:
                            return
                        reply, closes = left.pop(0)
                        await stream.send(reply)
                        if closes:
                            return

            listener = await anyio.create_tcp_listener(
                local_host='127.0.0.1',
            )
            port = listener.extra(anyio.abc.SocketAttribute.local_port)
            address = models.Address('127.0.0.1', port)
            with anyio.fail_after(_WAIT_SECONDS):
                async with anyio.create_task_group() as tasks:
                    tasks.start_soon(listener.serve, _serve)
                    for _ in replies:
                        try:
                            answer = await caller.fetch(_call(address), 99)
                            outcomes.append(answer[1])
                        except errors.ExchangeBroken:
                            outcomes.append('broken')
                        await anyio.sleep(0.05)
                    tasks.cancel_scope.cancel()
            return outcomes, caller.connections_opened

        return anyio.run(_main)

    def test_cut_answer(self):
        """A body shorter than its length is a broken exchange."""
        cut = b'HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nhello'
        self.assertEqual(['broken'], self._fetch((cut, True))[0])

    def test_closed_kept_connection_is_not_used(self):
        """A connection that the upstream closed while idle is replaced."""
        whole = (
            b'HTTP/1.1 200 OK\r\nKeep-Alive: timeout=5\r\n'
            b'Content-Length: 5\r\n\r\nhello'
        )
        outcomes, opened = self._fetch((whole, True), (whole, True))
        self.assertEqual([b'hello', b'hello'], outcomes)
        self.assertEqual(2, opened)

    def test_second_answer_belongs_to_nobody(self):
        """A connection with stray bytes is not used again."""
        whole = (
            b'HTTP/1.1 200 OK\r\nKeep-Alive: timeout=5\r\n'
            b'Content-Length: 5\r\n\r\nhello'
        )
        stray = whole.replace(b'hello', b'wrong')
        outcomes, opened = self._fetch((whole + stray, False), (whole, True))
        self.assertEqual([b'hello', b'hello'], outcomes)
        self.assertEqual(2, opened)


class FaultyHandlerTest(testtools.TestCase):
    """A fault in the handling of one request."""

    def test_other_requests_are_served(self):
        """The faulty request ends without an answer, the next one is served."""

        async def _handle(exchange):
            if exchange.request.target == b'/faulty':
                raise ValueError('a fault')
            await exchange.answer(200, (), b'')

        async def _main():
            address = loopback.free_address()
            served = server.Server(address, _handle, lambda: _LIMITS)
            await served.start()
            outcomes = []
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(served.serve)
                for target in (b'/faulty', b'/'):
                    call = _call(address, target)
                    try:
                        head, _ = await client.Client().fetch(call, 99)
                        outcomes.append(head.status)
                    except errors.ExchangeBroken:
                        outcomes.append('broken')
                tasks.cancel_scope.cancel()
            return outcomes

        self.assertEqual(['broken', 200], anyio.run(_main))
