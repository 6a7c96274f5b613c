"""Seeded traces of expert popularity and of rank speeds."""

import collections.abc
import types
import typing

import numpy as np

from nutmegtrail.expert_map import placement

INTERVALS: typing.Final = 60
_TOKENS_PER_EXPERT: typing.Final = 20_000
_NOISE: typing.Final = 0.05
_ZIPF_EXPONENT: typing.Final = 0.6


class Size(typing.NamedTuple):
    """Ranks, experts and slots a rank."""

    ranks: int
    experts: int
    slots: int


class Interval(typing.NamedTuple):
    """True and observed loads and the ranks' speeds in an interval."""

    true_loads: placement.Loads
    observed_loads: placement.Loads
    speeds: placement.Loads


_Generator: typing.TypeAlias = np.random.Generator
_Shape: typing.TypeAlias = collections.abc.Callable[
    [placement.Loads, placement.Loads, int], placement.Loads
]


def intervals(name: str, size: Size, seed: int) -> list[Interval]:
    """Return the intervals of a trace."""
    generator = np.random.default_rng(seed)
    first = _popularity(size, generator)
    second = _popularity(size, generator)
    slow_rank = int(generator.integers(size.ranks))
    shape = _SHAPES_BY_NAME[name]
    trace = []
    for number in range(INTERVALS):
        popularity = shape(first, second, number)
        loads = popularity * size.experts * _TOKENS_PER_EXPERT
        noise = generator.normal(1, _NOISE, size.experts)
        speeds = np.ones(size.ranks)
        if name == 'slow-rank' and number >= INTERVALS // 3:
            speeds[slow_rank] = 0.7
        trace.append(Interval(loads, loads * noise.clip(0), speeds))
    return trace


def _popularity(size: Size, generator: _Generator) -> placement.Loads:
    """Return a Zipf-like popularity in random order."""
    places = np.arange(1, size.experts + 1, dtype=np.float64)
    weights = generator.permutation(places**-_ZIPF_EXPONENT)
    normed: placement.Loads = weights / weights.sum()
    return normed


def _drift(
    first: placement.Loads,
    second: placement.Loads,
    number: int,
) -> placement.Loads:
    """Return a slow change from one season to the next."""
    share = number / INTERVALS
    return first * (1 - share) + second * share


def _step(
    first: placement.Loads,
    second: placement.Loads,
    number: int,
) -> placement.Loads:
    """Return a sudden, lasting change of half the requests."""
    if number < INTERVALS // 3:
        return first
    return (first + second) / 2


def _steady(
    first: placement.Loads,
    second: placement.Loads,
    number: int,
) -> placement.Loads:
    """Return the same popularity throughout."""
    return first


def _flip_flop(
    first: placement.Loads,
    second: placement.Loads,
    number: int,
) -> placement.Loads:
    """Return two popularities in turn, three intervals each."""
    return first if number // 3 % 2 == 0 else (first + second) / 2


_SHAPES_BY_NAME: typing.Final = types.MappingProxyType[str, _Shape](
    {
        'drift': _drift,
        'step': _step,
        'noise': _steady,
        'slow-rank': _steady,
        'flip-flop': _flip_flop,
    },
)
NAMES: typing.Final = tuple(_SHAPES_BY_NAME)
