"""Recovery of expert map switches that an earlier leader left unfinished.

An earlier leader may hold any group. What a new leader knows of the groups
may be incomplete when it begins, so that each group is recovered as soon as
all of its ranks are registered, and again when the group has formed anew.
"""

import collections
import contextlib
import itertools
import typing

import anyio
import anyio.abc

from nutmegtrail.expert_balancing import const
from nutmegtrail.expert_balancing import held_steps
from nutmegtrail.expert_balancing import leader_lease
from nutmegtrail.expert_balancing import order_distribution
from nutmegtrail.expert_balancing import patience
from nutmegtrail.expert_balancing import rank_groups
from nutmegtrail.expert_balancing import switch_executor
from nutmegtrail.expert_map import switch as switches
from nutmegtrail.gateway import models
from nutmegtrail.observability import logs
from nutmegtrail.ports import rank_control


class Formation(typing.NamedTuple):
    """Ranks that form a group in an epoch.

    A rank that has started again does not know the fence.
    """

    epoch: int
    incarnations: tuple[models.Incarnation, ...]


class SwitchRecovery:
    """Completes unfinished switches under the fence of this instance."""

    def __init__(
        self,
        engines: rank_control.RankControl,
        lease: leader_lease.LeaderLease,
        distributor: order_distribution.OrderDistributor,
        last_held_steps: held_steps.HeldSteps,
        on_recovered: typing.Callable[[rank_groups.Group], None],
    ) -> None:
        """Initialize the recovery before any leadership."""
        self._engines = engines
        self._lease = lease
        self._distributor = distributor
        self._held_steps = last_held_steps
        self._on_recovered = on_recovered
        self._fence: int | None = None
        self._recovered_by_group: dict[str, Formation] = {}
        self._failures_by_group: dict[str, int] = {}
        self._due_at_by_group: dict[str, float] = {}
        self._busy_groups: set[str] = set()

    @property
    def is_pending(self) -> bool:
        """Return whether recovery has not started yet for the current fence."""
        return self._lease.fence != self._fence

    def start(self) -> None:
        """Start a leadership; an earlier leader may hold any group."""
        self._fence = self._lease.fence
        self._recovered_by_group.clear()
        self._failures_by_group.clear()
        self._due_at_by_group.clear()
        self._held_steps.start()

    def mark_for_recovery(self, group: rank_groups.Group) -> None:
        """Mark a group that may have received late orders, or another's."""
        self._recovered_by_group.pop(group.name, None)

    def needs_recovery(self, group: rank_groups.Group) -> bool:
        """Return whether a group must be recovered before its next switch."""
        return self._recovered_by_group.get(group.name) != _formation(group)

    @contextlib.contextmanager
    def paused(self, group: rank_groups.Group) -> typing.Iterator[None]:
        """Leave a group alone while it is switched."""
        self._busy_groups.add(group.name)
        try:
            yield
        finally:
            self._busy_groups.discard(group.name)

    async def run(
        self,
        find_groups: typing.Callable[[], tuple[rank_groups.Group, ...]],
        tasks: anyio.abc.TaskGroup,
    ) -> None:
        """Recover the groups that need it until cancelled.

        A recovery that has begun in `tasks` goes on then.
        """
        while True:
            for group in find_groups():
                if self._is_due(group):
                    tasks.start_soon(self._recover, group)
                elif self._held_steps.is_check_due(group):
                    tasks.start_soon(self._find_late_hold, group)
            await anyio.sleep(const.RECOVERY_CHECK_INTERVAL_SECONDS)

    def _is_due(self, group: rank_groups.Group) -> bool:
        """Return whether to begin the recovery of a group now."""
        if self._lease.is_retiring or self.is_pending:
            return False
        if group.name in self._busy_groups or not self.needs_recovery(group):
            return False
        due_at = self._due_at_by_group.get(group.name, 0)
        return anyio.current_time() >= due_at

    async def _recover(self, group: rank_groups.Group) -> None:
        """Recover a group, or try again later.

        After several failures the lease is given up, since another instance
        may be able to reach the ranks.
        """
        fence = self._fence
        with self.paused(group):
            reports_by_id = await self._read_fenced_reports(group)
            if reports_by_id is not None:
                held_step = await self._complete(group, reports_by_id)
        if self._lease.fence != fence or self._fence != fence:
            return
        if reports_by_id is None:
            await self._on_failure(group)
            return
        self._recovered_by_group[group.name] = _formation(group)
        self._failures_by_group.pop(group.name, None)
        self._held_steps.record(group, held_step or 0)
        logs.decision(
            'expert-map:recovered',
            group=group.name,
            epoch=group.epoch,
            fence=fence,
            held_step=held_step,
        )
        self._on_recovered(group)

    async def _find_late_hold(self, group: rank_groups.Group) -> None:
        """Mark a group that an order of this leader holds once more.

        While the group is switched, its ranks tell by their refusals.
        """
        is_held = await self._held_steps.find_late_hold(group)
        if is_held and group.name not in self._busy_groups:
            self.mark_for_recovery(group)

    async def _on_failure(self, group: rank_groups.Group) -> None:
        """Count a failed recovery; give up the lease after several."""
        failures = self._failures_by_group.get(group.name, 0) + 1
        self._failures_by_group[group.name] = failures
        self._due_at_by_group[group.name] = (
            anyio.current_time() + const.RECOVERY_RETRY_SECONDS
        )
        logs.decision(
            'expert-map:not-recovered',
            group=group.name,
            epoch=group.epoch,
            fence=self._fence,
            failures=failures,
        )
        if failures >= const.RESUME_ATTEMPTS_LIMIT:
            await self._lease.resign()

    async def _complete(
        self,
        group: rank_groups.Group,
        reports_by_id: typing.Mapping[str, switches.Report],
    ) -> int | None:
        """Complete an unfinished switch; return its held step, None if none."""
        first_decision = switches.resume(group.member_ids, reports_by_id)
        if first_decision is None:
            return None
        executor = switch_executor.SwitchExecutor(
            group,
            first_decision,
            self._engines,
            self._lease,
            self._distributor,
        )
        await executor.run()
        return executor.held_step

    async def _read_fenced_reports(
        self,
        group: rank_groups.Group,
    ) -> dict[str, switches.Report] | None:
        """Return reports that orders of an earlier leader can no longer change.

        If an earlier leader armed a rank after its report was read, that rank
        would switch alone when the group is released.
        """
        if not await self._fence_off(group):
            return None
        # Reports lag behind; wait until they reflect the last accepted orders.
        await anyio.sleep(const.REPORT_LAG_SECONDS)
        reports_by_id = await rank_groups.query_all(
            self._engines.report,
            group.members,
        )
        if len(reports_by_id) < len(group.members):
            return None
        return reports_by_id

    async def _fence_off(self, group: rank_groups.Group) -> bool:
        """Return whether all ranks now reject orders from earlier leaders.

        A rank only learns a new fence from an order. Disarming a version that
        no rank has is an order without side effects. The version must be far
        above the newest reported one, because later versions may have been
        armed since that report.
        """
        newest_version = await rank_groups.read_newest_version(
            self._engines, group
        )
        if newest_version is None or self._lease.fence is None:
            return False
        order = switches.Order(
            switches.Operation.DISARM,
            group.epoch,
            newest_version + const.UNUSED_VERSION_GAP,
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
        """Send an order until it is answered and record the outcome."""
        for unanswered_tries in itertools.count():
            outcome = await self._engines.order(
                member,
                order,
                self._fence or 0,
                patience.factor(unanswered_tries),
            )
            if outcome is not rank_control.OrderOutcome.UNANSWERED:
                outcomes.append(outcome)
                return
            await anyio.sleep(const.ORDER_RETRY_SECONDS)


def _formation(group: rank_groups.Group) -> Formation:
    """Return the present formation of a group."""
    return Formation(
        group.epoch, tuple(member.incarnation for member in group.members)
    )
