"""Last held steps of groups and the look for late holds."""

import anyio
import testtools

from nutmegtrail.expert_balancing import const
from nutmegtrail.expert_balancing import held_steps
from nutmegtrail.expert_balancing import rank_groups
from nutmegtrail.expert_map import switch
from tests import simulated_time
from tests.gateway import samples

_STEP = 40


class _Engines:
    """Engines with one report."""

    def __init__(self, report):
        """Initialize the engines."""
        self._report = report

    async def report(self, _):
        """Return the report."""
        return self._report


def _group(epoch=1):
    """Return a group of two ranks."""
    members = tuple(
        samples.member(f'm{rank}', rank, epoch=epoch) for rank in range(2)
    )
    return rank_groups.Group('g0', epoch, members)


def _report(step, held_step=None, epoch=1):
    """Return the report of a rank."""
    return switch.Report(epoch, step, 0, None, None, held_step)


def _look(report):
    """Return whether a late hold is found, and whether to look again."""

    async def _main():
        steps = held_steps.HeldSteps(_Engines(report))
        steps.record(_group(), _STEP)
        await anyio.sleep(const.HOLD_CHECK_INTERVAL_SECONDS)
        is_found = await steps.find_late_hold(_group())
        await anyio.sleep(const.HOLD_CHECK_INTERVAL_SECONDS)
        return is_found, steps.is_check_due(_group())

    return simulated_time.run(_main)


class HeldStepsTest(testtools.TestCase):
    """A group that was held before step 40."""

    # Guards against a hold of a step that was held before, which a delayed
    # order to release that step would end.
    def test_switch_that_held_nothing(self):
        """The last held step is kept after a switch that was abandoned."""

        async def _main():
            steps = held_steps.HeldSteps(_Engines(None))
            steps.record(_group(), _STEP)
            steps.record(_group(), 0)
            return steps.last_step(_group())

        self.assertEqual(_STEP, simulated_time.run(_main))

    # Guards against holds of steps that a group that formed anew does not
    # reach, should it count from the start again.
    def test_new_epoch(self):
        """Held steps of an earlier epoch do not count."""

        async def _main():
            steps = held_steps.HeldSteps(_Engines(None))
            steps.record(_group(), _STEP)
            return steps.last_step(_group(epoch=2))

        self.assertEqual(0, simulated_time.run(_main))

    def test_late_hold(self):
        """A hold of the same step is found, and looked for again."""
        self.assertEqual((True, True), _look(_report(_STEP - 1, _STEP)))

    def test_step_that_has_not_begun(self):
        """It is looked for until the step has begun."""
        self.assertEqual((False, True), _look(_report(_STEP - 1)))
        self.assertEqual((False, False), _look(_report(_STEP)))

    def test_unreadable_rank(self):
        """A report that could not be read proves nothing."""
        self.assertEqual((False, True), _look(None))

    def test_hold_of_a_later_step(self):
        """The next switch is no late hold."""
        later = _report(_STEP - 1, _STEP + 4)
        self.assertEqual((False, True), _look(later))

    def test_group_that_formed_anew(self):
        """Late holds of an earlier epoch are refused."""
        self.assertEqual((False, False), _look(_report(3, epoch=2)))

    def test_new_leadership(self):
        """Ranks refuse holds of an earlier one, which are not looked for."""

        async def _main():
            steps = held_steps.HeldSteps(_Engines(None))
            steps.record(_group(), _STEP)
            steps.start()
            await anyio.sleep(const.HOLD_CHECK_INTERVAL_SECONDS)
            return steps.is_check_due(_group())

        self.assertFalse(simulated_time.run(_main))
