"""Whether the store is available, by the outcomes of all calls to it.

A watch that waits may be cut, and a connection may go silent, while the store
is available. So a failed watch alone is no outage: one begins when a call that
was made right after it fails, too, and no other call had a response meanwhile.
A store that did not respond to anything for a while was unavailable as well,
even if no call has failed.
"""

import functools
import math
import typing

import anyio

from nutmegtrail.gateway import const
from nutmegtrail.observability import logs


class Availability(typing.NamedTuple):
    """Outages so far and when the last response came.

    `responded_at_seconds` is None before the first response. An outage began
    at `unavailable_since_seconds`, and the last one that has ended took
    `outage_seconds`.
    """

    is_unavailable: bool = False
    outages: int = 0
    responded_at_seconds: float | None = None
    unavailable_since_seconds: float = math.inf
    outage_seconds: float = 0


class Responded(typing.NamedTuple):
    """A call had a response."""


class CheckFailed(typing.NamedTuple):
    """A call that was made right after a failed one had no response.

    The first of the failed calls ended at `failed_at_seconds`, which is None if
    the store was silent to one of them: it may be unavailable since its last
    response then.
    """

    started_at_seconds: float
    failed_at_seconds: float | None


Event: typing.TypeAlias = Responded | CheckFailed


@functools.singledispatch
def decide(
    event: Event, availability: Availability, now_seconds: float
) -> Availability:
    """Return the availability after an event."""
    raise TypeError(f'unknown event {event!r}')


@decide.register
def _responded(
    event: Responded, availability: Availability, now_seconds: float
) -> Availability:
    """End an outage; count one that showed only in the store's silence."""
    outages = availability.outages
    outage_seconds = availability.outage_seconds
    responded_at = availability.responded_at_seconds
    if availability.is_unavailable:
        outage_seconds = now_seconds - availability.unavailable_since_seconds
    elif responded_at is not None:
        silent_seconds = now_seconds - responded_at
        if silent_seconds >= const.STORE_SILENCE_SECONDS:
            outages += 1
            outage_seconds = silent_seconds
    return Availability(
        is_unavailable=False,
        outages=outages,
        responded_at_seconds=now_seconds,
        outage_seconds=outage_seconds,
    )


@decide.register
def _check_failed(
    event: CheckFailed, availability: Availability, now_seconds: float
) -> Availability:
    """Begin an outage, unless the store responded to another call since."""
    responded_at = availability.responded_at_seconds
    has_responded = (
        responded_at is not None and responded_at > event.started_at_seconds
    )
    if has_responded:
        return availability
    since_seconds = event.failed_at_seconds
    if since_seconds is None:
        since_seconds = -math.inf if responded_at is None else responded_at
    since_seconds = min(availability.unavailable_since_seconds, since_seconds)
    begun = int(not availability.is_unavailable)
    return availability._replace(
        is_unavailable=True,
        outages=availability.outages + begun,
        unavailable_since_seconds=since_seconds,
    )


class Listener(typing.Protocol):
    """Receiver of the beginnings and ends of outages."""

    def on_store_lost(self) -> None:
        """Handle the start of a store outage."""

    def on_store_recovered(self, outage_seconds: float) -> None:
        """Handle the end of a store outage of a length."""


class StoreAvailability:
    """Tells listeners when an outage of the store begins and ends."""

    def __init__(self) -> None:
        """Initialize before the first call, without listeners."""
        self.state = Availability()
        self._listeners: list[Listener] = []

    def add_listener(self, listener: Listener) -> None:
        """Tell a listener of all outages from now on."""
        self._listeners.append(listener)

    def record_response(self) -> None:
        """Record that any call had a response."""
        self._apply(Responded(), 'no response to any call')

    def record_failure(
        self,
        started_at_seconds: float,
        failed_at_seconds: float | None,
        detail: str,
    ) -> None:
        """Record that a call right after a failed one had no response.

        The failed one ended at a time, None if the store was silent to either.
        """
        self._apply(CheckFailed(started_at_seconds, failed_at_seconds), detail)

    def _apply(self, event: Event, detail: str) -> None:
        """Decide on an event; tell the listeners of a change."""
        before = self.state
        now = anyio.current_time()
        self.state = decide(event, before, now)
        since_seconds = 0.0
        if before.responded_at_seconds is not None:
            since_seconds = round(now - before.responded_at_seconds, 3)
        is_new = self.state.outages > before.outages
        if is_new:
            logs.decision(
                'store:lost',
                detail=detail,
                since_response_seconds=since_seconds,
            )
            for listener in self._listeners:
                listener.on_store_lost()
        if (is_new or before.is_unavailable) and not self.state.is_unavailable:
            logs.decision(
                'store:regained',
                since_response_seconds=since_seconds,
                outage_seconds=round(self.state.outage_seconds, 3),
            )
            for listener in self._listeners:
                listener.on_store_recovered(self.state.outage_seconds)
