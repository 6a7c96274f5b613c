"""Gives waiting requests their upstreams; holds what the choice needs."""

import anyio

from nutmegtrail.gateway import const
from nutmegtrail.gateway import fleet
from nutmegtrail.gateway import health
from nutmegtrail.gateway import models
from nutmegtrail.gateway import request_counts
from nutmegtrail.gateway import request_queue
from nutmegtrail.gateway import selection


class _PendingRequest:
    """A request's place in a line and what came of it."""

    def __init__(self) -> None:
        """Start without an outcome."""
        self.decided = anyio.Event()
        self.candidate: selection.Candidate | None = None


class Dispatcher:
    """Lines of waiting requests by service, over one shared view of loads."""

    def __init__(self, failure_domain: str) -> None:
        """Start with an empty fleet."""
        self.known_upstreams = fleet.Fleet()
        self.upstream_health = health.Health()
        self.counts = request_counts.Counts()
        self.entries = 1
        self._expected_seconds_by_service: dict[str, float] = {}
        self._failure_domain = failure_domain
        self._loads_by_group: dict[str, int] = {}
        self._previous_loads_by_group: dict[str, int] = {}
        self._queues_by_service: dict[str, request_queue.RequestQueue] = {}
        self._pending_by_id: dict[str, _PendingRequest] = {}

    @property
    def waiting_count(self) -> int:
        """Return the number of waiting requests."""
        return len(self._pending_by_id)

    async def acquire(
        self,
        service: str,
        queued: request_queue.QueuedRequest,
    ) -> selection.Candidate | None:
        """Return an upstream's place, counted as used; None where refused."""
        pending = _PendingRequest()
        self._pending_by_id[queued.request_id] = pending
        queue = self._queues_by_service.get(
            service, request_queue.RequestQueue()
        )
        self._queues_by_service[service] = request_queue.enqueue(queue, queued)
        self.dispatch(service)
        try:
            await pending.decided.wait()
        except BaseException:
            self._cancel(service, queued.request_id, pending)
            raise
        return pending.candidate

    def release(self, upstream: models.Upstream) -> None:
        """Count a request as ended and serve the next one."""
        self.counts = request_counts.record_end(
            self.counts, upstream.upstream_id
        )
        self.dispatch(upstream.service)

    def record_response_time(self, service: str, seconds: float) -> None:
        """Take the time from an upstream's choice to its first event."""
        average = self._expected_seconds_by_service.get(service, seconds)
        self._expected_seconds_by_service[service] = health.moving_average(
            average,
            seconds,
            const.LATENCY_SMOOTHING_FACTOR,
        )

    def previous_load(self, group: str) -> int:
        """Return the requests of a group in the pass that ends now."""
        return self._previous_loads_by_group.get(group, 0)

    def dispatch_all(self) -> None:
        """Serve all lines, for example after a change of the fleet."""
        now = anyio.current_time()
        self.known_upstreams = fleet.decide(
            fleet.Elapsed(), self.known_upstreams, now
        )
        self.counts = request_counts.drop_stale_reports(self.counts, now)
        self._previous_loads_by_group = self._loads_by_group
        self._loads_by_group = selection.loads_by_group(
            self._selection_context()
        )
        for service, queue in tuple(self._queues_by_service.items()):
            if queue.requests:
                self.dispatch(service)

    def dispatch(self, service: str) -> None:
        """Give the first waiting requests their upstreams."""
        queue = self._queues_by_service.get(service)
        if queue is None or not queue.requests:
            return
        now = anyio.current_time()
        expected_seconds = self._expected_seconds_by_service.get(service, 0)
        candidates: tuple[selection.Candidate, ...] | None = None
        for queued in request_queue.in_service_order(
            queue, now + expected_seconds
        ):
            if candidates is None:
                candidates = self._find_candidates(service, now)
            candidate = self._choose(candidates, queued, now + expected_seconds)
            if candidate is None and queued.excluded_ids:
                continue
            if candidate is None:
                break
            queue = request_queue.dequeue(queue, queued)
            self.counts = request_counts.record_start(
                self.counts,
                candidate.upstream.upstream_id,
            )
            self._resolve(queued.request_id, candidate)
            candidates = None
        self._queues_by_service[service] = self._shed_load(service, queue, now)

    def has_upstreams(self, service: str, excluded_ids: frozenset[str]) -> bool:
        """Return whether any registered upstream could take a request."""
        return any(
            upstream.upstream_id not in excluded_ids
            for upstream in fleet.usable(self.known_upstreams, service)
        )

    def _shed_load(
        self,
        service: str,
        queue: request_queue.RequestQueue,
        now: float,
    ) -> request_queue.RequestQueue:
        """Refuse the requests that would wait too long."""
        slots = sum(
            upstream.slots
            for upstream in fleet.usable(self.known_upstreams, service)
        )
        result = request_queue.shed_load(queue, slots // self.entries, now)
        for request_id in result.refused_ids:
            self._resolve(request_id, None)
        return result.queue

    def _choose(
        self,
        candidates: tuple[selection.Candidate, ...],
        queued: request_queue.QueuedRequest,
        response_at_seconds: float,
    ) -> selection.Candidate | None:
        """Return the place of a request; a late one leaves some room."""
        is_late = response_at_seconds > queued.objective_deadline_seconds
        return selection.choose(
            candidates,
            queued.excluded_ids,
            self._failure_domain,
            const.LATE_REQUEST_CAPACITY_RATIO if is_late else 1.0,
        )

    def _find_candidates(
        self, service: str, now: float
    ) -> tuple[selection.Candidate, ...]:
        """Return the places of a service as they are now."""
        return selection.find_candidates(
            self._selection_context(), service, now
        )

    def _selection_context(self) -> selection.SelectionContext:
        """Return all that a choice depends on, as it is now."""
        return selection.SelectionContext(
            self.known_upstreams,
            self.upstream_health,
            self.counts,
            self.entries,
            self._loads_by_group,
        )

    def _resolve(
        self,
        request_id: str,
        candidate: selection.Candidate | None,
    ) -> None:
        """Wake the task of a request."""
        pending = self._pending_by_id.pop(request_id)
        pending.candidate = candidate
        pending.decided.set()

    def _cancel(
        self,
        service: str,
        request_id: str,
        pending: _PendingRequest,
    ) -> None:
        """Take back the place of a request whose caller has gone."""
        if pending.decided.is_set():
            if pending.candidate is not None:
                self.release(pending.candidate.upstream)
            return
        self._pending_by_id.pop(request_id, None)
        queue = self._queues_by_service[service]
        self._queues_by_service[service] = request_queue.remove(
            queue, request_id
        )


def latest_start(
    route: models.Route,
    received_at_seconds: float,
    deadline_seconds: float,
) -> float:
    """Return the time after which starting a request is of no use."""
    budget_seconds = deadline_seconds - received_at_seconds
    wait_seconds = budget_seconds * const.MAX_QUEUE_TIME_RATIO
    if route.kind is models.RouteKind.STREAM:
        wait_seconds = min(wait_seconds, const.MAX_STREAM_QUEUE_SECONDS)
    return received_at_seconds + wait_seconds
