"""Which of the waiting requests goes first, and how much room it may use.

What waiting costs a caller depends on its priority and on what is left to its
objective: a response in time is worth more to it than a late one, and a late
one is worth the same until its latest start. So the most urgent go first,
and within a priority those that can still be in time. A late request leaves
part of the room to those in time, of any priority, up to its last chance.
"""

import collections.abc
import typing

from nutmegtrail.overload import const
from nutmegtrail.overload import models

_RequestT = typing.TypeVar('_RequestT', bound=models.WaitingRequest)


class Rank(typing.NamedTuple):
    """Sort key of a waiting request, the lowest to go first.

    Among equals, accounts share by the work of their requests; the size of a
    request does not delay itself.
    """

    is_new: bool
    priority: int
    is_late: bool
    start_tag: float
    objective_deadline_seconds: float
    arrival_number: int


def rank(request: models.WaitingRequest, response_at_seconds: float) -> Rank:
    """Return the sort key of a waiting request.

    `response_at_seconds` is when a request that starts now is expected to be
    answered.
    """
    is_late = response_at_seconds > request.objective_deadline_seconds
    return Rank(
        not request.is_resumed,
        request.priority,
        is_late,
        request.start_tag,
        request.objective_deadline_seconds,
        request.arrival_number,
    )


def order(
    requests: collections.abc.Iterable[_RequestT],
    response_at_seconds: float,
    turns: models.Turns,
) -> tuple[_RequestT, ...]:
    """Return the requests, the next to be served first.

    After some starts that passed over less urgent requests, one of these has
    its turn. The less urgent priorities take turns.
    """
    ordered = sorted(
        requests, key=lambda request: rank(request, response_at_seconds)
    )
    waiting = [request for request in ordered if not request.is_resumed]
    priority = due_priority(waiting, turns)
    if priority is None:
        return tuple(ordered)
    turn = next(request for request in waiting if request.priority == priority)
    ordered.remove(turn)
    ordered.insert(len(ordered) - len(waiting) + 1, turn)
    return tuple(ordered)


def record_start(
    turns: models.Turns,
    started: models.WaitingRequest,
    waiting: collections.abc.Iterable[models.WaitingRequest],
) -> models.Turns:
    """Return the turns after the start of one of the requests.

    `waiting` are those that wait on.
    """
    if started.is_resumed:
        return turns
    priorities = {request.priority for request in waiting}
    if priorities and started.priority > min(priorities):
        return models.Turns(0, started.priority)
    is_passing = any(priority > started.priority for priority in priorities)
    passed_over = turns.passed_over + 1 if is_passing else 0
    return turns._replace(passed_over=passed_over)


def due_priority(
    requests: collections.abc.Iterable[models.WaitingRequest],
    turns: models.Turns,
) -> int | None:
    """Return the less urgent priority whose turn it is, None without one."""
    if turns.passed_over < const.PASSED_OVER_LIMIT:
        return None
    priorities = {
        request.priority for request in requests if not request.is_resumed
    }
    less_urgent = priorities - {min(priorities, default=0)}
    following = {
        priority for priority in less_urgent if priority > turns.last_priority
    }
    return min(following or less_urgent, default=None)


def capacity_ratio(
    request: models.WaitingRequest,
    response_at_seconds: float,
    last_asked_by_priority: collections.abc.Mapping[int, float],
    now_seconds: float,
) -> float:
    """Return the part of the room that a request may use.

    It leaves some to those that are more urgent and have asked lately. A late
    request leaves more, unless it is its last chance.
    """
    if request.is_resumed:
        return 1.0
    more_urgent = sum(
        priority < request.priority
        and now_seconds - asked_at <= const.HEADROOM_MEMORY_SECONDS
        for priority, asked_at in last_asked_by_priority.items()
    )
    ratio = 1 - min(more_urgent, const.HEADROOM_LEVELS) * const.HEADROOM_RATIO
    is_late = response_at_seconds > request.objective_deadline_seconds
    if is_late and not _is_last_chance(request, response_at_seconds):
        ratio = min(ratio, const.LATE_REQUEST_CAPACITY_RATIO)
    return ratio


def _is_last_chance(
    request: models.WaitingRequest, response_at_seconds: float
) -> bool:
    """Return whether a request soon reaches its latest start."""
    last_chance = request.latest_start_seconds - const.LAST_CHANCE_SECONDS
    return response_at_seconds > last_chance
