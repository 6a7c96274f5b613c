"""Completes the switches that a former leader has left under way."""

import collections

import anyio

from nutmegtrail.expert_map import switch as switches
from nutmegtrail.gateway import const
from nutmegtrail.gateway import leader_lease
from nutmegtrail.gateway import models
from nutmegtrail.gateway import pacer as pacing
from nutmegtrail.gateway import rank_groups
from nutmegtrail.gateway import switch_executor
from nutmegtrail.observability import logs
from nutmegtrail.ports import rank_control


class SwitchRecovery:
    """Resumes groups under the fence of the entry's own leadership."""

    def __init__(
        self,
        engines: rank_control.RankControl,
        lease: leader_lease.LeaderLease,
        pacer: pacing.Pacer,
    ) -> None:
        """Keep the collaborators; no leadership has begun."""
        self._engines = engines
        self._lease = lease
        self._pacer = pacer
        self._fence: int | None = None
        self._doubtful_groups: set[str] = set()
        self._failures_by_group: dict[str, int] = {}

    @property
    def is_due(self) -> bool:
        """Return whether the entry leads under a fence not yet begun."""
        return self._lease.fence != self._fence

    def begin(self, groups: tuple[rank_groups.Group, ...]) -> None:
        """Begin a leadership: any group may be held by a predecessor."""
        self._fence = self._lease.fence
        self._doubtful_groups = {group.name for group in groups}
        self._failures_by_group.clear()

    def doubt(self, group: rank_groups.Group) -> None:
        """Notice that another leader may have ordered a group."""
        self._doubtful_groups.add(group.name)

    def awaits(self, group: rank_groups.Group) -> bool:
        """Return whether a group has to be resumed before a switch."""
        return group.name in self._doubtful_groups

    async def resume(self, group: rank_groups.Group) -> int | None:
        """Complete a switch; return the step that was held, if any.

        A group whose ranks do not all answer stays doubtful. After some
        attempts another entry, which may reach them, should lead.
        """
        reports_by_id = await self._read_fenced(group)
        if reports_by_id is None:
            failures = self._failures_by_group.get(group.name, 0) + 1
            self._failures_by_group[group.name] = failures
            if failures >= const.RESUME_ATTEMPTS_LIMIT:
                await self._lease.resign()
            return None
        self._doubtful_groups.discard(group.name)
        resumed = switches.resume(group.member_ids, reports_by_id)
        if resumed is None:
            return None
        run = switch_executor.SwitchExecutor(
            group,
            resumed,
            self._engines,
            self._lease,
            self._pacer,
        )
        await run.run()
        return run.held_step

    async def _read_fenced(
        self,
        group: rank_groups.Group,
    ) -> dict[str, switches.Report] | None:
        """Return reports that no predecessor's order can outdate.

        A rank that is armed by a predecessor after its report was read would
        switch alone once the group is let go.
        """
        if not await self._fence_off(group):
            return None
        # Reports are old: wait until they show the predecessor's orders.
        await anyio.sleep(const.REPORT_LAG_SECONDS)
        reports_by_id = await rank_groups.ask_all(
            self._engines.report,
            group.members,
        )
        if len(reports_by_id) < len(group.members):
            return None
        return reports_by_id

    async def _fence_off(self, group: rank_groups.Group) -> bool:
        """Return whether all ranks refuse a predecessor's orders from now on.

        A rank learns of a fence by an order only. This one, to disarm a
        version that nobody has, changes nothing else; a version close to the
        newest reported one may be armed by now.
        """
        newest = await rank_groups.newest_version(self._engines, group)
        if newest is None or self._lease.fence is None:
            return False
        order = switches.Order(
            switches.Operation.DISARM,
            group.epoch,
            newest + const.UNUSED_VERSION_GAP,
        )
        outcomes: list[rank_control.OrderOutcome] = []
        with anyio.move_on_after(const.FENCE_TIMEOUT_SECONDS):
            async with anyio.create_task_group() as tasks:
                for member in group.members:
                    tasks.start_soon(self._send, member, order, outcomes)
        counts = collections.Counter(outcome.value for outcome in outcomes)
        logs.decision(
            'expert-map:fenced-off',
            group=group.name,
            fence=self._fence,
            ranks=len(group.members),
            outcomes=counts,
        )
        if rank_control.OrderOutcome.FENCED in outcomes:
            self._lease.on_fenced()
            return False
        accepted = outcomes.count(rank_control.OrderOutcome.ACCEPTED)
        return accepted == len(group.members)

    async def _send(
        self,
        member: models.Upstream,
        order: switches.Order,
        outcomes: list[rank_control.OrderOutcome],
    ) -> None:
        """Send an order until it is answered; add the outcome."""
        outcome = rank_control.OrderOutcome.UNANSWERED
        while outcome is rank_control.OrderOutcome.UNANSWERED:
            outcome = await self._engines.order(
                member,
                order,
                self._fence or 0,
            )
            if outcome is rank_control.OrderOutcome.UNANSWERED:
                await anyio.sleep(const.ORDER_RETRY_SECONDS)
        outcomes.append(outcome)
