"""Estimate of the experts' loads and of its error.

The noise is taken from the differences of successive intervals, so that
slow drift does not count as noise; their median keeps one jump from
hiding what follows it.
"""

import typing

import numpy as np

from nutmegtrail.expert_map import placement

_HISTORY_INTERVALS: typing.Final = 9
_SHORTEST_HISTORY: typing.Final = 4
_LEAST_LOAD: typing.Final = 1e-9
_SMOOTHING: typing.Final = 0.3
_JUMP_ERRORS: typing.Final = 4.0
_MEDIAN_OF_CHI_SQUARE: typing.Final = 0.455


class Estimate(typing.NamedTuple):
    """Level of each expert's load and the intervals it was taken from."""

    level: placement.Loads
    history: tuple[placement.Loads, ...]


def start(loads: placement.Loads) -> Estimate:
    """Return the estimate after a first interval."""
    return Estimate(loads, (loads,))


def observe(estimate: Estimate, loads: placement.Loads) -> Estimate:
    """Return the estimate after another interval; a jump is followed."""
    history = (*estimate.history, loads)[-_HISTORY_INTERVALS:]
    deviation = deviations(Estimate(estimate.level, history))
    smooth = estimate.level + _SMOOTHING * (loads - estimate.level)
    jumped = np.abs(loads - estimate.level) > _JUMP_ERRORS * deviation
    return Estimate(np.where(jumped, loads, smooth), history)


def deviations(estimate: Estimate) -> placement.Loads:
    """Return the standard deviation of one interval's load by expert.

    An expert's own figure comes from few intervals, so it counts only where
    it is above the relative deviation that all experts share.
    """
    if len(estimate.history) < _SHORTEST_HISTORY:
        return estimate.level
    differences = np.diff(np.array(estimate.history), axis=0)
    medians = np.median(differences**2, axis=0)
    own = np.sqrt(medians / (2 * _MEDIAN_OF_CHI_SQUARE))
    relative = np.median(own / np.maximum(estimate.level, _LEAST_LOAD))
    shared: placement.Loads = relative * estimate.level
    return np.maximum(own, shared)


def standard_errors(estimate: Estimate) -> placement.Loads:
    """Return the standard error of each expert's level."""
    share = float(np.sqrt(_SMOOTHING / (2 - _SMOOTHING)))
    return deviations(estimate) * share
