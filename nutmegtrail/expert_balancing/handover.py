"""Handover of the leadership to a larger host."""

import typing

from nutmegtrail.expert_balancing import const


class Tenure(typing.NamedTuple):
    """Time since which larger hosts have been there, None if there are none."""

    outranked_since_seconds: float | None = None


def observe(tenure: Tenure, larger_hosts: int, now_seconds: float) -> Tenure:
    """Return the tenure of a leader that knows of so many larger hosts."""
    if not larger_hosts:
        return Tenure()
    if tenure.outranked_since_seconds is None:
        return Tenure(now_seconds)
    return tenure


def is_due(tenure: Tenure, now_seconds: float) -> bool:
    """Return whether larger hosts have been there for long enough.

    A host that has just started, or is at its limit for a moment, changes
    nothing: each new leader reads the maps of all groups.
    """
    since_seconds = tenure.outranked_since_seconds
    return (
        since_seconds is not None
        and now_seconds - since_seconds >= const.HANDOVER_SECONDS
    )


def acquisition_delay(larger_hosts: int) -> float:
    """Return for how long to leave a vacant lease to larger hosts."""
    return min(
        larger_hosts * const.LARGER_HOST_SECONDS,
        const.LARGER_HOSTS_LIMIT_SECONDS,
    )
