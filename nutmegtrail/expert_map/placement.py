"""Placement of experts in the slots of ranks.

Loads are tokens per step for each expert. Speeds are relative, 1 is nominal.
The load of an expert with several replicas is shared evenly between them.
"""

import typing

import numpy as np
import numpy.typing as npt

from nutmegtrail.expert_map import errors

Loads: typing.TypeAlias = npt.NDArray[np.float64]
Slots: typing.TypeAlias = npt.NDArray[np.int64]


class Placement(typing.NamedTuple):
    """Expert in each slot, as an array of shape (ranks, slots per rank)."""

    slots: Slots


def rank_times(placement: Placement, loads: Loads, speeds: Loads) -> Loads:
    """Return the time of each rank for a step, as load divided by speed."""
    load_per_replica = loads / np.maximum(replicas(placement.slots, loads), 1)
    times: Loads = load_per_replica[placement.slots].sum(axis=1) / speeds
    return times


def skew(placement: Placement, loads: Loads, speeds: Loads) -> float:
    """Return the slowest rank's time relative to that of a perfect balance."""
    times = rank_times(placement, loads, speeds)
    ideal = loads.sum() / speeds.sum()
    return float(times.max() / ideal) if ideal else 1.0


def count_moves(before: Placement, after: Placement) -> int:
    """Return how many experts the ranks have to load in total."""
    pairs = zip(before.slots.tolist(), after.slots.tolist(), strict=True)
    return sum(len(set(new) - set(old)) for old, new in pairs)


def pack(loads: Loads, speeds: Loads, slots_per_rank: int) -> Placement:
    """Return a new placement, built by longest processing time first."""
    ranks = len(speeds)
    replica_counts = _replica_counts(loads, ranks * slots_per_rank)
    load_per_replica = loads / replica_counts
    free_slots = np.full(ranks, slots_per_rank)
    times = np.zeros(ranks)
    experts_by_rank: list[list[int]] = [[] for _ in range(ranks)]
    hottest_first = np.argsort(-load_per_replica, kind='stable')
    for expert in np.repeat(
        hottest_first, replica_counts[hottest_first]
    ).tolist():
        rank = _select_rank(expert, experts_by_rank, free_slots, times)
        experts_by_rank[rank].append(expert)
        free_slots[rank] -= 1
        times[rank] += load_per_replica[expert] / speeds[rank]
    return Placement(np.array(experts_by_rank, dtype=np.int64))


def match_ranks(before: Placement, after: Placement) -> Placement:
    """Reorder the rows of a placement so that ranks keep most experts.

    Each rank in turn gets the remaining row that shares most experts with its
    current one.
    """
    remaining_rows = list(range(len(after.slots)))
    rows = []
    for row in before.slots:
        experts = set(row.tolist())
        shared_counts = [
            len(experts & set(after.slots[index])) for index in remaining_rows
        ]
        rows.append(
            after.slots[remaining_rows.pop(int(np.argmax(shared_counts)))]
        )
    return Placement(np.array(rows))


def replicas(slots: Slots, loads: Loads) -> Slots:
    """Return the number of replicas of each expert."""
    return np.bincount(slots.ravel(), minlength=len(loads))


def _replica_counts(loads: Loads, slot_count: int) -> Slots:
    """Return the replica count of each expert.

    Additional replicas go to the expert with the highest load per replica.
    """
    if slot_count < len(loads):
        raise errors.PlacementError(
            f'{len(loads)} experts do not fit into {slot_count} slots',
        )
    replica_counts = np.ones(len(loads), dtype=np.int64)
    for _ in range(slot_count - len(loads)):
        replica_counts[int(np.argmax(loads / replica_counts))] += 1
    return replica_counts


def _select_rank(
    expert: int,
    experts_by_rank: list[list[int]],
    free_slots: Slots,
    times: Loads,
) -> int:
    """Return the rank with the lowest time that has a free slot.

    Ranks without the expert are preferred.
    """
    open_ranks = np.flatnonzero(free_slots > 0).tolist()
    ranks_without_expert = [
        rank for rank in open_ranks if expert not in experts_by_rank[rank]
    ]
    return int(min(ranks_without_expert or open_ranks, key=times.__getitem__))
