"""Popularity of the experts of a service, from the ranks' counters."""

import typing

from nutmegtrail.expert_map import layer_placement
from nutmegtrail.gateway import const


class Reading(typing.NamedTuple):
    """A rank's counters in one of its incarnations."""

    incarnation: int
    choices: tuple[int, ...]


class Popularity(typing.NamedTuple):
    """Fading sums of choices, and the last reading of each rank.

    `latest` are the choices between the last two readings.
    """

    choices: tuple[float, ...] = ()
    latest: tuple[float, ...] = ()
    updated_at_seconds: float = 0
    readings_by_id: typing.Mapping[str, Reading] = {}


def observe(
    popularity: Popularity,
    readings_by_id: typing.Mapping[str, Reading],
    now_seconds: float,
) -> Popularity:
    """Return the popularity after new readings of some ranks."""
    age = now_seconds - popularity.updated_at_seconds
    fading = 0.5 ** (age / const.POPULARITY_HALF_LIFE_SECONDS)
    latest: list[float] = []
    for upstream_id, reading in readings_by_id.items():
        added = _since(popularity.readings_by_id.get(upstream_id), reading)
        latest = _add(latest, added)
    faded = [count * fading for count in popularity.choices]
    return Popularity(
        tuple(_add(faded, latest)),
        tuple(latest),
        now_seconds,
        {**popularity.readings_by_id, **readings_by_id},
    )


def restarted(popularity: Popularity) -> Popularity:
    """Return the popularity of the latest choices alone."""
    return popularity._replace(choices=popularity.latest)


def by_layer(
    choices: tuple[float, ...],
    experts: int,
) -> tuple[layer_placement.Loads, ...]:
    """Return choices by layer and expert."""
    return tuple(
        choices[start : start + experts]
        for start in range(0, len(choices), experts)
    )


def _add(sums: list[float], added: typing.Sequence[float]) -> list[float]:
    """Return the sums with more choices; sums of another shape are dropped."""
    if len(sums) != len(added):
        return list(added) if added else sums
    return [old + new for old, new in zip(sums, added, strict=True)]


def _since(before: Reading | None, reading: Reading) -> tuple[float, ...]:
    """Return the choices since the reading before, none after the first."""
    if before is None or before.incarnation != reading.incarnation:
        return (0.0,) * len(reading.choices)
    pairs = zip(reading.choices, before.choices, strict=True)
    return tuple(float(max(new - old, 0)) for new, old in pairs)
