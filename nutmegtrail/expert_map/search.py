"""Search for a better placement by few changes to the present one."""

import typing

import numpy as np
import numpy.typing as npt

from nutmegtrail.expert_map import placement


class _Put(typing.NamedTuple):
    """An expert to put into a slot of a rank."""

    rank: int
    slot: int
    expert: int


class _Situation(typing.NamedTuple):
    """What the search for a change looks at.

    `held` tells by rank and expert what a rank has; `peaks` is the slowest
    holder's time if an expert lost a replica.
    """

    slots: placement.Slots
    loads: placement.Loads
    speeds: placement.Loads
    counts: placement.Slots
    share: placement.Loads
    times: placement.Loads
    slowest: int
    fast: placement.Slots
    held: npt.NDArray[np.bool_]
    peaks: placement.Loads


_SPARE_SLOTS: typing.Final = 8
_TOLERANCE: typing.Final = 1e-9
_Option: typing.TypeAlias = tuple[float, tuple[_Put, ...]]


def improvements(
    present: placement.Placement,
    loads: placement.Loads,
    speeds: placement.Loads,
) -> typing.Iterator[placement.Placement]:
    """Yield ever better placements, each one change after the other.

    A change takes load off the slowest rank: it swaps two replicas, or
    gives a hot expert the slot of a replica that its expert can spare.
    """
    slots = present.slots
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
) -> tuple[_Put, ...]:
    """Return the change that lowers the slowest rank most, () if none."""
    counts = placement.replicas(slots, loads)
    share = loads / np.maximum(counts, 1)
    times = share[slots].sum(axis=1) / speeds
    held = np.zeros((len(times), len(loads)), dtype=bool)
    held[np.arange(len(times))[:, np.newaxis], slots] = True
    situation = _Situation(
        slots,
        loads,
        speeds,
        counts,
        share,
        times,
        int(np.argmax(times)),
        np.argsort(times)[:-1],
        held,
        _peaks(held, loads, counts, times, speeds),
    )
    spares = _spare_slots(situation)
    options = [
        option
        for slot in range(slots.shape[1])
        for option in (
            _swap(situation, slot),
            _replicate(situation, slot),
            _displace(situation, slot, spares),
        )
    ]
    time, change = min(options, key=_time_of)
    return change if time < times.max() * (1 - _TOLERANCE) else ()


def _time_of(option: _Option) -> float:
    """Return the slowest time among the ranks that a change touches."""
    return option[0]


def _swap(situation: _Situation, slot: int) -> _Option:
    """Return the best swap of a slowest rank's slot with a fast rank's."""
    slowest = situation.slowest
    hot = situation.slots[slowest, slot]
    others = situation.slots[situation.fast]
    difference = situation.share[hot] - situation.share[others]
    speed = situation.speeds[slowest]
    relieved = situation.times[slowest] - difference / speed
    after = np.maximum(relieved, _burden(situation, difference))
    after[difference <= 0] = np.inf
    after[situation.held[slowest][others]] = np.inf
    after[situation.held[situation.fast, hot]] = np.inf
    row, other_slot = np.unravel_index(int(np.argmin(after)), after.shape)
    rank = int(situation.fast[row])
    cold = int(situation.slots[rank, other_slot])
    change = (
        _Put(slowest, slot, cold),
        _Put(rank, int(other_slot), int(hot)),
    )
    return float(after[row, other_slot]), change


def _replicate(situation: _Situation, slot: int) -> _Option:
    """Return the best further replica of an expert of the slowest rank."""
    slowest = situation.slowest
    hot = int(situation.slots[slowest, slot])
    others = situation.slots[situation.fast]
    thinner = situation.loads[hot] / (situation.counts[hot] + 1)
    relief = situation.share[hot] - thinner
    relieved = situation.times[slowest] - relief / situation.speeds[slowest]
    burdened = _burden(situation, thinner - situation.share[others])
    after = np.maximum(burdened, situation.peaks[others])
    after = np.maximum(after, relieved)
    after[situation.held[situation.fast, hot]] = np.inf
    row, other_slot = np.unravel_index(int(np.argmin(after)), after.shape)
    rank = int(situation.fast[row])
    return float(after[row, other_slot]), (_Put(rank, int(other_slot), hot),)


def _displace(
    situation: _Situation,
    slot: int,
    spares: list['_Spare'],
) -> _Option:
    """Return the best replica that sends an expert to a spare slot.

    The hot expert takes the slot of one without a second replica, and
    that one takes the slot of a replica that can be spared.
    """
    slowest = situation.slowest
    hot = int(situation.slots[slowest, slot])
    thinner = situation.loads[hot] / (situation.counts[hot] + 1)
    relief = situation.share[hot] - thinner
    relieved = situation.times[slowest] - relief / situation.speeds[slowest]
    others = situation.slots[situation.fast]
    burdened = _burden(situation, thinner - situation.share[others])
    burdened[situation.held[situation.fast, hot]] = np.inf
    best: _Option = (np.inf, ())
    for spare in spares:
        moved = situation.share[others] / situation.speeds[spare.rank]
        after = np.maximum(burdened, spare.time + moved)
        after = np.maximum(after, max(relieved, spare.peak))
        after[situation.held[spare.rank][others]] = np.inf
        after[situation.fast == spare.rank] = np.inf
        row, other_slot = np.unravel_index(int(np.argmin(after)), after.shape)
        if after[row, other_slot] < best[0]:
            rank = int(situation.fast[row])
            change = (
                _Put(rank, int(other_slot), hot),
                _Put(spare.rank, spare.slot, int(others[row, other_slot])),
            )
            best = (float(after[row, other_slot]), change)
    return best


class _Spare(typing.NamedTuple):
    """A slot whose replica can be spared and the times without it."""

    rank: int
    slot: int
    time: float
    peak: float


def _spare_slots(situation: _Situation) -> list[_Spare]:
    """Return the few slots that are spared at the least cost."""
    peaks = situation.peaks[situation.slots]
    released = (
        situation.share[situation.slots] / situation.speeds[:, np.newaxis]
    )
    times = situation.times[:, np.newaxis] - released
    cost = np.maximum(times, peaks)
    cost[situation.slowest] = np.inf
    spares = []
    for place in np.argsort(cost, axis=None)[:_SPARE_SLOTS]:
        rank, slot = np.unravel_index(int(place), cost.shape)
        if np.isfinite(cost[rank, slot]):
            spare = _Spare(
                int(rank),
                int(slot),
                float(times[rank, slot]),
                float(peaks[rank, slot]),
            )
            spares.append(spare)
    return spares


def _burden(situation: _Situation, more: placement.Loads) -> placement.Loads:
    """Return the fast ranks' times with more load, by rank and slot."""
    times = situation.times[situation.fast]
    speeds = situation.speeds[situation.fast]
    burdened: placement.Loads = (
        times[:, np.newaxis] + more / speeds[:, np.newaxis]
    )
    return burdened


def _peaks(
    held: npt.NDArray[np.bool_],
    loads: placement.Loads,
    counts: placement.Slots,
    times: placement.Loads,
    speeds: placement.Loads,
) -> placement.Loads:
    """Return the slowest holder's time if an expert lost a replica."""
    rise = loads / np.maximum(counts - 1, 1) - loads / np.maximum(counts, 1)
    after = times[:, np.newaxis] + rise / speeds[:, np.newaxis]
    peaks: placement.Loads = np.where(held, after, 0).max(axis=0)
    peaks[counts < 2] = np.inf
    return peaks
