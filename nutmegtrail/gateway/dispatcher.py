"""Assignment of queued requests to upstreams."""

import collections
import typing

import anyio

from nutmegtrail.draining import drain
from nutmegtrail.gateway import const
from nutmegtrail.gateway import evacuated_upstreams
from nutmegtrail.gateway import fleet
from nutmegtrail.gateway import health
from nutmegtrail.gateway import models
from nutmegtrail.gateway import request_counts
from nutmegtrail.gateway import request_limiter
from nutmegtrail.gateway import request_queue
from nutmegtrail.gateway import room_log
from nutmegtrail.gateway import selection
from nutmegtrail.overload import const as overload_const
from nutmegtrail.overload import contention
from nutmegtrail.preview import models as preview_models
from nutmegtrail.residency import regions
from nutmegtrail.sharing import demand


class _PendingRequest:
    """Outcome of a queued request, set once `decided` fires."""

    def __init__(self) -> None:
        """Initialize the request as undecided."""
        self.decided = anyio.Event()
        self.candidate: selection.Candidate | None = None


class Wait(typing.NamedTuple):
    """Expected wait: until an upstream takes requests, then in the queue."""

    upstream_seconds: float
    queue_seconds: float

    @property
    def total_seconds(self) -> float:
        """Return the whole wait."""
        return self.upstream_seconds + self.queue_seconds


class Dispatcher:
    """Queues requests by service and assigns them to upstreams."""

    def __init__(self, failure_domain: str, entry: str = '') -> None:
        """Initialize the dispatcher of an entry without any upstream."""
        self.known_upstreams = fleet.Fleet()
        self.upstream_health = health.Health()
        self.counts = request_counts.Counts()
        self.limiter = request_limiter.RequestLimiter()
        self.entries = 1
        self.share = 1.0
        self.drain = drain.Drain()
        self._demand = demand.Demand()
        self._expected_seconds_by_service: dict[str, float] = {}
        self._preference = selection.Preference(failure_domain, entry)
        self._loads_by_group: dict[str, int] = {}
        self._room_log = room_log.RoomLog()
        self._previous_loads_by_group: dict[str, int] = {}
        self._queues_by_service: dict[str, request_queue.RequestQueue] = {}
        self._pending_by_id: dict[str, _PendingRequest] = {}
        self._contention_by_service: collections.defaultdict[
            str, contention.Contention
        ] = collections.defaultdict(contention.Contention)
        # Upstreams that run suspects, by the request ID of the suspect.
        self._upstream_id_by_suspect: dict[str, str] = {}

    @property
    def waiting_count(self) -> int:
        """Return the number of queued requests."""
        return len(self._pending_by_id)

    @property
    def demand(self) -> float:
        """Return the recent requests per second and those that wait."""
        arrivals = demand.per_second(self._demand, anyio.current_time())
        return arrivals + self.waiting_count

    async def acquire(
        self,
        service: str,
        queued: request_queue.QueuedRequest,
    ) -> selection.Candidate | None:
        """Wait for an upstream and count it as used; None if refused.

        An upstream that became unusable before this task resumed is replaced.
        """
        while True:
            now = anyio.current_time()
            if request_queue.latest_start(queued, self.drain, now) < now:
                return None
            candidate = await self._wait_for_candidate(service, queued)
            if candidate is None or self._is_open(candidate.upstream):
                return candidate
            self.release(candidate.upstream, queued.request_id)

    async def _wait_for_candidate(
        self,
        service: str,
        queued: request_queue.QueuedRequest,
    ) -> selection.Candidate | None:
        """Queue a request until it is assigned to an upstream or refused."""
        pending = _PendingRequest()
        self._demand = demand.record_arrival(self._demand, anyio.current_time())
        self._pending_by_id[queued.request_id] = pending
        queue = self._queues_by_service.get(
            service, request_queue.RequestQueue()
        )
        self._queues_by_service[service] = request_queue.enqueue(queue, queued)
        self._contention_by_service[service].record_arrival(
            queued.priority, anyio.current_time()
        )
        self.dispatch(service)
        try:
            await pending.decided.wait()
        except BaseException:
            self._cancel(service, queued.request_id, pending)
            raise
        return pending.candidate

    def release(self, upstream: models.Upstream, request_id: str) -> None:
        """Count a request as ended and dispatch the next one."""
        self._upstream_id_by_suspect.pop(request_id, None)
        self.limiter.release(request_id)
        self.counts = request_counts.record_end(
            self.counts, upstream.upstream_id
        )
        self.dispatch(upstream.service)

    def confirm(self, upstream: models.Upstream, request_id: str) -> bool:
        """Return whether an assigned request may still be sent."""
        return self._is_open(upstream) and self.limiter.confirm(
            upstream, request_id
        )

    def expected_wait(self, service: str, priority: int | None = None) -> Wait:
        """Return the time until an upstream accepts one more request.

        It is 0 if an upstream of the service accepts requests now. Otherwise,
        the queued requests that are as urgent as the given priority go first,
        all of them without one.
        """
        context = self._selection_context()
        now = anyio.current_time()
        available_from = selection.available_from_by_id(
            context, service, now
        ).values()
        queue = self._queues_by_service.get(
            service, request_queue.RequestQueue()
        )
        starts = self._starts_per_second(service, now)
        before = request_queue.count_before(queue, priority)
        queue_seconds = before / starts if starts else 0
        first_seconds = max(min(available_from, default=now) - now, 0)
        return Wait(first_seconds, queue_seconds)

    def record_response_time(self, service: str, seconds: float) -> None:
        """Record the seconds from dispatch to the response or first event."""
        average = self._expected_seconds_by_service.get(service, seconds)
        self._expected_seconds_by_service[service] = health.moving_average(
            average,
            seconds,
            const.LATENCY_SMOOTHING_FACTOR,
        )

    def previous_load(self, group: str) -> int:
        """Return the requests that a group had before the last update.

        These are the requests of the pass whose events arrive now.
        """
        return self._previous_loads_by_group.get(group, 0)

    def dispatch_all(self) -> None:
        """Update the loads and dispatch all queues."""
        now = anyio.current_time()
        self.known_upstreams = fleet.decide(
            fleet.TimeElapsed(), self.known_upstreams, now
        )
        self.limiter.forget(self._is_registered)
        self.limiter.cold.refresh(self.known_upstreams.upstreams_by_id)
        self.counts = request_counts.drop_stale_reports(self.counts, now)
        self._previous_loads_by_group = self._loads_by_group
        self._loads_by_group = selection.loads_by_group(
            self._selection_context()
        )
        self._room_log.write(
            self.upstream_health,
            self._loads_by_group,
            self.waiting_count,
            now,
        )
        for service, queue in tuple(self._queues_by_service.items()):
            if queue.requests:
                self.dispatch(service)

    def dispatch(self, service: str) -> None:
        """Assign upstreams to queued requests, then shed excess requests."""
        queue = self._queues_by_service.get(service)
        if queue is None or not queue.requests:
            return
        now = anyio.current_time()
        if self.drain.is_active:
            queue = _refuse(
                request_queue.limit_starts(queue, self.drain, now),
                self._pending_by_id,
            )
        waiting = len(queue.requests)
        queue = self._assign(service, queue, now)
        started = waiting - len(queue.requests)
        queue = self._shed_load(service, queue, now)
        self._queues_by_service[service] = queue
        self._contention_by_service[service].record_round(
            started, len(queue.requests), now
        )

    def _assign(
        self, service: str, queue: request_queue.RequestQueue, now: float
    ) -> request_queue.RequestQueue:
        """Assign upstreams to the requests that room is left for."""
        response_at = now + self._expected_seconds_by_service.get(service, 0)
        candidates: tuple[selection.Candidate, ...] | None = None
        # The largest part of the room that was found full.
        full_ratio = 0.0
        for queued in request_queue.in_service_order(queue, response_at):
            ratio = 1.0
            if not request_queue.has_turn(queue, queued):
                ratio = self._contention_by_service[service].capacity_ratio(
                    queued, response_at, now
                )
            if ratio <= full_ratio and not queued.is_restricted:
                continue
            if candidates is None:
                candidates = selection.find_candidates(
                    self._selection_context(), service, now
                )
            candidate = self._choose(candidates, queued, ratio)
            if candidate is not None:
                queue = request_queue.dequeue(queue, queued)
                self._resolve(queued, candidate)
                candidates = None
            elif not queued.is_restricted:
                full_ratio = max(full_ratio, ratio)
        return queue

    def situation(
        self, service: str, queued: request_queue.QueuedRequest
    ) -> preview_models.Situation:
        """Return the state that would decide on a request, without queueing."""
        now = anyio.current_time()
        contention_of_service = self._contention_by_service[service]
        response_at = now + self._expected_seconds_by_service.get(service, 0)
        queue = self._queues_by_service.get(
            service, request_queue.RequestQueue()
        )
        return preview_models.Situation(
            self._selection_context(),
            queued,
            self._preference,
            contention_of_service.capacity_ratio(queued, response_at, now),
            request_queue.count_before(queue, queued.priority),
            self.expected_wait(service, queued.priority).total_seconds,
        )

    def has_upstreams(
        self,
        service: str,
        excluded_ids: frozenset[str],
        allowed_domains: frozenset[str] | None = None,
    ) -> bool:
        """Return whether any usable upstream is allowed and not excluded."""
        return any(
            upstream.upstream_id not in excluded_ids
            and regions.is_allowed(upstream.failure_domain, allowed_domains)
            for upstream in fleet.usable_upstreams(
                self.known_upstreams, service
            )
        )

    def has_available_upstreams(
        self,
        service: str,
        excluded_ids: frozenset[str],
        allowed_domains: frozenset[str] | None = None,
    ) -> bool:
        """Return whether an upstream that is not excluded accepts requests now.

        Unlike usable upstreams, those that hold requests off, or have got as
        many as they take, do not count.
        """
        context = self._selection_context()
        now = anyio.current_time()
        return any(
            upstream.upstream_id not in excluded_ids
            and regions.is_allowed(upstream.failure_domain, allowed_domains)
            and selection.is_available(context, upstream, now)
            for upstream in fleet.usable_upstreams(
                self.known_upstreams, service
            )
        )

    def _is_open(self, upstream: models.Upstream) -> bool:
        """Return whether an upstream accepts requests, within its limit."""
        return selection.is_open(
            self._selection_context(), upstream, anyio.current_time()
        )

    def _is_registered(self, incarnation: models.Incarnation) -> bool:
        """Return whether this incarnation of an upstream is registered."""
        upstream = self.known_upstreams.upstreams_by_id.get(incarnation[0])
        return upstream is not None and upstream.incarnation == incarnation

    def _shed_load(
        self,
        service: str,
        queue: request_queue.RequestQueue,
        now: float,
    ) -> request_queue.RequestQueue:
        """Refuse requests that would wait too long.

        None is kept if all upstreams are in failure domains out of service.
        """
        if evacuated_upstreams.are_all(self.known_upstreams, service):
            result = request_queue.refuse_all(queue)
        else:
            context = self._selection_context()
            result = request_queue.shed_load(
                queue,
                int(selection.slots(context, service, now) * self.share),
                now,
                request_queue.Availability(
                    selection.available_from_by_id(context, service, now),
                    self._starts_per_second(service, now)
                    * overload_const.START_RATE_MARGIN,
                ),
            )
        return _refuse(result, self._pending_by_id)

    def _starts_per_second(self, service: str, now: float) -> float:
        """Return the rate at which the queued requests of a service start.

        It is infinite unless limits of its upstreams bind, or requests have
        waited for room for some time.
        """
        return min(
            selection.starts_per_second(
                self._selection_context(), service, now
            ),
            self._contention_by_service[service].starts_per_second(now),
        )

    def _choose(
        self,
        candidates: tuple[selection.Candidate, ...],
        queued: request_queue.QueuedRequest,
        capacity_ratio: float,
    ) -> selection.Candidate | None:
        """Return an upstream for a request, None if none is free.

        Suspects avoid upstreams that run other suspects, so that a crash can
        be attributed to one of them.
        """
        avoided_ids: frozenset[str] = frozenset()
        if queued.is_suspect:
            avoided_ids = frozenset(self._upstream_id_by_suspect.values())
        return selection.choose(
            candidates,
            queued.excluded_ids,
            self._preference,
            capacity_ratio,
            avoided_ids,
            queued.allowed_domains,
        )

    def _selection_context(self) -> selection.SelectionContext:
        """Return the current state that a choice depends on."""
        return selection.SelectionContext(
            self.known_upstreams,
            self.upstream_health,
            self.counts,
            self.share,
            self._loads_by_group,
            self.limiter.limits,
            self.limiter.sharing,
            self.limiter.cold.by_id,
        )

    def _resolve(
        self,
        queued: request_queue.QueuedRequest,
        candidate: selection.Candidate,
    ) -> None:
        """Assign an upstream to a request and wake its task."""
        self.counts = request_counts.record_start(
            self.counts, candidate.upstream.upstream_id
        )
        self.limiter.reserve(candidate.upstream, queued.request_id)
        if queued.is_suspect:
            self._upstream_id_by_suspect[queued.request_id] = (
                candidate.upstream.upstream_id
            )
        pending = self._pending_by_id.pop(queued.request_id)
        pending.candidate = candidate
        pending.decided.set()

    def _cancel(
        self,
        service: str,
        request_id: str,
        pending: _PendingRequest,
    ) -> None:
        """Remove a request whose caller has disconnected."""
        if pending.decided.is_set():
            if pending.candidate is not None:
                self.release(pending.candidate.upstream, request_id)
            return
        self._pending_by_id.pop(request_id, None)
        queue = request_queue.remove(
            self._queues_by_service[service], request_id
        )
        self._queues_by_service[service] = queue
        self._contention_by_service[service].record_round(
            0, len(queue.requests), anyio.current_time()
        )


def _refuse(
    result: request_queue.ShedResult,
    pending_by_id: dict[str, _PendingRequest],
) -> request_queue.RequestQueue:
    """Tell requests that they are refused; return the queue of the others."""
    for request_id in result.refused_ids:
        pending_by_id.pop(request_id).decided.set()
    return result.queue


def latest_start(
    route: models.Route,
    received_at_seconds: float,
    deadline_seconds: float,
) -> float:
    """Return the latest time at which starting a request is still useful."""
    budget_seconds = deadline_seconds - received_at_seconds
    wait_seconds = budget_seconds * const.MAX_QUEUE_TIME_RATIO
    if route.kind is models.RouteKind.STREAM:
        wait_seconds = min(wait_seconds, const.MAX_STREAM_QUEUE_SECONDS)
    return received_at_seconds + wait_seconds
