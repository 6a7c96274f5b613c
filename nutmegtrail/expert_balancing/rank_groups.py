"""Rank groups found in the registrations, and queries to their ranks."""

import typing

import anyio

from nutmegtrail.expert_balancing import const
from nutmegtrail.expert_map import layer_placement
from nutmegtrail.gateway import models
from nutmegtrail.ports import rank_control

_Answer = typing.TypeVar('_Answer')


class Group(typing.NamedTuple):
    """Complete rank group with its members in rank order."""

    name: str
    epoch: int
    members: tuple[models.Upstream, ...]

    @property
    def member_ids(self) -> tuple[str, ...]:
        """Return the upstream identifiers of the members in rank order."""
        return tuple(member.upstream_id for member in self.members)


def find_complete_groups(
    upstreams: typing.Iterable[models.Upstream],
) -> tuple[Group, ...]:
    """Return the groups that have all their ranks, in the same epoch."""
    members_by_group: dict[str, dict[int, models.Upstream]] = {}
    for upstream in upstreams:
        membership = upstream.membership
        if membership is not None and membership.is_open:
            members_by_rank = members_by_group.setdefault(membership.group, {})
            members_by_rank[membership.rank] = upstream
    groups = (
        _create_group(name, upstream_by_rank)
        for name, upstream_by_rank in sorted(members_by_group.items())
    )
    return tuple(group for group in groups if group is not None)


def sample_members(members: list[models.Upstream]) -> list[models.Upstream]:
    """Return an evenly spaced sample of the members."""
    sample_size = max(
        len(members) // const.RANKS_PER_SAMPLED_RANK,
        const.MIN_SAMPLED_RANKS,
    )
    stride = max(len(members) // sample_size, 1)
    return members[::stride]


async def query_all(
    query: typing.Callable[[models.Upstream], typing.Awaitable[_Answer | None]],
    members: typing.Iterable[models.Upstream],
) -> dict[str, _Answer]:
    """Query engines concurrently and return the answers that came."""
    answers_by_id: dict[str, _Answer] = {}
    async with anyio.create_task_group() as tasks:
        for member in members:
            tasks.start_soon(_query, query, member, answers_by_id)
    return answers_by_id


async def _query(
    query: typing.Callable[[models.Upstream], typing.Awaitable[_Answer | None]],
    member: models.Upstream,
    answers_by_id: dict[str, _Answer],
) -> None:
    """Query one engine and store its answer, if there is one."""
    answer = await query(member)
    if answer is not None:
        answers_by_id[member.upstream_id] = answer


async def read_layers(
    engines: rank_control.RankControl,
    group: Group,
) -> layer_placement.Layers | None:
    """Return a group's map as held by its ranks, None if one is unreadable."""
    experts_by_id = await query_all(engines.held_experts, group.members)
    if len(experts_by_id) < len(group.members):
        return None
    ranks = [experts_by_id[member_id] for member_id in group.member_ids]
    return tuple(zip(*ranks, strict=True))


async def read_newest_version(
    engines: rank_control.RankControl,
    group: Group,
) -> int | None:
    """Return the highest map version of any rank.

    None if a rank is unreadable or in another epoch.
    """
    reports_by_id = await query_all(engines.report, group.members)
    reports = tuple(reports_by_id.values())
    if len(reports) < len(group.members):
        return None
    if any(report.epoch != group.epoch for report in reports):
        return None
    return max(
        max(
            report.map_version,
            report.prepared_version or 0,
            report.armed_version or 0,
        )
        for report in reports
    )


def _create_group(
    name: str,
    upstream_by_rank: dict[int, models.Upstream],
) -> Group | None:
    """Return the group, None if ranks are missing or epochs differ."""
    members = tuple(upstream_by_rank[rank] for rank in sorted(upstream_by_rank))
    memberships = [
        member.membership for member in members if member.membership is not None
    ]
    epochs = {membership.epoch for membership in memberships}
    if len(epochs) > 1 or len(members) != memberships[0].size:
        return None
    return Group(name, epochs.pop(), members)
