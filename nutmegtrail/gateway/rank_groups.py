"""Rank groups as the registrations show them, and reads of their ranks."""

import typing

import anyio

from nutmegtrail.expert_map import layer_placement
from nutmegtrail.gateway import const
from nutmegtrail.gateway import models
from nutmegtrail.ports import rank_control

_Answer = typing.TypeVar('_Answer')


class Group(typing.NamedTuple):
    """A complete rank group, its members in the order of their ranks."""

    name: str
    epoch: int
    members: tuple[models.Upstream, ...]

    @property
    def member_ids(self) -> tuple[str, ...]:
        """Return the identifiers of the members."""
        return tuple(member.upstream_id for member in self.members)


def complete_groups(
    upstreams: typing.Iterable[models.Upstream],
) -> tuple[Group, ...]:
    """Return the groups whose ranks are all there in one epoch."""
    members_by_group: dict[str, dict[int, models.Upstream]] = {}
    for upstream in upstreams:
        member = upstream.membership
        if member is not None and member.is_open:
            ranks = members_by_group.setdefault(member.group, {})
            ranks[member.rank] = upstream
    groups = (
        _complete_group(name, upstream_by_rank)
        for name, upstream_by_rank in sorted(members_by_group.items())
    )
    return tuple(group for group in groups if group is not None)


def sampled(members: list[models.Upstream]) -> list[models.Upstream]:
    """Return some members, spread evenly over all of them."""
    wanted = max(
        len(members) // const.RANKS_PER_SAMPLED_RANK,
        const.MIN_SAMPLED_RANKS,
    )
    stride = max(len(members) // wanted, 1)
    return members[::stride]


async def ask_all(
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


async def held_layers(
    engines: rank_control.RankControl,
    group: Group,
) -> layer_placement.Layers | None:
    """Return the map that the ranks of a group hold, None if unreadable."""
    held_by_id = await ask_all(engines.held_experts, group.members)
    if len(held_by_id) < len(group.members):
        return None
    ranks = [held_by_id[member_id] for member_id in group.member_ids]
    return tuple(zip(*ranks, strict=True))


async def newest_version(
    engines: rank_control.RankControl,
    group: Group,
) -> int | None:
    """Return the highest version that any rank has had, None if unreadable."""
    reports_by_id = await ask_all(engines.report, group.members)
    reports = tuple(reports_by_id.values())
    if len(reports) < len(group.members):
        return None
    if any(report.epoch != group.epoch for report in reports):
        return None
    return max(
        max(report.map_version, report.prepared or 0, report.armed or 0)
        for report in reports
    )


def _complete_group(
    name: str,
    upstream_by_rank: dict[int, models.Upstream],
) -> Group | None:
    """Return a group whose ranks are all there in one epoch."""
    members = tuple(upstream_by_rank[rank] for rank in sorted(upstream_by_rank))
    memberships = [
        member.membership for member in members if member.membership is not None
    ]
    epochs = {membership.epoch for membership in memberships}
    if len(epochs) > 1 or len(members) != memberships[0].size:
        return None
    return Group(name, epochs.pop(), members)
