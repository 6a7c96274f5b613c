"""Client and server of the order relay."""

import http
import typing

from nutmegtrail import models
from nutmegtrail.adapters.http1 import json_client
from nutmegtrail.adapters.http1 import messages
from nutmegtrail.adapters.http1 import server
from nutmegtrail.adapters.order_relay import const
from nutmegtrail.adapters.order_relay import documents
from nutmegtrail.observability import logs
from nutmegtrail.ports import order_relay

_LIMITS: typing.Final = server.ConnectionLimits(
    messages.SizeLimits(const.HEADER_LIMIT_BYTES, const.COMPRESSED_LIMIT_BYTES),
    const.HEADER_TIMEOUT_SECONDS,
    const.IDLE_TIMEOUT_SECONDS,
)
_RESPONSE_HEADERS: typing.Final[messages.Headers] = (
    *json_client.JSON_HEADERS,
    (b'keep-alive', b'timeout=%d' % const.KEEP_ALIVE_SECONDS),
)

BatchHandler: typing.TypeAlias = typing.Callable[
    [order_relay.Batch], typing.Awaitable[order_relay.OutcomesById]
]


class OrderRelayClient:
    """Implements `ports.order_relay`."""

    def __init__(self) -> None:
        """Initialize the client without opening connections."""
        self._json_client = json_client.JsonClient(
            const.RESPONSE_LIMIT_BYTES, const.ID_HEADER
        )

    async def close(self) -> None:
        """Close all connections."""
        await self._json_client.close()

    async def relay(
        self, address: models.Address, batch: order_relay.Batch
    ) -> order_relay.OutcomesById:
        """Let an instance send a batch; return no outcomes if it fails."""
        response = await self._json_client.send(
            address,
            b'POST',
            const.RELAY_PATH,
            (),
            documents.encode_batch(batch),
            const.RELAY_TIMEOUT_SECONDS,
            json_client.Demands(needs_own_response=True),
        )
        if isinstance(response, json_client.NoResponse):
            _log_failure(address, batch, response.detail)
            return {}
        if response.status != http.HTTPStatus.OK:
            _log_failure(address, batch, f'status {response.status}')
            return {}
        try:
            return documents.decode_outcomes(response.body)
        except documents.DECODE_ERRORS as error:
            _log_failure(address, batch, repr(error))
            return {}


class OrderRelayServer:
    """Serves the batches of the leader at the address for other instances."""

    def __init__(self, address: models.Address, handler: BatchHandler) -> None:
        """Initialize the server without listening."""
        self._handler = handler
        self._server = server.Server(address, self._serve, lambda: _LIMITS)

    async def run(self) -> None:
        """Serve until cancelled."""
        await self._server.serve()

    async def _serve(self, exchange: server.Exchange) -> None:
        """Send a batch and respond with the outcomes."""
        request = exchange.request
        if request.target != const.RELAY_PATH:
            await exchange.respond(http.HTTPStatus.NOT_FOUND, (), b'')
            return
        try:
            batch = documents.decode_batch(request.body)
        except documents.DECODE_ERRORS as error:
            logs.decision('order-relay:malformed', detail=repr(error))
            await exchange.respond(http.HTTPStatus.BAD_REQUEST, (), b'')
            return
        outcomes_by_id = await self._handler(batch)
        request_id = messages.find_header(request.headers, const.ID_HEADER)
        await exchange.respond(
            http.HTTPStatus.OK,
            (*_RESPONSE_HEADERS, (const.ID_HEADER, request_id)),
            documents.encode_outcomes(outcomes_by_id),
        )


def _log_failure(
    address: models.Address, batch: order_relay.Batch, detail: str
) -> None:
    """Log that an instance did not tell the outcomes of a batch."""
    logs.decision(
        'order-relay:failed',
        address=str(address),
        version=batch.order.version,
        upstreams=len(batch.upstream_ids),
        detail=detail,
    )
