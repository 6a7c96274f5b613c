"""Passive health checks: ejection, hold-offs, latency and pause ratio.

An upstream that turns a request away may ask to hold off, which is to send it
nothing for some time.

Upstreams of one rank group run in lock-step and share latency and pause
ratio. The pause ratio is the pause between a stream's events divided by the
longest pause that its route allows.
"""

import heapq
import typing

import pyrsistent
import pyrsistent.typing

from nutmegtrail.gateway import const
from nutmegtrail.gateway import models


class FailureRecord(typing.NamedTuple):
    """Consecutive failures and the end of the resulting ejection."""

    failures: int = 0
    ejected_until_seconds: float = float('-inf')


class Latency(typing.NamedTuple):
    """Moving average of the seconds per event or response."""

    seconds: float
    observed_at_seconds: float


class PauseRatio(typing.NamedTuple):
    """Highest recent pause ratio per request in flight.

    Excludes the part that does not depend on the load.
    """

    per_request: float
    observed_at_seconds: float


FailureRecordsById: typing.TypeAlias = pyrsistent.typing.PMap[
    str, FailureRecord
]
LatenciesByGroup: typing.TypeAlias = pyrsistent.typing.PMap[str, Latency]
PauseRatiosByGroup: typing.TypeAlias = pyrsistent.typing.PMap[str, PauseRatio]
HeldUntilByIncarnation: typing.TypeAlias = pyrsistent.typing.PMap[
    models.Incarnation, float
]


class Health(typing.NamedTuple):
    """Failures by upstream or rank group, the rest by group.

    `held_until_by_incarnation` has the ends of the hold-offs of upstreams.
    """

    failure_records_by_id: FailureRecordsById = pyrsistent.pmap()
    latencies_by_group: LatenciesByGroup = pyrsistent.pmap()
    pause_ratios_by_group: PauseRatiosByGroup = pyrsistent.pmap()
    held_until_by_incarnation: HeldUntilByIncarnation = pyrsistent.pmap()


def moving_average(previous: float, sample: float, weight: float) -> float:
    """Return an exponential moving average after a sample."""
    return previous + weight * (sample - previous)


def record_success(health: Health, name: str) -> Health:
    """Return the health after a success, which ends any ejection."""
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
    """Return the health after a failure.

    The ejection time grows exponentially with consecutive failures.
    """
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
    """Return whether an upstream or group is currently ejected."""
    record = health.failure_records_by_id.get(name)
    if record is None:
        return False
    return now_seconds < record.ejected_until_seconds


def record_hold_off(
    health: Health,
    incarnation: models.Incarnation,
    seconds: float,
    now_seconds: float,
) -> Health:
    """Return the health with a hold-off from now on; none is shortened."""
    held_until_by_incarnation = {
        held: until
        for held, until in health.held_until_by_incarnation.items()
        if until > now_seconds
    }
    held_until_by_incarnation[incarnation] = max(
        held_until(health, incarnation), now_seconds + seconds
    )
    for first_to_end in heapq.nsmallest(
        len(held_until_by_incarnation) - const.HOLD_OFFS_LIMIT,
        held_until_by_incarnation,
        key=held_until_by_incarnation.__getitem__,
    ):
        held_until_by_incarnation.pop(first_to_end)
    return health._replace(
        held_until_by_incarnation=pyrsistent.pmap(held_until_by_incarnation),
    )


def held_until(health: Health, incarnation: models.Incarnation) -> float:
    """Return the end of an upstream's last hold-off, -inf without any."""
    return health.held_until_by_incarnation.get(incarnation, float('-inf'))


def record_latency(
    health: Health,
    group: str,
    seconds: float,
    now_seconds: float,
) -> Health:
    """Return the health after a latency sample of a group."""
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
    """Return a group's average latency in seconds, 0 if unknown.

    It decays without samples, so that a slow group gets requests again and is
    measured anew.
    """
    previous = health.latencies_by_group.get(group)
    if previous is None:
        return 0.0
    age_seconds = now_seconds - previous.observed_at_seconds
    half_lives = age_seconds / const.LATENCY_HALF_LIFE_SECONDS
    decay: float = 0.5**half_lives
    return previous.seconds * decay


def last_latency_at(health: Health, group: str) -> float:
    """Return the time of the last latency sample, -inf without one."""
    previous = health.latencies_by_group.get(group)
    return float('-inf') if previous is None else previous.observed_at_seconds


def record_pause_ratio(
    health: Health,
    group: str,
    sample: float,
    load: int,
    now_seconds: float,
) -> Health:
    """Return the health after a pause ratio sample of a group.

    `load` is the number of requests that the group had in the sampled pass.
    The highest recent sample counts, because one long pause makes a whole
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

    The pause between events has a constant part and one that grows with the
    requests in flight. Returns None without a recent sample.
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
