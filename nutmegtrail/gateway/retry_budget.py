"""Second sends of a service within a sliding window.

The platform allows a share of the requests plus a fixed number, summed
over all entries; an entry uses its part of the fixed number.
"""

import typing


class Allowance(typing.NamedTuple):
    """Repeats allowed in a window: a share of the requests plus a base."""

    window_seconds: float
    share: float
    base: float


class Budget(typing.NamedTuple):
    """Times of requests and of second sends in the current window."""

    request_times: tuple[float, ...] = ()
    repeat_times: tuple[float, ...] = ()


def requested(budget: Budget, window_seconds: float, now: float) -> Budget:
    """Return the budget after a request of a caller."""
    kept = _recent(budget.request_times, now - window_seconds)
    return budget._replace(request_times=(*kept, now))


def spend(budget: Budget, allowance: Allowance, now: float) -> Budget | None:
    """Return the budget after a second send, None where not allowed."""
    oldest = now - allowance.window_seconds
    requests = _recent(budget.request_times, oldest)
    repeats = _recent(budget.repeat_times, oldest)
    allowed = allowance.share * len(requests) + allowance.base
    if len(repeats) + 1 > allowed:
        return None
    return Budget(requests, (*repeats, now))


def _recent(times: tuple[float, ...], oldest: float) -> tuple[float, ...]:
    """Return the times that are still inside the window."""
    for index, moment in enumerate(times):
        if moment > oldest:
            return times[index:]
    return ()
