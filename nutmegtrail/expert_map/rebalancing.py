"""Decision whether the reduction of skew is worth moving experts.

The settings of a deployment weigh a second of skew against a moved expert.
Skew that can be explained by the error of the load estimate does not trigger
a move, and lowering the skew below one standard error does not count as saved.
"""

import typing

import numpy as np

from nutmegtrail.expert_map import placement
from nutmegtrail.expert_map import search

_TRIGGER_STANDARD_ERRORS: typing.Final = 3.5
_FLOOR_STANDARD_ERRORS: typing.Final = 1.0


class Weights(typing.NamedTuple):
    """Cost of a unit of skew per second and of a moved expert."""

    skew_weight: float
    move_weight: float
    horizon_seconds: float


class Decision(typing.NamedTuple):
    """Placement to switch to, None to keep the current one, and the reason."""

    placement: placement.Placement | None
    moves: int
    skew_before: float
    skew_after: float
    reason: str


def decide(
    current: placement.Placement,
    loads: placement.Loads,
    load_errors: placement.Loads,
    speeds: placement.Loads,
    weights: Weights,
    move_limit: int,
) -> Decision:
    """Return the placement with the highest net gain over its moves, if any."""
    skew_before = placement.skew(current, loads, speeds)
    skew_noise = skew_error(current, loads, load_errors, speeds)
    best = Decision(None, 0, skew_before, skew_before, 'within noise')
    if skew_before <= 1 + _TRIGGER_STANDARD_ERRORS * skew_noise:
        return best
    floor = 1 + _FLOOR_STANDARD_ERRORS * skew_noise
    best = best._replace(reason='not worth the moves')
    best_net_gain = 0.0
    for candidate in search.improvements(current, loads, speeds):
        moves = placement.count_moves(current, candidate)
        if moves > move_limit:
            break
        skew_after = placement.skew(candidate, loads, speeds)
        saved_skew_seconds = (
            skew_before - max(skew_after, floor)
        ) * weights.horizon_seconds
        net_gain = (
            saved_skew_seconds * weights.skew_weight
            - moves * weights.move_weight
        )
        if net_gain > best_net_gain:
            best = Decision(
                candidate, moves, skew_before, skew_after, 'worth the moves'
            )
            best_net_gain = net_gain
        if skew_after <= floor:
            break
    return best


def skew_error(
    current: placement.Placement,
    loads: placement.Loads,
    load_errors: placement.Loads,
    speeds: placement.Loads,
) -> float:
    """Return the largest standard error of a rank time, divided by the mean."""
    replicas = placement.replicas(current.slots, loads)
    variance = (load_errors / np.maximum(replicas, 1)) ** 2
    rank_errors = np.sqrt(variance[current.slots].sum(axis=1)) / speeds
    ideal = loads.sum() / speeds.sum()
    if not ideal:
        return 0
    return float(rank_errors.max() / ideal)
