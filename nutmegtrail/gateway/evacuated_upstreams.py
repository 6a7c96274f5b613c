"""Upstreams in failure domains that are out of service, or back lately."""

from nutmegtrail.gateway import const
from nutmegtrail.gateway import fleet
from nutmegtrail.gateway import models


def is_out_of_service(
    known_upstreams: fleet.Fleet, upstream: models.Upstream | None
) -> bool:
    """Return whether an upstream is in a domain out of service."""
    if upstream is None:
        return False
    return upstream.failure_domain in known_upstreams.domains_out_of_service


def count(known_upstreams: fleet.Fleet, service: str) -> int:
    """Return how many upstreams are in domains out of service."""
    if not known_upstreams.domains_out_of_service:
        return 0
    return sum(
        is_out_of_service(known_upstreams, upstream)
        for upstream in fleet.registered_upstreams(known_upstreams, service)
    )


def are_all(known_upstreams: fleet.Fleet, service: str) -> bool:
    """Return whether evacuations leave a service no usable upstream."""
    if not count(known_upstreams, service):
        return False
    return not fleet.usable_upstreams(known_upstreams, service)


def is_beyond_ramp(
    known_upstreams: fleet.Fleet,
    upstream: models.Upstream,
    in_flight: int,
    now_seconds: float,
) -> bool:
    """Return whether an upstream in a returned domain has got enough work.

    It is given more and more, so that all entries together do not fill it at
    once.
    """
    returned_at = known_upstreams.returned_at_by_domain.get(
        upstream.failure_domain
    )
    if returned_at is None:
        return False
    ratio = (now_seconds - returned_at) / const.DOMAIN_RAMP_SECONDS
    return in_flight >= upstream.slots * ratio
