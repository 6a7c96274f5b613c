"""Passive health of upstreams: failures, ejection, pace and strain.

Upstreams of one rank group run in lock-step and share pace and strain.
Strain is the pause between a stream's events against the longest pause
that its route allows.
"""

import typing

import pyrsistent
import pyrsistent.typing

from nutmegtrail.gateway import const


class Standing(typing.NamedTuple):
    """Failures in a row and the end of the ejection that they caused."""

    failures: int = 0
    ejected_until_seconds: float = float('-inf')


class Pace(typing.NamedTuple):
    """Smoothed seconds an event or answer and the time of the last one."""

    seconds: float
    observed_at_seconds: float


class Strain(typing.NamedTuple):
    """Highest recent strain a request, and the time of the last sample."""

    per_request: float
    observed_at_seconds: float


StandingsById: typing.TypeAlias = pyrsistent.typing.PMap[str, Standing]
PacesByGroup: typing.TypeAlias = pyrsistent.typing.PMap[str, Pace]
StrainsByGroup: typing.TypeAlias = pyrsistent.typing.PMap[str, Strain]


class Health(typing.NamedTuple):
    """Standings by upstream (or rank group), pace and strain by group."""

    standings_by_id: StandingsById = pyrsistent.pmap()
    paces_by_group: PacesByGroup = pyrsistent.pmap()
    strains_by_group: StrainsByGroup = pyrsistent.pmap()


def moving_average(known: float, sample: float, weight: float) -> float:
    """Return a known level moved towards a sample by the sample's weight."""
    return known + weight * (sample - known)


def record_success(health: Health, name: str) -> Health:
    """Return the health after a good answer."""
    if name not in health.standings_by_id:
        return health
    return health._replace(
        standings_by_id=health.standings_by_id.remove(name),
    )


def record_failure(
    health: Health,
    name: str,
    now_seconds: float,
    failures_to_eject: int = const.FAILURES_TO_EJECT,
) -> Health:
    """Return the health after a failure; ejections grow with the failures."""
    standing = health.standings_by_id.get(name, Standing())
    failures = standing.failures + 1
    until = standing.ejected_until_seconds
    surplus = failures - failures_to_eject
    if surplus >= 0 and now_seconds >= until:
        duration = const.EJECTION_SECONDS * 2 ** min(surplus, 8)
        until = now_seconds + min(duration, const.MAX_EJECTION_SECONDS)
    return health._replace(
        standings_by_id=health.standings_by_id.set(
            name,
            Standing(failures, until),
        ),
    )


def is_ejected(health: Health, name: str, now_seconds: float) -> bool:
    """Return whether an upstream or group is left out at present."""
    standing = health.standings_by_id.get(name)
    if standing is None:
        return False
    return now_seconds < standing.ejected_until_seconds


def record_latency(
    health: Health,
    group: str,
    seconds: float,
    now_seconds: float,
) -> Health:
    """Return the health after a sample of a group's pace."""
    known = health.paces_by_group.get(group)
    smooth = seconds
    if known is not None:
        smooth = moving_average(
            known.seconds, seconds, const.LATENCY_SMOOTHING_FACTOR
        )
    return health._replace(
        paces_by_group=health.paces_by_group.set(
            group,
            Pace(smooth, now_seconds),
        ),
    )


def latency(health: Health, group: str, now_seconds: float) -> float:
    """Return a group's pace, 0 where unknown; it fades without samples.

    Fading lets a group that was slow get a request and be measured anew.
    """
    known = health.paces_by_group.get(group)
    if known is None:
        return 0.0
    age_seconds = now_seconds - known.observed_at_seconds
    half_lives = age_seconds / const.LATENCY_HALF_LIFE_SECONDS
    fading: float = 0.5**half_lives
    return known.seconds * fading


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
    grown = min(sample, const.MAX_PAUSE_RATIO_SAMPLE) - const.IDLE_PAUSE_RATIO
    per_request = max(grown, 0) / max(load, 1)
    known = health.strains_by_group.get(group)
    if known is not None:
        age_seconds = now_seconds - known.observed_at_seconds
        half_lives = age_seconds / const.PAUSE_RATIO_HALF_LIFE_SECONDS
        per_request = max(per_request, known.per_request * 0.5**half_lives)
    return health._replace(
        strains_by_group=health.strains_by_group.set(
            group,
            Strain(per_request, now_seconds),
        ),
    )


def capacity(health: Health, group: str, now_seconds: float) -> float | None:
    """Return how many requests a group can hold within its objective.

    The pause between events grows with the requests in flight, from a
    part that does not depend on them. None where no pause is known.
    """
    known = health.strains_by_group.get(group)
    if known is None:
        return None
    if (
        now_seconds - known.observed_at_seconds
        > const.PAUSE_RATIO_MAX_AGE_SECONDS
    ):
        return None
    if not known.per_request:
        return float('inf')
    wanted = const.TARGET_PAUSE_RATIO - const.IDLE_PAUSE_RATIO
    return wanted / known.per_request
