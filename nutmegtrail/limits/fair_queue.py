"""Order of the requests that wait for a slot of an upstream.

A lower priority number goes first; within a priority the accounts share
the slots by weight (start-time fair queueing).
"""

import typing

import pyrsistent
import pyrsistent.typing

from nutmegtrail.limits import const


class Waiting(typing.NamedTuple):
    """A request in the queue; `start_tag` is its virtual start time."""

    request_id: str
    client_account: str
    priority: int
    start_tag: float
    arrival: int


TagsByAccount: typing.TypeAlias = pyrsistent.typing.PMap[str, float]


class Queue(typing.NamedTuple):
    """Requests running and waiting at one upstream."""

    slots: int
    running_ids: frozenset[str] = frozenset()
    waiting: tuple[Waiting, ...] = ()
    virtual_time: float = 0
    finish_tags_by_account: TagsByAccount = pyrsistent.pmap()
    arrivals: int = 0


class NewRequest(typing.NamedTuple):
    """A request as the queue sees it."""

    request_id: str
    client_account: str
    priority: int
    share_weight: float


class QueueUpdate(typing.NamedTuple):
    """The next queue, whose request to start and whose to refuse."""

    queue: Queue
    started_ids: tuple[str, ...] = ()
    refused_ids: tuple[str, ...] = ()


def enqueue(queue: Queue, arrival: NewRequest) -> QueueUpdate:
    """Queue a request; over the length limit the last in order is refused."""
    previous = queue.finish_tags_by_account.get(arrival.client_account, 0)
    start_tag = max(queue.virtual_time, previous)
    finish_tag = start_tag + 1 / arrival.share_weight
    waiting = Waiting(
        arrival.request_id,
        arrival.client_account,
        arrival.priority,
        start_tag,
        queue.arrivals,
    )
    tags = queue.finish_tags_by_account.set(arrival.client_account, finish_tag)
    queued = queue._replace(
        waiting=tuple(sorted((*queue.waiting, waiting), key=_order)),
        finish_tags_by_account=tags,
        arrivals=queue.arrivals + 1,
    )
    return _shorten(_start(queued))


def remove(queue: Queue, request_id: str) -> QueueUpdate:
    """Free the slot or the place of a request and start the next."""
    left = queue._replace(
        running_ids=queue.running_ids - {request_id},
        waiting=tuple(
            waiting
            for waiting in queue.waiting
            if waiting.request_id != request_id
        ),
    )
    if not left.running_ids and not left.waiting:
        left = left._replace(finish_tags_by_account=pyrsistent.pmap())
    return _start(left)


def _order(waiting: Waiting) -> tuple[int, float, int]:
    """Return the sort key of a waiting request."""
    return waiting.priority, waiting.start_tag, waiting.arrival


def _start(queue: Queue) -> QueueUpdate:
    """Start the first requests while slots are free."""
    free = max(queue.slots - len(queue.running_ids), 0)
    chosen = queue.waiting[:free]
    started_ids = tuple(waiting.request_id for waiting in chosen)
    virtual_time = max(
        (waiting.start_tag for waiting in chosen),
        default=queue.virtual_time,
    )
    started = queue._replace(
        running_ids=queue.running_ids | set(started_ids),
        waiting=queue.waiting[free:],
        virtual_time=max(queue.virtual_time, virtual_time),
    )
    return QueueUpdate(started, started_ids)


def _shorten(outcome: QueueUpdate) -> QueueUpdate:
    """Refuse the requests over the queue's length limit."""
    queue = outcome.queue
    limit = max(round(queue.slots * const.QUEUE_SHARE_OF_SLOTS), 1)
    kept = queue.waiting[:limit]
    refused_ids = tuple(waiting.request_id for waiting in queue.waiting[limit:])
    shortened = queue._replace(waiting=kept)
    return QueueUpdate(shortened, outcome.started_ids, refused_ids)
