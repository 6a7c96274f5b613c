"""Messages in which entries tell each other what upstreams said."""

import typing

from nutmegtrail import checks
from nutmegtrail.gateway import const
from nutmegtrail.gateway import models
from nutmegtrail.gateway import request_limits
from nutmegtrail.warmup import sightings

_Entry = typing.TypeVar('_Entry')


class LimitEntry(typing.NamedTuple):
    """Limit of an upstream and the requests that the sender has sent.

    The ages say how long ago the upstream was asked and responded.
    `requests_per_second` is None if its limit has ended.
    """

    upstream_id: str
    started_at_ms: int
    requests_per_second: float | None
    asked_age_seconds: float
    received_age_seconds: float
    is_by_control_api: bool
    sent: int

    @property
    def incarnation(self) -> models.Incarnation:
        """Return the incarnation of the upstream."""
        return self.upstream_id, self.started_at_ms

    def statement(self, now_seconds: float) -> request_limits.Statement:
        """Return the statement of the upstream, in the receiver's time."""
        rate = self.requests_per_second
        return request_limits.Statement(
            request_limits.UNLIMITED if rate is None else rate,
            now_seconds - self.asked_age_seconds,
            now_seconds - self.received_age_seconds,
            self.is_by_control_api,
        )


class SignalMessage(typing.NamedTuple):
    """Limits and announcements of leaving that an entry knows of.

    `cold` has the registrations of cold upstreams.
    """

    entry: str
    limits: tuple[LimitEntry, ...] = ()
    leaving: tuple[models.Incarnation, ...] = ()
    cold: tuple[sightings.Registered, ...] = ()

    @property
    def is_empty(self) -> bool:
        """Return whether there is nothing to tell."""
        return not (self.limits or self.leaving or self.cold)


def limit_entry(
    incarnation: models.Incarnation,
    limit: request_limits.RequestLimit,
    now_seconds: float,
) -> LimitEntry:
    """Return the entry of a limit."""
    statement = limit.statement
    rate: float | None = statement.requests_per_second
    return LimitEntry(
        *incarnation,
        None if rate == request_limits.UNLIMITED else rate,
        round(max(now_seconds - statement.asked_at_seconds, 0), 4),
        round(max(now_seconds - statement.received_at_seconds, 0), 4),
        statement.is_by_control_api,
        limit.sent,
    )


def split(message: SignalMessage) -> list[SignalMessage]:
    """Return messages that are small enough for one datagram each."""
    parts = [
        SignalMessage(message.entry, limits=chunk)
        for chunk in _chunks(message.limits)
    ]
    parts.extend(
        SignalMessage(message.entry, leaving=chunk)
        for chunk in _chunks(message.leaving)
    )
    parts.extend(
        SignalMessage(message.entry, cold=chunk)
        for chunk in _chunks(message.cold, const.MAX_COLD_PER_DATAGRAM)
    )
    return parts or [message]


def to_document(message: SignalMessage) -> dict[str, object]:
    """Return a message as JSON values."""
    return {
        'entry': message.entry,
        'limits': [tuple(told) for told in message.limits],
        'leaving': message.leaving,
        'cold': [tuple(told) for told in message.cold],
    }


def from_document(document: dict[str, typing.Any]) -> SignalMessage:
    """Return a message; raise ValueError or TypeError if it is malformed."""
    return SignalMessage(
        str(document['entry']),
        tuple(_checked(LimitEntry(*fields)) for fields in document['limits']),
        tuple(
            (str(upstream_id), int(started_at_ms))
            for upstream_id, started_at_ms in document['leaving']
        ),
        # Entries of earlier releases tell nothing of cold upstreams.
        tuple(_registered(*fields) for fields in document.get('cold', ())),
    )


def _registered(
    upstream_id: str,
    service: str,
    started_at_ms: int,
    revision: int,
    cold_seconds: float,
) -> sightings.Registered:
    """Return a registration whose fields have their types."""
    return sightings.Registered(
        str(upstream_id),
        str(service),
        int(started_at_ms),
        int(revision),
        checks.non_negative(cold_seconds),
    )


def _checked(received: LimitEntry) -> LimitEntry:
    """Return an entry whose fields have their types and are in range."""
    rate = received.requests_per_second
    return LimitEntry(
        str(received.upstream_id),
        int(received.started_at_ms),
        None if rate is None else checks.non_negative(rate),
        checks.non_negative(received.asked_age_seconds),
        checks.non_negative(received.received_age_seconds),
        bool(received.is_by_control_api),
        int(checks.non_negative(received.sent)),
    )


def _chunks(
    entries: tuple[_Entry, ...], size: int = const.MAX_SIGNALS_PER_DATAGRAM
) -> typing.Iterator[tuple[_Entry, ...]]:
    """Return the entries in the parts that fit into a datagram."""
    for start in range(0, len(entries), size):
        yield entries[start : start + size]
