"""The platform's host list; changes show after a lag."""

import time
import typing

import orjson

from nutmegtrail.adapters.http import asgi
from nutmegtrail.adapters.http import const as http_const


_NOT_MODIFIED: typing.Final = 304


class _Version(typing.NamedTuple):
    """A list of hosts and when it shows."""

    visible_at: float
    hosts: list[dict[str, typing.Any]]


class HostListService:
    """Serves `GET /hosts`; `POST /stand-in/hosts` replaces the list."""

    def __init__(self, lag_seconds: float) -> None:
        """Keep the lag; the list is empty."""
        self._lag_seconds = lag_seconds
        self._versions: list[_Version] = []

    async def serve(self, exchange: asgi.Exchange) -> None:
        """Answer one request."""
        if exchange.path == '/stand-in/hosts':
            document = await exchange.json()
            visible_at = time.monotonic()
            if self._versions:
                visible_at += self._lag_seconds
            self._versions.append(_Version(visible_at, document['hosts']))
            await exchange.respond_json(http_const.HTTP_OK, {})
        else:
            await self._answer(exchange)

    async def _answer(self, exchange: asgi.Exchange) -> None:
        """Answer with the list, or that it has not changed."""
        number = self._visible()
        tag = f'"{number}"'
        headers = (('etag', tag),)
        if exchange.header('if-none-match') == tag:
            await exchange.respond(_NOT_MODIFIED, b'', 'text/plain', headers)
            return
        hosts = self._versions[number - 1].hosts if number else []
        await exchange.respond(
            http_const.HTTP_OK,
            orjson.dumps(hosts),
            extra_headers=headers,
        )

    def _visible(self) -> int:
        """Return the number of the newest version that the lag lets show."""
        now_seconds = time.monotonic()
        return sum(
            version.visible_at <= now_seconds for version in self._versions
        )
