"""Passive health of upstreams: failures, ejection, pace and strain.

Upstreams of one rank group run in lock-step and share pace and strain.
Strain is the pause between a stream's events against the longest pause
that its route allows.
"""

import typing

import pyrsistent
import pyrsistent.typing

from nutmegtrail.gateway import const


class FailureRecord(typing.NamedTuple):
    """Failures in a row and the end of the ejection that they caused."""

    failures: int = 0
    ejected_until_seconds: float = float('-inf')


class Latency(typing.NamedTuple):
    """Smoothed seconds an event or answer and the time of the last one."""

    seconds: float
    observed_at_seconds: float


class PauseRatio(typing.NamedTuple):
    """Highest recent strain a request, and the time of the last sample."""

    per_request: float
    observed_at_seconds: float


FailureRecordsById: typing.TypeAlias = pyrsistent.typing.PMap[
    str, FailureRecord
]
LatenciesByGroup: typing.TypeAlias = pyrsistent.typing.PMap[str, Latency]
PauseRatiosByGroup: typing.TypeAlias = pyrsistent.typing.PMap[str, PauseRatio]


class Health(typing.NamedTuple):
    """Standings by upstream (or rank group), pace and strain by group."""

    failure_records_by_id: FailureRecordsById = pyrsistent.pmap()
    latencies_by_group: LatenciesByGroup = pyrsistent.pmap()
    pause_ratios_by_group: PauseRatiosByGroup = pyrsistent.pmap()


def moving_average(previous: float, sample: float, weight: float) -> float:
    """Return a known level moved towards a sample by the sample's weight."""
    return previous + weight * (sample - previous)


def record_success(health: Health, name: str) -> Health:
    """Return the health after a good answer."""
    if name not in health.failure_records_by_id:
        return health
    return health._replace(
        failure_records_by_id=health.failure_records_by_id.remove(name),
    )


def record_failure(
    health: Health,
    name: str,
    now_seconds: float,
    failures_to_eject: int = const.FAILURES_TO_EJECT,
) -> Health:
    """Return the health after a failure; ejections grow with the failures."""
    record = health.failure_records_by_id.get(name, FailureRecord())
    failures = record.failures + 1
    ejected_until = record.ejected_until_seconds
    excess_failures = failures - failures_to_eject
    if excess_failures >= 0 and now_seconds >= ejected_until:
        duration = const.EJECTION_SECONDS * 2 ** min(excess_failures, 8)
        ejected_until = now_seconds + min(duration, const.MAX_EJECTION_SECONDS)
    return health._replace(
        failure_records_by_id=health.failure_records_by_id.set(
            name,
            FailureRecord(failures, ejected_until),
        ),
    )


def is_ejected(health: Health, name: str, now_seconds: float) -> bool:
    """Return whether an upstream or group is left out at present."""
    record = health.failure_records_by_id.get(name)
    if record is None:
        return False
    return now_seconds < record.ejected_until_seconds


def record_latency(
    health: Health,
    group: str,
    seconds: float,
    now_seconds: float,
) -> Health:
    """Return the health after a sample of a group's pace."""
    previous = health.latencies_by_group.get(group)
    average = seconds
    if previous is not None:
        average = moving_average(
            previous.seconds, seconds, const.LATENCY_SMOOTHING_FACTOR
        )
    return health._replace(
        latencies_by_group=health.latencies_by_group.set(
            group,
            Latency(average, now_seconds),
        ),
    )


def latency(health: Health, group: str, now_seconds: float) -> float:
    """Return a group's pace, 0 where unknown; it fades without samples.

    Fading lets a group that was slow get a request and be measured anew.
    """
    previous = health.latencies_by_group.get(group)
    if previous is None:
        return 0.0
    age_seconds = now_seconds - previous.observed_at_seconds
    half_lives = age_seconds / const.LATENCY_HALF_LIFE_SECONDS
    decay: float = 0.5**half_lives
    return previous.seconds * decay


def record_pause_ratio(
    health: Health,
    group: str,
    sample: float,
    load: int,
    now_seconds: float,
) -> Health:
    """Return the health after a sample of a group's strain.

    `load` are the requests that the group had in the pass of the sample.
    The highest recent sample counts, since one long pause makes a whole
    stream late.
    """
    load_dependent_ratio = (
        min(sample, const.MAX_PAUSE_RATIO_SAMPLE) - const.IDLE_PAUSE_RATIO
    )
    per_request = max(load_dependent_ratio, 0) / max(load, 1)
    previous = health.pause_ratios_by_group.get(group)
    if previous is not None:
        age_seconds = now_seconds - previous.observed_at_seconds
        half_lives = age_seconds / const.PAUSE_RATIO_HALF_LIFE_SECONDS
        per_request = max(per_request, previous.per_request * 0.5**half_lives)
    return health._replace(
        pause_ratios_by_group=health.pause_ratios_by_group.set(
            group,
            PauseRatio(per_request, now_seconds),
        ),
    )


def capacity(health: Health, group: str, now_seconds: float) -> float | None:
    """Return how many requests a group can hold within its objective.

    The pause between events grows with the requests in flight, from a
    part that does not depend on them. None where no pause is known.
    """
    previous = health.pause_ratios_by_group.get(group)
    if previous is None:
        return None
    if (
        now_seconds - previous.observed_at_seconds
        > const.PAUSE_RATIO_MAX_AGE_SECONDS
    ):
        return None
    if not previous.per_request:
        return float('inf')
    available_ratio = const.TARGET_PAUSE_RATIO - const.IDLE_PAUSE_RATIO
    return available_ratio / previous.per_request
