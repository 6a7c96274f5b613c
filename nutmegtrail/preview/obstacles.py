"""What keeps an upstream from taking a request now."""

from nutmegtrail.gateway import evacuated_upstreams
from nutmegtrail.gateway import health
from nutmegtrail.gateway import models
from nutmegtrail.gateway import request_limits
from nutmegtrail.gateway import selection
from nutmegtrail.preview import models as preview_models
from nutmegtrail.residency import regions
from nutmegtrail.warmup import shares


def find(
    situation: preview_models.Situation,
    upstream: models.Upstream,
    candidate: selection.Candidate | None,
    now_seconds: float,
) -> preview_models.Obstacle:
    """Return the obstacle of an upstream, `NONE` if it would take the request.

    `candidate` is None if the upstream is left out for any request.
    """
    allowed_domains = situation.queued.allowed_domains
    if not regions.is_allowed(upstream.failure_domain, allowed_domains):
        return preview_models.Obstacle.REGION
    if candidate is None:
        return _find_lasting(situation.context, upstream, now_seconds)
    if candidate.has_capacity(situation.capacity_ratio):
        return preview_models.Obstacle.NONE
    if candidate.in_flight >= upstream.slots:
        return preview_models.Obstacle.SLOTS_TAKEN
    return preview_models.Obstacle.GROUP_FULL


def _find_lasting(
    context: selection.SelectionContext,
    upstream: models.Upstream,
    now_seconds: float,
) -> preview_models.Obstacle:
    """Return why an upstream is left out, whatever the request."""
    membership = upstream.membership
    cold_from = shares.available_from(
        context.cold_by_id.get(upstream.upstream_id),
        context.sharing,
        now_seconds,
    )
    limited_from = request_limits.available_from(
        context.limits.get(upstream.incarnation), context.sharing, now_seconds
    )
    held_until = health.held_until(
        context.upstream_health, upstream.incarnation
    )
    applies_by_obstacle = {
        preview_models.Obstacle.OUT_OF_SERVICE: (
            evacuated_upstreams.is_out_of_service(
                context.known_upstreams, upstream
            )
        ),
        preview_models.Obstacle.LEAVING: upstream.leaving,
        preview_models.Obstacle.GROUP_CLOSED: (
            membership is not None and not membership.is_open
        ),
        preview_models.Obstacle.EJECTED: selection.is_ejected(
            context.upstream_health, upstream, now_seconds
        ),
        preview_models.Obstacle.HELD_OFF: now_seconds < held_until,
        preview_models.Obstacle.LIMITED: now_seconds < limited_from,
        preview_models.Obstacle.COLD: now_seconds < cold_from,
    }
    return next(
        (
            obstacle
            for obstacle, applies in applies_by_obstacle.items()
            if applies
        ),
        preview_models.Obstacle.NOT_CHOSEN,
    )
