"""Peers that answer twice on a connection."""

import anyio
import testtools

from nutmegtrail.adapters.order_relay import documents
from nutmegtrail.adapters.order_relay import http as order_relay_http
from nutmegtrail.adapters.rank_engine import http as rank_engine_http
from nutmegtrail.adapters.upstream_http import client as upstream_http
from nutmegtrail.expert_map import switch
from nutmegtrail.ports import order_relay
from nutmegtrail.ports import rank_control
from nutmegtrail.wire import models
from tests import loopback

_WAIT_SECONDS = 20
_OK = (
    b'HTTP/1.1 200 OK\r\nkeep-alive: timeout=9\r\ncontent-length: %d\r\n\r\n%b'
)


class RepeatedAnswerTest(testtools.TestCase):
    """A peer answers the first request on a connection.

    It repeats this answer where that to the second one is expected, which it
    leaves unanswered. Other connections work.
    """

    def _run(self, answers, scenario):
        """Run a scenario with a peer that gives these answers in turn."""
        remaining = list(answers)

        async def _serve(stream):
            async with stream:
                await stream.receive()
                answer = remaining.pop(0)
                await stream.send(_OK % (len(answer), answer))
                await stream.receive()
                await stream.send(_OK % (len(answer), answer))
                await anyio.sleep_forever()

        async def _serve_until_closed(stream):
            try:
                await _serve(stream)
            except (anyio.EndOfStream, anyio.BrokenResourceError):
                return

        async def _main():
            address = loopback.free_address()
            listener = await anyio.create_tcp_listener(
                local_host=address.ip, local_port=address.port
            )
            with anyio.fail_after(_WAIT_SECONDS):
                async with anyio.create_task_group() as tasks:
                    tasks.start_soon(listener.serve, _serve_until_closed)
                    await scenario(address)
                    tasks.cancel_scope.cancel()

        anyio.run(_main)

    # Guards against steps on two maps behind sidecars.
    def test_engine_behind_a_sidecar(self):
        """The state of a rank is not that of an earlier question."""
        states = [
            b'{"map_id":"m%d","since_step":0,"horizon":9,"completed":1,'
            b'"fence":1,"slots":[[0]],"loads":[1],"speeds":[1]}' % number
            for number in range(2)
        ]

        async def _scenario(address):
            engine = rank_engine_http.HttpRankEngine(address, 0)
            for map_id in ('m0', 'm1'):
                state = await engine.read()
                self.assertEqual(map_id, state.ok.current.map_id)
            await engine.close()

        self._run(states, _scenario)

    # Guards against an answer that reaches another caller.
    def test_upstream_behind_a_sidecar(self):
        """A read does not get the answer to an earlier one."""

        async def _scenario(address):
            upstream = upstream_http.HttpUpstream(address)
            for expected in (b'first', b'second'):
                async with upstream.open(_call()) as response:
                    events = [event async for event in response.events]
                self.assertEqual([expected], events)
            await upstream.close()

        self._run([b'first', b'second'], _scenario)

    def test_order_relay(self):
        """Outcomes of a batch are not those of an earlier batch."""
        outcomes_by_id = {'i-1': rank_control.OrderOutcome.ACCEPTED}
        order = switch.Order(switch.Operation.PREPARE, 3, 9, layers=(((0,),),))

        async def _scenario(address):
            relay = order_relay_http.OrderRelayClient()
            for fence, expected in ((1, outcomes_by_id), (2, {})):
                batch = order_relay.Batch(order, fence, ('i-1',))
                outcomes = await relay.relay(address, batch)
                self.assertEqual(expected, outcomes)
            await relay.close()

        answers = [documents.encode_outcomes(outcomes_by_id), b'{}']
        self._run(answers, _scenario)


def _call():
    """Return a read, which may be repeated."""
    return models.Call(
        'r1',
        1,
        'agency',
        'desk',
        'GET',
        '/bookings',
        '',
        b'',
        '',
        idempotent=True,
        priority=1,
        deadline_ms=1_000,
    )
