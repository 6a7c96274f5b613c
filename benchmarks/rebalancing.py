"""Rebalancing policies on seeded traces: mean skew and experts moved."""

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
BOARD: typing.Final = rebalancing.Weights(4, 1, 600)
ZAVOD: typing.Final = rebalancing.Weights(1, 4, 600)
_THRESHOLD_SKEW: typing.Final = 1.1


class Situation(typing.NamedTuple):
    """What a policy knows in an interval."""

    present: placement.Placement
    estimate: load_estimate.Estimate
    speeds: placement.Loads
    slots: int


Policy: typing.TypeAlias = collections.abc.Callable[
    [Situation], placement.Placement | None
]


class Outcome(typing.NamedTuple):
    """Mean skew over a trace and the experts moved."""

    skew: float
    moves: int


def never(situation: Situation) -> placement.Placement | None:
    """Stay."""
    return None


def scratch(situation: Situation) -> placement.Placement:
    """Place from scratch in each interval."""
    return placement.pack(
        situation.estimate.level,
        situation.speeds,
        situation.slots,
    )


def matched(situation: Situation) -> placement.Placement:
    """Place from scratch and match the ranks to the present map."""
    return placement.match_ranks(situation.present, scratch(situation))


def threshold(situation: Situation) -> placement.Placement | None:
    """Place anew, ranks matched, where the skew is over a threshold."""
    skew = placement.skew(
        situation.present,
        situation.estimate.level,
        situation.speeds,
    )
    return matched(situation) if skew > _THRESHOLD_SKEW else None


def board(situation: Situation) -> placement.Placement | None:
    """Decide with the Board's weights."""
    return _decide(situation, BOARD)


def zavod(situation: Situation) -> placement.Placement | None:
    """Decide with the Zavod's weights."""
    return _decide(situation, ZAVOD)


POLICIES: typing.Final = (never, scratch, matched, threshold, board, zavod)


def run_trace(
    policy: Policy,
    name: str,
    size: traces.Size,
    seed: int,
) -> Outcome:
    """Return what a policy makes of a trace."""
    intervals = traces.intervals(name, size, seed)
    first = intervals[0]
    present = placement.pack(first.true_loads, first.speeds, size.slots)
    estimate = load_estimate.start(first.observed_loads)
    skews = []
    moves = 0
    for interval in intervals[1:]:
        skews.append(
            placement.skew(present, interval.true_loads, interval.speeds),
        )
        estimate = load_estimate.observe(estimate, interval.observed_loads)
        chosen = policy(
            Situation(present, estimate, interval.speeds, size.slots),
        )
        if chosen is not None:
            moves += placement.count_moves(present, chosen)
            present = chosen
    return Outcome(statistics.fmean(skews), moves)


def run(seed: int, seeds: int = 10) -> report.Table:
    """Return the table of all policies, traces and sizes."""
    cases = list(itertools.product(SIZES, traces.NAMES, POLICIES))
    outcomes = seeded_runs.outcomes_by_case(
        run_trace,
        cases,
        _arguments,
        range(seed, seed + seeds),
    )
    rows = []
    for (size, trace, policy), group in outcomes:
        skews = [outcome.skew for outcome in group]
        moves = [outcome.moves for outcome in group]
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
    heads = ('size', 'trace', 'policy', 'skew', 'spread', 'moves', 'spread')
    return report.Table('rebalancing', heads, tuple(rows))


def _arguments(
    case: tuple[str, str, Policy],
    seed: int,
) -> tuple[Policy, str, traces.Size, int]:
    """Return the arguments of one run of a case."""
    size, trace, policy = case
    return policy, trace, SIZES[size], seed


def _decide(
    situation: Situation,
    weights: rebalancing.Weights,
) -> placement.Placement | None:
    """Return the placement that the product's policy chooses."""
    verdict = rebalancing.decide(
        situation.present,
        situation.estimate.level,
        load_estimate.standard_errors(situation.estimate),
        situation.speeds,
        weights,
        situation.present.slots.size,
    )
    return verdict.placement
