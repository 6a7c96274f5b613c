"""Batches of orders that instances pass to each other over HTTP."""

import zlib

import anyio
import testtools

from nutmegtrail.adapters.order_relay import const
from nutmegtrail.adapters.order_relay import documents
from nutmegtrail.adapters.order_relay import http
from nutmegtrail.expert_map import switch
from nutmegtrail.ports import order_relay
from nutmegtrail.ports import rank_control
from tests import loopback

_LAYERS = (((0, 2), (1, 0)), ((1,), (0, 2)))
_ORDER = switch.Order(switch.Operation.PREPARE, 3, 9, layers=_LAYERS)
_BATCH = order_relay.Batch(_ORDER, 77, ('i-1', 'i-2'))
_OUTCOMES_BY_ID = {
    'i-1': rank_control.OrderOutcome.ACCEPTED,
    'i-2': rank_control.OrderOutcome.FENCED,
}


class DocumentsTest(testtools.TestCase):
    """Encoding of batches and outcomes."""

    def test_batch(self):
        """A batch arrives as it was sent."""
        payload = documents.encode_batch(_BATCH)
        self.assertEqual(_BATCH, documents.decode_batch(payload))

    def test_large_map(self):
        """A map of 96 ranks is compressed on its way to an instance."""
        layer = tuple(
            tuple(sorted((rank, rank + 96, (rank * 53 + 7) % 192)))
            for rank in range(96)
        )
        large = _ORDER._replace(layers=(layer,) * 16)
        payload = documents.encode_batch(_BATCH._replace(order=large))
        self.assertTrue(len(payload) < 96 * 16 * 3 * 4 / 2, len(payload))

    def test_outcomes(self):
        """Outcomes arrive as they were sent."""
        payload = documents.encode_outcomes(_OUTCOMES_BY_ID)
        self.assertEqual(_OUTCOMES_BY_ID, documents.decode_outcomes(payload))

    def test_orders_of_the_leader_alone(self):
        """Orders that hold, arm or release ranks are not relayed."""
        for operation in switch.Operation:
            if operation is switch.Operation.PREPARE:
                continue
            order = _ORDER._replace(operation=operation)
            payload = documents.encode_batch(_BATCH._replace(order=order))
            self.assertRaises(ValueError, documents.decode_batch, payload)

    def test_other_bytes(self):
        """Malformed batches are told from well-formed ones."""
        payload = documents.encode_batch(_BATCH)
        cases = (
            b'',
            b'{}',
            payload[:-3],
            zlib.compress(b'{}'),
            zlib.compress(b'[]'),
            zlib.compress(b' ' * (const.DOCUMENT_LIMIT_BYTES + 1)),
        )
        for case in cases:
            self.assertRaises(
                documents.DECODE_ERRORS, documents.decode_batch, case
            )


class OrderRelayTest(testtools.TestCase):
    """Calls over loopback."""

    def _relay(self, handler, batch=_BATCH):
        """Return the batches that a server got, and what the client got."""
        address = loopback.free_address()
        batches = []

        async def _handle(received):
            batches.append(received)
            return await handler()

        async def _main():
            client = http.OrderRelayClient()
            relay_server = http.OrderRelayServer(address, _handle)
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(relay_server.run)
                await anyio.sleep(0.05)
                outcomes_by_id = await client.relay(address, batch)
                await client.close()
                tasks.cancel_scope.cancel()
            return outcomes_by_id

        return batches, anyio.run(_main)

    def test_outcomes(self):
        """The leader gets the outcomes that the other instance tells."""

        async def _respond():
            return _OUTCOMES_BY_ID

        batches, outcomes_by_id = self._relay(_respond)
        self.assertEqual([_BATCH], batches)
        self.assertEqual(_OUTCOMES_BY_ID, outcomes_by_id)

    def test_instance_that_does_not_answer(self):
        """The leader does not wait for an instance that is stuck."""

        async def _stall():
            await anyio.sleep(const.RELAY_TIMEOUT_SECONDS * 4)
            return _OUTCOMES_BY_ID

        _, outcomes_by_id = self._relay(_stall)
        self.assertEqual({}, outcomes_by_id)

    def test_order_that_is_not_relayed(self):
        """A refused batch has no outcomes."""
        hold = _ORDER._replace(operation=switch.Operation.HOLD)

        async def _respond():
            return _OUTCOMES_BY_ID

        batches, outcomes_by_id = self._relay(
            _respond, _BATCH._replace(order=hold)
        )
        self.assertEqual([], batches)
        self.assertEqual({}, outcomes_by_id)

    def test_instance_that_is_gone(self):
        """A call to an address without a listener has no outcomes."""
        address = loopback.free_address()

        async def _main():
            client = http.OrderRelayClient()
            return await client.relay(address, _BATCH)

        self.assertEqual({}, anyio.run(_main))
