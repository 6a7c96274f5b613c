"""Upstream client: HTTP on loopback, answers cut into events."""

import collections.abc
import contextlib
import typing

import httpx

from nutmegtrail import const as shared_const
from nutmegtrail import models as shared_models
from nutmegtrail.ports import upstream
from nutmegtrail.wire import models

_EVENT_END: typing.Final = b'\n\n'
_EVENT_STREAM: typing.Final = 'text/event-stream'
_CONNECT_TIMEOUT_SECONDS: typing.Final = 1.0
_KEPT_CONNECTIONS: typing.Final = 64
_PROBE_TIMEOUT_SECONDS: typing.Final = 2.0
_NOT_SENT: typing.Final = (httpx.ConnectError, httpx.ConnectTimeout)


class HttpUpstream:
    """Implements `ports.upstream.Upstream`."""

    def __init__(self, address: shared_models.Address) -> None:
        """Keep the address; nothing is connected yet.

        A call that must not be repeated gets a connection of its own: on a
        kept one it could not be told from its failure whether it arrived.
        """
        self._client = _create_client(address, _KEPT_CONNECTIONS)
        self._fresh_client = _create_client(address, 0)

    async def close(self) -> None:
        """Close the connections."""
        await self._client.aclose()
        await self._fresh_client.aclose()

    async def probe(self) -> bool:
        """Return whether the upstream answers its health path."""
        try:
            response = await self._client.get(
                '/health',
                timeout=_PROBE_TIMEOUT_SECONDS,
            )
        except httpx.HTTPError:
            return False
        return response.is_success

    @contextlib.asynccontextmanager
    async def open(
        self,
        call: models.Call,
    ) -> collections.abc.AsyncIterator[upstream.Response]:
        """Send a call; leaving the context cancels what still runs."""
        client = self._client if call.idempotent else self._fresh_client
        request = client.build_request(
            call.method,
            call.path,
            content=call.body,
            headers=_headers(call),
        )
        try:
            response = await client.send(request, stream=True)
        except _NOT_SENT as error:
            raise upstream.NotSent(str(error)) from error
        except httpx.HTTPError as error:
            raise upstream.Interrupted(str(error)) from error
        try:
            yield _answer(response)
        finally:
            await response.aclose()


def _create_client(
    address: shared_models.Address,
    kept_connections: int,
) -> httpx.AsyncClient:
    """Return a client that keeps some connections open between calls."""
    return httpx.AsyncClient(
        base_url=f'http://{address}',
        timeout=httpx.Timeout(
            shared_const.REQUEST_TIMEOUT_SECONDS,
            connect=_CONNECT_TIMEOUT_SECONDS,
        ),
        limits=httpx.Limits(
            max_connections=None,
            max_keepalive_connections=kept_connections,
        ),
    )


def _headers(call: models.Call) -> dict[str, str]:
    """Return the headers that an upstream is given."""
    headers = {
        'content-type': call.content_type,
        'x-request-id': call.request_id,
        'x-client-account': call.client_account,
        'x-priority': str(call.priority),
        'x-resume-offset': str(call.offset),
    }
    if call.idempotency_key:
        headers['idempotency-key'] = call.idempotency_key
    return headers


def _answer(response: httpx.Response) -> upstream.Response:
    """Return the answer that a response carries."""
    content_type = response.headers.get('content-type', '')
    if content_type.startswith(_EVENT_STREAM):
        events = _stream_events(response)
    else:
        events = _whole_body(response)
    return upstream.Response(response.status_code, content_type, events)


async def _stream_events(
    response: httpx.Response,
) -> collections.abc.AsyncIterator[bytes]:
    """Yield each server-sent event with its end mark."""
    received = b''
    try:
        async for part in response.aiter_raw():
            received += part
            *events, received = received.split(_EVENT_END)
            for event in events:
                yield event + _EVENT_END
    except httpx.HTTPError as error:
        raise upstream.Interrupted(str(error)) from error
    if received:
        raise upstream.Interrupted('the stream ended inside an event')


async def _whole_body(
    response: httpx.Response,
) -> collections.abc.AsyncIterator[bytes]:
    """Yield the whole body as one event."""
    try:
        yield await response.aread()
    except httpx.HTTPError as error:
        raise upstream.Interrupted(str(error)) from error
