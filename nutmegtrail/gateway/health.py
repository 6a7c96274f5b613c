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
from nutmegtrail.overload import models as overload_models
from nutmegtrail.overload import room


class FailureRecord(typing.NamedTuple):
    """Consecutive failures and the end of the resulting ejection."""

    failures: int = 0
    ejected_until_seconds: float = float('-inf')


class Latency(typing.NamedTuple):
    """Moving average of the seconds per event or response."""

    seconds: float
    observed_at_seconds: float


FailureRecordsById: typing.TypeAlias = pyrsistent.typing.PMap[
    str, FailureRecord
]
LatenciesByGroup: typing.TypeAlias = pyrsistent.typing.PMap[str, Latency]
PacesByGroup: typing.TypeAlias = pyrsistent.typing.PMap[
    str, overload_models.Pace
]
HeldUntilByIncarnation: typing.TypeAlias = pyrsistent.typing.PMap[
    models.Incarnation, float
]


class Health(typing.NamedTuple):
    """Failures by upstream or rank group, the rest by group.

    `held_until_by_incarnation` has the ends of the hold-offs of upstreams.
    """

    failure_records_by_id: FailureRecordsById = pyrsistent.pmap()
    latencies_by_group: LatenciesByGroup = pyrsistent.pmap()
    paces_by_group: PacesByGroup = pyrsistent.pmap()
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


def record_pause(
    health: Health,
    group: str,
    sample: overload_models.PauseSample,
    now_seconds: float,
) -> Health:
    """Return the health after a pause of a stream from a group."""
    pace = room.record(health.paces_by_group.get(group), sample, now_seconds)
    return health._replace(
        paces_by_group=health.paces_by_group.set(group, pace),
    )


def capacity(health: Health, group: str, now_seconds: float) -> float | None:
    """Return how many requests a group can hold within its objective.

    Returns None without a recent sample.
    """
    return room.capacity(health.paces_by_group.get(group), now_seconds)
