"""Simulated service whose POST requests must not be repeated."""

import collections

import anyio

from nutmegtrail.adapters.http import asgi
from nutmegtrail.adapters.http import const as http_const


class PlainService:
    """Service that counts the runs per idempotency key."""

    def __init__(self, call_seconds: float) -> None:
        """Initialize the service with the duration of a call."""
        self.runs_by_key: collections.Counter[str] = collections.Counter()
        self._call_seconds = call_seconds

    async def serve(self, exchange: asgi.Exchange) -> None:
        """Handle one request."""
        if exchange.path == '/stand-in/runs':
            runs = {'by_key': dict(self.runs_by_key)}
            await exchange.respond_json(http_const.HTTP_OK, runs)
        elif exchange.method == 'POST':
            await self._run_once(exchange)
        else:
            sensor_reading = {'path': exchange.path, 'moisture': 41}
            await exchange.respond_json(http_const.HTTP_OK, sensor_reading)

    async def _run_once(self, exchange: asgi.Exchange) -> None:
        """Run a call and count it by idempotency key or request ID."""
        await exchange.body()
        key = exchange.header('idempotency-key')
        self.runs_by_key[key or exchange.header('x-request-id')] += 1
        await anyio.sleep(self._call_seconds)
        number = self.runs_by_key.total()
        await exchange.respond_json(
            http_const.HTTP_OK,
            {'confirmed': key, 'number': number},
        )
