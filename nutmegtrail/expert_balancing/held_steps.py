"""Last held step of each group, which is watched until it has begun.

An order to hold without a response is sent again, and may be carried out after
the group was released, as long as the held step has not begun. Nothing would
end that hold: an idle group begins no step, and one that is held counts
nothing that would lead to another switch.
"""

import typing

import anyio

from nutmegtrail.expert_balancing import const
from nutmegtrail.expert_balancing import rank_groups
from nutmegtrail.expert_map import switch as switches
from nutmegtrail.observability import logs
from nutmegtrail.ports import rank_control


class HeldStep(typing.NamedTuple):
    """Step of a group that was held in an epoch, and released."""

    epoch: int
    step: int


class HeldSteps:
    """Keeps the last held step of each group and looks for late holds."""

    def __init__(self, engines: rank_control.RankControl) -> None:
        """Initialize without any held steps."""
        self._engines = engines
        self._last_by_group: dict[str, HeldStep] = {}
        self._check_at_by_group: dict[str, float] = {}

    def start(self) -> None:
        """Start a leadership; ranks reject the holds of earlier ones."""
        self._check_at_by_group.clear()

    def record(self, group: rank_groups.Group, step: int) -> None:
        """Record the step before which a group was held, 0 if it was not."""
        if step <= self.last_step(group):
            return
        self._last_by_group[group.name] = HeldStep(group.epoch, step)
        self._set_check(group)

    def last_step(self, group: rank_groups.Group) -> int:
        """Return the last held step of a group in this epoch, 0 if none."""
        last = self._last_by_group.get(group.name)
        return last.step if last and last.epoch == group.epoch else 0

    def is_check_due(self, group: rank_groups.Group) -> bool:
        """Return whether to look for a late hold now."""
        check_at = self._check_at_by_group.get(group.name)
        return check_at is not None and anyio.current_time() >= check_at

    async def find_late_hold(self, group: rank_groups.Group) -> bool:
        """Return whether a released group is held again.

        The group is not looked at any more once the held step has begun.
        """
        held_step = self.last_step(group)
        self._set_check(group)
        report = await self._engines.report(group.members[0])
        if report is None or held_step != self.last_step(group):
            return False
        if _has_begun(report, group, held_step):
            self._check_at_by_group.pop(group.name, None)
            return False
        if report.held_step != held_step:
            return False
        logs.decision(
            'expert-map:held-again',
            group=group.name,
            epoch=group.epoch,
            step=held_step,
        )
        return True

    def _set_check(self, group: rank_groups.Group) -> None:
        """Look at the group once its report tells the present state."""
        self._check_at_by_group[group.name] = (
            anyio.current_time() + const.HOLD_CHECK_INTERVAL_SECONDS
        )


def _has_begun(
    report: switches.Report, group: rank_groups.Group, step: int
) -> bool:
    """Return whether the step has begun, or its epoch has ended."""
    return report.epoch > group.epoch or report.step >= step
