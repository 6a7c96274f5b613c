"""The HTTP server loop, by hypercorn."""

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
    """Serves one handler on one address."""

    def __init__(self, address: models.Address, handler: Handler) -> None:
        """Keep the address and the handler; nothing listens yet."""
        self._handler = handler
        self._stopping = anyio.Event()
        self._ended = anyio.Event()
        self._config = hypercorn.config.Config()
        self._config.bind = [str(address)]
        self._config.graceful_timeout = const.GRACEFUL_TIMEOUT_SECONDS
        self._config.keep_alive_timeout = const.KEEP_ALIVE_SECONDS
        self._config.read_timeout = const.READ_TIMEOUT_SECONDS
        self._config.errorlog = logging.getLogger('nutmegtrail.http')

    async def serve(self) -> None:
        """Serve until closed."""
        try:
            await hypercorn.asyncio.serve(
                typing.cast('typing.Any', self._application),
                self._config,
                shutdown_trigger=self._stopping.wait,
            )
        finally:
            self._ended.set()

    async def close(self) -> None:
        """Return when the answers under way have ended."""
        self._stopping.set()
        await self._ended.wait()

    async def _application(
        self,
        scope: asgi.Scope,
        receive: asgi.Receive,
        send: asgi.Send,
    ) -> None:
        """Serve one ASGI connection."""
        if scope['type'] == 'lifespan':
            await _run_lifespan(receive, send)
        elif scope['type'] == 'http':
            await self._exchange(asgi.Exchange(scope, receive, send))

    async def _exchange(self, exchange: asgi.Exchange) -> None:
        """Serve one request and answer what can not be read."""
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
