"""Choice of the upstream for a request: the least expected work."""

import collections
import functools
import typing

from nutmegtrail.gateway import const
from nutmegtrail.gateway import fleet
from nutmegtrail.gateway import health
from nutmegtrail.gateway import models
from nutmegtrail.gateway import request_counts


class Place(typing.NamedTuple):
    """An upstream that may be chosen and what is known of it.

    `in_flight` are requests at it, `group_in_flight` those at its rank
    group, `group_room` those that it can hold within its objective;
    `pace_seconds` is 0 where nothing was measured.
    """

    upstream: models.Upstream
    in_flight: int
    group_in_flight: int
    group_room: float
    pace_seconds: float

    @property
    def is_free(self) -> bool:
        """Return whether a request would run at once."""
        if self.group_in_flight >= self.group_room:
            return False
        return self.in_flight < self.upstream.slots


class Situation(typing.NamedTuple):
    """All that the choice depends on."""

    members: fleet.Fleet
    standings: health.Health
    counts: request_counts.Counts


def places(
    situation: Situation,
    service: str,
    now_seconds: float,
) -> tuple[Place, ...]:
    """Return the upstreams of a service that are not left out."""
    counts_by_id = request_counts.totals(situation.counts)
    upstreams = tuple(
        upstream
        for upstream in fleet.usable(situation.members, service)
        if not _is_ejected(situation.standings, upstream, now_seconds)
    )
    counts_by_group: dict[str, int] = {}
    for upstream in upstreams:
        in_flight = counts_by_id.get(upstream.upstream_id, 0)
        group = upstream.pace_group
        counts_by_group[group] = counts_by_group.get(group, 0) + in_flight
    ranks_by_group = collections.Counter(
        upstream.pace_group for upstream in upstreams
    )
    room_by_group = {
        group: max(
            health.room(
                situation.standings,
                group,
                in_flight,
                now_seconds,
            ),
            ranks_by_group[group] * const.ROOM_PER_RANK_LEAST,
        )
        for group, in_flight in counts_by_group.items()
    }
    return tuple(
        Place(
            upstream,
            counts_by_id.get(upstream.upstream_id, 0),
            counts_by_group[upstream.pace_group],
            room_by_group[upstream.pace_group],
            health.pace(
                situation.standings,
                upstream.pace_group,
                now_seconds,
            ),
        )
        for upstream in upstreams
    )


def choose(
    candidates: typing.Iterable[Place],
    excluded_ids: frozenset[str],
    failure_domain: str,
) -> models.Upstream | None:
    """Return the free upstream with the least expected work, None if none.

    Ties go to the caller's failure domain, then to the first identifier.
    """
    free = [
        place
        for place in candidates
        if place.is_free and place.upstream.upstream_id not in excluded_ids
    ]
    if not free:
        return None
    known = [place.pace_seconds for place in free if place.pace_seconds]
    order = functools.partial(
        _expected_work,
        typical_pace=min(known, default=1.0),
        failure_domain=failure_domain,
    )
    return min(free, key=order).upstream


def _expected_work(
    place: Place,
    typical_pace: float,
    failure_domain: str,
) -> tuple[float, float, bool, str]:
    """Return the sort key of a place; ties go to the failure domain."""
    slowness = max((place.pace_seconds or typical_pace) / typical_pace, 1.0)
    return (
        (place.in_flight + 1) * slowness,
        place.group_in_flight * slowness,
        place.upstream.failure_domain != failure_domain,
        place.upstream.upstream_id,
    )


def _is_ejected(
    standings: health.Health,
    upstream: models.Upstream,
    now_seconds: float,
) -> bool:
    """Return whether an upstream or its rank group is left out."""
    if health.is_ejected(standings, upstream.upstream_id, now_seconds):
        return True
    group = upstream.pace_group
    return health.is_ejected(standings, group, now_seconds)
