"""Preview of a request at one service."""

import typing

from nutmegtrail.gateway import fleet
from nutmegtrail.gateway import models
from nutmegtrail.gateway import request_counts
from nutmegtrail.gateway import selection
from nutmegtrail.preview import models as preview_models
from nutmegtrail.preview import obstacles

# Obstacles with which a request does not wait for an upstream.
_UNUSABLE: typing.Final = frozenset(
    (
        preview_models.Obstacle.REGION,
        preview_models.Obstacle.OUT_OF_SERVICE,
        preview_models.Obstacle.LEAVING,
        preview_models.Obstacle.GROUP_CLOSED,
    ),
)


def preview(
    target: models.Target,
    situation: preview_models.Situation,
    now_seconds: float,
) -> preview_models.ServicePreview:
    """Return what would happen to a request at the service of a target."""
    context = situation.context
    candidates = selection.find_candidates(context, target.service, now_seconds)
    chosen = selection.choose(
        candidates,
        situation.queued.excluded_ids,
        situation.preference,
        situation.capacity_ratio,
        allowed_domains=situation.queued.allowed_domains,
    )
    upstreams = _preview_upstreams(
        target.service, situation, candidates, now_seconds
    )
    outcome, reason = _decide(situation, chosen, upstreams, now_seconds)
    is_sent = chosen is not None and outcome is preview_models.Outcome.SENT
    return {
        'service': target.service,
        'weight': target.weight,
        'outcome': outcome.value,
        'reason': reason,
        'upstream': chosen.upstream.upstream_id if is_sent and chosen else '',
        'room_ratio': round(situation.capacity_ratio, 3),
        'waiting_before': situation.waiting_before,
        'wait_seconds': round(situation.wait_seconds, 3),
        'upstreams': upstreams,
    }


def _decide(
    situation: preview_models.Situation,
    chosen: selection.Candidate | None,
    upstreams: list[preview_models.UpstreamPreview],
    now_seconds: float,
) -> tuple[preview_models.Outcome, str]:
    """Return the outcome of a request and the reason for it."""
    waiting = situation.waiting_before
    if chosen is not None and not waiting:
        return (
            preview_models.Outcome.SENT,
            'the upstream has the least expected work',
        )
    if not upstreams:
        return (
            preview_models.Outcome.REFUSED,
            'no upstream of the service is registered',
        )
    starts_at = now_seconds + situation.wait_seconds
    if starts_at >= situation.queued.latest_start_seconds:
        return (
            preview_models.Outcome.REFUSED,
            f'there is no room in time: {waiting} requests go first',
        )
    if all(upstream['obstacle'] in _UNUSABLE for upstream in upstreams):
        return (
            preview_models.Outcome.REFUSED,
            'no upstream of the service may get the request',
        )
    return (
        preview_models.Outcome.QUEUED,
        f'{waiting} requests go first'
        if waiting
        else 'no upstream is free for a request of this priority',
    )


def _preview_upstreams(
    service: str,
    situation: preview_models.Situation,
    candidates: tuple[selection.Candidate, ...],
    now_seconds: float,
) -> list[preview_models.UpstreamPreview]:
    """Return all registered upstreams of a service, the free ones first."""
    candidate_by_id = {
        candidate.upstream.upstream_id: candidate for candidate in candidates
    }
    counts_by_id = request_counts.total_counts(situation.context.counts)
    previews = [
        _preview_upstream(
            situation,
            upstream,
            candidate_by_id.get(upstream.upstream_id),
            counts_by_id.get(upstream.upstream_id, 0),
            now_seconds,
        )
        for upstream in fleet.registered_upstreams(
            situation.context.known_upstreams, service
        )
    ]
    return sorted(previews, key=_free_first)


def _preview_upstream(
    situation: preview_models.Situation,
    upstream: models.Upstream,
    candidate: selection.Candidate | None,
    in_flight: int,
    now_seconds: float,
) -> preview_models.UpstreamPreview:
    """Return an upstream with its load and what keeps it from a request."""
    return {
        'upstream': upstream.upstream_id,
        'failure_domain': upstream.failure_domain,
        'in_flight': in_flight,
        'slots': upstream.slots,
        'group': upstream.group_name,
        'group_in_flight': candidate and candidate.group_in_flight,
        'group_room': candidate and round(candidate.group_capacity, 1),
        'obstacle': obstacles.find(
            situation, upstream, candidate, now_seconds
        ).value,
    }


def _free_first(
    upstream: preview_models.UpstreamPreview,
) -> tuple[bool, str, str]:
    """Return the sort key of an upstream in a preview."""
    return (
        bool(upstream['obstacle']),
        upstream['obstacle'],
        upstream['upstream'],
    )
