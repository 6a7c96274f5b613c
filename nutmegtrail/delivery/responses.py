"""Responses of a sidecar's upstream, buffered so that they can be resumed."""

import collections.abc
import functools
import time
import typing

from nutmegtrail.byte_budget import budget
from nutmegtrail.byte_budget import errors as budget_errors
from nutmegtrail.byte_budget import models as budget_models
from nutmegtrail.delivery import const
from nutmegtrail.retries import models as retry_models
from nutmegtrail.wire import models

SendMessage: typing.TypeAlias = collections.abc.Callable[[models.Message], None]


class Subscriber(typing.NamedTuple):
    """An attempt that receives the events of a response."""

    send: SendMessage
    attempt: int


class RecordedResponse:
    """The buffered events of one response, starting at an offset."""

    def __init__(
        self, request_id: str, first_offset: int, holding: budget.Holding
    ) -> None:
        """Initialize an empty recording."""
        self.request_id = request_id
        self.first_offset = first_offset
        self.ended_at_seconds: float | None = None
        self._holding = holding
        self._is_discarded = False
        self._head: tuple[int, str] | None = None
        self._events: list[bytes] = []
        self._end: models.Message | None = None
        self._subscribers: list[Subscriber] = []

    @property
    def is_complete(self) -> bool:
        """Return whether the response has ended or was refused."""
        return self._end is not None

    @property
    def has_subscribers(self) -> bool:
        """Return whether any attempt is subscribed to the response."""
        return bool(self._subscribers)

    def subscribe(self, subscriber: Subscriber, offset: int) -> None:
        """Send all buffered events from an offset on, then each new one."""
        if self._head is not None:
            subscriber.send(self._head_for(subscriber))
        skipped = max(offset - self.first_offset, 0)
        for index, event in enumerate(self._events[skipped:], start=skipped):
            subscriber.send(self._chunk_for(subscriber, index, event))
        if self._end is None:
            self._subscribers.append(subscriber)
        else:
            subscriber.send(_with_attempt(self._end, subscriber.attempt))

    def unsubscribe(self, send: SendMessage) -> None:
        """Remove the subscribers of a connection."""
        self._subscribers = [
            subscriber
            for subscriber in self._subscribers
            if subscriber.send != send
        ]

    def start(self, status: int, content_type: str) -> None:
        """Record and forward the status and content type."""
        self._head = (status, content_type)
        for subscriber in self._subscribers:
            subscriber.send(self._head_for(subscriber))

    def append(self, event: bytes) -> None:
        """Record an event and forward it to the subscribers.

        Raises GaveWay if the recording is too large.
        """
        try:
            self._keep(len(event) + const.EVENT_OVERHEAD_BYTES)
        except budget_errors.GaveWay:
            self.discard()
            raise
        index = len(self._events)
        self._events.append(event)
        for subscriber in self._subscribers:
            subscriber.send(self._chunk_for(subscriber, index, event))

    def finish(self, now_seconds: float) -> None:
        """Record and forward the end of the response."""
        offset = self.first_offset + len(self._events)
        end = models.Chunk(self.request_id, 0, offset, b'', final=True)
        self._close(end, now_seconds)

    def refuse(
        self,
        reason: retry_models.Reason,
        now_seconds: float,
        retry_after_ms: int = 0,
        owner: str = '',
    ) -> None:
        """Record and forward a refusal instead of a response."""
        refusal = models.Refusal(
            self.request_id,
            0,
            reason.value,
            retry_after_ms,
            owner,
        )
        self._close(refusal, now_seconds)

    def discard(self) -> None:
        """Drop the events; no others are recorded."""
        self._is_discarded = True
        self._events.clear()
        self._holding.close()

    def _keep(self, size_bytes: int) -> None:
        """Count an event; raise GaveWay if it cannot be recorded."""
        if self._is_discarded:
            raise budget_errors.GaveWay
        self._holding.grow(size_bytes)
        if self._holding.kept_bytes > const.RECORDING_LIMIT_BYTES:
            raise budget_errors.GaveWay

    def _close(self, end: models.Message, now_seconds: float) -> None:
        """Record the final message and forward it; later ones are ignored."""
        if self._end is not None:
            return
        self._end = end
        # Ended responses are kept for resumption only.
        self._holding.change_kind(budget_models.Kind.RESPONSE)
        self.ended_at_seconds = now_seconds
        for subscriber in self._subscribers:
            subscriber.send(_with_attempt(end, subscriber.attempt))
        self._subscribers = []

    def _head_for(self, subscriber: Subscriber) -> models.Head:
        """Return the response head for an attempt."""
        status, content_type = self._head or (0, '')
        return models.Head(
            self.request_id,
            subscriber.attempt,
            status,
            content_type,
        )

    def _chunk_for(
        self,
        subscriber: Subscriber,
        index: int,
        event: bytes,
    ) -> models.Chunk:
        """Return an event as a chunk for an attempt."""
        return models.Chunk(
            self.request_id,
            subscriber.attempt,
            self.first_offset + index,
            event,
            final=False,
        )


class ResponseStore:
    """Recordings by request identifier; ended ones expire.

    Above the limit of all recordings, the largest ended one is removed, and
    without ended ones the largest response is cut: `on_cut` ends its call.
    """

    def __init__(
        self, on_cut: collections.abc.Callable[[str], None] | None = None
    ) -> None:
        """Initialize an empty store."""
        self.budget = budget.ByteBudget(
            const.STORED_RESPONSES_LIMIT_BYTES, has_shares=False
        )
        self._on_cut = on_cut
        self._recordings_by_id: dict[str, RecordedResponse] = {}

    def get(self, request_id: str) -> RecordedResponse | None:
        """Return the recording of a request, None if there is none."""
        return self._recordings_by_id.get(request_id)

    def open(
        self,
        request_id: str,
        first_offset: int,
        name: str = '',
    ) -> RecordedResponse:
        """Store and return a new recording.

        It is stored under the request identifier unless a name is given.
        """
        key = name or request_id
        holding = self.budget.open(
            budget_models.Kind.DELIVERY, functools.partial(self._give_way, key)
        )
        recording = RecordedResponse(request_id, first_offset, holding)
        self.drop(key)
        self._recordings_by_id[key] = recording
        return recording

    def drop(self, name: str) -> None:
        """Remove a recording, so that a later attempt starts a new one."""
        recording = self._recordings_by_id.pop(name, None)
        if recording is not None:
            recording.discard()

    def unsubscribe(self, send: SendMessage) -> tuple[str, ...]:
        """Remove a lost connection.

        Returns the identifiers of unfinished requests without subscribers.
        """
        without_subscribers = []
        for request_id, recording in self._recordings_by_id.items():
            recording.unsubscribe(send)
            if not recording.is_complete and not recording.has_subscribers:
                without_subscribers.append(request_id)
        return tuple(without_subscribers)

    def sweep(self, now_seconds: float) -> None:
        """Remove ended recordings that are expired."""
        oldest = now_seconds - const.RETENTION_SECONDS
        for name, recording in tuple(self._recordings_by_id.items()):
            ended_at = recording.ended_at_seconds
            if ended_at is not None and ended_at < oldest:
                self.drop(name)

    def _give_way(self, name: str) -> None:
        """Remove a recording, and cut its response unless it has ended."""
        recording = self._recordings_by_id[name]
        self.drop(name)
        if recording.is_complete:
            return
        recording.refuse(retry_models.Reason.INTERRUPTED, time.monotonic())
        if self._on_cut is not None:
            self._on_cut(name)


def _with_attempt(message: models.Message, attempt: int) -> models.Message:
    """Return a final message addressed to an attempt."""
    if isinstance(message, models.Chunk | models.Refusal):
        return message._replace(attempt=attempt)
    return message
