"""HTTP client for the upstream on loopback; splits responses into events."""

import collections.abc
import contextlib
import typing

import httpx

from nutmegtrail import const as shared_const
from nutmegtrail import models as shared_models
from nutmegtrail.adapters.http1 import errors as http_errors
from nutmegtrail.gateway import events as event_streams
from nutmegtrail.ports import upstream
from nutmegtrail.wire import models

_EVENT_STREAM: typing.Final = 'text/event-stream'
# The end of an encoded body without a length cannot be checked.
_IDENTITY: typing.Final = 'identity'
_CONNECT_TIMEOUT_SECONDS: typing.Final = 1.0
_PROBE_TIMEOUT_SECONDS: typing.Final = 2.0
_NOT_SENT_ERRORS: typing.Final = (httpx.ConnectError, httpx.ConnectTimeout)


class HttpUpstream:
    """Implements `ports.upstream.Upstream`."""

    def __init__(self, address: shared_models.Address) -> None:
        """Initialize the client without opening connections.

        Each call uses a new connection: a failure on a reused one does not
        tell whether the request was received, and an upstream may repeat the
        answer to an earlier request on it.
        """
        self._client = httpx.AsyncClient(
            base_url=f'http://{address}',
            timeout=httpx.Timeout(
                shared_const.REQUEST_TIMEOUT_SECONDS,
                connect=_CONNECT_TIMEOUT_SECONDS,
            ),
            limits=httpx.Limits(
                max_connections=None,
                max_keepalive_connections=0,
            ),
        )

    async def close(self) -> None:
        """Close all connections."""
        await self._client.aclose()

    async def probe(self) -> bool:
        """Return whether the health check of the upstream succeeds."""
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
        """Send a request; leaving the context cancels the response."""
        request = self._client.build_request(
            call.method,
            call.path,
            content=call.body,
            headers=_headers(call),
        )
        try:
            response = await self._client.send(request, stream=True)
        except _NOT_SENT_ERRORS as error:
            raise upstream.NotSent(str(error)) from error
        except httpx.HTTPError as error:
            raise upstream.Interrupted(str(error)) from error
        try:
            yield _convert_response(response, call.offset)
        finally:
            await response.aclose()


def _headers(call: models.Call) -> dict[str, str]:
    """Return the headers of the request to an upstream."""
    headers = {
        'accept-encoding': _IDENTITY,
        'content-type': call.content_type,
        'x-request-id': call.request_id,
        'x-client-account': call.client_account,
        'x-priority': str(call.priority),
        'x-resume-offset': str(call.offset),
    }
    if call.idempotency_key:
        headers['idempotency-key'] = call.idempotency_key
    return headers


def _convert_response(
    response: httpx.Response, offset: int
) -> upstream.Response:
    """Convert an HTTP response; raise Interrupted if its body is encoded.

    Upstreams leave out the events before the offset in streams only.
    """
    encoding = response.headers.get('content-encoding', _IDENTITY)
    if encoding.lower() != _IDENTITY:
        raise upstream.Interrupted(f'the body is encoded: {encoding}')
    content_type = response.headers.get('content-type', '')
    if content_type.startswith(_EVENT_STREAM):
        events = _stream_events(response)
    else:
        events = _body_as_event(response, offset)
    return upstream.Response(response.status_code, content_type, events)


async def _stream_events(
    response: httpx.Response,
) -> collections.abc.AsyncIterator[bytes]:
    """Yield each server-sent event with its trailing blank line."""
    splitter = event_streams.Splitter()
    has_events = False
    try:
        async for part in response.aiter_raw():
            for event in splitter.feed(part):
                has_events = True
                yield event
    except (httpx.HTTPError, http_errors.ExchangeBroken) as error:
        raise upstream.Interrupted(str(error)) from error
    if splitter.has_partial_event:
        raise upstream.Interrupted(
            'the event stream ended in the middle of an event'
        )
    if not has_events:
        raise upstream.Interrupted('the event stream has no events')


async def _body_as_event(
    response: httpx.Response, offset: int
) -> collections.abc.AsyncIterator[bytes]:
    """Yield the complete body as a single event, unless it was received."""
    try:
        body = await response.aread()
    except httpx.HTTPError as error:
        raise upstream.Interrupted(str(error)) from error
    if not offset:
        yield body
