"""Rate at which room becomes free for the requests that wait."""

import math
import typing

from nutmegtrail.overload import const


class Starts(typing.NamedTuple):
    """Recent starts of a queue, the oldest first.

    `waiting_since_seconds` is since when some request has waited without a
    break, None while none waits.
    """

    started_at_seconds: tuple[float, ...] = ()
    waiting_since_seconds: float | None = None


def record(
    starts: Starts, started: int, waiting: int, now_seconds: float
) -> Starts:
    """Return the starts after a round that left some requests waiting."""
    oldest = now_seconds - const.START_RATE_SECONDS
    kept = tuple(
        started_at
        for started_at in starts.started_at_seconds
        if started_at > oldest
    )
    since = starts.waiting_since_seconds
    if not waiting:
        since = None
    elif since is None:
        since = now_seconds
    recent = (*kept, *(now_seconds for _ in range(started)))
    return Starts(recent[-const.REMEMBERED_STARTS :], since)


def per_second(starts: Starts, now_seconds: float) -> float:
    """Return the starts per second, infinite unless requests wait for room.

    It takes as long to tell as the starts are counted for. Without any start
    in this time the upstreams stall, which tells nothing of their rate.
    """
    since = starts.waiting_since_seconds
    if since is None or now_seconds - since < const.START_RATE_SECONDS:
        return math.inf
    oldest = now_seconds - const.START_RATE_SECONDS
    count = sum(started > oldest for started in starts.started_at_seconds)
    return count / const.START_RATE_SECONDS if count else math.inf
