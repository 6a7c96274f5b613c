"""Simulated host list whose changes become visible after a delay."""

import time
import typing

import orjson

from nutmegtrail.adapters.http import exchanges
from nutmegtrail.adapters.http import const as http_const


_NOT_MODIFIED: typing.Final = 304


class _Version(typing.NamedTuple):
    """List of hosts and the monotonic time from which it is visible."""

    visible_at: float
    hosts: list[dict[str, typing.Any]]


class HostListService:
    """Serves `GET /hosts`; `POST /stand-in/hosts` replaces the list."""

    def __init__(self, lag_seconds: float) -> None:
        """Initialize an empty list; later versions appear after the delay."""
        self._lag_seconds = lag_seconds
        self._versions: list[_Version] = []

    async def serve(self, exchange: exchanges.Exchange) -> None:
        """Handle one request."""
        if exchange.path == '/stand-in/hosts':
            document = exchange.json()
            visible_at = time.monotonic()
            if self._versions:
                visible_at += self._lag_seconds
            self._versions.append(_Version(visible_at, document['hosts']))
            await exchange.respond_json(http_const.HTTP_OK, {})
        else:
            await self._respond_with_list(exchange)

    async def _respond_with_list(self, exchange: exchanges.Exchange) -> None:
        """Respond with the list, or with 304 if it has not changed."""
        version_number = self._visible_version()
        etag = f'"{version_number}"'
        headers = (('etag', etag),)
        if exchange.header('if-none-match') == etag:
            await exchange.respond(_NOT_MODIFIED, b'', 'text/plain', headers)
            return
        hosts = (
            self._versions[version_number - 1].hosts if version_number else []
        )
        await exchange.respond(
            http_const.HTTP_OK,
            orjson.dumps(hosts),
            extra_headers=headers,
        )

    def _visible_version(self) -> int:
        """Return the number of the newest visible version, 0 if there is none."""
        now_seconds = time.monotonic()
        return sum(
            version.visible_at <= now_seconds for version in self._versions
        )
