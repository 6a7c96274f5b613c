"""Placement of experts on ranks.

Loads are tokens a step by expert, speeds are relative (1 is nominal). A
map gives each rank its experts, one a slot; an expert with several
replicas spreads its load evenly over them.
"""

import typing

import numpy as np
import numpy.typing as npt

from nutmegtrail.expert_map import errors

Loads: typing.TypeAlias = npt.NDArray[np.float64]
Slots: typing.TypeAlias = npt.NDArray[np.int64]


class Placement(typing.NamedTuple):
    """Expert in each slot, of shape (ranks, slots a rank)."""

    slots: Slots


def rank_times(placement: Placement, loads: Loads, speeds: Loads) -> Loads:
    """Return each rank's time for a step, in load over speed."""
    share = loads / np.maximum(replicas(placement.slots, loads), 1)
    times: Loads = share[placement.slots].sum(axis=1) / speeds
    return times


def skew(placement: Placement, loads: Loads, speeds: Loads) -> float:
    """Return the slowest rank's time over that of a perfect balance."""
    times = rank_times(placement, loads, speeds)
    ideal = loads.sum() / speeds.sum()
    return float(times.max() / ideal) if ideal else 1.0


def count_moves(before: Placement, after: Placement) -> int:
    """Return how many experts have to be loaded on ranks without them."""
    pairs = zip(before.slots.tolist(), after.slots.tolist(), strict=True)
    return sum(len(set(new) - set(old)) for old, new in pairs)


def pack(loads: Loads, speeds: Loads, slots_per_rank: int) -> Placement:
    """Return a placement from scratch: longest processing time first."""
    ranks = len(speeds)
    counts = _replica_counts(loads, ranks * slots_per_rank)
    share = loads / counts
    free = np.full(ranks, slots_per_rank)
    times = np.zeros(ranks)
    held: list[list[int]] = [[] for _ in range(ranks)]
    order = np.argsort(-share, kind='stable')
    for expert in np.repeat(order, counts[order]).tolist():
        rank = _best_rank(expert, held, free, times)
        held[rank].append(expert)
        free[rank] -= 1
        times[rank] += share[expert] / speeds[rank]
    return Placement(np.array(held, dtype=np.int64))


def match_ranks(before: Placement, after: Placement) -> Placement:
    """Return the placement with its rows given to the most alike ranks."""
    left = list(range(len(after.slots)))
    rows = []
    for row in before.slots:
        held = set(row.tolist())
        shared = [len(held & set(after.slots[other])) for other in left]
        rows.append(after.slots[left.pop(int(np.argmax(shared)))])
    return Placement(np.array(rows))


def replicas(slots: Slots, loads: Loads) -> Slots:
    """Return the number of replicas of each expert."""
    return np.bincount(slots.ravel(), minlength=len(loads))


def _replica_counts(loads: Loads, slot_count: int) -> Slots:
    """Return the replicas to make; the hottest share gets the next."""
    if slot_count < len(loads):
        raise errors.PlacementError(
            f'{len(loads)} experts do not fit into {slot_count} slots',
        )
    counts = np.ones(len(loads), dtype=np.int64)
    for _ in range(slot_count - len(loads)):
        counts[int(np.argmax(loads / counts))] += 1
    return counts


def _best_rank(
    expert: int,
    held: list[list[int]],
    free: Slots,
    times: Loads,
) -> int:
    """Return the fastest rank with a free slot, one without the expert."""
    open_ranks = np.flatnonzero(free > 0).tolist()
    without = [rank for rank in open_ranks if expert not in held[rank]]
    return int(min(without or open_ranks, key=times.__getitem__))
