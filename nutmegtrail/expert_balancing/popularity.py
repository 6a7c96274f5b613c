"""Popularity of the experts of a service, from the counters of its ranks."""

import typing

from nutmegtrail.expert_balancing import const
from nutmegtrail.expert_map import layer_placement


class Reading(typing.NamedTuple):
    """Expert counters of one incarnation of a rank."""

    incarnation: int
    choices: tuple[int, ...]


class Popularity(typing.NamedTuple):
    """Exponentially decayed choices per expert, and each rank's last reading.

    `latest_choices` are the choices between the last two readings.
    """

    choices: tuple[float, ...] = ()
    latest_choices: tuple[float, ...] = ()
    updated_at_seconds: float = 0
    readings_by_id: typing.Mapping[str, Reading] = {}


def observe(
    popularity: Popularity,
    readings_by_id: typing.Mapping[str, Reading],
    now_seconds: float,
) -> Popularity:
    """Return the popularity updated with new readings of some ranks."""
    age_seconds = now_seconds - popularity.updated_at_seconds
    decay = 0.5 ** (age_seconds / const.POPULARITY_HALF_LIFE_SECONDS)
    latest_choices: list[float] = []
    for upstream_id, reading in readings_by_id.items():
        added = _choices_since(
            popularity.readings_by_id.get(upstream_id), reading
        )
        latest_choices = _add_choices(latest_choices, added)
    decayed = [count * decay for count in popularity.choices]
    return Popularity(
        tuple(_add_choices(decayed, latest_choices)),
        tuple(latest_choices),
        now_seconds,
        {**popularity.readings_by_id, **readings_by_id},
    )


def reset_to_latest(popularity: Popularity) -> Popularity:
    """Return the popularity based on the latest choices only."""
    return popularity._replace(choices=popularity.latest_choices)


def split_by_layer(
    choices: tuple[float, ...],
    experts: int,
) -> tuple[layer_placement.Loads, ...]:
    """Split a flat list of choices into the choices of each layer."""
    return tuple(
        choices[start : start + experts]
        for start in range(0, len(choices), experts)
    )


def _add_choices(
    sums: list[float], added: typing.Sequence[float]
) -> list[float]:
    """Return element-wise sums; sums of a different length are replaced."""
    if len(sums) != len(added):
        return list(added) if added else sums
    return [old + new for old, new in zip(sums, added, strict=True)]


def _choices_since(
    previous: Reading | None, reading: Reading
) -> tuple[float, ...]:
    """Return the choices since the previous reading.

    The first reading of an incarnation only sets the baseline.
    """
    if previous is None or previous.incarnation != reading.incarnation:
        return (0.0,) * len(reading.choices)
    pairs = zip(reading.choices, previous.choices, strict=True)
    return tuple(float(max(new - old, 0)) for new, old in pairs)
