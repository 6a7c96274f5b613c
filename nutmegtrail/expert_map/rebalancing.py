"""Decision when to move experts: the skew saved against the moves.

A deployment weighs a second of skew against a moved expert. Skew that the
error of the estimate can explain starts no move, and what is below one
error is not counted as saved.
"""

import typing

import numpy as np

from nutmegtrail.expert_map import placement
from nutmegtrail.expert_map import search

_TRIGGER_ERRORS: typing.Final = 3.5
_FLOOR_ERRORS: typing.Final = 1.0


class Weights(typing.NamedTuple):
    """Cost of a unit of skew a second and of a moved expert."""

    skew_weight: float
    move_weight: float
    horizon_seconds: float


class Decision(typing.NamedTuple):
    """A placement to switch to, None to stay, and why."""

    placement: placement.Placement | None
    moves: int
    skew_before: float
    skew_after: float
    reason: str


def decide(
    present: placement.Placement,
    loads: placement.Loads,
    load_errors: placement.Loads,
    speeds: placement.Loads,
    weights: Weights,
    move_limit: int,
) -> Decision:
    """Return the placement that is worth its moves most, if any is."""
    before = placement.skew(present, loads, speeds)
    noise = skew_error(present, loads, load_errors, speeds)
    best = Decision(None, 0, before, before, 'within noise')
    if before <= 1 + _TRIGGER_ERRORS * noise:
        return best
    floor = 1 + _FLOOR_ERRORS * noise
    best = best._replace(reason='not worth the moves')
    best_net = 0.0
    for trial in search.improvements(present, loads, speeds):
        moves = placement.count_moves(present, trial)
        if moves > move_limit:
            break
        after = placement.skew(trial, loads, speeds)
        saved = (before - max(after, floor)) * weights.horizon_seconds
        net = saved * weights.skew_weight - moves * weights.move_weight
        if net > best_net:
            best = Decision(trial, moves, before, after, 'worth the moves')
            best_net = net
        if after <= floor:
            break
    return best


def skew_error(
    present: placement.Placement,
    loads: placement.Loads,
    load_errors: placement.Loads,
    speeds: placement.Loads,
) -> float:
    """Return the largest error of a rank's time, as a part of the mean."""
    replicas = placement.replicas(present.slots, loads)
    variance = (load_errors / np.maximum(replicas, 1)) ** 2
    rank_errors = np.sqrt(variance[present.slots].sum(axis=1)) / speeds
    ideal = loads.sum() / speeds.sum()
    if not ideal:
        return 0
    return float(rank_errors.max() / ideal)
