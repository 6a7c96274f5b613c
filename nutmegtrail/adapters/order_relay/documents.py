"""Encoding of relayed batches as compressed JSON."""

import typing
import zlib

import orjson

from nutmegtrail.adapters.order_relay import const
from nutmegtrail.expert_map import switch
from nutmegtrail.ports import order_relay
from nutmegtrail.ports import rank_control

DECODE_ERRORS: typing.Final = (
    AttributeError,
    KeyError,
    TypeError,
    ValueError,
    zlib.error,
)


def encode_batch(batch: order_relay.Batch) -> bytes:
    """Return a batch as compressed JSON."""
    order = batch.order
    document = orjson.dumps(
        {
            'operation': order.operation.value,
            'epoch': order.epoch,
            'version': order.version,
            'layers': order.layers,
            'fence': batch.fence,
            'upstreams': batch.upstream_ids,
        }
    )
    return zlib.compress(document, const.COMPRESSION_LEVEL)


def decode_batch(payload: bytes) -> order_relay.Batch:
    """Return the batch; raise one of DECODE_ERRORS for other bytes.

    Only orders to prepare a map are relayed. Those that hold or arm ranks
    depend on the leader's view of the group and come from the leader alone.
    """
    inflater = zlib.decompressobj()
    raw = inflater.decompress(payload, const.DOCUMENT_LIMIT_BYTES)
    if not inflater.eof:
        raise ValueError('batch is cut short or too large')
    document = orjson.loads(raw)
    operation = switch.Operation(document['operation'])
    if operation is not switch.Operation.PREPARE:
        raise ValueError(f'{operation.value} is not relayed')
    layers = tuple(
        tuple(tuple(int(expert) for expert in rank) for rank in layer)
        for layer in document['layers']
    )
    order = switch.Order(
        operation,
        int(document['epoch']),
        int(document['version']),
        layers=layers,
    )
    upstream_ids = tuple(map(str, document['upstreams']))
    return order_relay.Batch(order, int(document['fence']), upstream_ids)


def encode_outcomes(outcomes_by_id: order_relay.OutcomesById) -> bytes:
    """Return outcomes as JSON."""
    return orjson.dumps(
        {
            upstream_id: outcome.value
            for upstream_id, outcome in outcomes_by_id.items()
        }
    )


def decode_outcomes(payload: bytes) -> order_relay.OutcomesById:
    """Return the outcomes; raise one of DECODE_ERRORS for other bytes."""
    document = orjson.loads(payload)
    return {
        str(upstream_id): rank_control.OrderOutcome(outcome)
        for upstream_id, outcome in document.items()
    }
