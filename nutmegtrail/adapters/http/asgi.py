"""ASGI request reader and response writer."""

import collections.abc
import typing

import anyio
import orjson

from nutmegtrail import const as shared_const
from nutmegtrail.adapters.http import const
from nutmegtrail.adapters.http import errors

Scope: typing.TypeAlias = collections.abc.MutableMapping[str, typing.Any]
Event: typing.TypeAlias = collections.abc.MutableMapping[str, typing.Any]
Receive: typing.TypeAlias = collections.abc.Callable[
    [], collections.abc.Awaitable[Event]
]
Send: typing.TypeAlias = collections.abc.Callable[
    [Event], collections.abc.Awaitable[None]
]
Application: typing.TypeAlias = collections.abc.Callable[
    [Scope, Receive, Send], collections.abc.Awaitable[None]
]


class Exchange:
    """One HTTP request and its response."""

    def __init__(self, scope: Scope, receive: Receive, send: Send) -> None:
        """Initialize the exchange from an ASGI scope."""
        self.method: str = scope['method']
        self.path: str = scope['path']
        self.query: bytes = scope.get('query_string', b'')
        self.headers_by_name = {
            name.decode('latin-1'): text.decode('latin-1')
            for name, text in scope['headers']
        }
        self._receive = receive
        self._cached_body: bytes | None = None
        self._send = send
        self.response_started = False

    def header(self, name: str) -> str:
        """Return a header by its lower-case name, empty if not present."""
        return str(self.headers_by_name.get(name, ''))

    async def body(self, limit: int = shared_const.BODY_LIMIT_BYTES) -> bytes:
        """Return the body; raise RequestError if too large or too slow."""
        if self._cached_body is not None:
            return self._cached_body
        with anyio.move_on_after(shared_const.BODY_READ_TIMEOUT_SECONDS):
            self._cached_body = await self._read_body(limit)
            return self._cached_body
        raise errors.RequestError(
            const.HTTP_REQUEST_TIMEOUT,
            'the body was not received in time',
        )

    async def json(self) -> dict[str, typing.Any]:
        """Return the JSON object in the body; raise RequestError if invalid."""
        raw = await self.body()
        try:
            parsed = orjson.loads(raw)
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

    async def wait_for_disconnect(self) -> None:
        """Wait until the client closes the connection."""
        while True:
            event = await self._receive()
            if event['type'] == 'http.disconnect':
                return

    async def start(
        self,
        status: int,
        content_type: str,
        extra_headers: tuple[tuple[str, str], ...] = (),
    ) -> None:
        """Send the status and the headers."""
        self.response_started = True
        headers = (('content-type', content_type), *extra_headers)
        await self._send_event(
            {
                'type': 'http.response.start',
                'status': status,
                'headers': [
                    (name.encode(), text.encode()) for name, text in headers
                ],
            },
        )

    async def write(self, payload: bytes, *, more: bool) -> None:
        """Send a part of the response body."""
        await self._send_event(
            {'type': 'http.response.body', 'body': payload, 'more_body': more},
        )

    async def respond(
        self,
        status: int,
        payload: bytes,
        content_type: str = const.CONTENT_TYPE_JSON,
        extra_headers: tuple[tuple[str, str], ...] = (),
    ) -> None:
        """Send a complete response."""
        await self.start(status, content_type, extra_headers)
        await self.write(payload, more=False)

    async def respond_json(self, status: int, document: object) -> None:
        """Send a complete response with a JSON body."""
        await self.respond(status, orjson.dumps(document))

    async def _read_body(self, limit: int) -> bytes:
        """Read the body; raise RequestError if it exceeds the limit."""
        body = bytearray()
        while True:
            event = await self._receive()
            if event['type'] == 'http.disconnect':
                raise errors.ClientDisconnected(
                    'client disconnected while sending the request body'
                )
            body += event.get('body', b'')
            if len(body) > limit:
                raise errors.RequestError(
                    const.HTTP_CONTENT_TOO_LARGE,
                    f'the body may have {limit} bytes at most',
                )
            if not event.get('more_body'):
                return bytes(body)

    async def _send_event(self, event: Event) -> None:
        """Send an event; raise ClientDisconnected if the client stalls."""
        with anyio.move_on_after(shared_const.CLIENT_WRITE_TIMEOUT_SECONDS):
            await self._send(event)
            return
        raise errors.ClientDisconnected(
            'client did not read the response in time'
        )
