"""Order of the requests that wait for a free upstream of a service.

Requests that can still meet their objective go first, since one that has
missed it loses little by request longer. Within that, a lower priority
number goes first, and accounts share by start-time fair queueing.
"""

import typing

from nutmegtrail.gateway import const


class QueuedRequest(typing.NamedTuple):
    """A request in the line.

    After `objective_at_seconds` its answer is late; after
    `useless_at_seconds` starting it no longer helps its caller.
    """

    request_id: str
    account: str
    priority: int
    objective_deadline_seconds: float
    latest_start_seconds: float
    excluded_ids: frozenset[str]
    start_tag: float = 0
    arrival_number: int = 0


class RequestQueue(typing.NamedTuple):
    """Requests that wait for one service."""

    requests: tuple[QueuedRequest, ...] = ()
    virtual_time: float = 0
    finish_tags_by_account: typing.Mapping[str, float] = {}
    arrival_count: int = 0


class ShedResult(typing.NamedTuple):
    """The line and the requests that were taken out of it."""

    queue: RequestQueue
    refused_ids: tuple[str, ...] = ()


def enqueue(queue: RequestQueue, request: QueuedRequest) -> RequestQueue:
    """Return the line with a request."""
    tags = dict(queue.finish_tags_by_account)
    start_tag = max(queue.virtual_time, tags.get(request.account, 0))
    tags[request.account] = start_tag + 1
    tagged = request._replace(
        start_tag=start_tag, arrival_number=queue.arrival_count
    )
    return queue._replace(
        requests=(*queue.requests, tagged),
        finish_tags_by_account=tags,
        arrival_count=queue.arrival_count + 1,
    )


def remove(queue: RequestQueue, request_id: str) -> RequestQueue:
    """Return the line without a request."""
    remaining = tuple(
        request
        for request in queue.requests
        if request.request_id != request_id
    )
    if remaining:
        return queue._replace(requests=remaining)
    return RequestQueue(arrival_count=queue.arrival_count)


def in_service_order(
    queue: RequestQueue, response_at_seconds: float
) -> tuple[QueuedRequest, ...]:
    """Return the waiting requests, the first to be served first.

    One that is started now is expected to be answered at the given time.
    """
    return tuple(
        sorted(
            queue.requests,
            key=lambda request: (
                response_at_seconds > request.objective_deadline_seconds,
                request.priority,
                request.start_tag,
                request.arrival_number,
            ),
        ),
    )


def dequeue(queue: RequestQueue, request: QueuedRequest) -> RequestQueue:
    """Return the line after a request got its upstream."""
    virtual_time = max(queue.virtual_time, request.start_tag)
    advanced = queue._replace(virtual_time=virtual_time)
    return remove(advanced, request.request_id)


def shed_load(
    queue: RequestQueue, slots: int, now_seconds: float
) -> ShedResult:
    """Refuse what can not be served in time and the last over the limit."""
    limit = max(int(slots * const.MAX_QUEUED_PER_SLOT), 1)
    ordered = in_service_order(queue, now_seconds)
    viable = [
        request
        for request in ordered
        if now_seconds < request.latest_start_seconds
    ]
    kept_ids = {request.request_id for request in viable[:limit]}
    refused_ids = tuple(
        request.request_id
        for request in ordered
        if request.request_id not in kept_ids
    )
    for request_id in refused_ids:
        queue = remove(queue, request_id)
    return ShedResult(queue, refused_ids)
