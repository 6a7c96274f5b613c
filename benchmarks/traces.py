"""Seeded traces of expert popularity and rank speeds."""

import collections.abc
import types
import typing

import numpy as np

from nutmegtrail.expert_map import placement

INTERVAL_COUNT: typing.Final = 60
_TOKENS_PER_EXPERT: typing.Final = 20_000
_NOISE_STANDARD_DEVIATION: typing.Final = 0.05
_ZIPF_EXPONENT: typing.Final = 0.6


class Size(typing.NamedTuple):
    """Size of a rank group."""

    ranks: int
    experts: int
    slots_per_rank: int


class Interval(typing.NamedTuple):
    """True loads, loads observed with noise, and rank speeds.

    Loads are tokens per expert; a speed of 1 is nominal.
    """

    true_loads: placement.Loads
    observed_loads: placement.Loads
    speeds: placement.Loads


_Generator: typing.TypeAlias = np.random.Generator
_PopularityFunction: typing.TypeAlias = collections.abc.Callable[
    [placement.Loads, placement.Loads, int], placement.Loads
]


def generate(name: str, size: Size, seed: int) -> list[Interval]:
    """Return the intervals of a named trace."""
    generator = np.random.default_rng(seed)
    initial = _draw_popularity(size, generator)
    alternative = _draw_popularity(size, generator)
    slow_rank = int(generator.integers(size.ranks))
    popularity_at = _FUNCTIONS_BY_NAME[name]
    trace = []
    for index in range(INTERVAL_COUNT):
        popularity = popularity_at(initial, alternative, index)
        loads = popularity * size.experts * _TOKENS_PER_EXPERT
        noise = generator.normal(1, _NOISE_STANDARD_DEVIATION, size.experts)
        speeds = np.ones(size.ranks)
        if name == 'slow-rank' and index >= INTERVAL_COUNT // 3:
            speeds[slow_rank] = 0.7
        trace.append(Interval(loads, loads * noise.clip(0), speeds))
    return trace


def _draw_popularity(size: Size, generator: _Generator) -> placement.Loads:
    """Return the share of each expert, by Zipf's law in random order."""
    popularity_ranks = np.arange(1, size.experts + 1, dtype=np.float64)
    weights = generator.permutation(popularity_ranks**-_ZIPF_EXPONENT)
    normalized: placement.Loads = weights / weights.sum()
    return normalized


def _drift(
    initial: placement.Loads,
    alternative: placement.Loads,
    index: int,
) -> placement.Loads:
    """Interpolate linearly between two popularities, as between seasons."""
    progress = index / INTERVAL_COUNT
    return initial * (1 - progress) + alternative * progress


def _change_once(
    initial: placement.Loads,
    alternative: placement.Loads,
    index: int,
) -> placement.Loads:
    """Change half of the requests after a third of the trace, for good."""
    if index < INTERVAL_COUNT // 3:
        return initial
    return (initial + alternative) / 2


def _stay_constant(
    initial: placement.Loads,
    alternative: placement.Loads,
    index: int,
) -> placement.Loads:
    """Return the initial popularity in every interval."""
    return initial


def _alternate(
    initial: placement.Loads,
    alternative: placement.Loads,
    index: int,
) -> placement.Loads:
    """Alternate between two popularities every three intervals."""
    return initial if index // 3 % 2 == 0 else (initial + alternative) / 2


_FUNCTIONS_BY_NAME: typing.Final = types.MappingProxyType[
    str, _PopularityFunction
](
    {
        'drift': _drift,
        'step': _change_once,
        'noise': _stay_constant,
        'slow-rank': _stay_constant,
        'flip-flop': _alternate,
    },
)
NAMES: typing.Final = tuple(_FUNCTIONS_BY_NAME)
