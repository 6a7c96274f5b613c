"""A plain service whose POST calls must not be repeated."""

import collections

import anyio

from nutmegtrail.adapters.http import asgi
from nutmegtrail.adapters.http import const as http_const


class PlainService:
    """Counts how often it ran each idempotency key."""

    def __init__(self, call_seconds: float) -> None:
        """Keep the time that a call takes; nothing ran yet."""
        self.runs_by_key: collections.Counter[str] = collections.Counter()
        self._call_seconds = call_seconds

    async def serve(self, exchange: asgi.Exchange) -> None:
        """Answer one request."""
        if exchange.path == '/stand-in/runs':
            runs = {'by_key': dict(self.runs_by_key)}
            await exchange.respond_json(http_const.HTTP_OK, runs)
        elif exchange.method == 'POST':
            await self._confirm(exchange)
        else:
            reading = {'path': exchange.path, 'moisture': 41}
            await exchange.respond_json(http_const.HTTP_OK, reading)

    async def _confirm(self, exchange: asgi.Exchange) -> None:
        """Run a call that must not be repeated."""
        await exchange.body()
        key = exchange.header('idempotency-key')
        self.runs_by_key[key or exchange.header('x-request-id')] += 1
        await anyio.sleep(self._call_seconds)
        number = self.runs_by_key.total()
        await exchange.respond_json(
            http_const.HTTP_OK,
            {'confirmed': key, 'number': number},
        )
