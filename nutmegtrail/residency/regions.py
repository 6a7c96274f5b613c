"""Failure domains in which a request may be processed."""

import typing


def allowed_domains(
    region_by_domain: typing.Mapping[str, str],
    *allowed_regions: typing.AbstractSet[str] | None,
) -> frozenset[str] | None:
    """Return the failure domains within all given sets of regions.

    A set of regions that is None does not restrict. None is returned if none
    of them does. A domain whose region is not known is in no region.
    """
    restrictions = [
        regions for regions in allowed_regions if regions is not None
    ]
    if not restrictions:
        return None
    return frozenset(
        domain
        for domain, region in region_by_domain.items()
        if all(region in regions for regions in restrictions)
    )


def is_allowed(
    failure_domain: str, domains: typing.AbstractSet[str] | None
) -> bool:
    """Return whether a request that is bound to domains may be sent to one."""
    return domains is None or failure_domain in domains
