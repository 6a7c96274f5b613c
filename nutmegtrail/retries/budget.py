"""Budget of retries: a share of the successes, for each target."""

import typing

from nutmegtrail.retries import const


class Budget(typing.NamedTuple):
    """Retries that may be sent now."""

    available: float = const.RETRY_BURST


def record_success(budget: Budget) -> Budget:
    """Return the budget after a first attempt succeeded."""
    raised = budget.available + const.RETRY_SHARE
    return Budget(min(raised, const.RETRY_BURST))


def spend(budget: Budget) -> Budget | None:
    """Return the budget after a retry, None where it allows none."""
    if budget.available < 1:
        return None
    return Budget(budget.available - 1)
