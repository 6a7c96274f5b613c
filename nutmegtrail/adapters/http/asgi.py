"""Reading of requests and writing of answers over ASGI."""

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
    """One HTTP request and the answer to it."""

    def __init__(self, scope: Scope, receive: Receive, send: Send) -> None:
        """Keep the ASGI callables."""
        self.method: str = scope['method']
        self.path: str = scope['path']
        self.query: bytes = scope.get('query_string', b'')
        self.headers_by_name = {
            name.decode('latin-1'): text.decode('latin-1')
            for name, text in scope['headers']
        }
        self._receive = receive
        self._whole_body: bytes | None = None
        self._send = send
        self.started = False

    def header(self, name: str) -> str:
        """Return a request header by its lower-case name, or ''."""
        return str(self.headers_by_name.get(name, ''))

    async def body(self, limit: int = shared_const.BODY_LIMIT_BYTES) -> bytes:
        """Return the whole body; raise RequestError if long or slow."""
        if self._whole_body is not None:
            return self._whole_body
        with anyio.move_on_after(shared_const.BODY_READ_TIMEOUT_SECONDS):
            self._whole_body = await self._read_body(limit)
            return self._whole_body
        raise errors.RequestError(
            const.HTTP_TIMEOUT,
            'the body was not received in time',
        )

    async def json(self) -> dict[str, typing.Any]:
        """Return the body's JSON object; raise RequestError if malformed."""
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
        """Return when the caller has hung up."""
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
        self.started = True
        headers = (('content-type', content_type), *extra_headers)
        await self._put(
            {
                'type': 'http.response.start',
                'status': status,
                'headers': [
                    (name.encode(), text.encode()) for name, text in headers
                ],
            },
        )

    async def write(self, payload: bytes, *, more: bool) -> None:
        """Send a part of the answer's body."""
        await self._put(
            {'type': 'http.response.body', 'body': payload, 'more_body': more},
        )

    async def respond(
        self,
        status: int,
        payload: bytes,
        content_type: str = const.CONTENT_TYPE_JSON,
        extra_headers: tuple[tuple[str, str], ...] = (),
    ) -> None:
        """Send a whole answer."""
        await self.start(status, content_type, extra_headers)
        await self.write(payload, more=False)

    async def respond_json(self, status: int, document: object) -> None:
        """Send a JSON document."""
        await self.respond(status, orjson.dumps(document))

    async def _read_body(self, limit: int) -> bytes:
        """Return the body; raise RequestError over the limit."""
        body = bytearray()
        while True:
            event = await self._receive()
            if event['type'] == 'http.disconnect':
                raise errors.ClientDisconnected(
                    'hung up while sending the body'
                )
            body += event.get('body', b'')
            if len(body) > limit:
                raise errors.RequestError(
                    const.HTTP_TOO_LARGE,
                    f'the body may have {limit} bytes at most',
                )
            if not event.get('more_body'):
                return bytes(body)

    async def _put(self, event: Event) -> None:
        """Send an event; raise ClientDisconnected if the client stalls."""
        with anyio.move_on_after(shared_const.CLIENT_WRITE_TIMEOUT_SECONDS):
            await self._send(event)
            return
        raise errors.ClientDisconnected('the caller stopped reading')
