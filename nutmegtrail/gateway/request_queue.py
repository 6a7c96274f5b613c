"""Order of the requests that wait for a free upstream of a service.

Requests that can still meet their objective go first, since one that has
missed it loses little by waiting longer. Within that, a lower priority
number goes first, and accounts share by start-time fair queueing.
"""

import typing

from nutmegtrail.gateway import const


class Waiting(typing.NamedTuple):
    """A request in the line.

    After `objective_at_seconds` its answer is late; after
    `useless_at_seconds` starting it no longer helps its caller.
    """

    request_id: str
    account: str
    priority: int
    objective_at_seconds: float
    useless_at_seconds: float
    excluded_ids: frozenset[str]
    start_tag: float = 0
    number: int = 0


class Line(typing.NamedTuple):
    """Requests that wait for one service."""

    waiting: tuple[Waiting, ...] = ()
    virtual_time: float = 0
    finish_tags_by_account: typing.Mapping[str, float] = {}
    arrivals: int = 0


class Cut(typing.NamedTuple):
    """The line and the requests that were taken out of it."""

    line: Line
    refused_ids: tuple[str, ...] = ()


def arrive(line: Line, arrival: Waiting) -> Line:
    """Return the line with a request."""
    tags = dict(line.finish_tags_by_account)
    start_tag = max(line.virtual_time, tags.get(arrival.account, 0))
    tags[arrival.account] = start_tag + 1
    placed = arrival._replace(start_tag=start_tag, number=line.arrivals)
    return line._replace(
        waiting=(*line.waiting, placed),
        finish_tags_by_account=tags,
        arrivals=line.arrivals + 1,
    )


def leave(line: Line, request_id: str) -> Line:
    """Return the line without a request."""
    rest = tuple(
        waiting for waiting in line.waiting if waiting.request_id != request_id
    )
    if rest:
        return line._replace(waiting=rest)
    return Line(arrivals=line.arrivals)


def in_order(line: Line, answer_at_seconds: float) -> tuple[Waiting, ...]:
    """Return the waiting requests, the first to be served first.

    One that is started now is expected to be answered at the given time.
    """
    return tuple(
        sorted(
            line.waiting,
            key=lambda waiting: (
                answer_at_seconds > waiting.objective_at_seconds,
                waiting.priority,
                waiting.start_tag,
                waiting.number,
            ),
        ),
    )


def started(line: Line, waiting: Waiting) -> Line:
    """Return the line after a request got its upstream."""
    virtual_time = max(line.virtual_time, waiting.start_tag)
    advanced = line._replace(virtual_time=virtual_time)
    return leave(advanced, waiting.request_id)


def shorten(line: Line, slots: int, now_seconds: float) -> Cut:
    """Refuse what can not be served in time and the last over the limit."""
    limit = max(int(slots * const.MAX_QUEUED_PER_SLOT), 1)
    ordered = in_order(line, now_seconds)
    hopeful = [
        waiting
        for waiting in ordered
        if now_seconds < waiting.useless_at_seconds
    ]
    kept_ids = {waiting.request_id for waiting in hopeful[:limit]}
    refused_ids = tuple(
        waiting.request_id
        for waiting in ordered
        if waiting.request_id not in kept_ids
    )
    for request_id in refused_ids:
        line = leave(line, request_id)
    return Cut(line, refused_ids)
