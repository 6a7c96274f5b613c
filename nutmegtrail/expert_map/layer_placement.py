"""Expert placement per layer set by replication of hot experts.

The time of a layer is that of its most loaded rank. A new replica takes a
free slot of a rank or replaces an expert that has other replicas.
"""

import collections
import typing

_COST_EXPONENT: typing.Final = 6
_TARGET_RANKS_LIMIT: typing.Final = 4
# As text, an expert is a number of up to three digits and a comma.
_BYTES_PER_PLACED_EXPERT: typing.Final = 4

Rank: typing.TypeAlias = tuple[int, ...]
Layer: typing.TypeAlias = tuple[Rank, ...]
Layers: typing.TypeAlias = tuple[Layer, ...]
Loads: typing.TypeAlias = tuple[float, ...]


class Limits(typing.NamedTuple):
    """Limits of a rank: its slots, and the new experts that one map may add."""

    slots_per_rank: int
    new_experts_per_rank: int


class Change(typing.NamedTuple):
    """Replica to add to a rank; `evicted` is replaced if the rank is full."""

    rank: int
    expert: int
    evicted: int | None


class LayerSearch:
    """Greedy search for a better placement of one layer."""

    def __init__(self, layer: Layer, loads: Loads, limits: Limits) -> None:
        """Initialize the search with the replicas and times of a layer."""
        self.experts_by_rank = [set(rank) for rank in layer]
        self.original_experts_by_rank = [frozenset(rank) for rank in layer]
        self.limits = limits
        self.loads = loads
        self.replica_counts = _count_replicas(layer, len(loads))
        self.rank_times = [self._time_of(rank) for rank in self.experts_by_rank]

    def find_best_change(
        self, full_ranks: typing.Container[int] = ()
    ) -> tuple[float, Change] | None:
        """Return the lowest cost and its change, None if there is no change.

        `full_ranks` get no further experts.
        """
        slowest = self.rank_times.index(max(self.rank_times))
        targets = sorted(
            (
                rank
                for rank in range(len(self.rank_times))
                if rank not in full_ranks
            ),
            key=self.rank_times.__getitem__,
        )
        options = [
            (self._cost_after(change), change)
            for target in targets[:_TARGET_RANKS_LIMIT]
            if target != slowest and self._can_add_expert(target)
            for change in self._changes_between(slowest, target)
        ]
        return min(options, key=_option_cost, default=None)

    def cost(self) -> float:
        """Return the imbalance cost of the current rank times."""
        return _imbalance_cost(self.rank_times)

    def smooth_time(self) -> float:
        """Return a time near that of the slowest rank, by all rank times."""
        return smooth_time(self.cost())

    def adds_copy(self, change: Change) -> bool:
        """Return whether a rank copies the expert that a change adds."""
        original_experts = self.original_experts_by_rank[change.rank]
        return change.expert not in original_experts

    def apply(self, change: Change) -> None:
        """Apply a change to the layer."""
        self.rank_times = self._times_after(change)
        self.experts_by_rank[change.rank].add(change.expert)
        self.replica_counts[change.expert] += 1
        if change.evicted is not None:
            self.experts_by_rank[change.rank].discard(change.evicted)
            self.replica_counts[change.evicted] -= 1

    def to_layer(self) -> Layer:
        """Return the layer with all applied changes."""
        return tuple(tuple(sorted(rank)) for rank in self.experts_by_rank)

    def _time_of(self, rank: set[int]) -> float:
        """Return the time of a rank with the given experts."""
        return sum(
            self.loads[expert] / self.replica_counts[expert] for expert in rank
        )

    def _can_add_expert(self, rank: int) -> bool:
        """Return whether a rank can get another new expert."""
        new = self.experts_by_rank[rank] - self.original_experts_by_rank[rank]
        return len(new) < self.limits.new_experts_per_rank

    def _changes_between(self, source: int, target: int) -> list[Change]:
        """Return the changes that replicate experts of one rank on another."""
        return [
            change
            for expert in sorted(
                self.experts_by_rank[source] - self.experts_by_rank[target]
            )
            for change in self._changes_onto(target, expert)
        ]

    def _changes_onto(self, rank: int, expert: int) -> list[Change]:
        """Return the changes that add an expert to a rank.

        On a full rank, the two replicas with the lowest load may be evicted.
        """
        if len(self.experts_by_rank[rank]) < self.limits.slots_per_rank:
            return [Change(rank, expert, None)]
        evictable = [
            other
            for other in self.experts_by_rank[rank]
            if self.replica_counts[other] > 1
        ]
        evictable.sort(key=self._load_per_replica)
        return [Change(rank, expert, other) for other in evictable[:2]]

    def _load_per_replica(self, expert: int) -> float:
        """Return the load of each replica of an expert."""
        return self.loads[expert] / self.replica_counts[expert]

    def _cost_after(self, change: Change) -> float:
        """Return the imbalance cost after a change."""
        return _imbalance_cost(self._times_after(change))

    def _times_after(self, change: Change) -> list[float]:
        """Return the rank times after a change."""
        times = list(self.rank_times)
        load_before = self._load_per_replica(change.expert)
        load_after = self.loads[change.expert] / (
            self.replica_counts[change.expert] + 1
        )
        self._add_to_holders(times, change.expert, load_after - load_before)
        times[change.rank] += load_after
        if change.evicted is not None:
            evicted_load = self._load_per_replica(change.evicted)
            remaining_replicas = self.replica_counts[change.evicted] - 1
            load_increase = (
                self.loads[change.evicted] / remaining_replicas - evicted_load
            )
            self._add_to_holders(times, change.evicted, load_increase)
            times[change.rank] -= evicted_load + load_increase
        return times

    def _add_to_holders(
        self, times: list[float], expert: int, difference: float
    ) -> None:
        """Add a difference to the times of all ranks that hold an expert."""
        for rank, experts in enumerate(self.experts_by_rank):
            if expert in experts:
                times[rank] += difference


def smooth_time(cost: float) -> float:
    """Return the smooth time of an imbalance cost, in units of load."""
    return float(cost ** (1 / _COST_EXPONENT))


def skew(layers: Layers, loads_by_layer: tuple[Loads, ...]) -> float:
    """Return the time of all layers relative to that of a perfect balance."""
    ideal = sum(
        sum(loads) / len(layer)
        for layer, loads in zip(layers, loads_by_layer, strict=True)
    )
    if not ideal:
        return 1.0
    slowest = sum(
        max(rank_times(layer, loads))
        for layer, loads in zip(layers, loads_by_layer, strict=True)
    )
    return slowest / ideal


def rank_times(layer: Layer, loads: Loads) -> list[float]:
    """Return the time of each rank of a layer, in units of load."""
    replica_counts = _count_replicas(layer, len(loads))
    return [
        sum(loads[expert] / replica_counts[expert] for expert in rank)
        for rank in layer
    ]


def copies_by_rank(before: Layers, after: Layers) -> tuple[int, ...]:
    """Return how many experts each rank has to copy for the new map."""
    ranks_before = zip(*before, strict=True)
    ranks_after = zip(*after, strict=True)
    return tuple(
        sum(
            len(set(new) - set(old))
            for old, new in zip(rank_before, rank_after, strict=True)
        )
        for rank_before, rank_after in zip(
            ranks_before, ranks_after, strict=True
        )
    )


def is_valid(layers: Layers, experts: int, slots_per_rank: int) -> bool:
    """Return whether every expert is placed and no rank exceeds its slots."""
    return all(
        {expert for rank in layer for expert in rank} == set(range(experts))
        and all(len(rank) <= slots_per_rank for rank in layer)
        for layer in layers
    )


def size_bytes(layers: Layers) -> int:
    """Return the approximate size of a map as text."""
    placed_experts = sum(len(rank) for layer in layers for rank in layer)
    return placed_experts * _BYTES_PER_PLACED_EXPERT


def _count_replicas(layer: Layer, experts: int) -> list[int]:
    """Return the number of replicas of each expert."""
    counts = collections.Counter(expert for rank in layer for expert in rank)
    return [counts[expert] for expert in range(experts)]


def _imbalance_cost(times: list[float]) -> float:
    """Return a sum that is dominated by the slowest ranks."""
    return sum(time**_COST_EXPONENT for time in times)


def _option_cost(option: tuple[float, Change]) -> float:
    """Return the cost of an option, as a sort key."""
    return option[0]
