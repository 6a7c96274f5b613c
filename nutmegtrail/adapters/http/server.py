"""HTTP server of the daemons."""

import typing

import anyio

from nutmegtrail import const as shared_const
from nutmegtrail import models
from nutmegtrail.adapters.http import const
from nutmegtrail.adapters.http import errors
from nutmegtrail.adapters.http import exchanges
from nutmegtrail.adapters.http1 import messages
from nutmegtrail.adapters.http1 import server as http1_server

Handler: typing.TypeAlias = typing.Callable[
    [exchanges.Exchange], typing.Awaitable[None]
]
_LIMITS: typing.Final = http1_server.ConnectionLimits(
    messages.SizeLimits(
        const.HEADER_LIMIT_BYTES, shared_const.BODY_LIMIT_BYTES
    ),
    shared_const.BODY_READ_TIMEOUT_SECONDS,
    const.KEEP_ALIVE_SECONDS,
)


class Server:
    """HTTP server that passes all requests to one handler."""

    def __init__(self, address: models.Address, handler: Handler) -> None:
        """Initialize the server without listening yet."""
        self._handler = handler
        self._server = http1_server.Server(
            address, self._serve, lambda: _LIMITS
        )
        self._ended = anyio.Event()

    async def serve(self) -> None:
        """Serve until `close` is called and all connections have ended."""
        await self._server.serve()
        self._ended.set()

    def stop(self) -> None:
        """Announce on responses that their connections close."""
        self._server.stop()

    async def wait_for_open_requests(self) -> None:
        """Wait until the requests that are handled now have ended."""
        await self._server.wait_for_open_requests()

    def close(self) -> None:
        """Stop listening and close idle connections."""
        self._server.close()

    def cut(self) -> None:
        """Refuse requests that have not arrived as a whole."""
        self._server.cut()

    async def wait_closed(self) -> None:
        """Wait until all connections have ended."""
        await self._ended.wait()

    async def _serve(self, received: http1_server.Exchange) -> None:
        """Handle one request; respond to invalid ones with their error."""
        exchange = exchanges.Exchange(received)
        try:
            await self._handler(exchange)
        except errors.RequestError as error:
            await exchange.respond_json(error.status, {'detail': error.detail})
