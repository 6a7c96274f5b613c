"""HTTP requests and their responses, as the daemons handle them."""

import typing
import urllib.parse

import anyio
import orjson

from nutmegtrail.adapters.http import const
from nutmegtrail.adapters.http import errors
from nutmegtrail.adapters.http1 import messages
from nutmegtrail.adapters.http1 import server as http1_server

_HEAD: typing.Final = 'HEAD'
Headers: typing.TypeAlias = tuple[tuple[str, str], ...]


class Exchange:
    """One HTTP request and its response."""

    def __init__(self, exchange: http1_server.Exchange) -> None:
        """Initialize the exchange of a request that was received."""
        request = exchange.request
        path, _, query = request.target.partition(b'?')
        self.method = request.method.decode('latin-1')
        self.path = urllib.parse.unquote(path.decode('latin-1'))
        self.query = query
        self.body = request.body
        self.headers_by_name = {
            name.decode('latin-1'): text.decode('latin-1')
            for name, text in request.headers
        }
        self._exchange = exchange
        self._status = 0
        self._headers: messages.Headers = ()

    @property
    def is_sent(self) -> bool:
        """Return whether any part of the response was sent."""
        return self._exchange.has_started

    def header(self, name: str) -> str:
        """Return a header by its lower-case name, empty if not present."""
        return self.headers_by_name.get(name, '')

    def json(self) -> dict[str, typing.Any]:
        """Return the JSON object in the body; raise RequestError if invalid."""
        try:
            parsed = orjson.loads(self.body)
        except orjson.JSONDecodeError as error:
            raise errors.RequestError(
                const.HTTP_BAD_REQUEST,
                f'the body is not JSON: {error}',
            ) from error
        if isinstance(parsed, dict):
            return parsed
        raise errors.RequestError(
            const.HTTP_BAD_REQUEST,
            'the body must be a JSON object',
        )

    def start(
        self,
        status: int,
        content_type: str,
        extra_headers: Headers = (),
    ) -> None:
        """Set the status and the headers, sent with the first part."""
        self._status = status
        self._headers = tuple(
            (name.encode('latin-1'), text.encode('latin-1'))
            for name, text in (('content-type', content_type), *extra_headers)
        )

    async def write(self, payload: bytes, *, more: bool) -> None:
        """Send a part of the response body.

        Cancelling does not cut it, so that the handler can still end the
        response in order.
        """
        if self.method == _HEAD:
            payload = b''
        with anyio.CancelScope(shield=True):
            await self._write(payload, more=more)

    async def respond(
        self,
        status: int,
        payload: bytes,
        content_type: str = const.CONTENT_TYPE_JSON,
        extra_headers: Headers = (),
    ) -> None:
        """Send a complete response."""
        self.start(status, content_type, extra_headers)
        await self.write(payload, more=False)

    async def respond_json(self, status: int, document: object) -> None:
        """Send a complete response with a JSON body."""
        await self.respond(status, orjson.dumps(document))

    async def _write(self, payload: bytes, *, more: bool) -> None:
        """Send a part, the first one with the status and the headers."""
        if self.is_sent:
            if payload:
                await self._exchange.write(payload)
            if not more:
                await self._exchange.finish()
        elif not more:
            await self._exchange.respond(self._status, self._headers, payload)
        elif payload:
            await self._exchange.start_chunked(
                self._status, self._headers, payload
            )
