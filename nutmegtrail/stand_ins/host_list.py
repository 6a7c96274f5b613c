"""The platform's host list; changes show after a lag."""

import time
import typing

from nutmegtrail.adapters.http import asgi
from nutmegtrail.adapters.http import const as http_const


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
            await exchange.answer_json(http_const.HTTP_OK, {})
        else:
            await exchange.answer_json(http_const.HTTP_OK, self._visible())

    def _visible(self) -> list[dict[str, typing.Any]]:
        """Return the newest version that the lag lets show."""
        now_seconds = time.monotonic()
        visible: list[dict[str, typing.Any]] = []
        for visible_at, hosts in self._versions:
            if visible_at <= now_seconds:
                visible = hosts
        return visible
