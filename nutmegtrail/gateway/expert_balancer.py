"""Keeps the expert maps of a service's rank groups balanced."""

import typing

import anyio

from nutmegtrail.expert_map import layer_placement
from nutmegtrail.expert_map import switch as switches
from nutmegtrail.gateway import const
from nutmegtrail.gateway import dispatcher as dispatching
from nutmegtrail.gateway import fleet
from nutmegtrail.gateway import leader_lease
from nutmegtrail.gateway import models
from nutmegtrail.gateway import pacer as pacing
from nutmegtrail.gateway import popularity
from nutmegtrail.gateway import rank_groups
from nutmegtrail.gateway import request_counts
from nutmegtrail.gateway import switch_executor
from nutmegtrail.gateway import switch_recovery
from nutmegtrail.observability import logs
from nutmegtrail.observability import metrics
from nutmegtrail.ports import rank_control

LEADER_KEY: typing.Final = 'nutmegtrail/maps/leader'


class Known(typing.NamedTuple):
    """The map of a group in an epoch, as last read or switched to."""

    epoch: int
    version: int
    layers: layer_placement.Layers


class _Step(typing.NamedTuple):
    """A step from a group's present map to a planned one."""

    group: rank_groups.Group
    known: Known
    planned: layer_placement.Layers
    loads_by_layer: tuple[layer_placement.Loads, ...]


class ExpertBalancer:
    """Observes popularity and switches maps while its entry leads."""

    def __init__(
        self,
        engines: rank_control.RankControl,
        dispatcher: dispatching.Dispatcher,
        lease: leader_lease.LeaderLease,
        pacer: pacing.Pacer,
        readings: metrics.Metrics,
    ) -> None:
        """Keep the collaborators; nothing is observed yet."""
        self.service: models.Service | None = None
        self._engines = engines
        self._dispatcher = dispatcher
        self._lease = lease
        self._pacer = pacer
        self._metrics = readings
        self._popularity = popularity.Popularity()
        self._known_by_group: dict[str, Known] = {}
        self._tried_by_group: dict[str, int] = {}
        self._held_step_by_group: dict[str, int] = {}
        self._switch_recovery = switch_recovery.SwitchRecovery(
            engines, lease, pacer
        )
        self._switches = 0

    async def run(self) -> None:
        """Observe and switch until cancelled."""
        while True:
            service = self.service
            if self._lease.fence is None or service is None:
                await anyio.sleep(const.LEADERSHIP_CHECK_INTERVAL_SECONDS)
                continue
            if self._switch_recovery.is_due:
                await self._begin_leadership(service)
            # A group that was just switched is measured anew at once.
            if not (self._has_traffic() and await self._balance(service)):
                await anyio.sleep(const.MAP_INTERVAL_SECONDS)

    def _has_traffic(self) -> bool:
        """Return whether any request is under way."""
        return bool(request_counts.total_counts(self._dispatcher.counts))

    async def _begin_leadership(self, service: models.Service) -> None:
        """Read a baseline and complete what a predecessor left under way."""
        self._known_by_group.clear()
        groups = self._groups(service.name)
        self._switch_recovery.begin(groups)
        await self._observe(groups)
        async with anyio.create_task_group() as tasks:
            for group in groups:
                tasks.start_soon(self._resume, group)

    async def _balance(self, service: models.Service) -> bool:
        """Switch the groups that gain by it; return whether any was."""
        shape = service.shape
        groups = self._groups(service.name)
        if shape is None or not groups:
            return False
        await self._observe(groups)
        self._follow_shift(shape)
        loads_by_layer = popularity.by_layer(
            self._popularity.choices,
            shape.experts,
        )
        if len(loads_by_layer) != shape.layer_sets:
            return False
        switches_before = self._switches
        planned_by_layers: dict[
            layer_placement.Layers, layer_placement.Layers
        ] = {}
        async with anyio.create_task_group() as tasks:
            for group in groups:
                if self._switch_recovery.awaits(group):
                    tasks.start_soon(self._resume, group)
                    continue
                known = await self._read_map(group)
                if known is None:
                    continue
                planned = planned_by_layers.get(known.layers)
                if planned is None:
                    planned = await _plan(known.layers, shape, loads_by_layer)
                    planned_by_layers[known.layers] = planned
                step = _Step(group, known, planned, loads_by_layer)
                if self._is_worthwhile(step, shape):
                    tasks.start_soon(self._switch_to, group, known, planned)
        return self._switches > switches_before

    def _is_worthwhile(self, step: _Step, shape: models.GroupShape) -> bool:
        """Return whether a switch gains more than its copies cost."""
        known = step.known
        before = layer_placement.slowness(known.layers, step.loads_by_layer)
        after = layer_placement.slowness(step.planned, step.loads_by_layer)
        worthwhile = before / after - 1 >= const.MIN_MAP_GAIN_RATIO
        moves = sum(layer_placement.copies_by_rank(known.layers, step.planned))
        logs.decision(
            'expert-map:considered',
            group=step.group.name,
            epoch=step.group.epoch,
            version=known.version,
            slowness_before=round(before, 3),
            slowness_after=round(after, 3),
            slowness_latest=round(
                _slowness(known, self._popularity.latest, shape),
                3,
            ),
            moves=moves,
            switching=worthwhile,
        )
        self._metrics.set_gauge('step_time_skew', before)
        if not worthwhile:
            return False
        self._metrics.increment('experts_moved', amount=moves)
        return layer_placement.is_complete(
            step.planned, shape.experts, shape.expert_slots
        )

    def _follow_shift(self, shape: models.GroupShape) -> None:
        """Forget older choices where the latest ones are quite different."""
        known = next(iter(self._known_by_group.values()), None)
        if known is None:
            return
        faded = _slowness(known, self._popularity.choices, shape)
        latest = _slowness(known, self._popularity.latest, shape)
        if latest > faded * const.POPULARITY_SHIFT_RATIO:
            logs.decision(
                'expert-map:shift-noticed',
                slowness_faded=round(faded, 3),
                slowness_latest=round(latest, 3),
            )
            self._popularity = popularity.restarted(self._popularity)

    async def _observe(self, groups: tuple[rank_groups.Group, ...]) -> None:
        """Read the counters of some ranks; all groups get like requests."""
        members = [member for group in groups for member in group.members]
        sampled = rank_groups.sampled(members)
        choices_by_id = await rank_groups.ask_all(
            self._engines.choices, sampled
        )
        readings_by_id = {
            member.upstream_id: popularity.Reading(
                member.started_at_ms,
                choices_by_id[member.upstream_id],
            )
            for member in sampled
            if member.upstream_id in choices_by_id
        }
        self._popularity = popularity.observe(
            self._popularity,
            readings_by_id,
            anyio.current_time(),
        )

    async def _read_map(self, group: rank_groups.Group) -> Known | None:
        """Return a group's map, read from its ranks where not known."""
        known = self._known_by_group.get(group.name)
        if known is not None and known.epoch == group.epoch:
            return known
        layers = await rank_groups.held_layers(self._engines, group)
        version = await rank_groups.newest_version(self._engines, group)
        if version is None or layers is None:
            return None
        found = Known(group.epoch, version, layers)
        self._known_by_group[group.name] = found
        return found

    async def _switch_to(
        self,
        group: rank_groups.Group,
        known: Known,
        layers: layer_placement.Layers,
    ) -> None:
        """Switch a group to a map."""
        tried = self._tried_by_group.get(group.name, 0)
        version = max(known.version, tried) + 1
        self._tried_by_group[group.name] = version
        begun = switches.begin(
            group.member_ids,
            group.epoch,
            version,
            layers,
            self._held_step_by_group.get(group.name, 0),
        )
        copies = layer_placement.copies_by_rank(known.layers, layers)
        run = switch_executor.SwitchExecutor(
            group,
            _longest_first(begun, copies),
            self._engines,
            self._lease,
            self._pacer,
        )
        switched = await run.run()
        self._held_step_by_group[group.name] = run.held_step
        if switched:
            self._known_by_group[group.name] = Known(
                group.epoch,
                version,
                layers,
            )
            self._switches += 1
            self._metrics.increment('map_switches')
        else:
            # Whoever refused may have been ordered by another leader.
            self._switch_recovery.doubt(group)
            self._known_by_group.pop(group.name, None)

    async def _resume(self, group: rank_groups.Group) -> None:
        """Complete the switch of a group that a predecessor has held."""
        held_step = await self._switch_recovery.resume(group)
        if held_step is not None:
            self._held_step_by_group[group.name] = held_step

    def _groups(self, service: str) -> tuple[rank_groups.Group, ...]:
        """Return the complete groups of a service."""
        return rank_groups.complete_groups(
            fleet.registered_upstreams(
                self._dispatcher.known_upstreams, service
            ),
        )


def _slowness(
    known: Known,
    choices: tuple[float, ...],
    shape: models.GroupShape,
) -> float:
    """Return a map's slowness under choices, 0 where they do not fit it."""
    loads_by_layer = popularity.by_layer(choices, shape.experts)
    if len(loads_by_layer) != len(known.layers):
        return 0.0
    return layer_placement.slowness(known.layers, loads_by_layer)


async def _plan(
    layers: layer_placement.Layers,
    shape: models.GroupShape,
    loads_by_layer: tuple[layer_placement.Loads, ...],
) -> layer_placement.Layers:
    """Return a better map; other work goes on between its layers."""
    bounds = layer_placement.Bounds(
        shape.expert_slots, shape.spare_expert_slots
    )
    planned = []
    for layer, loads in zip(layers, loads_by_layer, strict=True):
        least_gain = const.MIN_MAP_GAIN_RATIO_PER_COPY / len(layer)
        planned.append(
            layer_placement.improve(layer, loads, bounds, least_gain)
        )
        await anyio.sleep(0)
    return tuple(planned)


def _longest_first(
    begun: switches.Decision,
    copies_by_rank: tuple[int, ...],
) -> switches.Decision:
    """Return the begin of a switch in which ranks with most copies start."""
    sends = sorted(
        zip(copies_by_rank, begun.sends, strict=True),
        key=_copies,
        reverse=True,
    )
    return begun._replace(sends=tuple(send for _, send in sends))


def _copies(copies_and_send: tuple[int, switches.Send]) -> int:
    """Return the sort key of an order to prepare."""
    return copies_and_send[0]
