"""Endpoint that previews requests, for operators."""

import http
import typing

import orjson

from nutmegtrail.adapters.http1 import json_client
from nutmegtrail.adapters.http1 import server
from nutmegtrail.gateway import dispatcher as dispatching
from nutmegtrail.gateway import request_handler as request_handlers
from nutmegtrail.preview import const
from nutmegtrail.preview import requests


class PreviewEndpoint:
    """Tells where a request would go now; it changes nothing."""

    def __init__(
        self,
        request_handler: request_handlers.RequestHandler,
        dispatcher: dispatching.Dispatcher,
        region_by_domain: typing.Mapping[str, str],
    ) -> None:
        """Initialize the endpoint of an entry."""
        self._request_handler = request_handler
        self._dispatcher = dispatcher
        self._region_by_domain = region_by_domain

    def matches(self, target: bytes) -> bool:
        """Return whether a request target is that of this endpoint."""
        return target.partition(b'?')[0] == const.PATH.encode()

    async def serve(self, exchange: server.Exchange) -> None:
        """Respond with the preview of the request in the query."""
        query = exchange.request.target.partition(b'?')[2].decode('latin-1')
        preview = requests.answer(
            requests.parse(query),
            self._request_handler.configuration,
            self._dispatcher,
            self._region_by_domain,
        )
        await exchange.respond(
            http.HTTPStatus.OK, json_client.JSON_HEADERS, orjson.dumps(preview)
        )
