"""Limits of waits that a planned stop may shorten."""

import collections.abc
import contextlib
import functools
import typing

import anyio

from nutmegtrail.draining import drain as draining

# Returns for how long to wait, given the time.
Limit: typing.TypeAlias = collections.abc.Callable[[float], float]


@contextlib.contextmanager
def limit_scope(
    scope: anyio.CancelScope, drain: draining.Drain, limit: Limit
) -> collections.abc.Iterator[None]:
    """Cancel a scope after a limit, or that of a stop that begins meanwhile."""
    apply = functools.partial(_apply_limit, scope, limit, anyio.current_time())
    apply()
    with drain.notify_at_begin(apply):
        yield


async def wait(drain: draining.Drain, limit: Limit) -> None:
    """Wait for a limit, or for that of a stop that begins meanwhile."""
    with anyio.CancelScope() as scope, limit_scope(scope, drain, limit):
        await anyio.sleep_forever()


def _apply_limit(
    scope: anyio.CancelScope, limit: Limit, since_seconds: float
) -> None:
    """Cancel a scope once the current limit has passed since a time."""
    scope.deadline = since_seconds + limit(anyio.current_time())
