"""Client of the engines' control calls."""

import http
import json
import typing

import orjson

from nutmegtrail.expert_map import layer_placement
from nutmegtrail.expert_map import switch
from nutmegtrail.gateway import models
from nutmegtrail.observability import logs
from nutmegtrail.platform import calls
from nutmegtrail.platform import const
from nutmegtrail.ports import rank_control

_Decoded = typing.TypeVar('_Decoded')
_MALFORMED: typing.Final = (KeyError, TypeError, ValueError)


class PlatformEngines:
    """Implements `ports.rank_control.RankControl`."""

    def __init__(self) -> None:
        """Start without connections."""
        self._calls = calls.Calls()

    async def close(self) -> None:
        """Close the connections."""
        await self._calls.close()

    async def report(
        self,
        upstream: models.Upstream,
    ) -> switch.Report | None:
        """Return an engine's state of some 200 ms ago, None if unreadable."""
        return await self._read(upstream, const.READ_REPORT, _report)

    async def choices(
        self,
        upstream: models.Upstream,
    ) -> rank_control.Choices | None:
        """Return an engine's choices of experts, None if unreadable."""
        return await self._read(upstream, const.READ_COUNTS, _choices)

    async def held_experts(
        self,
        upstream: models.Upstream,
    ) -> layer_placement.Layer | None:
        """Return the experts that a rank holds, by layer."""
        return await self._read(upstream, const.READ_LISTS, _held_experts)

    async def order(
        self,
        upstream: models.Upstream,
        order: switch.Order,
        fence: int,
    ) -> rank_control.OrderOutcome:
        """Send an order; one without an answer may still be carried out."""
        body: calls.Document = {
            'operation': order.operation.value,
            'epoch': order.epoch,
            'fence_token': fence,
        }
        if order.version is not None:
            body['version'] = order.version
        if order.step is not None:
            body['step'] = order.step
        timeout_seconds = const.ENGINE_ORDER_TIMEOUT_SECONDS
        if order.layers is not None:
            body['map'] = order.layers
            timeout_seconds = const.ENGINE_MAP_TIMEOUT_SECONDS
        answer = await self._calls.send(
            upstream.address,
            b'POST',
            const.SEND_ORDER,
            (_expect(upstream), *calls.JSON_BODY),
            orjson.dumps(body),
            timeout_seconds,
        )
        if isinstance(answer, calls.NoAnswer):
            return rank_control.OrderOutcome.UNANSWERED
        if answer.status in {http.HTTPStatus.OK, http.HTTPStatus.ACCEPTED}:
            return rank_control.OrderOutcome.ACCEPTED
        if answer.status == http.HTTPStatus.PRECONDITION_FAILED:
            return rank_control.OrderOutcome.FENCED
        return rank_control.OrderOutcome.REFUSED

    async def _read(
        self,
        upstream: models.Upstream,
        target: bytes,
        decode: typing.Callable[[calls.Document], _Decoded],
    ) -> _Decoded | None:
        """Return what an engine answers with, None if unreadable."""
        answer = await self._calls.send(
            upstream.address,
            b'GET',
            target,
            (_expect(upstream),),
            b'',
            const.ENGINE_READ_TIMEOUT_SECONDS,
        )
        try:
            return decode(_document(answer))
        except _MALFORMED as error:
            logs.decision(
                'engine:unreadable',
                upstream=upstream.upstream_id,
                call=target.decode(),
                detail=str(error),
            )
            return None


def _expect(upstream: models.Upstream) -> tuple[bytes, bytes]:
    """Return the header by which another engine refuses the call."""
    return const.EXPECTED_UPSTREAM, upstream.upstream_id.encode()


def _document(answer: calls.Answer | calls.NoAnswer) -> calls.Document:
    """Return the document of an answer; raise ValueError if there is none."""
    if isinstance(answer, calls.NoAnswer):
        raise ValueError(answer.detail)
    if answer.status != http.HTTPStatus.OK:
        raise ValueError(f'status {answer.status}')
    document: calls.Document = json.loads(answer.body)
    return document


def _choices(document: calls.Document) -> rank_control.Choices:
    """Return the choices of experts."""
    return tuple(document['counts'])


def _held_experts(document: calls.Document) -> layer_placement.Layer:
    """Return a rank's experts by layer."""
    experts = document['map']['experts']
    return tuple(tuple(int(one) for one in layer) for layer in experts)


def _report(document: calls.Document) -> switch.Report:
    """Return an engine's report."""
    group = document['group']
    return switch.Report(
        int(group['epoch']),
        int(document.get('step') or 0),
        int(document.get('map') or 0),
        _number(document.get('prepared')),
        _number(document.get('armed')),
        _number(document.get('held')),
    )


def _number(field: object) -> int | None:
    """Return a number or the version of a table, None without one."""
    if isinstance(field, dict):
        field = field.get('version')
    if isinstance(field, int) and not isinstance(field, bool):
        return field
    return None
