"""Mean skew and experts moved by rebalancing policies on seeded traces."""

import collections.abc
import itertools
import statistics
import types
import typing

import numpy as np

from benchmarks import report
from benchmarks import seeded_runs
from benchmarks import traces
from nutmegtrail.expert_map import load_estimate
from nutmegtrail.expert_map import placement
from nutmegtrail.expert_map import rebalancing

SIZES: typing.Final = types.MappingProxyType(
    {
        '16 ranks, 64 experts': traces.Size(16, 64, 6),
        '128 ranks, 256 experts': traces.Size(128, 256, 3),
    },
)
BOARD_WEIGHTS: typing.Final = rebalancing.Weights(4, 1, 600)
ZAVOD_WEIGHTS: typing.Final = rebalancing.Weights(1, 4, 600)
_THRESHOLD_SKEW: typing.Final = 1.1


class PolicyInput(typing.NamedTuple):
    """Data that a policy decides on in an interval.

    The estimate is that of the expert loads.
    """

    current: placement.Placement
    estimate: load_estimate.Estimate
    speeds: placement.Loads
    slots_per_rank: int


Policy: typing.TypeAlias = collections.abc.Callable[
    [PolicyInput], placement.Placement | None
]


class Outcome(typing.NamedTuple):
    """Mean skew and number of experts moved over a trace."""

    mean_skew: float
    moves: int


def never(policy_input: PolicyInput) -> placement.Placement | None:
    """Keep the current placement."""
    return None


def scratch(policy_input: PolicyInput) -> placement.Placement:
    """Compute a new placement in each interval."""
    return placement.pack(
        policy_input.estimate.level,
        policy_input.speeds,
        policy_input.slots_per_rank,
    )


def matched(policy_input: PolicyInput) -> placement.Placement:
    """Compute a new placement with ranks matched to the current one.

    Matching reduces the experts moved.
    """
    return placement.match_ranks(policy_input.current, scratch(policy_input))


def threshold(policy_input: PolicyInput) -> placement.Placement | None:
    """Compute a matched placement if the skew exceeds a threshold."""
    skew = placement.skew(
        policy_input.current,
        policy_input.estimate.level,
        policy_input.speeds,
    )
    return matched(policy_input) if skew > _THRESHOLD_SKEW else None


def board(policy_input: PolicyInput) -> placement.Placement | None:
    """Decide with weights that favor a low skew, as in examples/kutch."""
    return _decide_with_weights(policy_input, BOARD_WEIGHTS)


def zavod(policy_input: PolicyInput) -> placement.Placement | None:
    """Decide with weights that favor few moves, as in examples/ljubljana."""
    return _decide_with_weights(policy_input, ZAVOD_WEIGHTS)


POLICIES: typing.Final = (never, scratch, matched, threshold, board, zavod)


def run_trace(
    policy: Policy,
    trace_name: str,
    size: traces.Size,
    seed: int,
) -> Outcome:
    """Return the outcome of a policy on a trace."""
    intervals = traces.generate(trace_name, size, seed)
    first_interval = intervals[0]
    current = placement.pack(
        first_interval.true_loads, first_interval.speeds, size.slots_per_rank
    )
    estimate = load_estimate.start(first_interval.observed_loads)
    skews = []
    moves = 0
    for interval in intervals[1:]:
        skews.append(
            placement.skew(current, interval.true_loads, interval.speeds),
        )
        estimate = load_estimate.observe(estimate, interval.observed_loads)
        new_placement = policy(
            PolicyInput(
                current, estimate, interval.speeds, size.slots_per_rank
            ),
        )
        if new_placement is not None:
            moves += placement.count_moves(current, new_placement)
            current = new_placement
    return Outcome(statistics.fmean(skews), moves)


def run(seed: int, seeds: int = 10) -> report.Table:
    """Return a table with a row for each size, trace and policy.

    `seeds` is the number of seeds for each row.
    """
    cases = list(itertools.product(SIZES, traces.NAMES, POLICIES))
    outcomes = seeded_runs.outcomes_by_case(
        run_trace,
        cases,
        _build_arguments,
        range(seed, seed + seeds),
    )
    rows = []
    for (size, trace, policy), case_outcomes in outcomes:
        skews = [outcome.mean_skew for outcome in case_outcomes]
        moves = [outcome.moves for outcome in case_outcomes]
        rows.append(
            (
                size,
                trace,
                policy.__name__,
                f'{np.mean(skews):.3f}',
                f'{min(skews):.3f}-{max(skews):.3f}',
                f'{np.mean(moves):.0f}',
                f'{min(moves)}-{max(moves)}',
            ),
        )
    headers = ('size', 'trace', 'policy', 'skew', 'spread', 'moves', 'spread')
    return report.Table('rebalancing', headers, tuple(rows))


def _build_arguments(
    case: tuple[str, str, Policy],
    seed: int,
) -> tuple[Policy, str, traces.Size, int]:
    """Return the arguments of `run_trace` for a case and a seed."""
    size, trace, policy = case
    return policy, trace, SIZES[size], seed


def _decide_with_weights(
    policy_input: PolicyInput,
    weights: rebalancing.Weights,
) -> placement.Placement | None:
    """Return the placement that the production policy decides on."""
    decision = rebalancing.decide(
        policy_input.current,
        policy_input.estimate.level,
        load_estimate.standard_errors(policy_input.estimate),
        policy_input.speeds,
        weights,
        policy_input.current.slots.size,
    )
    return decision.placement
