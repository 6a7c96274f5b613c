"""Expert load balancing for the rank groups of a service."""

import functools
import math
import typing

import anyio
import anyio.abc

from nutmegtrail.expert_balancing import const
from nutmegtrail.expert_balancing import counter_reader
from nutmegtrail.expert_balancing import held_steps
from nutmegtrail.expert_balancing import leader_lease
from nutmegtrail.expert_balancing import order_distribution
from nutmegtrail.expert_balancing import popularity
from nutmegtrail.expert_balancing import rank_groups
from nutmegtrail.expert_balancing import switch_executor
from nutmegtrail.expert_balancing import switch_recovery
from nutmegtrail.expert_map import layer_placement
from nutmegtrail.expert_map import map_search
from nutmegtrail.expert_map import switch as switches
from nutmegtrail.gateway import dispatcher as dispatching
from nutmegtrail.gateway import fleet
from nutmegtrail.gateway import models
from nutmegtrail.gateway import request_counts
from nutmegtrail.observability import logs
from nutmegtrail.observability import metrics
from nutmegtrail.ports import rank_control

LEADER_KEY: typing.Final = 'nutmegtrail/maps/leader'


class CurrentMap(typing.NamedTuple):
    """Expert map of a group in an epoch, as last read or switched to."""

    epoch: int
    version: int
    layers: layer_placement.Layers


class _PlannedSwitch(typing.NamedTuple):
    """Switch of a group from its current map to a planned one."""

    group: rank_groups.Group
    current: CurrentMap
    planned_layers: layer_placement.Layers
    loads_by_layer: tuple[layer_placement.Loads, ...]
    is_large_fleet: bool


class ExpertBalancer:
    """Switches rank groups to better expert maps while this instance leads."""

    def __init__(
        self,
        engines: rank_control.RankControl,
        dispatcher: dispatching.Dispatcher,
        lease: leader_lease.LeaderLease,
        distributor: order_distribution.OrderDistributor,
        metrics_registry: metrics.Metrics,
    ) -> None:
        """Initialize the balancer without any expert statistics."""
        self.service: models.Service | None = None
        self._engines = engines
        self._dispatcher = dispatcher
        self._lease = lease
        self._distributor = distributor
        self._metrics = metrics_registry
        self._counters = counter_reader.CounterReader(engines)
        self._wakes_early = anyio.Event()
        self._current_map_by_group: dict[str, CurrentMap] = {}
        self._last_version_by_group: dict[str, int] = {}
        self._held_steps = held_steps.HeldSteps(engines)
        self._switch_recovery = switch_recovery.SwitchRecovery(
            engines, lease, distributor, self._held_steps, self._on_recovered
        )
        self._switch_count = 0
        self._ended = anyio.Event()

    async def run(self) -> None:
        """Rebalance periodically, and after shifts, until the lease retires.

        Then the leadership is given up between two switches, so that no group
        is left held.
        """
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(self._watch)
            await self._balance_repeatedly()
            await self._lease.resign()
            self._ended.set()
            await anyio.sleep_forever()

    async def close(self) -> None:
        """Wait until a retired instance has ended its last switch."""
        with anyio.move_on_after(const.HOLD_TIMEOUT_SECONDS):
            await self._ended.wait()

    async def _balance_repeatedly(self) -> None:
        """Rebalance until the lease retires."""
        while not self._lease.is_retiring:
            service = self.service
            if self._lease.fence is None or service is None:
                await anyio.sleep(const.LEADERSHIP_CHECK_INTERVAL_SECONDS)
                continue
            if self._switch_recovery.is_pending:
                await self._begin_leadership(service)
            async with anyio.create_task_group() as recoveries:
                await self._run_round(service, recoveries)
            await self._lease.hand_over_if_due()

    async def _run_round(
        self, service: models.Service, recoveries: anyio.abc.TaskGroup
    ) -> None:
        """Rebalance once and pause, while groups are recovered.

        After a switch, the groups are evaluated again without a pause.
        """
        self._wakes_early = anyio.Event()
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(
                self._switch_recovery.run,
                functools.partial(self._groups, service.name),
                recoveries,
            )
            if not (self._has_traffic() and await self._balance(service)):
                with anyio.move_on_after(const.MAP_INTERVAL_SECONDS):
                    await self._wakes_early.wait()
            tasks.cancel_scope.cancel()

    async def _watch(self) -> None:
        """Watch the popularity, also during switches, until cancelled."""
        while True:
            await anyio.sleep(const.WATCH_INTERVAL_SECONDS)
            service = self.service
            is_leading = self._lease.fence is not None
            if service is None or not (is_leading and self._has_traffic()):
                continue
            members = _members(self._groups(service.name))
            if self._counters.is_watching(members):
                if await self._counters.watch(members):
                    self._metrics.increment('popularity_shifts')
                    self._wakes_early.set()
                    await self._counters.read_sample(members)

    def _has_traffic(self) -> bool:
        """Return whether any request is in flight."""
        return bool(request_counts.total_counts(self._dispatcher.counts))

    async def _begin_leadership(self, service: models.Service) -> None:
        """Read baseline counters; switches of earlier leaders are recovered."""
        self._current_map_by_group.clear()
        self._switch_recovery.start()
        await self._counters.restart(_members(self._groups(service.name)))

    async def _balance(self, service: models.Service) -> bool:
        """Switch the groups that benefit; return whether any was switched."""
        shape = service.shape
        groups = self._groups(service.name)
        if shape is None or all(
            map(self._switch_recovery.needs_recovery, groups)
        ):
            return False
        loads_by_layer = await self._read_loads(groups, shape)
        if len(loads_by_layer) != shape.layer_sets:
            return False
        switch_count_before = self._switch_count
        planned_by_layers: dict[
            layer_placement.Layers, layer_placement.Layers
        ] = {}
        async with anyio.create_task_group() as tasks:
            for group in groups:
                if self._switch_recovery.needs_recovery(group):
                    continue
                current = await self._read_map(group)
                if current is None:
                    continue
                if current.layers not in planned_by_layers:
                    planned_by_layers[current.layers] = await _plan(
                        current.layers, shape, loads_by_layer
                    )
                planned_switch = _PlannedSwitch(
                    group,
                    current,
                    planned_by_layers[current.layers],
                    loads_by_layer,
                    counter_reader.can_watch(_members(groups)),
                )
                if self._is_worthwhile(planned_switch, shape):
                    tasks.start_soon(self._switch_to, planned_switch, shape)
        return self._switch_count > switch_count_before

    async def _read_loads(
        self, groups: tuple[rank_groups.Group, ...], shape: models.GroupShape
    ) -> tuple[layer_placement.Loads, ...]:
        """Return the load of each expert by layer, from current counters."""
        members = _members(groups)
        await self._counters.read_due_sample(members)
        if not self._counters.is_watching(members):
            self._reset_after_shift(shape)
        return popularity.split_by_layer(
            self._counters.popularity.choices, shape.experts
        )

    def _is_worthwhile(
        self, planned_switch: _PlannedSwitch, shape: models.GroupShape
    ) -> bool:
        """Return whether the lower skew outweighs the copied experts."""
        current = planned_switch.current
        skew_before = layer_placement.skew(
            current.layers, planned_switch.loads_by_layer
        )
        skew_after = layer_placement.skew(
            planned_switch.planned_layers, planned_switch.loads_by_layer
        )
        is_worthwhile = outweighs_copies(
            skew_before / skew_after - 1,
            is_large_fleet=planned_switch.is_large_fleet,
        )
        copies_by_rank = layer_placement.copies_by_rank(
            current.layers, planned_switch.planned_layers
        )
        moves = sum(copies_by_rank)
        logs.decision(
            'expert-map:considered',
            group=planned_switch.group.name,
            epoch=planned_switch.group.epoch,
            version=current.version,
            slowness_before=round(skew_before, 3),
            slowness_after=round(skew_after, 3),
            slowness_latest=round(
                _skew(current, self._counters.popularity.latest_choices, shape),
                3,
            ),
            moves=moves,
            copy_seconds=round(max(copies_by_rank) * shape.copy_seconds, 3),
            since_shift_seconds=round(
                anyio.current_time()
                - self._counters.popularity.shifted_at_seconds,
                3,
            ),
            switching=is_worthwhile,
        )
        self._metrics.set_gauge('step_time_skew', skew_before)
        if not is_worthwhile:
            return False
        self._metrics.increment('experts_moved', amount=moves)
        return layer_placement.is_valid(
            planned_switch.planned_layers, shape.experts, shape.expert_slots
        )

    def _reset_after_shift(self, shape: models.GroupShape) -> None:
        """Discard older choices once the latest ones differ strongly."""
        current = next(iter(self._current_map_by_group.values()), None)
        if current is None:
            return
        skew_decayed = _skew(current, self._counters.popularity.choices, shape)
        skew_latest = _skew(
            current, self._counters.popularity.latest_choices, shape
        )
        if skew_latest > skew_decayed * const.POPULARITY_SHIFT_RATIO:
            logs.decision(
                'expert-map:shift-noticed',
                slowness_faded=round(skew_decayed, 3),
                slowness_latest=round(skew_latest, 3),
            )
            self._counters.popularity = popularity.reset_to_latest(
                self._counters.popularity
            )

    async def _read_map(self, group: rank_groups.Group) -> CurrentMap | None:
        """Return the cached map of a group, or read it from the ranks.

        None if a rank is unreadable.
        """
        current = self._current_map_by_group.get(group.name)
        if current is not None and current.epoch == group.epoch:
            return current
        layers = await rank_groups.read_layers(self._engines, group)
        version = await rank_groups.read_newest_version(self._engines, group)
        if version is None or layers is None:
            return None
        loaded = CurrentMap(group.epoch, version, layers)
        self._current_map_by_group[group.name] = loaded
        return loaded

    async def _switch_to(
        self, planned_switch: _PlannedSwitch, shape: models.GroupShape
    ) -> None:
        """Switch a group to a new map and record the result."""
        group, current, layers, *_ = planned_switch
        if self._switch_recovery.needs_recovery(group):
            return
        last_version = self._last_version_by_group.get(group.name, 0)
        version = max(current.version, last_version) + 1
        self._last_version_by_group[group.name] = version
        first_decision = switches.begin(
            group.member_ids,
            group.epoch,
            version,
            layers,
            self._held_steps.last_step(group),
        )
        copies = layer_placement.copies_by_rank(current.layers, layers)
        executor = switch_executor.SwitchExecutor(
            group,
            _sort_by_copies(first_decision, copies),
            self._engines,
            self._lease,
            self._distributor,
            _preparation(group, copies, shape),
        )
        started_at_seconds = anyio.current_time()
        with self._switch_recovery.paused(group):
            switched = await executor.run()
        self._held_steps.record(group, executor.held_step)
        if switched:
            self._current_map_by_group[group.name] = CurrentMap(
                group.epoch,
                version,
                layers,
            )
            self._switch_count += 1
            self._metrics.increment('map_switches')
            self._metrics.observe_seconds(
                'map_switch', anyio.current_time() - started_at_seconds
            )
        else:
            # A rank may have refused because of orders from another leader.
            self._switch_recovery.mark_for_recovery(group)
            self._current_map_by_group.pop(group.name, None)

    def _on_recovered(self, group: rank_groups.Group) -> None:
        """Evaluate a recovered group at once; its map may have changed."""
        self._current_map_by_group.pop(group.name, None)
        self._wakes_early.set()

    def _groups(self, service: str) -> tuple[rank_groups.Group, ...]:
        """Return the rank groups of a service that have all their ranks."""
        return rank_groups.find_complete_groups(
            fleet.registered_upstreams(
                self._dispatcher.known_upstreams, service
            ),
        )


def outweighs_copies(gain_ratio: float, *, is_large_fleet: bool) -> bool:
    """Return whether a reduction of a step's time is worth a switch."""
    if is_large_fleet:
        return gain_ratio >= const.LARGE_FLEET_MIN_MAP_GAIN_RATIO
    return gain_ratio >= const.MIN_MAP_GAIN_RATIO


def _skew(
    current: CurrentMap,
    choices: tuple[float, ...],
    shape: models.GroupShape,
) -> float:
    """Return a map's skew under choices, 0 if the layer counts differ."""
    loads_by_layer = popularity.split_by_layer(choices, shape.experts)
    if len(loads_by_layer) != len(current.layers):
        return 0.0
    return layer_placement.skew(current.layers, loads_by_layer)


async def _plan(
    layers: layer_placement.Layers,
    shape: models.GroupShape,
    loads_by_layer: tuple[layer_placement.Loads, ...],
) -> layer_placement.Layers:
    """Return an improved map, which ranks can copy in a limited time.

    Planning yields to other tasks after each change.
    """
    search = map_search.MapSearch(
        layers,
        loads_by_layer,
        map_search.Limits(
            layer_placement.Limits(
                shape.expert_slots, shape.spare_expert_slots
            ),
            _copies_limit(shape),
            const.MIN_MAP_GAIN_RATIO_PER_COPY / len(layers[0]),
        ),
    )
    while search.step():
        await anyio.sleep(0)
    return search.best_layers()


def _copies_limit(shape: models.GroupShape) -> float:
    """Return how many experts a rank may copy for one map."""
    if not shape.copy_seconds:
        return math.inf
    return max(
        const.MAX_COPY_SECONDS // shape.copy_seconds, const.MIN_COPIES_LIMIT
    )


def _members(groups: tuple[rank_groups.Group, ...]) -> list[models.Upstream]:
    """Return the members of all groups."""
    return [member for group in groups for member in group.members]


def _preparation(
    group: rank_groups.Group,
    copies_by_rank: tuple[int, ...],
    shape: models.GroupShape,
) -> switch_executor.Preparation | None:
    """Return how long the ranks copy, None if that is not known."""
    if not shape.copy_seconds:
        return None
    return switch_executor.Preparation(
        {
            member_id: copies * shape.copy_seconds
            for member_id, copies in zip(
                group.member_ids, copies_by_rank, strict=True
            )
        },
        shape.report_lag_seconds,
    )


def _sort_by_copies(
    first_decision: switches.Decision,
    copies_by_rank: tuple[int, ...],
) -> switches.Decision:
    """Return the first decision with the most copies sent first."""
    outgoing_orders = sorted(
        zip(copies_by_rank, first_decision.outgoing_orders, strict=True),
        key=_copy_count,
        reverse=True,
    )
    return first_decision._replace(
        outgoing_orders=tuple(outgoing for _, outgoing in outgoing_orders)
    )


def _copy_count(copies_and_outgoing: tuple[int, switches.OutgoingOrder]) -> int:
    """Return the number of copies, as a sort key."""
    return copies_and_outgoing[0]
