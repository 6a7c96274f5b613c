"""Queue of requests that wait for a slot of an upstream.

A lower priority number is served first. Within a priority, the client
accounts share the slots by weight (start-time fair queueing).
"""

import typing

import pyrsistent
import pyrsistent.typing

from nutmegtrail.limits import const


class WaitingRequest(typing.NamedTuple):
    """A queued request; `start_tag` is its virtual start time."""

    request_id: str
    client_account: str
    priority: int
    start_tag: float
    arrival: int


TagsByAccount: typing.TypeAlias = pyrsistent.typing.PMap[str, float]


class Queue(typing.NamedTuple):
    """Running and waiting requests of one upstream."""

    slots: int
    running_ids: frozenset[str] = frozenset()
    waiting: tuple[WaitingRequest, ...] = ()
    virtual_time: float = 0
    finish_tags_by_account: TagsByAccount = pyrsistent.pmap()
    arrival_count: int = 0


class NewRequest(typing.NamedTuple):
    """A request to be queued."""

    request_id: str
    client_account: str
    priority: int
    share_weight: float


class QueueUpdate(typing.NamedTuple):
    """The next queue, and the requests to start and to refuse."""

    queue: Queue
    started_ids: tuple[str, ...] = ()
    refused_ids: tuple[str, ...] = ()


def enqueue(queue: Queue, arrival: NewRequest) -> QueueUpdate:
    """Add a request; if the queue is too long, its last request is refused."""
    previous = queue.finish_tags_by_account.get(arrival.client_account, 0)
    start_tag = max(queue.virtual_time, previous)
    finish_tag = start_tag + 1 / arrival.share_weight
    waiting = WaitingRequest(
        arrival.request_id,
        arrival.client_account,
        arrival.priority,
        start_tag,
        queue.arrival_count,
    )
    tags = queue.finish_tags_by_account.set(arrival.client_account, finish_tag)
    queued = queue._replace(
        waiting=tuple(sorted((*queue.waiting, waiting), key=_order)),
        finish_tags_by_account=tags,
        arrival_count=queue.arrival_count + 1,
    )
    return _enforce_length_limit(_start(queued))


def remove(queue: Queue, request_id: str) -> QueueUpdate:
    """Remove a running or waiting request and start the next one."""
    remaining = queue._replace(
        running_ids=queue.running_ids - {request_id},
        waiting=tuple(
            waiting
            for waiting in queue.waiting
            if waiting.request_id != request_id
        ),
    )
    if not remaining.running_ids and not remaining.waiting:
        remaining = remaining._replace(finish_tags_by_account=pyrsistent.pmap())
    return _start(remaining)


def _order(waiting: WaitingRequest) -> tuple[int, float, int]:
    """Return the sort key of a waiting request."""
    return waiting.priority, waiting.start_tag, waiting.arrival


def _start(queue: Queue) -> QueueUpdate:
    """Start waiting requests in order while slots are free."""
    free_slots = max(queue.slots - len(queue.running_ids), 0)
    chosen = queue.waiting[:free_slots]
    started_ids = tuple(waiting.request_id for waiting in chosen)
    virtual_time = max(
        (waiting.start_tag for waiting in chosen),
        default=queue.virtual_time,
    )
    started = queue._replace(
        running_ids=queue.running_ids | set(started_ids),
        waiting=queue.waiting[free_slots:],
        virtual_time=max(queue.virtual_time, virtual_time),
    )
    return QueueUpdate(started, started_ids)


def _enforce_length_limit(outcome: QueueUpdate) -> QueueUpdate:
    """Refuse the requests beyond the length limit of the queue."""
    queue = outcome.queue
    limit = max(round(queue.slots * const.QUEUE_LENGTH_RATIO), 1)
    kept = queue.waiting[:limit]
    refused_ids = tuple(waiting.request_id for waiting in queue.waiting[limit:])
    shortened = queue._replace(waiting=kept)
    return QueueUpdate(shortened, outcome.started_ids, refused_ids)
