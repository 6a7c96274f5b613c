"""Choice of the upstream for a request: the least expected work."""

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
    group, `group_reported` those that all entries knew of at the last
    report, `group_room` those that it can hold within its objective;
    `pace_seconds` is 0 where nothing was measured.
    """

    upstream: models.Upstream
    in_flight: int
    group_in_flight: int
    group_reported: int
    group_room: float
    sharing_entries: int
    pace_seconds: float

    def is_free(self, room_share: float) -> bool:
        """Return whether a request would run at once.

        `room_share` is the share of the group's room that it may use.
        """
        free_room = self.group_room * room_share - self.group_reported
        own_room = _own_part(free_room, self.sharing_entries)
        if self.group_in_flight >= self.group_reported + own_room:
            return False
        return self.in_flight < self.upstream.slots


class Situation(typing.NamedTuple):
    """All that the choice depends on.

    `reported_loads_by_group` are the requests of each group when the entries
    last told each other their counts.
    """

    members: fleet.Fleet
    standings: health.Health
    counts: request_counts.Counts
    entries: int = 1
    reported_loads_by_group: typing.Mapping[str, int] = {}


def places(
    situation: Situation,
    service: str,
    now_seconds: float,
) -> tuple[Place, ...]:
    """Return the upstreams of a service that are not left out."""
    counts_by_id = request_counts.total_counts(situation.counts)
    upstreams = tuple(
        upstream
        for upstream in fleet.usable_upstreams(situation.members, service)
        if not _is_ejected(situation.standings, upstream, now_seconds)
    )
    shared_by_group = {
        group: _Shared(
            crowd.in_flight,
            situation.reported_loads_by_group.get(group, crowd.in_flight),
            _room(situation, group, crowd, now_seconds),
            situation.entries if crowd.is_rank_group else 1,
            health.latency(situation.standings, group, now_seconds),
        )
        for group, crowd in _crowds(upstreams, counts_by_id).items()
    }
    return tuple(
        Place(
            upstream,
            counts_by_id.get(upstream.upstream_id, 0),
            *shared_by_group[upstream.group_name],
        )
        for upstream in upstreams
    )


def loads_by_group(situation: Situation) -> dict[str, int]:
    """Return the requests in flight of each group."""
    counts_by_id = request_counts.total_counts(situation.counts)
    upstreams = tuple(situation.members.upstreams_by_id.values())
    return {
        group: crowd.in_flight
        for group, crowd in _crowds(upstreams, counts_by_id).items()
    }


class _Shared(typing.NamedTuple):
    """What the upstreams of a group share; the last fields of a `Place`."""

    in_flight: int
    reported: int
    room: float
    sharing_entries: int
    pace_seconds: float


class _Crowd(typing.NamedTuple):
    """Upstreams that share their pace, and the requests at them."""

    is_rank_group: bool
    ranks: int = 0
    slots: int = 0
    in_flight: int = 0


def _crowds(
    upstreams: tuple[models.Upstream, ...],
    counts_by_id: dict[str, int],
) -> dict[str, _Crowd]:
    """Return the sums over each group."""
    crowd_by_group: dict[str, _Crowd] = {}
    for upstream in upstreams:
        grouped = upstream.membership is not None
        crowd = crowd_by_group.get(upstream.group_name, _Crowd(grouped))
        crowd_by_group[upstream.group_name] = _Crowd(
            grouped,
            crowd.ranks + 1,
            crowd.slots + upstream.slots,
            crowd.in_flight + counts_by_id.get(upstream.upstream_id, 0),
        )
    return crowd_by_group


def _room(
    situation: Situation,
    group: str,
    crowd: _Crowd,
    now_seconds: float,
) -> float:
    """Return the requests that a group can hold."""
    room = health.capacity(situation.standings, group, now_seconds)
    if room is None:
        share = const.INITIAL_CAPACITY_RATIO if crowd.is_rank_group else 1.0
        room = crowd.slots * share
    return max(room, crowd.ranks * const.MIN_CAPACITY_PER_RANK)


def _own_part(free_room: float, entries: int) -> float:
    """Return the part of a free room that an entry may fill by itself.

    All entries see the same room and fill it at once when a crowd comes;
    they hear of each other's requests only with the next report.
    """
    if free_room <= 0:
        return free_room
    return max(free_room / entries, min(free_room, 1))


def choose(
    candidates: typing.Iterable[Place],
    excluded_ids: frozenset[str],
    failure_domain: str,
    room_share: float = 1.0,
) -> Place | None:
    """Return the free place with the least expected work, None if none.

    Ties go to the caller's failure domain, then to the first identifier.
    """
    free = [
        place
        for place in candidates
        if place.is_free(room_share)
        and place.upstream.upstream_id not in excluded_ids
    ]
    if not free:
        return None
    known = [place.pace_seconds for place in free if place.pace_seconds]
    order = functools.partial(
        _expected_work,
        typical_pace=min(known, default=1.0),
        failure_domain=failure_domain,
    )
    return min(free, key=order)


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
    group = upstream.group_name
    return health.is_ejected(standings, group, now_seconds)
