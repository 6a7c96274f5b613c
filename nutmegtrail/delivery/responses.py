"""Answers of a sidecar's upstream, kept by request for pick-up."""

import collections.abc
import typing

from nutmegtrail.delivery import const
from nutmegtrail.retries import models as retry_models
from nutmegtrail.wire import models

SendMessage: typing.TypeAlias = collections.abc.Callable[[models.Message], None]


class Subscriber(typing.NamedTuple):
    """An attempt that is sent the events of an answer."""

    post: SendMessage
    attempt: int


class RecordedResponse:
    """The events of one answer, from a first offset on."""

    def __init__(self, request_id: str, first_offset: int) -> None:
        """Start an empty recording."""
        self.request_id = request_id
        self.first_offset = first_offset
        self.ended_at_seconds: float | None = None
        self.size_bytes = 0
        self._head: tuple[int, str] | None = None
        self._events: list[bytes] = []
        self._end: models.Message | None = None
        self._subscribers: list[Subscriber] = []

    @property
    def is_complete(self) -> bool:
        """Return whether the answer or its refusal is complete."""
        return self._end is not None

    @property
    def has_subscribers(self) -> bool:
        """Return whether any attempt waits for the answer."""
        return bool(self._subscribers)

    def subscribe(self, subscriber: Subscriber, offset: int) -> None:
        """Send an attempt all events from an offset, then the new ones."""
        if self._head is not None:
            subscriber.post(self._head_for(subscriber))
        skipped = max(offset - self.first_offset, 0)
        for index, event in enumerate(self._events[skipped:], start=skipped):
            subscriber.post(self._chunk(subscriber, index, event))
        if self._end is None:
            self._subscribers.append(subscriber)
        else:
            subscriber.post(_readdress(self._end, subscriber.attempt))

    def unsubscribe(self, post: SendMessage) -> None:
        """Forget the attempts of a connection."""
        self._subscribers = [
            subscriber
            for subscriber in self._subscribers
            if subscriber.post != post
        ]

    def start(self, status: int, content_type: str) -> None:
        """Record the answer's status and type."""
        self._head = (status, content_type)
        for subscriber in self._subscribers:
            subscriber.post(self._head_for(subscriber))

    def append(self, event: bytes) -> None:
        """Record an event and send it on."""
        index = len(self._events)
        self._events.append(event)
        self.size_bytes += len(event)
        for subscriber in self._subscribers:
            subscriber.post(self._chunk(subscriber, index, event))

    def finish(self, now_seconds: float) -> None:
        """Record the answer's end."""
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
        """Record that there is no answer."""
        refusal = models.Refusal(
            self.request_id,
            0,
            reason.value,
            retry_after_ms,
            owner,
        )
        self._close(refusal, now_seconds)

    def _close(self, end: models.Message, now_seconds: float) -> None:
        """Send the end to all that wait and keep it."""
        if self._end is not None:
            return
        self._end = end
        self.ended_at_seconds = now_seconds
        for subscriber in self._subscribers:
            subscriber.post(_readdress(end, subscriber.attempt))
        self._subscribers = []

    def _head_for(self, subscriber: Subscriber) -> models.Head:
        """Return the head addressed to an attempt."""
        status, content_type = self._head or (0, '')
        return models.Head(
            self.request_id,
            subscriber.attempt,
            status,
            content_type,
        )

    def _chunk(
        self,
        subscriber: Subscriber,
        index: int,
        event: bytes,
    ) -> models.Chunk:
        """Return an event addressed to an attempt."""
        return models.Chunk(
            self.request_id,
            subscriber.attempt,
            self.first_offset + index,
            event,
            final=False,
        )


class ResponseStore:
    """Recordings by request identifier; ended ones age out."""

    def __init__(self) -> None:
        """Start empty."""
        self._recordings_by_id: dict[str, RecordedResponse] = {}

    def get(self, request_id: str) -> RecordedResponse | None:
        """Return the recording of a request."""
        return self._recordings_by_id.get(request_id)

    def open(
        self,
        request_id: str,
        first_offset: int,
        name: str = '',
    ) -> RecordedResponse:
        """Return a new recording, by default under the request's name."""
        recording = RecordedResponse(request_id, first_offset)
        self._recordings_by_id[name or request_id] = recording
        return recording

    def drop(self, name: str) -> None:
        """Forget a recording, so that a later attempt starts afresh."""
        self._recordings_by_id.pop(name, None)

    def unsubscribe(self, post: SendMessage) -> tuple[str, ...]:
        """Forget a lost connection; return the requests nobody waits for."""
        unwatched = []
        for request_id, recording in self._recordings_by_id.items():
            recording.unsubscribe(post)
            if not recording.is_complete and not recording.has_subscribers:
                unwatched.append(request_id)
        return tuple(unwatched)

    def sweep(self, now_seconds: float) -> None:
        """Drop ended recordings that are old or over the size limit."""
        oldest = now_seconds - const.RETENTION_SECONDS
        total = sum(
            recording.size_bytes
            for recording in self._recordings_by_id.values()
        )
        for name, recording in tuple(self._recordings_by_id.items()):
            ended_at = recording.ended_at_seconds
            if ended_at is None:
                continue
            if ended_at < oldest or total > const.ANSWER_BYTES_LIMIT:
                total -= recording.size_bytes
                self.drop(name)


def _readdress(message: models.Message, attempt: int) -> models.Message:
    """Return an end addressed to an attempt."""
    if isinstance(message, models.Chunk | models.Refusal):
        return message._replace(attempt=attempt)
    return message
