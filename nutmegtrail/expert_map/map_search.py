"""Search for a better map of all layers with few copies on any rank.

Ranks copy their new experts one after the other, so that the rank with the
most new experts decides when a map can be in force. The changes with the
largest gain come first, whichever layer they belong to.
"""

import collections
import heapq
import typing

from nutmegtrail.expert_map import layer_placement


class Limits(typing.NamedTuple):
    """Limits of a map.

    A rank copies at most `copies_per_rank` experts over all layers. Each
    copy reduces the slowest rank's time of its layer by `min_gain` on average,
    as a ratio of the mean rank time.
    """

    layer: layer_placement.Limits
    copies_per_rank: float
    min_gain: float


class _Option(typing.NamedTuple):
    """Best change of a layer; options with a larger gain sort first."""

    negative_gain: float
    layer_index: int
    change: layer_placement.Change


class _LayerProgress:
    """Changes of one layer, and how many of them are worth their copies."""

    def __init__(
        self,
        layer: layer_placement.Layer,
        loads: layer_placement.Loads,
        limits: Limits,
    ) -> None:
        """Initialize the layer without changes."""
        self._layer = layer
        self._loads = loads
        self._limits = limits.layer
        self._search = layer_placement.LayerSearch(layer, loads, limits.layer)
        self._mean = sum(loads) / len(layer)
        self._min_reduction = limits.min_gain * self._mean
        self._changes: list[layer_placement.Change] = []
        self._best_count = 0
        self._best_score = max(self._search.rank_times)

    def find_best_change(
        self, full_ranks: typing.Container[int]
    ) -> tuple[float, layer_placement.Change] | None:
        """Return the gain of the best change and the change, None without."""
        slowest = max(self._search.rank_times)
        if not self._mean or slowest <= self._mean + self._min_reduction:
            return None
        best = self._search.find_best_change(full_ranks)
        if best is None or best[0] >= self._search.cost():
            return None
        cost, change = best
        gain = self._search.smooth_time() - layer_placement.smooth_time(cost)
        return gain, change

    def apply(self, change: layer_placement.Change) -> bool:
        """Apply a change; return whether its rank copies an expert."""
        is_copy = self._search.adds_copy(change)
        self._search.apply(change)
        self._changes.append(change)
        score = max(self._search.rank_times)
        score += len(self._changes) * self._min_reduction
        if score < self._best_score:
            self._best_score = score
            self._best_count = len(self._changes)
        return is_copy

    def best_layer(self) -> layer_placement.Layer:
        """Return the layer with the changes up to the best result."""
        if not self._best_count:
            return self._layer
        search = layer_placement.LayerSearch(
            self._layer, self._loads, self._limits
        )
        for change in self._changes[: self._best_count]:
            search.apply(change)
        return search.to_layer()


class MapSearch:
    """Greedy search over all layers, one change a step."""

    def __init__(
        self,
        layers: layer_placement.Layers,
        loads_by_layer: tuple[layer_placement.Loads, ...],
        limits: Limits,
    ) -> None:
        """Initialize the search with the best change of each layer."""
        self._copies_limit = limits.copies_per_rank
        self._copies_by_rank: collections.Counter[int] = collections.Counter()
        self._full_ranks: set[int] = set()
        self._progress_by_layer = [
            _LayerProgress(layer, loads, limits)
            for layer, loads in zip(layers, loads_by_layer, strict=True)
        ]
        self._options: list[_Option] = []
        for layer_index, _ in enumerate(layers):
            self._push_option(layer_index)

    def step(self) -> bool:
        """Apply the change with the largest gain; return False at the end.

        A change whose rank got its last copy since is replaced.
        """
        if not self._options:
            return False
        option = heapq.heappop(self._options)
        if option.change.rank not in self._full_ranks:
            self._apply(option)
        self._push_option(option.layer_index)
        return True

    def best_layers(self) -> layer_placement.Layers:
        """Return the map with the changes that are worth their copies."""
        return tuple(
            progress.best_layer() for progress in self._progress_by_layer
        )

    def _apply(self, option: _Option) -> None:
        """Apply a change and count its copy."""
        rank = option.change.rank
        if self._progress_by_layer[option.layer_index].apply(option.change):
            self._copies_by_rank[rank] += 1
        if self._copies_by_rank[rank] >= self._copies_limit:
            self._full_ranks.add(rank)

    def _push_option(self, layer_index: int) -> None:
        """Note the best change of a layer if there is one."""
        best = self._progress_by_layer[layer_index].find_best_change(
            self._full_ranks
        )
        if best is not None:
            gain, change = best
            heapq.heappush(self._options, _Option(-gain, layer_index, change))
