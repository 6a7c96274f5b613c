"""Messages of the map switch between sidecars, to and from the wire."""

import functools
import typing

from nutmegtrail.expert_map import models
from nutmegtrail.wire import models as wire_models

ProtocolMessage: typing.TypeAlias = (
    models.Prepare
    | models.Query
    | models.Decision
    | models.Promise
    | models.Report
)
_NO_MAP: typing.Final = models.MapState('', 0)


@functools.singledispatch
def encode(
    protocol_message: ProtocolMessage, group: str
) -> wire_models.Message:
    """Return the wire message for a message of the protocol."""
    raise TypeError(f'unknown message {protocol_message!r}')


@encode.register
def _encode_prepare(
    protocol_message: models.Prepare, group: str
) -> wire_models.Message:
    """Return a proposal."""
    return wire_models.MapPrepare(
        group, *protocol_message.ballot, *protocol_message.proposal
    )


@encode.register
def _encode_query(
    protocol_message: models.Query, group: str
) -> wire_models.Message:
    """Return a resolver's question."""
    return wire_models.MapQuery(group, *protocol_message.ballot)


@encode.register
def _encode_decision(
    protocol_message: models.Decision,
    group: str,
) -> wire_models.Message:
    """Return a decision."""
    decided = protocol_message.decided or _NO_MAP
    committed = protocol_message.decided is not None
    return wire_models.MapDecision(
        group,
        *protocol_message.ballot,
        *decided,
        committed,
    )


@encode.register
def _encode_promise(
    protocol_message: models.Promise, group: str
) -> wire_models.Message:
    """Return an answer to a proposal."""
    return wire_models.MapPromise(
        group,
        *protocol_message.ballot,
        protocol_message.member,
        protocol_message.accepted,
    )


@encode.register
def _encode_report(
    protocol_message: models.Report, group: str
) -> wire_models.Message:
    """Return an answer to a question."""
    return wire_models.MapReport(
        group,
        *protocol_message.ballot,
        protocol_message.member,
        *protocol_message.promised,
        *protocol_message.current,
    )


@functools.singledispatch
def decode(message: wire_models.Message) -> ProtocolMessage | None:
    """Return the protocol's message, None for one of another protocol."""


@decode.register
def _decode_prepare(message: wire_models.MapPrepare) -> ProtocolMessage | None:
    """Return a proposal."""
    return models.Prepare(
        models.Ballot(message.counter, message.proposer),
        models.MapState(message.map_id, message.step),
    )


@decode.register
def _decode_query(message: wire_models.MapQuery) -> ProtocolMessage | None:
    """Return a resolver's question."""
    return models.Query(models.Ballot(message.counter, message.proposer))


@decode.register
def _decode_decision(
    message: wire_models.MapDecision,
) -> ProtocolMessage | None:
    """Return a decision."""
    decided = models.MapState(message.map_id, message.step)
    return models.Decision(
        models.Ballot(message.counter, message.proposer),
        decided if message.committed else None,
    )


@decode.register
def _decode_promise(message: wire_models.MapPromise) -> ProtocolMessage | None:
    """Return an answer to a proposal."""
    return models.Promise(
        models.Ballot(message.counter, message.proposer),
        message.member,
        message.accepted,
    )


@decode.register
def _decode_report(message: wire_models.MapReport) -> ProtocolMessage | None:
    """Return an answer to a question."""
    return models.Report(
        models.Ballot(message.counter, message.proposer),
        message.member,
        models.Ballot(message.promised_counter, message.promised_to),
        models.MapState(message.map_id, message.step),
    )
