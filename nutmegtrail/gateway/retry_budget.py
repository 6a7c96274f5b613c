"""Retry budget of a service within a sliding window.

Over all entries together the platform allows a share of the requests plus a
fixed number. Each entry uses its part of the fixed number.
"""

import typing


class Allowance(typing.NamedTuple):
    """Retries allowed per window: a share of the requests plus a base."""

    window_seconds: float
    share: float
    base: float


class Budget(typing.NamedTuple):
    """Times of requests and retries in the current window."""

    request_times: tuple[float, ...] = ()
    retry_times: tuple[float, ...] = ()


def record_request(budget: Budget, window_seconds: float, now: float) -> Budget:
    """Return the budget after a request from a caller."""
    recent = _recent(budget.request_times, now - window_seconds)
    return budget._replace(request_times=(*recent, now))


def spend(budget: Budget, allowance: Allowance, now: float) -> Budget | None:
    """Return the budget after a retry, None if it is exhausted."""
    oldest = now - allowance.window_seconds
    requests = _recent(budget.request_times, oldest)
    retries = _recent(budget.retry_times, oldest)
    allowed_retries = allowance.share * len(requests) + allowance.base
    if len(retries) + 1 > allowed_retries:
        return None
    return Budget(requests, (*retries, now))


def _recent(times: tuple[float, ...], oldest: float) -> tuple[float, ...]:
    """Return the ascending times without those before the window."""
    for index, timestamp in enumerate(times):
        if timestamp > oldest:
            return times[index:]
    return ()
