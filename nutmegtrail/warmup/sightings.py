"""What an entry knows of how long upstreams stay cold.

Registrations say how long an upstream stays cold, counted from when they were
written. The age of one that is read for the first time is not known; it counts
from then on, which can only be too long. Upstreams also say it in responses.

Entries tell each other which registrations of cold upstreams they read, so that
one that does not read the store learns of an upstream that was restarted.
"""

import functools
import typing

import pyrsistent
import pyrsistent.typing

from nutmegtrail.gateway import models


class Sighting(typing.NamedTuple):
    """One incarnation of an upstream.

    `registered_until_seconds` is None if its registration does not say how
    long it stays cold, `responded_until_seconds` is what it said in a response.
    `revision` is that of its registration, 0 if it was not read.
    """

    service: str
    started_at_ms: int
    first_seen_at_seconds: float
    revision: int = 0
    registered_until_seconds: float | None = None
    responded_until_seconds: float = float('-inf')

    def cold_until(self, cold_seconds: float) -> float:
        """Return the end of the cold time.

        `cold_seconds` is how long upstreams of its service are cold after
        their start, for one whose registration does not say it.
        """
        registered_until = self.registered_until_seconds
        if registered_until is None:
            registered_until = self.first_seen_at_seconds + cold_seconds
        return max(registered_until, self.responded_until_seconds)


SightingsById: typing.TypeAlias = pyrsistent.typing.PMap[str, Sighting]


class Registered(typing.NamedTuple):
    """A registration was read, here or by another entry.

    `cold_seconds` is how much longer the upstream stays cold, None if the
    registration does not say it.
    """

    upstream_id: str
    service: str
    started_at_ms: int
    revision: int
    cold_seconds: float | None

    @property
    def incarnation(self) -> models.Incarnation:
        """Return the incarnation of the upstream."""
        return self.upstream_id, self.started_at_ms


class Responded(typing.NamedTuple):
    """An upstream said in a response how long it stays cold."""

    upstream_id: str
    service: str
    started_at_ms: int
    cold_seconds: float


Event: typing.TypeAlias = Registered | Responded


@functools.singledispatch
def decide(
    event: Event, sightings: SightingsById, now_seconds: float
) -> SightingsById:
    """Return the sightings after an event."""
    raise TypeError(f'unknown event {event!r}')


@decide.register
def _registered(
    event: Registered, sightings: SightingsById, now_seconds: float
) -> SightingsById:
    """Apply a registration, unless it was read before.

    A read that repeats a registration does not begin the cold time again.
    """
    known = _current(sightings, event, now_seconds)
    if known is None or event.revision <= known.revision:
        return sightings
    registered_until = known.registered_until_seconds
    if event.cold_seconds is not None:
        registered_until = now_seconds + event.cold_seconds
    return sightings.set(
        event.upstream_id,
        known._replace(
            revision=event.revision, registered_until_seconds=registered_until
        ),
    )


@decide.register
def _responded(
    event: Responded, sightings: SightingsById, now_seconds: float
) -> SightingsById:
    """Apply what an upstream said last."""
    known = _current(sightings, event, now_seconds)
    if known is None:
        return sightings
    return sightings.set(
        event.upstream_id,
        known._replace(
            responded_until_seconds=now_seconds + event.cold_seconds
        ),
    )


def forget(
    sightings: SightingsById, registered_ids: typing.Container[str]
) -> SightingsById:
    """Return the sightings of the upstreams that are registered."""
    for upstream_id in sightings:
        if upstream_id not in registered_ids:
            sightings = sightings.remove(upstream_id)
    return sightings


def _current(
    sightings: SightingsById, event: Event, now_seconds: float
) -> Sighting | None:
    """Return the sighting that an event is about, None if it is outdated.

    An earlier copy of the store, or an entry that has not read of a restart,
    may show an incarnation that has ended.
    """
    known = sightings.get(event.upstream_id)
    if known is None or known.started_at_ms < event.started_at_ms:
        return Sighting(event.service, event.started_at_ms, now_seconds)
    return known if known.started_at_ms == event.started_at_ms else None
