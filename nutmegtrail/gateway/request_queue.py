"""Queue of the requests that wait for a free upstream of a service.

`overload.urgency` decides which of them goes first. Within a priority, accounts
share the upstreams by start-time fair queueing, weighted by the work that
their requests need.
"""

import math
import typing

import pyrsistent

from nutmegtrail.draining import drain
from nutmegtrail.draining import models as draining_models
from nutmegtrail.gateway import const
from nutmegtrail.overload import models as overload_models
from nutmegtrail.overload import urgency


class QueuedRequest(typing.NamedTuple):
    """Request in the queue.

    After `objective_deadline_seconds` its response is late. After
    `latest_start_seconds` starting it no longer helps its caller. A suspect
    may have crashed an upstream and is kept apart from other suspects.
    `is_resumed` marks a stream whose first events were sent. `work` is what it
    needs of its upstream, 1 for a usual request. It is sent to upstreams in
    `allowed_domains` only, unless that is None. `stoppable` tells whether a
    planned stop leaves it enough time.
    """

    request_id: str
    account: str
    priority: int
    objective_deadline_seconds: float
    latest_start_seconds: float
    excluded_ids: frozenset[str]
    is_suspect: bool = False
    is_resumed: bool = False
    work: float = 1
    start_tag: float = 0
    arrival_number: int = 0
    allowed_domains: frozenset[str] | None = None
    stoppable: draining_models.Request | None = None

    @property
    def is_restricted(self) -> bool:
        """Return whether upstreams that take others may not take it."""
        return bool(self.excluded_ids) or self.allowed_domains is not None


class RequestQueue(typing.NamedTuple):
    """Requests that wait for one service, with their fair-queueing state.

    `turns` tells when a less urgent request has its turn.
    """

    requests: tuple[QueuedRequest, ...] = ()
    virtual_time: float = 0
    finish_tags_by_account: typing.Mapping[str, float] = {}
    arrival_count: int = 0
    turns: overload_models.Turns = overload_models.Turns()


class Availability(typing.NamedTuple):
    """When upstreams accept the next requests.

    `from_by_id` has the times from which upstreams accept a request; it is
    empty if all of them do now. `starts_per_second` is the rate at which
    queued requests can be sent.
    """

    from_by_id: typing.Mapping[str, float] = pyrsistent.pmap()
    starts_per_second: float = math.inf


_AVAILABLE: typing.Final = Availability()


class ShedResult(typing.NamedTuple):
    """Remaining queue and the requests that were refused."""

    queue: RequestQueue
    refused_ids: tuple[str, ...] = ()


def enqueue(queue: RequestQueue, request: QueuedRequest) -> RequestQueue:
    """Return the queue with the request added."""
    tags = dict(queue.finish_tags_by_account)
    start_tag = max(queue.virtual_time, tags.get(request.account, 0))
    tags[request.account] = start_tag + request.work
    tagged = request._replace(
        start_tag=start_tag, arrival_number=queue.arrival_count
    )
    return queue._replace(
        requests=(*queue.requests, tagged),
        finish_tags_by_account=tags,
        arrival_count=queue.arrival_count + 1,
    )


def remove(queue: RequestQueue, request_id: str) -> RequestQueue:
    """Return the queue without a request that was not served.

    Its account gets back the share that the request would have used.
    """
    removed = next(
        (
            request
            for request in queue.requests
            if request.request_id == request_id
        ),
        None,
    )
    if removed is None:
        return queue
    tags = dict(queue.finish_tags_by_account)
    tags[removed.account] -= removed.work
    advanced = tuple(
        request._replace(start_tag=request.start_tag - removed.work)
        if _follows(request, removed)
        else request
        for request in queue.requests
    )
    return _without(
        queue._replace(requests=advanced, finish_tags_by_account=tags),
        request_id,
    )


def _follows(request: QueuedRequest, removed: QueuedRequest) -> bool:
    """Return whether a request was queued after one of the same account."""
    return (
        request.account == removed.account
        and request.arrival_number > removed.arrival_number
    )


def _without(queue: RequestQueue, request_id: str) -> RequestQueue:
    """Return the queue without a request."""
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
    """Return the requests, the next to be served first.

    `response_at_seconds` is when a request that starts now is expected to be
    answered.
    """
    return urgency.order(queue.requests, response_at_seconds, queue.turns)


def count_before(queue: RequestQueue, priority: int | None) -> int:
    """Return how many requests are as urgent as a priority, all if None."""
    return sum(
        priority is None or request.priority <= priority
        for request in queue.requests
    )


def has_turn(queue: RequestQueue, request: QueuedRequest) -> bool:
    """Return whether it is the turn of a less urgent request's priority."""
    due = urgency.due_priority(queue.requests, queue.turns)
    return due == request.priority and not request.is_resumed


def dequeue(queue: RequestQueue, request: QueuedRequest) -> RequestQueue:
    """Return the queue after a request was assigned to an upstream."""
    virtual_time = max(queue.virtual_time, request.start_tag)
    waiting = (
        other
        for other in queue.requests
        if other.request_id != request.request_id
    )
    advanced = queue._replace(
        virtual_time=virtual_time,
        turns=urgency.record_start(queue.turns, request, waiting),
    )
    return _without(advanced, request.request_id)


def shed_load(
    queue: RequestQueue,
    slots: int,
    now_seconds: float,
    availability: Availability = _AVAILABLE,
) -> ShedResult:
    """Refuse requests that are too late or exceed the queue limit.

    Streams that are resumed do not count against the limit.

    A request is too late if no upstream accepts it in time, after those that
    go before it.
    """
    limit = max(int(slots * const.MAX_QUEUED_PER_SLOT), 1)
    ordered = in_service_order(queue, now_seconds)
    viable = _in_time(ordered, now_seconds, availability)
    resumed = [request for request in viable if request.is_resumed]
    others = [request for request in viable if not request.is_resumed]
    kept_ids = {request.request_id for request in (*resumed, *others[:limit])}
    refused_ids = tuple(
        request.request_id
        for request in ordered
        if request.request_id not in kept_ids
    )
    for request_id in refused_ids:
        queue = remove(queue, request_id)
    return ShedResult(queue, refused_ids)


def latest_start(
    request: QueuedRequest, stop: drain.Drain, now_seconds: float
) -> float:
    """Return until when a planned stop lets a request start.

    A stream that has begun can only be continued here.
    """
    if request.stoppable is None or request.is_resumed:
        return math.inf
    return stop.latest_start(request.stoppable, now_seconds)


def limit_starts(
    queue: RequestQueue, stop: drain.Drain, now_seconds: float
) -> ShedResult:
    """Refuse requests that would not end before a planned stop does.

    The others get earlier latest starts.
    """
    limited = tuple(
        request._replace(
            latest_start_seconds=min(
                request.latest_start_seconds,
                latest_start(request, stop, now_seconds),
            )
        )
        for request in queue.requests
    )
    queue = queue._replace(requests=limited)
    refused_ids = tuple(
        request.request_id
        for request in limited
        if request.latest_start_seconds < now_seconds
    )
    for request_id in refused_ids:
        queue = remove(queue, request_id)
    return ShedResult(queue, refused_ids)


def refuse_all(queue: RequestQueue) -> ShedResult:
    """Refuse all requests."""
    refused_ids = tuple(request.request_id for request in queue.requests)
    return ShedResult(
        RequestQueue(arrival_count=queue.arrival_count), refused_ids
    )


def _in_time(
    ordered: tuple[QueuedRequest, ...],
    now_seconds: float,
    availability: Availability,
) -> list[QueuedRequest]:
    """Return the requests that can start in time, in the given order."""
    first_available = max(
        min(availability.from_by_id.values(), default=now_seconds),
        now_seconds,
    )
    interval_seconds = math.inf
    if availability.starts_per_second:
        interval_seconds = 1 / availability.starts_per_second
    in_time: list[QueuedRequest] = []
    for request in ordered:
        start_at = max(
            _first_available(request, availability.from_by_id, first_available),
            now_seconds,
        )
        if in_time:
            start_at += interval_seconds * len(in_time)
        if start_at < request.latest_start_seconds:
            in_time.append(request)
    return in_time


def _first_available(
    request: QueuedRequest,
    available_from_by_id: typing.Mapping[str, float],
    first_available_seconds: float,
) -> float:
    """Return when the first upstream accepts a request.

    A request that excludes all upstreams waits for one that is new.
    """
    if not request.excluded_ids:
        return first_available_seconds
    return min(
        (
            available_from
            for upstream_id, available_from in available_from_by_id.items()
            if upstream_id not in request.excluded_ids
        ),
        default=float('-inf'),
    )
