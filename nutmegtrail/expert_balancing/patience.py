"""How long the response to an order is awaited if earlier tries had none."""

from nutmegtrail.expert_balancing import const


def factor(unanswered_tries: int) -> int:
    """Return the multiple of the usual timeout for the next try.

    Most orders without a response are lost, and are best repeated soon. A rank
    that takes longer for each response would never have an answer in time.
    """
    late_tries = max(unanswered_tries - const.QUICK_ORDER_TRIES, 0)
    return min(1 << late_tries, const.PATIENCE_LIMIT)
