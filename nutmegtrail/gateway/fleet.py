"""Upstreams that may be used, through changes and outages of the store.

While the store is away, registrations lapse though their upstreams live.
An upstream that is missing at the store's return keeps its place for the
time in which a living one registers again.
"""

import functools
import typing

import pyrsistent
import pyrsistent.typing

from nutmegtrail.gateway import const
from nutmegtrail.gateway import models

UpstreamsById: typing.TypeAlias = pyrsistent.typing.PMap[str, models.Upstream]
DeadlinesById: typing.TypeAlias = pyrsistent.typing.PMap[str, float]


class Fleet(typing.NamedTuple):
    """Known upstreams and those that are missing since an outage."""

    upstreams_by_id: UpstreamsById = pyrsistent.pmap()
    missing_until_by_id: DeadlinesById = pyrsistent.pmap()
    is_store_unavailable: bool = False
    grace_until_seconds: float = float('-inf')


class SnapshotReceived(typing.NamedTuple):
    """All registrations, read at one time."""

    upstreams: tuple[models.Upstream, ...]


class Registered(typing.NamedTuple):
    """A registration was written."""

    upstream: models.Upstream


class Removed(typing.NamedTuple):
    """A registration was removed or can no longer be read."""

    upstream_id: str


class StoreLost(typing.NamedTuple):
    """The store does not answer."""


class StoreRecovered(typing.NamedTuple):
    """The store answers again."""


class TimeElapsed(typing.NamedTuple):
    """Time has passed."""


Event: typing.TypeAlias = (
    SnapshotReceived
    | Registered
    | Removed
    | StoreLost
    | StoreRecovered
    | TimeElapsed
)


@functools.singledispatch
def decide(event: Event, fleet: Fleet, now_seconds: float) -> Fleet:
    """Return the fleet after an event."""
    raise TypeError(f'unknown event {event!r}')


@decide.register
def _snapshot_received(
    event: SnapshotReceived, fleet: Fleet, now_seconds: float
) -> Fleet:
    """Take the list over; keep for a while what an outage may have lost."""
    listed = fleet._replace(
        upstreams_by_id=pyrsistent.pmap(
            {upstream.upstream_id: upstream for upstream in event.upstreams},
        ),
        missing_until_by_id=pyrsistent.pmap(),
    )
    if now_seconds >= fleet.grace_until_seconds:
        return listed
    for upstream_id, upstream in fleet.upstreams_by_id.items():
        if upstream_id not in listed.upstreams_by_id and not upstream.leaving:
            listed = _keep_missing(listed, upstream)
    return listed


@decide.register
def _registered(event: Registered, fleet: Fleet, now_seconds: float) -> Fleet:
    """Take a registration over."""
    upstream = event.upstream
    return fleet._replace(
        upstreams_by_id=fleet.upstreams_by_id.set(
            upstream.upstream_id,
            upstream,
        ),
        missing_until_by_id=fleet.missing_until_by_id.discard(
            upstream.upstream_id,
        ),
    )


@decide.register
def _removed(event: Removed, fleet: Fleet, now_seconds: float) -> Fleet:
    """Forget an upstream, unless an outage may have removed it."""
    upstream = fleet.upstreams_by_id.get(event.upstream_id)
    if upstream is None:
        return fleet
    if now_seconds < fleet.grace_until_seconds and not upstream.leaving:
        return _keep_missing(fleet, upstream)
    return _forget(fleet, event.upstream_id)


@decide.register
def _store_lost(event: StoreLost, fleet: Fleet, now_seconds: float) -> Fleet:
    """Keep what is known."""
    return fleet._replace(is_store_unavailable=True)


@decide.register
def _store_recovered(
    event: StoreRecovered,
    fleet: Fleet,
    now_seconds: float,
) -> Fleet:
    """Start the time in which upstreams register again."""
    if not fleet.is_store_unavailable:
        return fleet
    return fleet._replace(
        is_store_unavailable=False,
        grace_until_seconds=now_seconds + const.REREGISTRATION_WINDOW_SECONDS,
    )


@decide.register
def _time_elapsed(
    event: TimeElapsed, fleet: Fleet, now_seconds: float
) -> Fleet:
    """Forget what has not come back."""
    for upstream_id, until_seconds in fleet.missing_until_by_id.items():
        if now_seconds >= until_seconds:
            fleet = _forget(fleet, upstream_id)
    return fleet


def registered_upstreams(
    fleet: Fleet, service: str
) -> tuple[models.Upstream, ...]:
    """Return all upstreams of a service."""
    return tuple(
        upstream
        for upstream in fleet.upstreams_by_id.values()
        if upstream.service == service
    )


def usable_upstreams(fleet: Fleet, service: str) -> tuple[models.Upstream, ...]:
    """Return the upstreams of a service that may get new work."""
    return tuple(
        upstream
        for upstream in registered_upstreams(fleet, service)
        if not upstream.leaving
        and (upstream.membership is None or upstream.membership.is_open)
    )


def _keep_missing(fleet: Fleet, upstream: models.Upstream) -> Fleet:
    """Keep an upstream until the end of the return window."""
    return fleet._replace(
        upstreams_by_id=fleet.upstreams_by_id.set(
            upstream.upstream_id,
            upstream,
        ),
        missing_until_by_id=fleet.missing_until_by_id.set(
            upstream.upstream_id,
            fleet.grace_until_seconds,
        ),
    )


def _forget(fleet: Fleet, upstream_id: str) -> Fleet:
    """Return the fleet without an upstream."""
    return fleet._replace(
        upstreams_by_id=fleet.upstreams_by_id.discard(upstream_id),
        missing_until_by_id=fleet.missing_until_by_id.discard(upstream_id),
    )
