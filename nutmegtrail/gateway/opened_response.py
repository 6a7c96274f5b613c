"""Response of an upstream while it is forwarded to the caller."""

import contextlib
import typing

import anyio

from nutmegtrail.adapters.http1 import client
from nutmegtrail.adapters.http1 import errors as http_errors
from nutmegtrail.adapters.http1 import messages
from nutmegtrail.gateway import attempts
from nutmegtrail.gateway import const
from nutmegtrail.gateway import errors
from nutmegtrail.gateway import events
from nutmegtrail.gateway import models


class Assignment(typing.NamedTuple):
    """Upstream that was assigned to a request in the queue.

    `is_hedge` is set if another upstream runs the request, too.
    """

    upstream: models.Upstream
    queue_id: str
    assigned_at_seconds: float
    is_hedge: bool


class ReceivedEvents(typing.NamedTuple):
    """Complete events of a stream; `is_end` is set if none follow."""

    complete: tuple[bytes, ...]
    is_end: bool


class OpenedResponse:
    """Connection to an upstream and its response; `close` releases both.

    `has_sent_events` is set once events of it were sent to the caller. `run`
    tells which events of a stream were asked for and have arrived.
    """

    def __init__(
        self, assignment: Assignment, release: typing.Callable[[], None]
    ) -> None:
        """Initialize without a connection; `release` frees the slot."""
        self.assignment = assignment
        self.has_sent_events = False
        self.run = events.Run()
        self._resources = contextlib.AsyncExitStack()
        self._resources.callback(release)
        self._response: client.Response | None = None
        self._first_part: bytes | None = None
        self._body: bytes | None = None
        self._splitter = events.Splitter()

    @property
    def upstream(self) -> models.Upstream:
        """Return the upstream that responds."""
        return self.assignment.upstream

    @property
    def has_partial_event(self) -> bool:
        """Return whether a part of an event has arrived without its end."""
        return self._splitter.has_partial_event

    @property
    def head(self) -> messages.Head:
        """Return the head of the response."""
        return self._received.head

    async def connect(
        self, http_client: client.Client, call: client.Call
    ) -> None:
        """Send a call and receive the head of the response."""
        self._response = await self._resources.enter_async_context(
            http_client.open(call)
        )

    async def prefetch(self, kind: models.RouteKind) -> None:
        """Receive the first part of a stream, or a whole other response."""
        if kind is models.RouteKind.STREAM:
            self._first_part = await self._received.receive()
        else:
            self._body = await self.read(const.RESPONSE_BYTES_LIMIT)

    async def receive_events(self) -> ReceivedEvents:
        """Return the next complete events of a stream, or its end.

        Closes the response and raises AttemptFailed if it is broken. Events
        that have arrived are kept if the call is cancelled.
        """
        try:
            while True:
                part = await self._receive()
                complete_events = self._splitter.feed(part)
                if complete_events or not part:
                    return ReceivedEvents(complete_events, is_end=not part)
        except http_errors.ExchangeBroken as error:
            # A hedge may go on for a while.
            await self.close()
            raise errors.AttemptFailed(
                failure_of(self.upstream, error)
            ) from error

    async def read(self, limit: int) -> bytes:
        """Return the whole body; raise ExchangeBroken above the limit."""
        if self._body is None:
            return await self._received.read(limit)
        return self._body

    def record_refusal(self, *, names_request: bool) -> None:
        """Record that the response says that the request did not run."""
        self._received.is_refusal = True
        self._received.names_request = names_request

    def record_foreign(self) -> None:
        """Record that the response belongs to another request."""
        self._received.is_foreign = True

    async def close(self) -> None:
        """Close the connection unless it can be reused, and free the slot."""
        with anyio.CancelScope(shield=True):
            await self._resources.aclose()

    async def _receive(self) -> bytes:
        """Return the next part of the body, b'' at its end."""
        part = self._first_part
        if part is None:
            return await self._received.receive(self._splitter.kept_bytes)
        self._first_part = None
        return part

    @property
    def _received(self) -> client.Response:
        """Return the response, which `connect` has received."""
        return typing.cast('client.Response', self._response)


def failure_of(
    upstream: models.Upstream, error: http_errors.ExchangeBroken
) -> attempts.Event:
    """Return the failure of an attempt whose response has ended early."""
    if isinstance(error, http_errors.ResponseDropped):
        return attempts.Dropped(upstream.upstream_id, str(error))
    return attempts.Broken(upstream.upstream_id, str(error), is_closed=True)


class Successor(typing.NamedTuple):
    """Response that continues that of another upstream.

    `failure` tells why the other one does not go on.
    """

    opened: OpenedResponse
    failure: attempts.Event
