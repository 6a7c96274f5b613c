"""Client for the engines' control API."""

import functools
import http
import json
import typing

import anyio
import orjson

from nutmegtrail.adapters.http1 import json_client
from nutmegtrail.expert_map import layer_placement
from nutmegtrail.expert_map import switch
from nutmegtrail.gateway import models
from nutmegtrail.observability import logs
from nutmegtrail.platform import const
from nutmegtrail.platform import headers
from nutmegtrail.ports import rank_control
from nutmegtrail.ports import upstream_probe

_Decoded = typing.TypeVar('_Decoded')
_DECODE_ERRORS: typing.Final = (
    KeyError,
    TypeError,
    ValueError,
    OverflowError,
    RecursionError,
)
_REPORT_ERRORS: typing.Final = (AttributeError, *_DECODE_ERRORS)


class EngineControlClient:
    """Implements `ports.rank_control` and `ports.upstream_probe`."""

    def __init__(
        self,
        on_signals: typing.Callable[
            [models.Upstream, models.ReceivedSignals], None
        ],
    ) -> None:
        """Initialize the client without opening connections.

        `on_signals` is called with what upstreams say of themselves in their
        responses.
        """
        self._client = json_client.JsonClient(
            const.ENGINE_RESPONSE_LIMIT_BYTES, const.REQUEST_ID_HEADER
        )
        self._on_signals = on_signals

    async def close(self) -> None:
        """Close all connections."""
        await self._client.close()

    async def condition(
        self, upstream: models.Upstream
    ) -> upstream_probe.Condition:
        """Return whether the process that registered still runs.

        A process that was started later means that the earlier one has ended.
        A kept connection may be reset by its end, which says less than a
        refused one.
        """
        asked_at_seconds = anyio.current_time()
        response = await self._client.send(
            upstream.address,
            b'GET',
            const.REPORT_PATH,
            (_expected_upstream_header(upstream),),
            b'',
            const.ENGINE_READ_TIMEOUT_SECONDS,
            json_client.Demands(needs_new_connection=True),
        )
        self._record_signals(upstream, response, asked_at_seconds)
        if isinstance(response, json_client.NoResponse):
            if response.is_refused:
                return upstream_probe.Condition.ENDED
            return upstream_probe.Condition.UNKNOWN
        is_other = response.status == http.HTTPStatus.MISDIRECTED_REQUEST
        if is_other or _has_restarted(response, upstream):
            return upstream_probe.Condition.ENDED
        return upstream_probe.Condition.RUNNING

    async def report(
        self,
        upstream: models.Upstream,
    ) -> switch.Report | None:
        """Return an engine's state, about 200 ms old; None if unreadable."""
        return await self._get(
            upstream,
            const.REPORT_PATH,
            _decode_report,
            needs_own_response=True,
        )

    async def choices(
        self,
        upstream: models.Upstream,
    ) -> rank_control.Choices | None:
        """Return how often each expert was chosen, None if unreadable."""
        return await self._get(
            upstream, const.EXPERT_COUNTS_PATH, _decode_choices
        )

    async def held_experts(
        self,
        upstream: models.Upstream,
    ) -> layer_placement.Layer | None:
        """Return the experts on a rank by layer, None if unreadable."""
        return await self._get(
            upstream,
            const.EXPERT_LISTS_PATH,
            _decode_held_experts,
            needs_own_response=True,
        )

    async def order(
        self,
        upstream: models.Upstream,
        order: switch.Order,
        fence: int,
        patience: float = 1,
    ) -> rank_control.OrderOutcome:
        """Send an order; without a response it may still be executed.

        A rank that has not prepared a map refuses to be armed with it, so
        that only the other orders need their own response.
        """
        body: json_client.JsonObject = {
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
        asked_at_seconds = anyio.current_time()
        response = await self._client.send(
            upstream.address,
            b'POST',
            const.ORDER_PATH,
            (_expected_upstream_header(upstream), *json_client.JSON_HEADERS),
            orjson.dumps(body),
            timeout_seconds * patience,
            json_client.Demands(
                needs_own_response=(
                    order.operation is not switch.Operation.PREPARE
                ),
                fits=_fits_order,
            ),
        )
        if isinstance(response, json_client.NoResponse):
            logs.decision(
                'order:unanswered',
                upstream=upstream.upstream_id,
                operation=order.operation.value,
                version=order.version,
                step=order.step,
                detail=response.detail,
            )
            return rank_control.OrderOutcome.UNANSWERED
        self._record_signals(upstream, response, asked_at_seconds)
        if not response.fits:
            return rank_control.OrderOutcome.UNANSWERED
        if response.status in {http.HTTPStatus.OK, http.HTTPStatus.ACCEPTED}:
            return rank_control.OrderOutcome.ACCEPTED
        if response.status == http.HTTPStatus.PRECONDITION_FAILED:
            return rank_control.OrderOutcome.FENCED
        return rank_control.OrderOutcome.REFUSED

    async def _get(
        self,
        upstream: models.Upstream,
        target: bytes,
        decode: typing.Callable[[json_client.JsonObject], _Decoded],
        *,
        needs_own_response: bool = False,
    ) -> _Decoded | None:
        """Return the decoded response to a GET request, None if unreadable."""
        asked_at_seconds = anyio.current_time()
        response = await self._client.send(
            upstream.address,
            b'GET',
            target,
            (_expected_upstream_header(upstream),),
            b'',
            const.ENGINE_READ_TIMEOUT_SECONDS,
            json_client.Demands(
                needs_own_response=needs_own_response,
                fits=functools.partial(_is_readable, decode),
            ),
        )
        self._record_signals(upstream, response, asked_at_seconds)
        try:
            return decode(_decode_body(response))
        except _DECODE_ERRORS as error:
            logs.decision(
                'engine:unreadable',
                upstream=upstream.upstream_id,
                call=target.decode(),
                detail=str(error),
            )
            return None

    def _record_signals(
        self,
        upstream: models.Upstream,
        response: json_client.Response | json_client.NoResponse,
        asked_at_seconds: float,
    ) -> None:
        """Report what an upstream says of itself in its own response."""
        if isinstance(response, json_client.NoResponse):
            return
        if response.status == http.HTTPStatus.MISDIRECTED_REQUEST:
            return
        if _has_restarted(response, upstream):
            return
        signals = headers.read_signals(response.status, response.headers)
        self._on_signals(
            upstream, models.ReceivedSignals(signals, asked_at_seconds)
        )


def _expected_upstream_header(upstream: models.Upstream) -> tuple[bytes, bytes]:
    """Return the header that makes any other engine reject the request."""
    return const.EXPECTED_UPSTREAM_HEADER, upstream.upstream_id.encode()


def _decode_body(
    response: json_client.Response | json_client.NoResponse,
) -> json_client.JsonObject:
    """Return the decoded JSON body; raise ValueError without a 200 response."""
    if isinstance(response, json_client.NoResponse):
        raise ValueError(response.detail)
    if response.status != http.HTTPStatus.OK:
        raise ValueError(f'unexpected status {response.status}')
    document: json_client.JsonObject = json.loads(response.body)
    return document


def _is_readable(
    decode: typing.Callable[[json_client.JsonObject], object],
    response: json_client.Response,
) -> bool:
    """Return whether a response to a GET request can be decoded."""
    try:
        decode(_decode_body(response))
    except _REPORT_ERRORS:
        return False
    return True


def _fits_order(response: json_client.Response) -> bool:
    """Return whether a response is not that of a report or of counters."""
    try:
        document = _decode_body(response)
    except _DECODE_ERRORS:
        return True
    return not (
        isinstance(document, dict) and const.READ_FIELDS.intersection(document)
    )


def _has_restarted(
    response: json_client.Response, upstream: models.Upstream
) -> bool:
    """Return whether a response tells another start than the registration.

    Plain services may have no report; their responses tell no start.
    """
    try:
        document = _decode_body(response)
        started_at_ms = int(document.get('born') or 0)
    except _REPORT_ERRORS:
        return False
    if not started_at_ms or not upstream.started_at_ms:
        return False
    return started_at_ms != upstream.started_at_ms


def _decode_choices(document: json_client.JsonObject) -> rank_control.Choices:
    """Decode how often each expert was chosen."""
    return tuple(document['counts'])


def _decode_held_experts(
    document: json_client.JsonObject,
) -> layer_placement.Layer:
    """Decode the experts on a rank by layer."""
    experts = document['map']['experts']
    return tuple(tuple(int(expert) for expert in layer) for layer in experts)


def _decode_report(document: json_client.JsonObject) -> switch.Report:
    """Decode an engine's state report."""
    group = document['group']
    return switch.Report(
        int(group['epoch']),
        int(document.get('step') or 0),
        int(document.get('map') or 0),
        _version_number(document.get('prepared')),
        _version_number(document.get('armed')),
        _version_number(document.get('held')),
    )


def _version_number(field: object) -> int | None:
    """Return an integer field or its `version` entry, None without one."""
    if isinstance(field, dict):
        field = field.get('version')
    if isinstance(field, int) and not isinstance(field, bool):
        return field
    return None
