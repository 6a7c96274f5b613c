"""Registered upstreams, kept through changes and outages of the store.

During a store outage, registrations expire although their upstreams are
alive. An upstream whose registration is missing after the outage is kept
for a grace period, in which upstreams that are alive register again.

A store that comes back from an earlier copy may show registrations that were
withdrawn since. Leaving upstreams stay so, and removed ones are deferred until
the registrations of those that do not live have expired.
"""

import functools
import typing

import pyrsistent
import pyrsistent.typing

from nutmegtrail.gateway import const
from nutmegtrail.gateway import models

UpstreamsById: typing.TypeAlias = pyrsistent.typing.PMap[str, models.Upstream]
DeadlinesById: typing.TypeAlias = pyrsistent.typing.PMap[str, float]


Incarnation: typing.TypeAlias = tuple[str, int]
RemovedAtByIncarnation: typing.TypeAlias = pyrsistent.typing.PMap[
    Incarnation, float
]


class Fleet(typing.NamedTuple):
    """Registered upstreams and those whose registration an outage removed.

    `is_known` is set once the registrations were read. `grace_until_seconds` is the end of the grace period after the last outage.
    `removed_at_by_incarnation` has the times at which incarnations were
    removed. `deferred_by_id` has the removed upstreams that an earlier copy
    shows until `deferred_until_seconds`.
    """

    upstreams_by_id: UpstreamsById = pyrsistent.pmap()
    missing_until_by_id: DeadlinesById = pyrsistent.pmap()
    is_known: bool = False
    is_store_unavailable: bool = False
    grace_until_seconds: float = float('-inf')
    removed_at_by_incarnation: RemovedAtByIncarnation = pyrsistent.pmap()
    deferred_by_id: UpstreamsById = pyrsistent.pmap()
    deferred_until_seconds: float = float('-inf')


class SnapshotReceived(typing.NamedTuple):
    """All registrations were read in one snapshot."""

    upstreams: tuple[models.Upstream, ...]


class Registered(typing.NamedTuple):
    """A registration was written."""

    upstream: models.Upstream


class Removed(typing.NamedTuple):
    """A registration was removed or became unreadable."""

    upstream_id: str


class StoreLost(typing.NamedTuple):
    """The store stopped responding."""


class StoreRecovered(typing.NamedTuple):
    """The store responds again."""


class StoreRestored(typing.NamedTuple):
    """The store came back from an earlier copy, whose snapshot follows."""


class TimeElapsed(typing.NamedTuple):
    """Time has passed since the last event."""


Event: typing.TypeAlias = (
    SnapshotReceived
    | Registered
    | Removed
    | StoreLost
    | StoreRecovered
    | StoreRestored
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
    """Replace all upstreams; in the grace period keep the missing ones."""
    deferred = {}
    if now_seconds < fleet.deferred_until_seconds:
        deferred = {
            upstream.upstream_id: upstream
            for upstream in event.upstreams
            if _was_removed(fleet, upstream)
        }
    updated = fleet._replace(
        upstreams_by_id=pyrsistent.pmap(
            {
                upstream.upstream_id: _keep_leaving(fleet, upstream)
                for upstream in event.upstreams
                if upstream.upstream_id not in deferred
            },
        ),
        missing_until_by_id=pyrsistent.pmap(),
        deferred_by_id=pyrsistent.pmap(deferred),
        is_known=True,
    )
    has_grace = now_seconds < fleet.grace_until_seconds
    for upstream_id, upstream in fleet.upstreams_by_id.items():
        if upstream_id in updated.upstreams_by_id:
            continue
        if has_grace and not upstream.leaving:
            updated = _keep_missing(updated, upstream)
        else:
            updated = _remove(updated, upstream, now_seconds)
    return updated


@decide.register
def _registered(event: Registered, fleet: Fleet, now_seconds: float) -> Fleet:
    """Add or update an upstream."""
    upstream = _keep_leaving(fleet, event.upstream)
    return fleet._replace(
        upstreams_by_id=fleet.upstreams_by_id.set(
            upstream.upstream_id,
            upstream,
        ),
        missing_until_by_id=fleet.missing_until_by_id.discard(
            upstream.upstream_id,
        ),
        deferred_by_id=fleet.deferred_by_id.discard(upstream.upstream_id),
    )


@decide.register
def _removed(event: Removed, fleet: Fleet, now_seconds: float) -> Fleet:
    """Remove an upstream, unless an outage may have caused its removal."""
    fleet = fleet._replace(
        deferred_by_id=fleet.deferred_by_id.discard(event.upstream_id)
    )
    upstream = fleet.upstreams_by_id.get(event.upstream_id)
    if upstream is None:
        return fleet
    if now_seconds < fleet.grace_until_seconds and not upstream.leaving:
        return _keep_missing(fleet, upstream)
    return _remove(fleet, upstream, now_seconds)


@decide.register
def _store_lost(event: StoreLost, fleet: Fleet, now_seconds: float) -> Fleet:
    """Keep the upstreams and record the outage."""
    return fleet._replace(is_store_unavailable=True)


@decide.register
def _store_recovered(
    event: StoreRecovered,
    fleet: Fleet,
    now_seconds: float,
) -> Fleet:
    """Start the grace period in which upstreams register again."""
    if not fleet.is_store_unavailable:
        return fleet
    return fleet._replace(
        is_store_unavailable=False,
        grace_until_seconds=now_seconds + const.REREGISTRATION_WINDOW_SECONDS,
    )


@decide.register
def _store_restored(
    event: StoreRestored,
    fleet: Fleet,
    now_seconds: float,
) -> Fleet:
    """Start the grace period and defer what the copy shows again."""
    return fleet._replace(
        grace_until_seconds=now_seconds + const.REREGISTRATION_WINDOW_SECONDS,
        deferred_until_seconds=now_seconds + const.COPY_EXPIRY_SECONDS,
    )


@decide.register
def _time_elapsed(
    event: TimeElapsed, fleet: Fleet, now_seconds: float
) -> Fleet:
    """Remove upstreams that did not register within the grace period.

    Deferred ones that are registered still are alive.
    """
    for upstream_id, until_seconds in fleet.missing_until_by_id.items():
        if now_seconds >= until_seconds:
            upstream = fleet.upstreams_by_id[upstream_id]
            fleet = _remove(fleet, upstream, now_seconds)
    if fleet.deferred_by_id and now_seconds >= fleet.deferred_until_seconds:
        fleet = fleet._replace(
            upstreams_by_id=fleet.upstreams_by_id.update(fleet.deferred_by_id),
            deferred_by_id=pyrsistent.pmap(),
        )
    return _forget_removed(fleet, now_seconds)


def registered_upstreams(
    fleet: Fleet, service: str
) -> tuple[models.Upstream, ...]:
    """Return all upstreams of a service, including leaving ones."""
    return tuple(
        upstream
        for upstream in fleet.upstreams_by_id.values()
        if upstream.service == service
    )


def usable_upstreams(fleet: Fleet, service: str) -> tuple[models.Upstream, ...]:
    """Return the upstreams of a service that accept new requests."""
    return tuple(
        upstream
        for upstream in registered_upstreams(fleet, service)
        if not upstream.leaving
        and (upstream.membership is None or upstream.membership.is_open)
    )


def _keep_missing(fleet: Fleet, upstream: models.Upstream) -> Fleet:
    """Keep an unregistered upstream until the end of the grace period."""
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


def _remove(
    fleet: Fleet, upstream: models.Upstream, now_seconds: float
) -> Fleet:
    """Return the fleet without the upstream, whose removal it remembers."""
    upstream_id = upstream.upstream_id
    return fleet._replace(
        upstreams_by_id=fleet.upstreams_by_id.discard(upstream_id),
        missing_until_by_id=fleet.missing_until_by_id.discard(upstream_id),
        removed_at_by_incarnation=fleet.removed_at_by_incarnation.set(
            _incarnation_of(upstream), now_seconds
        ),
    )


def _forget_removed(fleet: Fleet, now_seconds: float) -> Fleet:
    """Return the fleet without removals that no copy can be older than."""
    oldest = now_seconds - const.REMOVAL_MEMORY_SECONDS
    removals = fleet.removed_at_by_incarnation
    for incarnation, removed_at in fleet.removed_at_by_incarnation.items():
        if removed_at < oldest:
            removals = removals.remove(incarnation)
    return fleet._replace(removed_at_by_incarnation=removals)


def _incarnation_of(upstream: models.Upstream) -> Incarnation:
    """Return the key of one incarnation of an upstream."""
    return upstream.upstream_id, upstream.started_at_ms


def _was_removed(fleet: Fleet, upstream: models.Upstream) -> bool:
    """Return whether an incarnation was removed and has not come back."""
    return (
        upstream.upstream_id not in fleet.upstreams_by_id
        and _incarnation_of(upstream) in fleet.removed_at_by_incarnation
    )


def _keep_leaving(fleet: Fleet, upstream: models.Upstream) -> models.Upstream:
    """Return the upstream as leaving if this incarnation was leaving."""
    known = fleet.upstreams_by_id.get(upstream.upstream_id)
    if known is None or _incarnation_of(known) != _incarnation_of(upstream):
        return upstream
    return upstream._replace(leaving=upstream.leaving or known.leaving)
