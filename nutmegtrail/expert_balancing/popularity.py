"""Popularity of the experts of a service, from the counters of its ranks."""

import math
import operator
import typing

from nutmegtrail.expert_balancing import const
from nutmegtrail.expert_map import layer_placement


class Reading(typing.NamedTuple):
    """Expert counters of one incarnation of a rank."""

    incarnation: int
    choices: tuple[int, ...]
    read_at_seconds: float = 0


class Popularity(typing.NamedTuple):
    """Exponentially decayed choices per expert, and each rank's last reading.

    `latest_choices` are the choices between the last two readings.
    `usual_similarity` is the moving average of the similarity of the latest
    choices to the earlier ones, 0 if unknown.
    """

    choices: tuple[float, ...] = ()
    latest_choices: tuple[float, ...] = ()
    updated_at_seconds: float = 0
    readings_by_id: typing.Mapping[str, Reading] = {}
    shifted_at_seconds: float = float('-inf')
    usual_similarity: float = 0


def observe(
    popularity: Popularity,
    readings_by_id: typing.Mapping[str, Reading],
    now_seconds: float,
    half_life_seconds: float = const.POPULARITY_HALF_LIFE_SECONDS,
) -> Popularity:
    """Return the popularity updated with new readings of some ranks.

    Choices counted from before the last shift are left out.
    """
    age_seconds = now_seconds - popularity.updated_at_seconds
    decay = 0.5 ** (age_seconds / half_life_seconds)
    latest_choices: list[float] = []
    for upstream_id, reading in readings_by_id.items():
        previous = popularity.readings_by_id.get(upstream_id)
        if previous is not None:
            if previous.read_at_seconds < popularity.shifted_at_seconds:
                previous = None
        added = _choices_since(previous, reading)
        latest_choices = _add_choices(latest_choices, added)
    decayed = [count * decay for count in popularity.choices]
    return popularity._replace(
        choices=tuple(_add_choices(decayed, latest_choices)),
        latest_choices=tuple(latest_choices),
        updated_at_seconds=now_seconds,
        readings_by_id={**popularity.readings_by_id, **readings_by_id},
    )


def reset_to_latest(popularity: Popularity) -> Popularity:
    """Return the popularity based on the latest choices only."""
    return popularity._replace(
        choices=popularity.latest_choices,
        shifted_at_seconds=popularity.updated_at_seconds,
    )


def similarity(popularity: Popularity) -> float | None:
    """Return the correlation of the latest choices and the earlier ones.

    What all experts have in common does not count. None if there are no
    latest or no earlier choices.
    """
    latest = popularity.latest_choices
    if not latest or len(latest) != len(popularity.choices):
        return None
    earlier = tuple(
        count - new
        for count, new in zip(popularity.choices, latest, strict=True)
    )
    latest_differences = _differences(latest)
    earlier_differences = _differences(earlier)
    product_of_lengths = math.hypot(*latest_differences) * math.hypot(
        *earlier_differences
    )
    if not product_of_lengths:
        return None
    products = map(operator.mul, latest_differences, earlier_differences)
    return math.fsum(products) / product_of_lengths


def has_shifted(popularity: Popularity) -> bool:
    """Return whether the latest choices are unusually different."""
    latest_similarity = similarity(popularity)
    if latest_similarity is None:
        return False
    limit = popularity.usual_similarity * const.SHIFT_SIMILARITY_RATIO
    return latest_similarity < limit


def is_steady(popularity: Popularity) -> bool:
    """Return whether a shift would be told from noise.

    The choices of few requests are never similar.
    """
    return popularity.usual_similarity >= const.MIN_USUAL_SIMILARITY


def record_similarity(popularity: Popularity) -> Popularity:
    """Return the popularity after the latest choices without a shift."""
    latest_similarity = similarity(popularity)
    if latest_similarity is None:
        return popularity
    usual = popularity.usual_similarity or latest_similarity
    difference = latest_similarity - usual
    return popularity._replace(
        usual_similarity=usual + const.SIMILARITY_SMOOTHING_FACTOR * difference
    )


def split_by_layer(
    choices: tuple[float, ...],
    experts: int,
) -> tuple[layer_placement.Loads, ...]:
    """Split a flat list of choices into the choices of each layer."""
    return tuple(
        choices[start : start + experts]
        for start in range(0, len(choices), experts)
    )


def _differences(choices: tuple[float, ...]) -> list[float]:
    """Return the difference of each expert's choices from the mean."""
    mean = sum(choices) / len(choices)
    return [count - mean for count in choices]


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
