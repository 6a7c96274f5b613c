"""Gives waiting requests their upstreams; holds what the choice needs."""

import anyio

from nutmegtrail.gateway import const
from nutmegtrail.gateway import fleet
from nutmegtrail.gateway import health
from nutmegtrail.gateway import models
from nutmegtrail.gateway import request_counts
from nutmegtrail.gateway import request_queue
from nutmegtrail.gateway import selection


class _Ticket:
    """A request's place in a line and what came of it."""

    def __init__(self) -> None:
        """Start without an outcome."""
        self.decided = anyio.Event()
        self.place: selection.Place | None = None


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
        self._former_loads_by_group: dict[str, int] = {}
        self._lines_by_service: dict[str, request_queue.Line] = {}
        self._tickets_by_id: dict[str, _Ticket] = {}

    @property
    def waiting_count(self) -> int:
        """Return the number of waiting requests."""
        return len(self._tickets_by_id)

    async def acquire(
        self,
        service: str,
        waiting: request_queue.Waiting,
    ) -> selection.Place | None:
        """Return an upstream's place, counted as used; None where refused."""
        ticket = _Ticket()
        self._tickets_by_id[waiting.request_id] = ticket
        line = self._lines_by_service.get(service, request_queue.Line())
        self._lines_by_service[service] = request_queue.arrive(line, waiting)
        self.dispatch(service)
        try:
            await ticket.decided.wait()
        except BaseException:
            self._withdraw(service, waiting.request_id, ticket)
            raise
        return ticket.place

    def release(self, upstream: models.Upstream) -> None:
        """Count a request as ended and serve the next one."""
        self.counts = request_counts.record_end(
            self.counts, upstream.upstream_id
        )
        self.dispatch(upstream.service)

    def observe_start(self, service: str, seconds: float) -> None:
        """Take the time from an upstream's choice to its first event."""
        known = self._expected_seconds_by_service.get(service, seconds)
        self._expected_seconds_by_service[service] = health.moving_average(
            known,
            seconds,
            const.LATENCY_SMOOTHING_FACTOR,
        )

    def previous_load(self, group: str) -> int:
        """Return the requests of a group in the pass that ends now."""
        return self._former_loads_by_group.get(group, 0)

    def dispatch_all(self) -> None:
        """Serve all lines, for example after a change of the fleet."""
        now = anyio.current_time()
        self.known_upstreams = fleet.decide(
            fleet.TimeElapsed(), self.known_upstreams, now
        )
        self.counts = request_counts.drop_stale_reports(self.counts, now)
        self._former_loads_by_group = self._loads_by_group
        self._loads_by_group = selection.loads_by_group(self._situation())
        for service, line in tuple(self._lines_by_service.items()):
            if line.waiting:
                self.dispatch(service)

    def dispatch(self, service: str) -> None:
        """Give the first waiting requests their upstreams."""
        line = self._lines_by_service.get(service)
        if line is None or not line.waiting:
            return
        now = anyio.current_time()
        expected = self._expected_seconds_by_service.get(service, 0)
        places: tuple[selection.Place, ...] | None = None
        for waiting in request_queue.in_order(line, now + expected):
            if places is None:
                places = self._places(service, now)
            place = self._choose(places, waiting, now + expected)
            if place is None and waiting.excluded_ids:
                continue
            if place is None:
                break
            line = request_queue.started(line, waiting)
            self.counts = request_counts.record_start(
                self.counts,
                place.upstream.upstream_id,
            )
            self._decide(waiting.request_id, place)
            places = None
        self._lines_by_service[service] = self._shorten(service, line, now)

    def has_upstreams(self, service: str, excluded: frozenset[str]) -> bool:
        """Return whether any registered upstream could take a request."""
        return any(
            upstream.upstream_id not in excluded
            for upstream in fleet.usable_upstreams(
                self.known_upstreams, service
            )
        )

    def _shorten(
        self,
        service: str,
        line: request_queue.Line,
        now: float,
    ) -> request_queue.Line:
        """Refuse the requests that would wait too long."""
        slots = sum(
            upstream.slots
            for upstream in fleet.usable_upstreams(
                self.known_upstreams, service
            )
        )
        cut = request_queue.shorten(line, slots // self.entries, now)
        for request_id in cut.refused_ids:
            self._decide(request_id, None)
        return cut.line

    def _choose(
        self,
        places: tuple[selection.Place, ...],
        waiting: request_queue.Waiting,
        answer_at_seconds: float,
    ) -> selection.Place | None:
        """Return the place of a request; a late one leaves some room."""
        late = answer_at_seconds > waiting.objective_at_seconds
        return selection.choose(
            places,
            waiting.excluded_ids,
            self._failure_domain,
            const.LATE_REQUEST_CAPACITY_RATIO if late else 1.0,
        )

    def _places(self, service: str, now: float) -> tuple[selection.Place, ...]:
        """Return the places of a service as they are now."""
        return selection.places(self._situation(), service, now)

    def _situation(self) -> selection.Situation:
        """Return all that a choice depends on, as it is now."""
        return selection.Situation(
            self.known_upstreams,
            self.upstream_health,
            self.counts,
            self.entries,
            self._loads_by_group,
        )

    def _decide(
        self,
        request_id: str,
        place: selection.Place | None,
    ) -> None:
        """Wake the task of a request."""
        ticket = self._tickets_by_id.pop(request_id)
        ticket.place = place
        ticket.decided.set()

    def _withdraw(
        self,
        service: str,
        request_id: str,
        ticket: _Ticket,
    ) -> None:
        """Take back the place of a request whose caller has gone."""
        if ticket.decided.is_set():
            if ticket.place is not None:
                self.release(ticket.place.upstream)
            return
        self._tickets_by_id.pop(request_id, None)
        line = self._lines_by_service[service]
        self._lines_by_service[service] = request_queue.leave(line, request_id)


def latest_start(
    route: models.Route,
    received_at_seconds: float,
    deadline_seconds: float,
) -> float:
    """Return the time after which starting a request is of no use."""
    budget = deadline_seconds - received_at_seconds
    wait = budget * const.MAX_QUEUE_TIME_RATIO
    if route.kind is models.RouteKind.STREAM:
        wait = min(wait, const.MAX_STREAM_QUEUE_SECONDS)
    return received_at_seconds + wait
