"""Client of the engines' control calls."""

import json
import typing

import anyio

from nutmegtrail.adapters.http1 import client
from nutmegtrail.adapters.http1 import errors
from nutmegtrail.adapters.http1 import messages
from nutmegtrail.expert_map import layered
from nutmegtrail.expert_map import switch
from nutmegtrail.gateway import models
from nutmegtrail.platform import const
from nutmegtrail.ports import rank_control

_Document: typing.TypeAlias = dict[str, typing.Any]


class PlatformEngines:
    """Implements `ports.rank_control.RankControl`."""

    def __init__(self) -> None:
        """Start without connections."""
        self._client = client.Client()

    async def close(self) -> None:
        """Close the connections."""
        await self._client.close()

    async def report(
        self,
        upstream: models.Upstream,
    ) -> switch.Report | None:
        """Return an engine's state of some 200 ms ago, None if unreadable."""
        document = await self._get(upstream, const.READ_REPORT)
        try:
            return None if document is None else _report(document)
        except (KeyError, TypeError, ValueError):
            return None

    async def counts(
        self,
        upstream: models.Upstream,
    ) -> rank_control.Counts | None:
        """Return an engine's choices of experts, None if unreadable."""
        document = await self._get(upstream, const.READ_COUNTS)
        try:
            if document is None:
                return None
            return rank_control.Counts(
                int(document['step']),
                int(document['epoch']),
                document['counts'],
            )
        except (KeyError, TypeError, ValueError):
            return None

    async def held_experts(
        self,
        upstream: models.Upstream,
    ) -> layered.Layer | None:
        """Return the experts that a rank holds, by layer."""
        document = await self._get(upstream, const.READ_LISTS)
        try:
            if document is None:
                return None
            experts = document['map']['experts']
            return tuple(tuple(int(one) for one in layer) for layer in experts)
        except (KeyError, TypeError, ValueError):
            return None

    async def order(
        self,
        upstream: models.Upstream,
        order: switch.Order,
        fence: int,
    ) -> rank_control.OrderOutcome:
        """Send an order; one without an answer may still be carried out."""
        body: _Document = {
            'operation': order.operation.value,
            'epoch': order.epoch,
            'fence_token': fence,
        }
        if order.version is not None:
            body['version'] = order.version
        if order.step is not None:
            body['step'] = order.step
        if order.layers is not None:
            body['map'] = order.layers
        answer = await self._send(
            upstream,
            b'POST',
            const.SEND_ORDER,
            json.dumps(body).encode(),
        )
        if answer is None:
            return rank_control.OrderOutcome.UNANSWERED
        status = answer[0].status
        if status in {const.STATUS_OK, const.STATUS_ACCEPTED}:
            return rank_control.OrderOutcome.ACCEPTED
        if status == const.STATUS_CONFLICT:
            return rank_control.OrderOutcome.FENCED
        return rank_control.OrderOutcome.REFUSED

    async def _get(
        self,
        upstream: models.Upstream,
        target: bytes,
    ) -> _Document | None:
        """Return the document that an engine answers with."""
        answer = await self._send(upstream, b'GET', target)
        if answer is None or answer[0].status != const.STATUS_OK:
            return None
        try:
            document = json.loads(answer[1])
        except ValueError:
            return None
        return document if isinstance(document, dict) else None

    async def _send(
        self,
        upstream: models.Upstream,
        method: bytes,
        target: bytes,
        body: bytes = b'',
    ) -> tuple[messages.Head, bytes] | None:
        """Return an engine's answer, None if none came."""
        headers: messages.Headers = (
            (b'host', str(upstream.address).encode()),
            (const.EXPECTED_UPSTREAM, upstream.upstream_id.encode()),
        )
        if body:
            headers = (*headers, (b'content-type', b'application/json'))
        call = client.Call(upstream.address, method, target, headers, body)
        timeout = const.ENGINE_READ_TIMEOUT_SECONDS
        if body:
            timeout = const.ENGINE_ORDER_TIMEOUT_SECONDS
        with anyio.move_on_after(timeout):
            try:
                return await self._client.fetch(call, const.ANSWER_BYTES_LIMIT)
            except (errors.NotConnected, errors.ExchangeBroken):
                return None
        return None


def _report(document: _Document) -> switch.Report:
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
