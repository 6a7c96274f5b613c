"""HTTP server based on hypercorn."""

import logging
import typing

import anyio
import hypercorn.asyncio
import hypercorn.config

from nutmegtrail import models
from nutmegtrail.adapters.http import asgi
from nutmegtrail.adapters.http import const
from nutmegtrail.adapters.http import errors

Handler: typing.TypeAlias = typing.Callable[
    [asgi.Exchange], typing.Awaitable[None]
]


class Server:
    """HTTP server that passes all requests to one handler."""

    def __init__(self, address: models.Address, handler: Handler) -> None:
        """Initialize the server without listening yet."""
        self._handler = handler
        self._stop_requested = anyio.Event()
        self._stopped = anyio.Event()
        self._config = hypercorn.config.Config()
        self._config.bind = [str(address)]
        self._config.graceful_timeout = const.SHUTDOWN_TIMEOUT_SECONDS
        self._config.keep_alive_timeout = const.KEEP_ALIVE_SECONDS
        self._config.read_timeout = const.READ_TIMEOUT_SECONDS
        self._config.errorlog = logging.getLogger('nutmegtrail.http')

    async def serve(self) -> None:
        """Serve until `close` is called."""
        try:
            await hypercorn.asyncio.serve(
                typing.cast('typing.Any', self._application),
                self._config,
                shutdown_trigger=self._stop_requested.wait,
            )
        finally:
            self._stopped.set()

    async def close(self) -> None:
        """Stop accepting requests and wait for those in flight."""
        self._stop_requested.set()
        await self._stopped.wait()

    async def _application(
        self,
        scope: asgi.Scope,
        receive: asgi.Receive,
        send: asgi.Send,
    ) -> None:
        """Handle one ASGI scope."""
        if scope['type'] == 'lifespan':
            await _run_lifespan(receive, send)
        elif scope['type'] == 'http':
            await self._handle_exchange(asgi.Exchange(scope, receive, send))

    async def _handle_exchange(self, exchange: asgi.Exchange) -> None:
        """Handle one request; respond to invalid ones with their error."""
        try:
            await self._handler(exchange)
        except errors.RequestError as error:
            await exchange.respond_json(error.status, {'detail': error.detail})
        except errors.ClientDisconnected:
            return


async def _run_lifespan(receive: asgi.Receive, send: asgi.Send) -> None:
    """Acknowledge the server's start and shutdown."""
    await receive()
    await send({'type': 'lifespan.startup.complete'})
    await receive()
    await send({'type': 'lifespan.shutdown.complete'})
