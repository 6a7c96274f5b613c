"""Condition of a host: which of its limits it has nearly reached."""

import enum
import typing

from nutmegtrail.host_limits import const


class Resource(enum.StrEnum):
    """Resource of a host."""

    PROCESSOR = 'processor'
    MEMORY = 'memory'
    DESCRIPTORS = 'descriptors'


class Limits(typing.NamedTuple):
    """Limits of a host, None if not known."""

    memory_bytes: float | None = None
    descriptors: float | None = None


class Reading(typing.NamedTuple):
    """Use of a host. `lag_seconds` is by how much a timer was late."""

    lag_seconds: float = 0
    memory_bytes: float = 0
    descriptors: float = 0


class Condition(typing.NamedTuple):
    """Smoothed lag, and the resources that are used up."""

    lag_seconds: float = 0
    exhausted: frozenset[Resource] = frozenset()


def observe(
    condition: Condition, reading: Reading, limits: Limits
) -> Condition:
    """Return the condition after a reading.

    A resource that was used up counts as such until its use has fallen
    clearly, so that requests are not refused and accepted by turns. Without
    any known limit nothing is ever used up.
    """
    if limits == Limits():
        return Condition()
    sample = min(reading.lag_seconds, const.MAX_LAG_SAMPLE_SECONDS)
    lag_seconds = condition.lag_seconds + const.LAG_SMOOTHING_FACTOR * (
        sample - condition.lag_seconds
    )
    use_by_resource = {
        Resource.PROCESSOR: lag_seconds
        / const.LAG_LIMIT_SECONDS
        * const.REFUSAL_RATIO,
        Resource.MEMORY: _use(reading.memory_bytes, limits.memory_bytes),
        Resource.DESCRIPTORS: _use(reading.descriptors, limits.descriptors),
    }
    return Condition(
        lag_seconds,
        frozenset(
            resource
            for resource, use in use_by_resource.items()
            if use >= _threshold(resource in condition.exhausted)
        ),
    )


def _use(used: float, limit: float | None) -> float:
    """Return which part of a limit is used."""
    return 0 if limit is None else used / limit


def _threshold(is_exhausted: bool) -> float:
    """Return the part of a limit from which on it counts as used up."""
    return const.RELIEF_RATIO if is_exhausted else const.REFUSAL_RATIO
