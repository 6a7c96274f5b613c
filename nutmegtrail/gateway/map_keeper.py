"""Keeps the expert maps of a service's rank groups balanced."""

import collections
import functools
import typing

import anyio

from nutmegtrail.expert_map import layered
from nutmegtrail.expert_map import switch as switches
from nutmegtrail.gateway import const
from nutmegtrail.gateway import dispatcher as dispatching
from nutmegtrail.gateway import fleet
from nutmegtrail.gateway import leader_lease
from nutmegtrail.gateway import models
from nutmegtrail.gateway import pacer as pacing
from nutmegtrail.gateway import popularity
from nutmegtrail.gateway import request_counts
from nutmegtrail.gateway import switch_run
from nutmegtrail.observability import logs
from nutmegtrail.observability import metrics
from nutmegtrail.ports import rank_control

_Answer = typing.TypeVar('_Answer')
LEADER_KEY: typing.Final = 'nutmegtrail/maps/leader'


class Known(typing.NamedTuple):
    """The map of a group in an epoch, as last read or switched to."""

    epoch: int
    version: int
    layers: layered.Layers


class _Step(typing.NamedTuple):
    """A step from a group's present map to a planned one."""

    group: switch_run.Group
    known: Known
    planned: layered.Layers
    loads_by_layer: tuple[layered.Loads, ...]


class MapKeeper:
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
        self._led_fence: int | None = None
        self._unresumed_groups: set[str] = set()
        self._switches = 0

    async def run(self) -> None:
        """Observe and switch until cancelled."""
        while True:
            service = self.service
            if self._lease.fence is None or service is None:
                self._led_fence = None
                await anyio.sleep(const.LEADERSHIP_CHECK_SECONDS)
                continue
            if self._led_fence != self._lease.fence:
                self._led_fence = self._lease.fence
                await self._take_over(service)
            # A group that was just switched is measured anew at once.
            if not (self._has_traffic() and await self._balance(service)):
                await anyio.sleep(const.MAP_INTERVAL_SECONDS)

    def _has_traffic(self) -> bool:
        """Return whether any request is under way."""
        return bool(request_counts.totals(self._dispatcher.counts))

    async def _take_over(self, service: models.Service) -> None:
        """Complete what a predecessor may have left under way."""
        self._known_by_group.clear()
        groups = self._groups(service.name)
        self._unresumed_groups = {group.name for group in groups}
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
        planned_by_layers: dict[layered.Layers, layered.Layers] = {}
        async with anyio.create_task_group() as tasks:
            for group in groups:
                if group.name in self._unresumed_groups:
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
        before = layered.slowness(known.layers, step.loads_by_layer)
        after = layered.slowness(step.planned, step.loads_by_layer)
        worthwhile = before / after - 1 >= const.MAP_LEAST_GAIN
        moves = sum(layered.copies_by_rank(known.layers, step.planned))
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
        self._metrics.gauge('step_time_skew', before)
        if not worthwhile:
            return False
        self._metrics.count('experts_moved', amount=moves)
        return layered.is_complete(step.planned, shape.experts, shape.places)

    def _follow_shift(self, shape: models.GroupShape) -> None:
        """Forget older choices where the latest ones are quite different."""
        known = next(iter(self._known_by_group.values()), None)
        if known is None:
            return
        faded = _slowness(known, self._popularity.choices, shape)
        latest = _slowness(known, self._popularity.latest, shape)
        if latest > faded * const.SHIFT_RATIO:
            logs.decision(
                'expert-map:shift-noticed',
                slowness_faded=round(faded, 3),
                slowness_latest=round(latest, 3),
            )
            self._popularity = popularity.restarted(self._popularity)

    async def _observe(self, groups: tuple[switch_run.Group, ...]) -> None:
        """Read the counters of some ranks; all groups get like requests."""
        members = [member for group in groups for member in group.members]
        sampled = _sampled(members)
        choices_by_id = await _ask_all(self._engines.choices, sampled)
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

    async def _read_map(self, group: switch_run.Group) -> Known | None:
        """Return a group's map, read from its ranks where not known."""
        known = self._known_by_group.get(group.name)
        if known is not None and known.epoch == group.epoch:
            return known
        held_by_id = await _ask_all(self._engines.held_experts, group.members)
        version = await self._newest_version(group)
        if version is None or len(held_by_id) < len(group.members):
            return None
        ranks = [held_by_id[member_id] for member_id in group.member_ids]
        layers = tuple(zip(*ranks, strict=True))
        found = Known(group.epoch, version, layers)
        self._known_by_group[group.name] = found
        return found

    async def _newest_version(self, group: switch_run.Group) -> int | None:
        """Return the highest version that any rank has had."""
        reports_by_id = await _ask_all(self._engines.report, group.members)
        reports = tuple(reports_by_id.values())
        if len(reports) < len(group.members):
            return None
        if any(report.epoch != group.epoch for report in reports):
            return None
        return max(
            max(report.map_version, report.prepared or 0, report.armed or 0)
            for report in reports
        )

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
        copies = layered.copies_by_rank(known.layers, layers)
        run = self._run_of(group, _longest_first(begun, copies))
        switched = await run.run()
        self._held_step_by_group[group.name] = run.held_step
        if switched:
            self._known_by_group[group.name] = Known(
                group.epoch,
                version,
                layers,
            )
            self._switches += 1
            self._metrics.count('map_switches')
        else:
            # Whoever refused may have been ordered by another leader.
            self._unresumed_groups.add(group.name)
            self._known_by_group.pop(group.name, None)

    async def _resume(self, group: switch_run.Group) -> None:
        """Complete the switch of a group that a predecessor has held."""
        if not await self._fence_off(group):
            return
        # Reports are old: wait until they show the predecessor's orders.
        await anyio.sleep(const.REPORT_LAG_SECONDS)
        reports_by_id = await _ask_all(self._engines.report, group.members)
        if len(reports_by_id) < len(group.members):
            return
        self._unresumed_groups.discard(group.name)
        resumed = switches.resume(group.member_ids, reports_by_id)
        if resumed is not None:
            run = self._run_of(group, resumed)
            await run.run()
            self._held_step_by_group[group.name] = run.held_step

    async def _fence_off(self, group: switch_run.Group) -> bool:
        """Return whether all ranks refuse a predecessor's orders from now on.

        A rank learns of a fence by an order only. This one, to disarm a
        version that nobody has, changes nothing else; a version close to the
        newest reported one may be armed by now.
        """
        newest = await self._newest_version(group)
        if newest is None or self._lease.fence is None:
            return False
        order = switches.Order(
            switches.Operation.DISARM,
            group.epoch,
            newest + const.UNUSED_VERSION_GAP,
        )
        send = functools.partial(
            self._engines.order,
            order=order,
            fence=self._lease.fence,
        )
        outcome_by_id = await _ask_all(send, group.members)
        outcomes = collections.Counter(outcome_by_id.values())
        logs.decision(
            'expert-map:fenced-off',
            group=group.name,
            fence=self._lease.fence,
            outcomes={
                outcome.value: count for outcome, count in outcomes.items()
            },
        )
        if outcomes[rank_control.OrderOutcome.FENCED]:
            self._lease.fenced_off()
        answered = (
            outcomes[rank_control.OrderOutcome.ACCEPTED]
            + outcomes[rank_control.OrderOutcome.REFUSED]
        )
        return answered == len(group.members)

    def _run_of(
        self,
        group: switch_run.Group,
        begun: switches.Decision,
    ) -> switch_run.SwitchRun:
        """Return the run of a switch."""
        return switch_run.SwitchRun(
            group,
            begun,
            self._engines,
            self._lease,
            self._pacer,
        )

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


def _slowness(
    known: Known,
    choices: tuple[float, ...],
    shape: models.GroupShape,
) -> float:
    """Return a map's slowness under choices, 0 where they do not fit it."""
    loads_by_layer = popularity.by_layer(choices, shape.experts)
    if len(loads_by_layer) != len(known.layers):
        return 0.0
    return layered.slowness(known.layers, loads_by_layer)


async def _plan(
    layers: layered.Layers,
    shape: models.GroupShape,
    loads_by_layer: tuple[layered.Loads, ...],
) -> layered.Layers:
    """Return a better map; other work goes on between its layers."""
    bounds = layered.Bounds(shape.places, shape.spare_places)
    planned = []
    for layer, loads in zip(layers, loads_by_layer, strict=True):
        least_gain = const.MAP_LEAST_GAIN_PER_COPY / len(layer)
        planned.append(layered.improve(layer, loads, bounds, least_gain))
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


async def _ask_all(
    ask: typing.Callable[[models.Upstream], typing.Awaitable[_Answer | None]],
    members: typing.Iterable[models.Upstream],
) -> dict[str, _Answer]:
    """Return the answers of engines that are asked side by side."""
    answers_by_id: dict[str, _Answer] = {}
    async with anyio.create_task_group() as tasks:
        for member in members:
            tasks.start_soon(_ask, ask, member, answers_by_id)
    return answers_by_id


async def _ask(
    ask: typing.Callable[[models.Upstream], typing.Awaitable[_Answer | None]],
    member: models.Upstream,
    answers_by_id: dict[str, _Answer],
) -> None:
    """Add the answer of an engine, if it gives one."""
    answer = await ask(member)
    if answer is not None:
        answers_by_id[member.upstream_id] = answer


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
