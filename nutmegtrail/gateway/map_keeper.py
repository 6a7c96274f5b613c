"""Keeps the expert maps of a service's rank groups balanced."""

import typing

import anyio

from nutmegtrail.expert_map import layered
from nutmegtrail.expert_map import switch as switches
from nutmegtrail.gateway import const
from nutmegtrail.gateway import dispatcher as dispatching
from nutmegtrail.gateway import fleet
from nutmegtrail.gateway import leader_lease
from nutmegtrail.gateway import models
from nutmegtrail.gateway import popularity
from nutmegtrail.gateway import request_counts
from nutmegtrail.gateway import switch_run
from nutmegtrail.observability import logs
from nutmegtrail.observability import metrics
from nutmegtrail.ports import rank_control

LEADER_KEY: typing.Final = 'nutmegtrail/maps/leader'


class Known(typing.NamedTuple):
    """The map of a group in an epoch, as last read or switched to."""

    epoch: int
    version: int
    layers: layered.Layers


class MapKeeper:
    """Observes popularity and switches maps while its entry leads."""

    def __init__(
        self,
        engines: rank_control.RankControl,
        dispatcher: dispatching.Dispatcher,
        lease: leader_lease.LeaderLease,
        readings: metrics.Metrics,
    ) -> None:
        """Keep the collaborators; nothing is observed yet."""
        self.service: models.Service | None = None
        self._engines = engines
        self._dispatcher = dispatcher
        self._lease = lease
        self._metrics = readings
        self._popularity = popularity.Popularity()
        self._known_by_group: dict[str, Known] = {}
        self._tried_by_group: dict[str, int] = {}
        self._held_step_by_group: dict[str, int] = {}
        self._led_fence: int | None = None

    async def run(self) -> None:
        """Observe and switch until cancelled."""
        while True:
            await anyio.sleep(const.MAP_INTERVAL_SECONDS)
            if self._lease.fence is None or self.service is None:
                self._led_fence = None
                continue
            if self._led_fence != self._lease.fence:
                self._led_fence = self._lease.fence
                self._known_by_group.clear()
                await self._resume()
                await self._observe(self._groups(self.service.name))
            if self._has_traffic():
                await self._balance(self.service)

    def _has_traffic(self) -> bool:
        """Return whether any request is under way."""
        return bool(request_counts.totals(self._dispatcher.counts))

    async def _balance(self, service: models.Service) -> None:
        """Read popularity and switch the groups that gain by it."""
        shape = service.shape
        groups = self._groups(service.name)
        if shape is None or not groups:
            return
        await self._observe(groups)
        loads_by_layer = popularity.by_layer(
            self._popularity.choices,
            shape.experts,
        )
        if len(loads_by_layer) != shape.layer_sets:
            return
        async with anyio.create_task_group() as tasks:
            for group in groups:
                tasks.start_soon(
                    self._balance_group,
                    group,
                    shape,
                    loads_by_layer,
                )

    async def _balance_group(
        self,
        group: switch_run.Group,
        shape: models.GroupShape,
        loads_by_layer: tuple[layered.Loads, ...],
    ) -> None:
        """Switch a group to a better map where the gain is worth it."""
        known = await self._read_map(group)
        if known is None:
            return
        bounds = layered.Bounds(shape.places, shape.spare_places)
        planned = []
        for layer, layer_loads in zip(
            known.layers, loads_by_layer, strict=True
        ):
            planned.append(
                layered.improve(
                    layer,
                    layer_loads,
                    bounds,
                    const.MAP_LEAST_GAIN_PER_COPY / len(group.members),
                ),
            )
            await anyio.sleep(0)
        layers = tuple(planned)
        before = layered.slowness(known.layers, loads_by_layer)
        after = layered.slowness(layers, loads_by_layer)
        moves = layered.new_experts(known.layers, layers)
        worthwhile = before / after - 1 >= const.MAP_LEAST_GAIN
        logs.decision(
            'expert-map:considered',
            group=group.name,
            epoch=group.epoch,
            version=known.version,
            slowness_before=round(before, 3),
            slowness_after=round(after, 3),
            slowness_latest=round(self._latest_slowness(known, shape), 3),
            moves=moves,
            switching=worthwhile,
        )
        self._metrics.gauge('step_time_skew', before)
        if worthwhile and layered.is_complete(
            layers,
            shape.experts,
            shape.places,
        ):
            self._metrics.count('experts_moved', amount=moves)
            await self._switch_to(group, known, layers)

    def _latest_slowness(
        self,
        known: Known,
        shape: models.GroupShape,
    ) -> float:
        """Return a map's slowness under the latest choices alone."""
        latest = popularity.by_layer(self._popularity.latest, shape.experts)
        if len(latest) != len(known.layers):
            return 0.0
        return layered.slowness(known.layers, latest)

    async def _observe(self, groups: tuple[switch_run.Group, ...]) -> None:
        """Read the counters of some ranks; all groups get like requests."""
        readings_by_id: dict[str, popularity.Reading] = {}
        members = [member for group in groups for member in group.members]
        for member in _sampled(members):
            choices = await self._engines.choices(member)
            if choices is not None:
                readings_by_id[member.upstream_id] = popularity.Reading(
                    member.started_at_ms,
                    choices,
                )
        self._popularity = popularity.observe(
            self._popularity,
            readings_by_id,
            anyio.current_time(),
        )

    async def _read_map(self, group: switch_run.Group) -> Known | None:
        """Return a group's map, read from its ranks where not known."""
        known = self._known_by_group.get(group.name)
        if known is not None and known.epoch == group.epoch:
            return known
        ranks = []
        for member in group.members:
            held = await self._engines.held_experts(member)
            if held is None:
                return None
            ranks.append(held)
        version = await self._newest_version(group)
        if version is None:
            return None
        layers = tuple(zip(*ranks, strict=True))
        found = Known(group.epoch, version, layers)
        self._known_by_group[group.name] = found
        return found

    async def _newest_version(self, group: switch_run.Group) -> int | None:
        """Return the highest version that any rank has had."""
        newest = 0
        for member in group.members:
            report = await self._engines.report(member)
            if report is None or report.epoch != group.epoch:
                return None
            newest = max(
                newest,
                report.map_version,
                report.prepared or 0,
                report.armed or 0,
            )
        return newest

    async def _switch_to(
        self,
        group: switch_run.Group,
        known: Known,
        layers: layered.Layers,
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
        run = switch_run.SwitchRun(group, begun, self._engines, self._lease)
        switched = await run.run()
        self._held_step_by_group[group.name] = run.held_step
        if switched:
            self._known_by_group[group.name] = Known(
                group.epoch,
                version,
                layers,
            )
            self._metrics.count('map_switches')
        else:
            self._known_by_group.pop(group.name, None)

    async def _resume(self) -> None:
        """Complete what a predecessor may have left under way."""
        if self.service is None:
            return
        # Reports are old: wait until they show the predecessor's orders.
        await anyio.sleep(const.REPORT_LAG_SECONDS)
        for group in self._groups(self.service.name):
            reports_by_id = {}
            for member in group.members:
                report = await self._engines.report(member)
                if report is not None:
                    reports_by_id[member.upstream_id] = report
            if len(reports_by_id) < len(group.members):
                continue
            resumed = switches.resume(group.member_ids, reports_by_id)
            if resumed is not None:
                run = switch_run.SwitchRun(
                    group, resumed, self._engines, self._lease
                )
                await run.run()
                self._held_step_by_group[group.name] = run.held_step

    def _groups(self, service: str) -> tuple[switch_run.Group, ...]:
        """Return the complete groups of a service."""
        members_by_group: dict[str, dict[int, models.Upstream]] = {}
        for upstream in fleet.registered(self._dispatcher.members, service):
            member = upstream.membership
            if member is not None and member.is_open:
                ranks = members_by_group.setdefault(member.group, {})
                ranks[member.rank] = upstream
        groups = (
            _complete_group(name, upstream_by_rank)
            for name, upstream_by_rank in sorted(members_by_group.items())
        )
        return tuple(group for group in groups if group is not None)


def _sampled(members: list[models.Upstream]) -> list[models.Upstream]:
    """Return some members, spread evenly over all of them."""
    wanted = max(
        len(members) // const.RANKS_PER_SAMPLE,
        const.SAMPLED_RANKS_LEAST,
    )
    stride = max(len(members) // wanted, 1)
    return members[::stride]


def _complete_group(
    name: str,
    upstream_by_rank: dict[int, models.Upstream],
) -> switch_run.Group | None:
    """Return a group whose ranks are all there in one epoch."""
    members = tuple(upstream_by_rank[rank] for rank in sorted(upstream_by_rank))
    memberships = [
        member.membership for member in members if member.membership is not None
    ]
    epochs = {membership.epoch for membership in memberships}
    if len(epochs) > 1 or len(members) != memberships[0].size:
        return None
    return switch_run.Group(name, epochs.pop(), members)
