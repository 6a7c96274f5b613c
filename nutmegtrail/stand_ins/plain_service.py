"""Simulated service whose POST requests must not be repeated.

Between `/stand-in/hold` and `/stand-in/release` no call ends.
"""

import collections

import anyio

from nutmegtrail.adapters.http import exchanges
from nutmegtrail.adapters.http import const as http_const


class PlainService:
    """Service that counts the runs per idempotency key."""

    def __init__(self, call_seconds: float) -> None:
        """Initialize the service with the duration of a call."""
        self.runs_by_key: collections.Counter[str] = collections.Counter()
        self._call_seconds = call_seconds
        self._may_finish = anyio.Event()
        self._may_finish.set()

    async def serve(self, exchange: exchanges.Exchange) -> None:
        """Handle one request."""
        if exchange.path == '/stand-in/runs':
            runs = {'by_key': dict(self.runs_by_key)}
            await exchange.respond_json(http_const.HTTP_OK, runs)
        elif exchange.path == '/stand-in/hold':
            self._may_finish = anyio.Event()
            await exchange.respond_json(http_const.HTTP_OK, {})
        elif exchange.path == '/stand-in/release':
            self._may_finish.set()
            await exchange.respond_json(http_const.HTTP_OK, {})
        elif exchange.method == 'POST':
            await self._run_once(exchange)
        else:
            sensor_reading = {'path': exchange.path, 'moisture': 41}
            await exchange.respond_json(http_const.HTTP_OK, sensor_reading)

    async def _run_once(self, exchange: exchanges.Exchange) -> None:
        """Run a call and count it by idempotency key or request ID."""
        key = exchange.header('idempotency-key')
        self.runs_by_key[key or exchange.header('x-request-id')] += 1
        await anyio.sleep(self._call_seconds)
        await self._may_finish.wait()
        number = self.runs_by_key.total()
        await exchange.respond_json(
            http_const.HTTP_OK,
            {'confirmed': key, 'number': number},
        )
