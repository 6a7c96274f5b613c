"""Registered upstreams, kept through changes and outages of the store.

During a store outage, registrations expire although their upstreams are
alive. An upstream whose registration is missing after the outage is kept
for a grace period, in which upstreams that are alive register again. One that
was not known before the outage is not kept. The period ends with a read after
it: while registrations cannot be read, silence tells nothing of an upstream.

A store that comes back from an earlier copy may show registrations that were
withdrawn since. Leaving upstreams stay so, and removed ones are deferred until
the registrations of those that do not live have expired.

An upstream may also announce in a response that it leaves. That is remembered
after its registration is removed, because the same incarnation may register
again.
"""

import functools
import typing

import pyrsistent
import pyrsistent.typing

from nutmegtrail.gateway import const
from nutmegtrail.gateway import models
from nutmegtrail.gateway import times

UpstreamsById: typing.TypeAlias = pyrsistent.typing.PMap[str, models.Upstream]
DeadlinesById: typing.TypeAlias = pyrsistent.typing.PMap[str, float]
RemovedAtByIncarnation: typing.TypeAlias = pyrsistent.typing.PMap[
    models.Incarnation, float
]


class Announcement(typing.NamedTuple):
    """Latest incarnation of an upstream that announced that it leaves.

    `noticed_at_seconds` is the time of the announcement or of the removal of
    the registration, whichever is later.
    """

    started_at_ms: int
    noticed_at_seconds: float


AnnouncementsById: typing.TypeAlias = pyrsistent.typing.PMap[str, Announcement]


class Fleet(typing.NamedTuple):
    """Registered upstreams and those whose registration an outage removed.

    `is_known` is set once the registrations were read, `is_behind` while their
    changes cannot be read, whether the store is available or not.
    `lost_at_seconds` is the beginning of the last outage, `grace_until_seconds`
    the end of the grace period after it, and `graced` has the incarnations that
    are kept in it.
    `removed_at_by_incarnation` has the times at which incarnations were
    removed. `deferred_by_id` has the removed upstreams that an earlier copy
    shows until `deferred_until_seconds`. `announcements_by_id` has the
    upstreams that announced that they leave. Upstreams in a domain of
    `domains_out_of_service` get no requests, whenever they register.
    `returned_at_by_domain` has the domains that came back lately.
    """

    upstreams_by_id: UpstreamsById = pyrsistent.pmap()
    missing_until_by_id: DeadlinesById = pyrsistent.pmap()
    is_known: bool = False
    is_store_unavailable: bool = False
    is_behind: bool = False
    lost_at_seconds: float = float('-inf')
    grace_until_seconds: float = float('-inf')
    graced: frozenset[models.Incarnation] = frozenset()
    removed_at_by_incarnation: RemovedAtByIncarnation = pyrsistent.pmap()
    deferred_by_id: UpstreamsById = pyrsistent.pmap()
    deferred_until_seconds: float = float('-inf')
    announcements_by_id: AnnouncementsById = pyrsistent.pmap()
    domains_out_of_service: frozenset[str] = frozenset()
    returned_at_by_domain: DeadlinesById = pyrsistent.pmap()

    @property
    def is_up_to_date(self) -> bool:
        """Return whether changes of registrations would be read."""
        return not self.is_store_unavailable and not self.is_behind

    @property
    def incarnations(self) -> frozenset[models.Incarnation]:
        """Return the incarnations that are registered or missing."""
        return frozenset(
            upstream.incarnation for upstream in self.upstreams_by_id.values()
        )

    def was_removed(self, upstream: models.Upstream) -> bool:
        """Return whether an incarnation was removed and has not come back."""
        known = self.upstreams_by_id.get(upstream.upstream_id)
        if known is not None and known.incarnation == upstream.incarnation:
            return False
        return upstream.incarnation in self.removed_at_by_incarnation

    def latest(self, upstream: models.Upstream) -> models.Upstream:
        """Return the known upstream if the other one is known to have ended.

        A late write may put an earlier incarnation in the place of a live one,
        until that registers again.
        """
        known = self.upstreams_by_id.get(upstream.upstream_id, upstream)
        is_earlier = upstream.started_at_ms < known.started_at_ms
        return known if is_earlier and self.was_removed(upstream) else upstream

    def has_grace(self, upstream: models.Upstream, now_seconds: float) -> bool:
        """Return whether an outage may have removed a registration."""
        return (
            now_seconds < self.grace_until_seconds
            and upstream.incarnation in self.graced
            and not upstream.leaving
        )

    def remember_replaced(
        self,
        known: models.Upstream,
        registered: models.Upstream,
        now_seconds: float,
    ) -> 'Fleet':
        """Return the fleet, remembering an incarnation that ended."""
        if known.incarnation == registered.incarnation:
            return self
        return self._replace(
            removed_at_by_incarnation=self.removed_at_by_incarnation.set(
                known.incarnation, now_seconds
            )
        )

    def has_announced_leaving(self, upstream: models.Upstream) -> bool:
        """Return whether this incarnation or a later one said that it leaves.

        The registration of an earlier one is outdated.
        """
        announcement = self.announcements_by_id.get(upstream.upstream_id)
        if announcement is None or not upstream.started_at_ms:
            return False
        return upstream.started_at_ms <= announcement.started_at_ms


class SnapshotReceived(typing.NamedTuple):
    """All registrations were read in one snapshot."""

    upstreams: tuple[models.Upstream, ...]


class Registered(typing.NamedTuple):
    """A registration was written."""

    upstream: models.Upstream


class Removed(typing.NamedTuple):
    """A registration was removed or became unreadable."""

    upstream_id: str


class AnnouncedLeaving(typing.NamedTuple):
    """An incarnation of an upstream responded that it leaves."""

    upstream_id: str
    started_at_ms: int


class DomainsOutOfService(typing.NamedTuple):
    """Failure domains were taken out of service or back into it."""

    domains: frozenset[str]


class StoreLost(typing.NamedTuple):
    """The store stopped responding."""


class StoreRecovered(typing.NamedTuple):
    """The store responds again.

    `may_have_expired` is set if the outage was long enough for registrations
    to expire in it.
    """

    may_have_expired: bool = True


class StoreRestored(typing.NamedTuple):
    """The store came back from an earlier copy, whose snapshot follows."""


class ReadFailed(typing.NamedTuple):
    """Changes of registrations cannot be read."""


class Read(typing.NamedTuple):
    """All changes of registrations so far were read."""


class TimeElapsed(typing.NamedTuple):
    """Time has passed since the last event."""


Event: typing.TypeAlias = (
    SnapshotReceived
    | Registered
    | Removed
    | AnnouncedLeaving
    | DomainsOutOfService
    | StoreLost
    | StoreRecovered
    | StoreRestored
    | ReadFailed
    | Read
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
            if fleet.was_removed(upstream)
        }
    updated = fleet._replace(
        upstreams_by_id=pyrsistent.pmap(
            {
                upstream.upstream_id: _keep_leaving(
                    fleet, fleet.latest(upstream)
                )
                for upstream in event.upstreams
                if upstream.upstream_id not in deferred
            },
        ),
        missing_until_by_id=pyrsistent.pmap(),
        deferred_by_id=pyrsistent.pmap(deferred),
        is_known=True,
    )
    for upstream_id, upstream in fleet.upstreams_by_id.items():
        listed = updated.upstreams_by_id.get(upstream_id)
        if listed is not None:
            updated = updated.remember_replaced(upstream, listed, now_seconds)
            continue
        if fleet.has_grace(upstream, now_seconds):
            updated = _keep_missing(updated, upstream)
        else:
            updated = _remove(updated, upstream, now_seconds)
    return updated


@decide.register
def _registered(event: Registered, fleet: Fleet, now_seconds: float) -> Fleet:
    """Add or update an upstream."""
    upstream = _keep_leaving(fleet, fleet.latest(event.upstream))
    known = fleet.upstreams_by_id.get(upstream.upstream_id)
    if known is not None:
        fleet = fleet.remember_replaced(known, upstream, now_seconds)
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
    if fleet.has_grace(upstream, now_seconds):
        return _keep_missing(fleet, upstream)
    return _remove(fleet, upstream, now_seconds)


@decide.register
def _announced_leaving(
    event: AnnouncedLeaving, fleet: Fleet, now_seconds: float
) -> Fleet:
    """Give the incarnation no new requests, whatever its registration says."""
    upstream_id = event.upstream_id
    known = fleet.announcements_by_id.get(upstream_id)
    is_new = known is None or known.started_at_ms < event.started_at_ms
    # Without a start time, a later registration may be another incarnation.
    if event.started_at_ms and is_new:
        announcement = Announcement(event.started_at_ms, now_seconds)
        fleet = fleet._replace(
            announcements_by_id=fleet.announcements_by_id.set(
                upstream_id, announcement
            ),
        )
    upstream = fleet.upstreams_by_id.get(upstream_id)
    if upstream is None or upstream.leaving:
        return fleet
    is_same = upstream.started_at_ms == event.started_at_ms
    if not is_same and not fleet.has_announced_leaving(upstream):
        return fleet
    return fleet._replace(
        upstreams_by_id=fleet.upstreams_by_id.set(
            upstream_id, upstream._replace(leaving=True)
        ),
    )


@decide.register
def _domains_out_of_service(
    event: DomainsOutOfService, fleet: Fleet, now_seconds: float
) -> Fleet:
    """Replace the domains out of service; record which came back."""
    returned_at = fleet.returned_at_by_domain
    for domain in fleet.domains_out_of_service - event.domains:
        returned_at = returned_at.set(domain, now_seconds)
    for taken_out in event.domains:
        returned_at = returned_at.discard(taken_out)
    return fleet._replace(
        domains_out_of_service=event.domains,
        returned_at_by_domain=returned_at,
    )


@decide.register
def _store_lost(event: StoreLost, fleet: Fleet, now_seconds: float) -> Fleet:
    """Keep the upstreams and record the outage."""
    if fleet.is_store_unavailable:
        return fleet
    return fleet._replace(
        is_store_unavailable=True, lost_at_seconds=now_seconds
    )


@decide.register
def _store_recovered(
    event: StoreRecovered,
    fleet: Fleet,
    now_seconds: float,
) -> Fleet:
    """End an outage, which counts for no time that is waited or kept.

    If registrations may have expired in it, a grace period starts in which
    upstreams register again.
    """
    if not fleet.is_store_unavailable:
        return fleet
    outage_seconds = now_seconds - fleet.lost_at_seconds
    noticed_again = {
        upstream_id: announcement._replace(noticed_at_seconds=now_seconds)
        for upstream_id, announcement in fleet.announcements_by_id.items()
    }
    fleet = fleet._replace(
        is_store_unavailable=False,
        grace_until_seconds=fleet.grace_until_seconds + outage_seconds,
        missing_until_by_id=times.later_by(
            fleet.missing_until_by_id, outage_seconds
        ),
        deferred_until_seconds=fleet.deferred_until_seconds + outage_seconds,
        removed_at_by_incarnation=times.later_by(
            fleet.removed_at_by_incarnation, outage_seconds
        ),
        announcements_by_id=pyrsistent.pmap(noticed_again),
    )
    return _start_grace(fleet, now_seconds) if event.may_have_expired else fleet


@decide.register
def _store_restored(
    event: StoreRestored,
    fleet: Fleet,
    now_seconds: float,
) -> Fleet:
    """Start the grace period and defer what the copy shows again."""
    return fleet._replace(
        grace_until_seconds=now_seconds + const.REREGISTRATION_WINDOW_SECONDS,
        graced=fleet.incarnations,
        deferred_until_seconds=now_seconds + const.COPY_EXPIRY_SECONDS,
    )


@decide.register
def _read_failed(event: ReadFailed, fleet: Fleet, now_seconds: float) -> Fleet:
    """Let time decide nothing until registrations are read again."""
    return fleet._replace(is_behind=True)


@decide.register
def _read(event: Read, fleet: Fleet, now_seconds: float) -> Fleet:
    """Remove upstreams that did not register within the grace period.

    Deferred ones that are registered still are alive.
    """
    fleet = fleet._replace(is_behind=False)
    for upstream_id, until_seconds in fleet.missing_until_by_id.items():
        if now_seconds >= until_seconds:
            upstream = fleet.upstreams_by_id[upstream_id]
            fleet = _remove(fleet, upstream, now_seconds)
    if not fleet.deferred_by_id or now_seconds < fleet.deferred_until_seconds:
        return fleet
    alive = {
        upstream_id: _keep_leaving(fleet, upstream)
        for upstream_id, upstream in fleet.deferred_by_id.items()
    }
    return fleet._replace(
        upstreams_by_id=fleet.upstreams_by_id.update(alive),
        missing_until_by_id=pyrsistent.pmap(
            {
                upstream_id: until_seconds
                for upstream_id, until_seconds in (
                    fleet.missing_until_by_id.items()
                )
                if upstream_id not in alive
            }
        ),
        deferred_by_id=pyrsistent.pmap(),
    )


@decide.register
def _time_elapsed(
    event: TimeElapsed, fleet: Fleet, now_seconds: float
) -> Fleet:
    """Forget what is no longer needed."""
    fleet = fleet._replace(
        returned_at_by_domain=times.later_than(
            fleet.returned_at_by_domain,
            now_seconds - const.DOMAIN_RAMP_SECONDS,
        )
    )
    if not fleet.is_up_to_date:
        return fleet
    oldest = now_seconds - const.REMOVAL_MEMORY_SECONDS
    fleet = fleet._replace(
        removed_at_by_incarnation=times.later_than(
            fleet.removed_at_by_incarnation, oldest
        )
    )
    return _forget_announcements(fleet, now_seconds)


def due_at_seconds(fleet: Fleet) -> float:
    """Return when the next read decides what becomes of an upstream."""
    due = min(fleet.missing_until_by_id.values(), default=float('inf'))
    if fleet.deferred_by_id:
        return min(due, fleet.deferred_until_seconds)
    return due


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
        if _accepts_requests(fleet, upstream)
    )


def is_usable(fleet: Fleet, upstream: models.Upstream) -> bool:
    """Return whether this incarnation still accepts new requests."""
    current = fleet.upstreams_by_id.get(upstream.upstream_id)
    if current is None or current.incarnation != upstream.incarnation:
        return False
    return _accepts_requests(fleet, current)


def announced_incarnations(
    fleet: Fleet, now_seconds: float
) -> tuple[models.Incarnation, ...]:
    """Return the upstreams that lately announced that they leave.

    So did those that are registered still.
    """
    oldest = now_seconds - const.SIGNAL_REPEAT_SECONDS
    return tuple(
        (upstream_id, announcement.started_at_ms)
        for upstream_id, announcement in fleet.announcements_by_id.items()
        if announcement.noticed_at_seconds >= oldest
        or upstream_id in fleet.upstreams_by_id
    )


def _accepts_requests(fleet: Fleet, upstream: models.Upstream) -> bool:
    """Return whether a registered upstream accepts new requests."""
    is_out = upstream.failure_domain in fleet.domains_out_of_service
    if upstream.leaving or is_out:
        return False
    return upstream.membership is None or upstream.membership.is_open


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
    announcements = fleet.announcements_by_id
    announcement = announcements.get(upstream_id)
    if announcement is not None:
        announcements = announcements.set(
            upstream_id,
            announcement._replace(noticed_at_seconds=now_seconds),
        )
    return fleet._replace(
        announcements_by_id=announcements,
        upstreams_by_id=fleet.upstreams_by_id.discard(upstream_id),
        missing_until_by_id=fleet.missing_until_by_id.discard(upstream_id),
        removed_at_by_incarnation=fleet.removed_at_by_incarnation.set(
            upstream.incarnation, now_seconds
        ),
    )


def _start_grace(fleet: Fleet, now_seconds: float) -> Fleet:
    """Return the fleet in the grace period after an outage.

    What is waited for already is waited for as long again.
    """
    grace_until_seconds = now_seconds + const.REREGISTRATION_WINDOW_SECONDS
    deferred_until_seconds = fleet.deferred_until_seconds
    if deferred_until_seconds > now_seconds:
        deferred_until_seconds = now_seconds + const.COPY_EXPIRY_SECONDS
    return fleet._replace(
        grace_until_seconds=grace_until_seconds,
        graced=fleet.incarnations,
        missing_until_by_id=pyrsistent.pmap(
            dict.fromkeys(fleet.missing_until_by_id, grace_until_seconds)
        ),
        deferred_until_seconds=deferred_until_seconds,
    )


def _forget_announcements(fleet: Fleet, now_seconds: float) -> Fleet:
    """Return the fleet without announcements that no registration can need."""
    if not fleet.announcements_by_id:
        return fleet
    oldest = now_seconds - const.REMOVAL_MEMORY_SECONDS
    announcements = fleet.announcements_by_id
    needed_ids = {
        upstream_id
        for upstream_id, upstream in fleet.upstreams_by_id.items()
        if fleet.has_announced_leaving(upstream)
    }
    for upstream_id, announcement in fleet.announcements_by_id.items():
        is_old = announcement.noticed_at_seconds < oldest
        if is_old and upstream_id not in needed_ids:
            announcements = announcements.remove(upstream_id)
    return fleet._replace(announcements_by_id=announcements)


def _keep_leaving(fleet: Fleet, upstream: models.Upstream) -> models.Upstream:
    """Return the upstream as leaving if this incarnation was leaving."""
    if fleet.has_announced_leaving(upstream):
        return upstream._replace(leaving=True)
    known = fleet.upstreams_by_id.get(upstream.upstream_id)
    if known is None or known.incarnation != upstream.incarnation:
        return upstream
    return upstream._replace(leaving=upstream.leaving or known.leaving)
