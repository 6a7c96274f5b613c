"""Placement of the experts of several layer sets by replicating hot ones.

A layer's time is that of its most loaded rank. A rank may have free
places; a replica needs one, or that of a replica which can be spared.
"""

import collections
import typing

_STEEPNESS: typing.Final = 6
_TARGETS: typing.Final = 4

Rank: typing.TypeAlias = tuple[int, ...]
Layer: typing.TypeAlias = tuple[Rank, ...]
Layers: typing.TypeAlias = tuple[Layer, ...]
Loads: typing.TypeAlias = tuple[float, ...]


class Bounds(typing.NamedTuple):
    """Places of a rank, and how many experts new to it a map may have."""

    places: int
    new_experts: int


class Change(typing.NamedTuple):
    """Put an expert on a rank, in place of another one where it is full."""

    rank: int
    expert: int
    evicted: int | None


class _Search:
    """A layer under change."""

    def __init__(self, layer: Layer, loads: Loads, bounds: Bounds) -> None:
        """Count replicas and loads."""
        self.held = [set(rank) for rank in layer]
        self.original = [frozenset(rank) for rank in layer]
        self.bounds = bounds
        self.loads = loads
        self.replicas = _replicas(layer, len(loads))
        self.times = [self._time_of(rank) for rank in self.held]

    def best(self) -> tuple[float, Change] | None:
        """Return the change after which the times are most even."""
        slowest = self.times.index(max(self.times))
        targets = sorted(range(len(self.times)), key=self.times.__getitem__)
        options = [
            (self._cost_after(change), change)
            for target in targets[:_TARGETS]
            if target != slowest and self._has_room(target)
            for change in self._changes_between(slowest, target)
        ]
        return min(options, key=_cost, default=None)

    def cost(self) -> float:
        """Return a steep measure of how uneven the times are."""
        return _steep(self.times)

    def apply(self, change: Change) -> None:
        """Make a change."""
        self.times = self._times_after(change)
        self.held[change.rank].add(change.expert)
        self.replicas[change.expert] += 1
        if change.evicted is not None:
            self.held[change.rank].discard(change.evicted)
            self.replicas[change.evicted] -= 1

    def layer(self) -> Layer:
        """Return the layer as it is now."""
        return tuple(tuple(sorted(rank)) for rank in self.held)

    def _time_of(self, rank: set[int]) -> float:
        """Return a rank's time."""
        return sum(
            self.loads[expert] / self.replicas[expert] for expert in rank
        )

    def _has_room(self, rank: int) -> bool:
        """Return whether a rank may get another new expert."""
        new = self.held[rank] - self.original[rank]
        return len(new) < self.bounds.new_experts

    def _changes_between(self, source: int, target: int) -> list[Change]:
        """Return the ways to put an expert of one rank on another."""
        return [
            change
            for expert in sorted(self.held[source] - self.held[target])
            for change in self._changes(target, expert)
        ]

    def _changes(self, rank: int, expert: int) -> list[Change]:
        """Return the ways to put an expert on a rank."""
        if len(self.held[rank]) < self.bounds.places:
            return [Change(rank, expert, None)]
        spare = [other for other in self.held[rank] if self.replicas[other] > 1]
        spare.sort(key=self._share)
        return [Change(rank, expert, other) for other in spare[:2]]

    def _share(self, expert: int) -> float:
        """Return the load of one replica."""
        return self.loads[expert] / self.replicas[expert]

    def _cost_after(self, change: Change) -> float:
        """Return the cost that a change leads to."""
        return _steep(self._times_after(change))

    def _times_after(self, change: Change) -> list[float]:
        """Return the times that a change leads to."""
        times = list(self.times)
        before = self._share(change.expert)
        after = self.loads[change.expert] / (self.replicas[change.expert] + 1)
        self._shift(times, change.expert, after - before)
        times[change.rank] += after
        if change.evicted is not None:
            share = self._share(change.evicted)
            left = self.replicas[change.evicted] - 1
            rise = self.loads[change.evicted] / left - share
            self._shift(times, change.evicted, rise)
            times[change.rank] -= share + rise
        return times

    def _shift(self, times: list[float], expert: int, change: float) -> None:
        """Add to the times of an expert's holders."""
        for rank, held in enumerate(self.held):
            if expert in held:
                times[rank] += change


def improve(
    layer: Layer,
    loads: Loads,
    bounds: Bounds,
    least_gain: float,
) -> Layer:
    """Return a layer with replicas that each gain a share of its time.

    `least_gain` is the fall of the slowest rank's time, against the mean
    time, that a replica has to be worth on average.
    """
    search = _Search(layer, loads, bounds)
    mean = sum(loads) / len(layer)
    best_layer = layer
    best_worth = max(search.times)
    price = least_gain * mean
    changes = 0
    while mean and max(search.times) > mean + price:
        found = search.best()
        if found is None or found[0] >= search.cost():
            break
        search.apply(found[1])
        changes += 1
        worth = max(search.times) + changes * price
        if worth < best_worth:
            best_worth = worth
            best_layer = search.layer()
    return best_layer


def slowness(layers: Layers, loads_by_layer: tuple[Loads, ...]) -> float:
    """Return the time of all layers against that of a perfect balance."""
    ideal = sum(
        sum(loads) / len(layer)
        for layer, loads in zip(layers, loads_by_layer, strict=True)
    )
    if not ideal:
        return 1.0
    slowest = sum(
        max(times(layer, loads))
        for layer, loads in zip(layers, loads_by_layer, strict=True)
    )
    return slowest / ideal


def times(layer: Layer, loads: Loads) -> list[float]:
    """Return the time of each rank of a layer."""
    replicas = _replicas(layer, len(loads))
    return [
        sum(loads[expert] / replicas[expert] for expert in rank)
        for rank in layer
    ]


def copies_by_rank(before: Layers, after: Layers) -> tuple[int, ...]:
    """Return how many experts each rank has to copy."""
    ranks_before = zip(*before, strict=True)
    ranks_after = zip(*after, strict=True)
    return tuple(
        sum(
            len(set(new) - set(old))
            for old, new in zip(held_before, held_after, strict=True)
        )
        for held_before, held_after in zip(
            ranks_before, ranks_after, strict=True
        )
    )


def is_complete(layers: Layers, experts: int, places: int) -> bool:
    """Return whether each expert has a place and no rank has too many."""
    return all(
        {expert for rank in layer for expert in rank} == set(range(experts))
        and all(len(rank) <= places for rank in layer)
        for layer in layers
    )


def _replicas(layer: Layer, experts: int) -> list[int]:
    """Return the number of ranks that hold each expert."""
    counts = collections.Counter(expert for rank in layer for expert in rank)
    return [counts[expert] for expert in range(experts)]


def _steep(rank_times: list[float]) -> float:
    """Return a sum in which the slowest ranks count most."""
    return sum(time**_STEEPNESS for time in rank_times)


def _cost(option: tuple[float, Change]) -> float:
    """Return the cost of an option."""
    return option[0]
