"""Estimate of the load of each expert and of its error.

The noise is derived from the differences between successive intervals, so
that slow drift does not count as noise. The median of the differences is
used so that a single jump does not hide later changes.
"""

import typing

import numpy as np

from nutmegtrail.expert_map import placement

_HISTORY_INTERVALS: typing.Final = 9
_MIN_HISTORY_INTERVALS: typing.Final = 4
_MIN_LOAD: typing.Final = 1e-9
_SMOOTHING: typing.Final = 0.3
_JUMP_DEVIATIONS: typing.Final = 4.0
_MEDIAN_OF_CHI_SQUARE: typing.Final = 0.455


class Estimate(typing.NamedTuple):
    """Smoothed load of each expert, and the loads of the latest intervals."""

    level: placement.Loads
    history: tuple[placement.Loads, ...]


def start(loads: placement.Loads) -> Estimate:
    """Return an estimate based on a first interval."""
    return Estimate(loads, (loads,))


def observe(estimate: Estimate, loads: placement.Loads) -> Estimate:
    """Return the estimate updated with another interval.

    Loads are smoothed, except that a jump replaces the estimate at once.
    """
    history = (*estimate.history, loads)[-_HISTORY_INTERVALS:]
    deviation = deviations(Estimate(estimate.level, history))
    smoothed = estimate.level + _SMOOTHING * (loads - estimate.level)
    has_jumped = np.abs(loads - estimate.level) > _JUMP_DEVIATIONS * deviation
    return Estimate(np.where(has_jumped, loads, smoothed), history)


def deviations(estimate: Estimate) -> placement.Loads:
    """Return the standard deviation of an interval's load for each expert.

    The deviation of a single expert is based on few intervals. It is used
    only if it exceeds the median relative deviation of all experts.
    """
    if len(estimate.history) < _MIN_HISTORY_INTERVALS:
        return estimate.level
    differences = np.diff(np.array(estimate.history), axis=0)
    medians = np.median(differences**2, axis=0)
    expert_deviations = np.sqrt(medians / (2 * _MEDIAN_OF_CHI_SQUARE))
    relative_deviation = np.median(
        expert_deviations / np.maximum(estimate.level, _MIN_LOAD)
    )
    shared_deviations: placement.Loads = relative_deviation * estimate.level
    return np.maximum(expert_deviations, shared_deviations)


def standard_errors(estimate: Estimate) -> placement.Loads:
    """Return the standard error of the smoothed load of each expert."""
    error_ratio = float(np.sqrt(_SMOOTHING / (2 - _SMOOTHING)))
    return deviations(estimate) * error_ratio
