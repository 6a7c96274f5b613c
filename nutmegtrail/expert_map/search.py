"""Local search for a better placement with few changes to the current one."""

import typing

import numpy as np
import numpy.typing as npt

from nutmegtrail.expert_map import placement


class _Assignment(typing.NamedTuple):
    """Assignment of an expert to a slot of a rank."""

    rank: int
    slot: int
    expert: int


class _SearchState(typing.NamedTuple):
    """Placement and derived values that a change is evaluated with.

    `other_ranks` are all ranks but the slowest one, fastest first. `is_held`
    tells for each rank and expert whether the rank holds the expert. `peaks`
    is, for each expert, the time of its slowest rank if the expert lost one
    replica, infinite if it has only one.
    """

    slots: placement.Slots
    loads: placement.Loads
    speeds: placement.Loads
    replica_counts: placement.Slots
    load_per_replica: placement.Loads
    times: placement.Loads
    slowest: int
    other_ranks: placement.Slots
    is_held: npt.NDArray[np.bool_]
    peaks: placement.Loads


_REDUNDANT_REPLICAS_LIMIT: typing.Final = 8
_MIN_REDUCTION_RATIO: typing.Final = 1e-9
_Option: typing.TypeAlias = tuple[float, tuple[_Assignment, ...]]


def improvements(
    current: placement.Placement,
    loads: placement.Loads,
    speeds: placement.Loads,
) -> typing.Iterator[placement.Placement]:
    """Yield successively better placements, each one change after the previous.

    A change reduces the load of the slowest rank. It swaps two replicas, or
    replaces a redundant replica with a further one of a hot expert.
    """
    slots = current.slots
    change = _best_change(slots, loads, speeds)
    while change:
        slots = slots.copy()
        for rank, slot, expert in change:
            slots[rank, slot] = expert
        yield placement.Placement(slots)
        change = _best_change(slots, loads, speeds)


def _best_change(
    slots: placement.Slots,
    loads: placement.Loads,
    speeds: placement.Loads,
) -> tuple[_Assignment, ...]:
    """Return the change that reduces the slowest time most, () if none does."""
    replica_counts = placement.replicas(slots, loads)
    load_per_replica = loads / np.maximum(replica_counts, 1)
    times = load_per_replica[slots].sum(axis=1) / speeds
    is_held = np.zeros((len(times), len(loads)), dtype=bool)
    is_held[np.arange(len(times))[:, np.newaxis], slots] = True
    state = _SearchState(
        slots,
        loads,
        speeds,
        replica_counts,
        load_per_replica,
        times,
        int(np.argmax(times)),
        np.argsort(times)[:-1],
        is_held,
        _peaks(is_held, loads, replica_counts, times, speeds),
    )
    redundant_replicas = _find_redundant_replicas(state)
    options = [
        option
        for slot in range(slots.shape[1])
        for option in (
            _swap(state, slot),
            _replicate(state, slot),
            _replicate_and_displace(state, slot, redundant_replicas),
        )
    ]
    time, change = min(options, key=_option_time)
    return change if time < times.max() * (1 - _MIN_REDUCTION_RATIO) else ()


def _option_time(option: _Option) -> float:
    """Return the slowest time of the affected ranks, as a sort key."""
    return option[0]


def _swap(state: _SearchState, slot: int) -> _Option:
    """Return the best swap between the slowest rank's slot and another rank."""
    slowest = state.slowest
    hot_expert = state.slots[slowest, slot]
    other_experts = state.slots[state.other_ranks]
    load_difference = (
        state.load_per_replica[hot_expert]
        - state.load_per_replica[other_experts]
    )
    speed = state.speeds[slowest]
    slowest_after = state.times[slowest] - load_difference / speed
    time_after = np.maximum(
        slowest_after, _times_with_load(state, load_difference)
    )
    time_after[load_difference <= 0] = np.inf
    time_after[state.is_held[slowest][other_experts]] = np.inf
    time_after[state.is_held[state.other_ranks, hot_expert]] = np.inf
    row, other_slot = np.unravel_index(
        int(np.argmin(time_after)), time_after.shape
    )
    rank = int(state.other_ranks[row])
    swapped_expert = int(state.slots[rank, other_slot])
    change = (
        _Assignment(slowest, slot, swapped_expert),
        _Assignment(rank, int(other_slot), int(hot_expert)),
    )
    return float(time_after[row, other_slot]), change


def _replicate(state: _SearchState, slot: int) -> _Option:
    """Return the best additional replica of an expert of the slowest rank."""
    slowest = state.slowest
    hot_expert = int(state.slots[slowest, slot])
    other_experts = state.slots[state.other_ranks]
    replica_load = state.loads[hot_expert] / (
        state.replica_counts[hot_expert] + 1
    )
    load_reduction = state.load_per_replica[hot_expert] - replica_load
    slowest_after = (
        state.times[slowest] - load_reduction / state.speeds[slowest]
    )
    others_after = _times_with_load(
        state, replica_load - state.load_per_replica[other_experts]
    )
    time_after = np.maximum(others_after, state.peaks[other_experts])
    time_after = np.maximum(time_after, slowest_after)
    time_after[state.is_held[state.other_ranks, hot_expert]] = np.inf
    row, other_slot = np.unravel_index(
        int(np.argmin(time_after)), time_after.shape
    )
    rank = int(state.other_ranks[row])
    return float(time_after[row, other_slot]), (
        _Assignment(rank, int(other_slot), hot_expert),
    )


def _replicate_and_displace(
    state: _SearchState,
    slot: int,
    redundant_replicas: list['_RedundantReplica'],
) -> _Option:
    """Return the best additional replica that displaces another expert.

    The hot expert takes the slot of an expert without a second replica, which
    in turn takes the slot of a redundant replica.
    """
    slowest = state.slowest
    hot_expert = int(state.slots[slowest, slot])
    replica_load = state.loads[hot_expert] / (
        state.replica_counts[hot_expert] + 1
    )
    load_reduction = state.load_per_replica[hot_expert] - replica_load
    slowest_after = (
        state.times[slowest] - load_reduction / state.speeds[slowest]
    )
    other_experts = state.slots[state.other_ranks]
    others_after = _times_with_load(
        state, replica_load - state.load_per_replica[other_experts]
    )
    others_after[state.is_held[state.other_ranks, hot_expert]] = np.inf
    best: _Option = (np.inf, ())
    for redundant in redundant_replicas:
        added_time = (
            state.load_per_replica[other_experts] / state.speeds[redundant.rank]
        )
        time_after = np.maximum(others_after, redundant.time + added_time)
        time_after = np.maximum(time_after, max(slowest_after, redundant.peak))
        time_after[state.is_held[redundant.rank][other_experts]] = np.inf
        time_after[state.other_ranks == redundant.rank] = np.inf
        row, other_slot = np.unravel_index(
            int(np.argmin(time_after)), time_after.shape
        )
        if time_after[row, other_slot] < best[0]:
            rank = int(state.other_ranks[row])
            change = (
                _Assignment(rank, int(other_slot), hot_expert),
                _Assignment(
                    redundant.rank,
                    redundant.slot,
                    int(other_experts[row, other_slot]),
                ),
            )
            best = (float(time_after[row, other_slot]), change)
    return best


class _RedundantReplica(typing.NamedTuple):
    """Slot with a redundant replica, and the times without that replica."""

    rank: int
    slot: int
    time: float
    peak: float


def _find_redundant_replicas(state: _SearchState) -> list[_RedundantReplica]:
    """Return the redundant replicas whose removal costs least."""
    peaks = state.peaks[state.slots]
    removed_time = (
        state.load_per_replica[state.slots] / state.speeds[:, np.newaxis]
    )
    times = state.times[:, np.newaxis] - removed_time
    cost = np.maximum(times, peaks)
    cost[state.slowest] = np.inf
    redundant_replicas = []
    for index in np.argsort(cost, axis=None)[:_REDUNDANT_REPLICAS_LIMIT]:
        rank, slot = np.unravel_index(int(index), cost.shape)
        if np.isfinite(cost[rank, slot]):
            redundant = _RedundantReplica(
                int(rank),
                int(slot),
                float(times[rank, slot]),
                float(peaks[rank, slot]),
            )
            redundant_replicas.append(redundant)
    return redundant_replicas


def _times_with_load(
    state: _SearchState, added_load: placement.Loads
) -> placement.Loads:
    """Return the times of the other ranks with added load, by rank and slot."""
    times = state.times[state.other_ranks]
    speeds = state.speeds[state.other_ranks]
    others_after: placement.Loads = (
        times[:, np.newaxis] + added_load / speeds[:, np.newaxis]
    )
    return others_after


def _peaks(
    is_held: npt.NDArray[np.bool_],
    loads: placement.Loads,
    replica_counts: placement.Slots,
    times: placement.Loads,
    speeds: placement.Loads,
) -> placement.Loads:
    """Return the time of each expert's slowest rank if it lost a replica."""
    load_increase = loads / np.maximum(
        replica_counts - 1, 1
    ) - loads / np.maximum(replica_counts, 1)
    time_after = times[:, np.newaxis] + load_increase / speeds[:, np.newaxis]
    peaks: placement.Loads = np.where(is_held, time_after, 0).max(axis=0)
    peaks[replica_counts < 2] = np.inf
    return peaks
