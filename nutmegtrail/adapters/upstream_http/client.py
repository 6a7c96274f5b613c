"""HTTP client for the upstream on loopback; splits responses into events."""

import collections.abc
import contextlib
import functools
import typing

import httpx

from nutmegtrail import const as shared_const
from nutmegtrail import models as shared_models
from nutmegtrail.adapters.bounded_http import client as bounded_http
from nutmegtrail.adapters.bounded_http import models as bounded_models
from nutmegtrail.adapters.http1 import errors as http_errors
from nutmegtrail.adapters.upstream_http import const
from nutmegtrail.byte_budget import budget
from nutmegtrail.gateway import events as event_streams
from nutmegtrail.ports import upstream
from nutmegtrail.wire import models

_EVENT_STREAM: typing.Final = 'text/event-stream'
_PROBE_LIMITS: typing.Final = bounded_models.Limits(
    const.PROBE_LIMIT_BYTES, const.PROBE_TIMEOUT_SECONDS
)
_NOT_SENT_ERRORS: typing.Final = (httpx.ConnectError, httpx.ConnectTimeout)


class HttpUpstream:
    """Implements `ports.upstream.Upstream`."""

    def __init__(
        self,
        address: shared_models.Address,
        timeout_seconds: float = shared_const.REQUEST_TIMEOUT_SECONDS,
    ) -> None:
        """Initialize the client without opening connections.

        Each call uses a new connection: a failure on a reused one does not
        tell whether the request was received, and an upstream may repeat the
        answer to an earlier request on it.
        """
        self._limits = bounded_models.Limits(
            const.BODY_LIMIT_BYTES, timeout_seconds
        )
        self._budget = budget.ByteBudget(const.BODIES_LIMIT_BYTES)
        # Probes tell more of an upstream while its answers are too large.
        self._probe_budget = budget.ByteBudget(const.PROBE_LIMIT_BYTES)
        self._client = httpx.AsyncClient(
            base_url=f'http://{address}',
            headers=bounded_http.HEADERS,
            timeout=httpx.Timeout(
                timeout_seconds, connect=const.CONNECT_TIMEOUT_SECONDS
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
            response = await bounded_http.fetch(
                self._client,
                self._client.build_request('GET', '/health'),
                _PROBE_LIMITS,
                self._probe_budget,
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
        opened = bounded_http.stream(
            self._client, request, self._limits, self._budget
        )
        async with contextlib.AsyncExitStack() as stack:
            try:
                response, reading = await stack.enter_async_context(opened)
                bounded_http.check_encoding(response)
            except _NOT_SENT_ERRORS as error:
                raise upstream.NotSent(str(error)) from error
            except httpx.HTTPError as error:
                raise upstream.Interrupted(str(error)) from error
            yield _convert_response(response, call.offset, reading)


def _headers(call: models.Call) -> dict[str, str]:
    """Return the headers of the request to an upstream."""
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


def _convert_response(
    response: httpx.Response, offset: int, reading: bounded_http.Reading
) -> upstream.Response:
    """Convert an HTTP response.

    Upstreams leave out the events before the offset in streams only.
    """
    content_type = response.headers.get('content-type', '')
    if content_type.startswith(_EVENT_STREAM):
        events = _stream_events(response, reading)
    else:
        events = _body_as_event(response, offset, reading)
    return upstream.Response(response.status_code, content_type, events)


async def _stream_events(
    response: httpx.Response, reading: bounded_http.Reading
) -> collections.abc.AsyncIterator[bytes]:
    """Yield each server-sent event with its trailing blank line."""
    splitter = event_streams.Splitter()
    has_events = False
    try:
        async for part in reading.iterate(response):
            for event in splitter.feed(part):
                has_events = True
                yield event
                reading.free(len(event))
    except (httpx.HTTPError, http_errors.ExchangeBroken) as error:
        raise upstream.Interrupted(str(error)) from error
    if splitter.has_partial_event:
        raise upstream.Interrupted(
            'the event stream ended in the middle of an event'
        )
    if not has_events:
        raise upstream.Interrupted('the event stream has no events')


async def _body_as_event(
    response: httpx.Response, offset: int, reading: bounded_http.Reading
) -> collections.abc.AsyncIterator[bytes]:
    """Yield the complete body as a single event, unless it was received."""
    try:
        body = await reading.run(
            functools.partial(bounded_http.read_body, response, reading)
        )
    except httpx.HTTPError as error:
        raise upstream.Interrupted(str(error)) from error
    if not offset:
        yield body
