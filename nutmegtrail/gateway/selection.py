"""Selection of the upstream with the least expected work."""

import functools
import typing

import pyrsistent
import xxhash

from nutmegtrail.gateway import const
from nutmegtrail.gateway import evacuated_upstreams
from nutmegtrail.gateway import fleet
from nutmegtrail.gateway import health
from nutmegtrail.gateway import models
from nutmegtrail.gateway import request_counts
from nutmegtrail.gateway import request_limits
from nutmegtrail.residency import regions
from nutmegtrail.warmup import shares

_NO_IDS: typing.Final[frozenset[str]] = frozenset()


class Candidate(typing.NamedTuple):
    """Upstream that may be selected, with its load.

    `in_flight` counts the requests at the upstream, `own_in_flight` those of
    this entry among them, and `group_in_flight` those at its rank group, which
    has `group_ranks` ranks, usable or not. `group_reported_in_flight` counts
    those that all entries knew of at their last reports. `group_capacity` is
    the number of requests that the group can hold within its objective.
    `share` is the part of what is free of it that this entry may fill.
    `latency_seconds` is 0 if unknown. `is_beyond_ramp` is set if its failure
    domain came back lately and others are to be chosen first.
    """

    upstream: models.Upstream
    in_flight: int
    own_in_flight: int
    group_ranks: int
    group_in_flight: int
    group_reported_in_flight: int
    group_capacity: float
    share: float
    latency_seconds: float
    is_beyond_ramp: bool = False

    @property
    def level(self) -> int:
        """Return the requests in flight, those of a rank group on average.

        Ranks below the average count as equal. If the idlest rank were always
        the first choice, all entries would choose it until its next reports.
        """
        return max(self.in_flight, self.group_in_flight // self.group_ranks)

    def has_capacity(self, capacity_ratio: float) -> bool:
        """Return whether a request would run immediately.

        `capacity_ratio` is the share of the group's capacity that it may use.
        """
        free_capacity = (
            self.group_capacity * capacity_ratio - self.group_reported_in_flight
        )
        local_capacity = _entry_share(free_capacity, self.share)
        if (
            self.group_in_flight
            >= self.group_reported_in_flight + local_capacity
        ):
            return False
        return self.in_flight < self.upstream.slots


class SelectionContext(typing.NamedTuple):
    """State that the selection depends on.

    `share` is the part that this entry has of all that the entries share.
    `reported_loads_by_group` has the requests of each group when the entries
    last exchanged their counts. `sharing` tells how the entries share the
    limits of upstreams.
    """

    known_upstreams: fleet.Fleet
    upstream_health: health.Health
    counts: request_counts.Counts
    share: float = 1.0
    reported_loads_by_group: typing.Mapping[str, int] = {}
    limits: request_limits.LimitsByIncarnation = pyrsistent.pmap()
    sharing: request_limits.Sharing = request_limits.Sharing()
    cold_by_id: shares.ColdById = {}


def find_candidates(
    context: SelectionContext,
    service: str,
    now_seconds: float,
) -> tuple[Candidate, ...]:
    """Return the usable upstreams of a service that are not ejected.

    Those that hold requests off, or have got as many as they take for now, are
    left out too, but count in their group. Requests at all ranks of a group
    slow it, also at those that take no more.
    """
    counts_by_id = request_counts.total_counts(context.counts)
    upstreams = tuple(
        upstream
        for upstream in fleet.usable_upstreams(context.known_upstreams, service)
        if not is_ejected(context.upstream_health, upstream, now_seconds)
    )
    is_ramping = bool(context.known_upstreams.returned_at_by_domain)
    loads_by_name = _sum_by_group(upstreams, counts_by_id)
    whole_groups = loads_by_name
    registered = fleet.registered_upstreams(context.known_upstreams, service)
    if len(registered) > len(upstreams):
        whole_groups = _sum_by_group(registered, counts_by_id)
    states_by_group = {
        group: _GroupState(
            whole_groups[group].ranks,
            whole_groups[group].in_flight,
            context.reported_loads_by_group.get(
                group, whole_groups[group].in_flight
            ),
            _group_capacity(
                context, group, group_load, whole_groups[group], now_seconds
            ),
            context.share if group_load.is_rank_group else 1.0,
            health.latency(context.upstream_health, group, now_seconds),
        )
        for group, group_load in loads_by_name.items()
    }
    return tuple(
        Candidate(
            upstream,
            counts_by_id.get(upstream.upstream_id, 0),
            context.counts.local_by_id.get(upstream.upstream_id, 0),
            *states_by_group[upstream.group_name],
            is_beyond_ramp=is_ramping
            and evacuated_upstreams.is_beyond_ramp(
                context.known_upstreams,
                upstream,
                counts_by_id.get(upstream.upstream_id, 0),
                now_seconds,
            ),
        )
        for upstream in upstreams
        if now_seconds >= _available_from(context, upstream, now_seconds)
    )


def is_open(
    context: SelectionContext,
    upstream: models.Upstream,
    now_seconds: float,
) -> bool:
    """Return whether this incarnation accepts requests, within its limit."""
    return fleet.is_usable(
        context.known_upstreams, upstream
    ) and now_seconds >= health.held_until(
        context.upstream_health, upstream.incarnation
    )


def is_available(
    context: SelectionContext,
    upstream: models.Upstream,
    now_seconds: float,
) -> bool:
    """Return whether this incarnation accepts a new request now."""
    return fleet.is_usable(
        context.known_upstreams, upstream
    ) and now_seconds >= _available_from(context, upstream, now_seconds)


def is_ejected(
    upstream_health: health.Health,
    upstream: models.Upstream,
    now_seconds: float,
) -> bool:
    """Return whether an upstream or its rank group is ejected."""
    if health.is_ejected(upstream_health, upstream.upstream_id, now_seconds):
        return True
    group = upstream.group_name
    return health.is_ejected(upstream_health, group, now_seconds)


def available_from_by_id(
    context: SelectionContext, service: str, now_seconds: float
) -> dict[str, float]:
    """Return from when on the usable upstreams of a service take a request.

    It is empty while no upstream of any service holds requests off or names a
    limit, and none is cold.
    """
    is_restricted = (
        context.upstream_health.held_until_by_incarnation
        or context.limits
        or context.cold_by_id
    )
    if not is_restricted:
        return {}
    return {
        upstream.upstream_id: _available_from(context, upstream, now_seconds)
        for upstream in fleet.usable_upstreams(context.known_upstreams, service)
    }


def starts_per_second(
    context: SelectionContext, service: str, now_seconds: float
) -> float:
    """Return the requests per second that this entry can start.

    It is infinite unless all usable upstreams of the service name limits or
    are cold.
    """
    upstreams = fleet.usable_upstreams(context.known_upstreams, service)
    is_restricted = context.limits or context.cold_by_id
    if not is_restricted or not upstreams:
        return request_limits.UNLIMITED
    return sum(
        (
            _expected_rate(context, upstream, now_seconds)
            for upstream in upstreams
        ),
        start=0.0,
    )


def slots(context: SelectionContext, service: str, now_seconds: float) -> float:
    """Return the requests that the usable upstreams of a service can run.

    Those that name a limit or are cold count for what they take while a request waits.
    """
    return sum(
        min(
            upstream.slots,
            _limit_rate(context, upstream, now_seconds)
            * const.MAX_STREAM_QUEUE_SECONDS,
        )
        for upstream in fleet.usable_upstreams(context.known_upstreams, service)
    )


def loads_by_group(context: SelectionContext) -> dict[str, int]:
    """Return the requests in flight by group."""
    counts_by_id = request_counts.total_counts(context.counts)
    upstreams = tuple(context.known_upstreams.upstreams_by_id.values())
    return {
        group: group_load.in_flight
        for group, group_load in _sum_by_group(upstreams, counts_by_id).items()
    }


class _GroupState(typing.NamedTuple):
    """State shared by a group's upstreams; last fields of `Candidate`."""

    ranks: int
    in_flight: int
    reported: int
    capacity: float
    share: float
    latency_seconds: float


class _GroupLoad(typing.NamedTuple):
    """Sums over the upstreams of a group."""

    is_rank_group: bool
    ranks: int = 0
    slots: int = 0
    in_flight: int = 0


def _sum_by_group(
    upstreams: tuple[models.Upstream, ...],
    counts_by_id: dict[str, int],
) -> dict[str, _GroupLoad]:
    """Return the sums over the upstreams of each group."""
    loads: dict[str, _GroupLoad] = {}
    for upstream in upstreams:
        is_rank_group = upstream.membership is not None
        group_load = loads.get(upstream.group_name, _GroupLoad(is_rank_group))
        loads[upstream.group_name] = _GroupLoad(
            is_rank_group,
            group_load.ranks + 1,
            group_load.slots + upstream.slots,
            group_load.in_flight + counts_by_id.get(upstream.upstream_id, 0),
        )
    return loads


def _group_capacity(
    context: SelectionContext,
    group: str,
    group_load: _GroupLoad,
    whole_group: _GroupLoad,
    now_seconds: float,
) -> float:
    """Return the number of requests that a group can hold.

    `group_load` has its usable ranks. What runs at its other ranks takes
    nothing from the least that each usable one gets.
    """
    elsewhere = whole_group.in_flight - group_load.in_flight
    capacity = health.capacity(context.upstream_health, group, now_seconds)
    if capacity is None:
        ratio = (
            const.INITIAL_CAPACITY_RATIO if group_load.is_rank_group else 1.0
        )
        capacity = min(
            whole_group.slots * ratio, group_load.slots * ratio + elsewhere
        )
    least = group_load.ranks * const.MIN_CAPACITY_PER_RANK
    return max(capacity, least + elsewhere)


def _entry_share(free_capacity: float, share: float) -> float:
    """Return the part of the free capacity that one entry may fill.

    In a burst all entries see the same free capacity and fill it at the same
    time. They learn of each other's requests only from the next reports.
    """
    if free_capacity <= 0:
        return free_capacity
    return max(free_capacity * share, min(free_capacity, 1))


class Preference(typing.NamedTuple):
    """Which of equally loaded upstreams an entry prefers.

    Upstreams in its failure domain come first, then those to which it has sent
    the fewest, then those that `entry`, the name of the entry, has early in its
    own order. If all entries had the same
    order, those that choose between two reports would choose the same
    upstreams. The order of an entry without a name is that of the identifiers.
    """

    failure_domain: str
    entry: str = ''


def choose(
    candidates: typing.Iterable[Candidate],
    excluded_ids: frozenset[str],
    preference: Preference,
    capacity_ratio: float = 1.0,
    avoided_ids: typing.AbstractSet[str] = _NO_IDS,
    allowed_domains: typing.AbstractSet[str] | None = None,
) -> Candidate | None:
    """Return the free candidate with the least expected work, None if none.

    Those outside the allowed failure domains are never chosen. Avoided
    upstreams, and those that got enough after the return of their domain, are
    chosen only if no other is free. Ties are broken by
    the given preference.
    """
    if allowed_domains is not None:
        candidates = _within(candidates, allowed_domains)
    available = [
        candidate
        for candidate in candidates
        if candidate.has_capacity(capacity_ratio)
        and candidate.upstream.upstream_id not in excluded_ids
    ]
    if not available:
        return None
    known_latencies = [
        candidate.latency_seconds
        for candidate in available
        if candidate.latency_seconds
    ]
    expected_work = functools.partial(
        _expected_work,
        typical_latency=min(known_latencies, default=1.0),
        preference=preference,
        avoided_ids=avoided_ids,
    )
    return min(available, key=expected_work)


def _within(
    candidates: typing.Iterable[Candidate],
    allowed_domains: typing.AbstractSet[str],
) -> list[Candidate]:
    """Return the candidates in the allowed failure domains."""
    return [
        candidate
        for candidate in candidates
        if regions.is_allowed(
            candidate.upstream.failure_domain, allowed_domains
        )
    ]


def _expected_work(
    candidate: Candidate,
    typical_latency: float,
    preference: Preference,
    avoided_ids: typing.AbstractSet[str],
) -> tuple[tuple[bool, bool], float, float, bool, tuple[int, int, str]]:
    """Return the sort key of a candidate: avoided last, then by work.

    Those that got enough after the return of their domain come after others.
    """
    latency_ratio = max(
        (candidate.latency_seconds or typical_latency) / typical_latency, 1.0
    )
    upstream = candidate.upstream
    return (
        (upstream.upstream_id in avoided_ids, candidate.is_beyond_ramp),
        (candidate.level + 1) * latency_ratio,
        candidate.group_in_flight * latency_ratio,
        upstream.failure_domain != preference.failure_domain,
        (
            candidate.own_in_flight,
            *_position(preference.entry, upstream.upstream_id),
        ),
    )


@functools.lru_cache(maxsize=const.REMEMBERED_POSITIONS)
def _position(entry: str, upstream_id: str) -> tuple[int, str]:
    """Return the position of an upstream in an entry's own order."""
    if not entry:
        return 0, upstream_id
    position = xxhash.xxh3_64_intdigest(f'{entry}/{upstream_id}'.encode())
    return position, upstream_id


def _available_from(
    context: SelectionContext, upstream: models.Upstream, now_seconds: float
) -> float:
    """Return from when on an upstream takes a request of this entry."""
    available_from = max(
        health.held_until(context.upstream_health, upstream.incarnation),
        request_limits.available_from(
            context.limits.get(upstream.incarnation),
            context.sharing,
            now_seconds,
        ),
    )
    if not context.cold_by_id:
        return available_from
    return max(
        available_from,
        shares.available_from(
            context.cold_by_id.get(upstream.upstream_id),
            context.sharing,
            now_seconds,
        ),
    )


def _expected_rate(
    context: SelectionContext, upstream: models.Upstream, now_seconds: float
) -> float:
    """Return the requests per second that this entry can send an upstream."""
    return min(
        request_limits.expected_rate(
            context.limits.get(upstream.incarnation),
            context.sharing,
            now_seconds,
        ),
        shares.expected_rate(
            context.cold_by_id.get(upstream.upstream_id),
            context.sharing,
            now_seconds,
        ),
    )


def _limit_rate(
    context: SelectionContext, upstream: models.Upstream, now_seconds: float
) -> float:
    """Return the requests per second that an upstream takes of all entries."""
    rate = request_limits.UNLIMITED
    limit = context.limits.get(upstream.incarnation)
    if limit is not None:
        rate = limit.rate(now_seconds)
    cold = context.cold_by_id.get(upstream.upstream_id)
    if cold is not None:
        rate = min(rate, cold.requests_per_second)
    return rate
