"""A caller's request on its way through the entry."""

import typing

import anyio

from nutmegtrail.adapters.http1 import messages
from nutmegtrail.adapters.http1 import server
from nutmegtrail.gateway import attempts
from nutmegtrail.gateway import const
from nutmegtrail.gateway import dispatcher as dispatching
from nutmegtrail.gateway import events
from nutmegtrail.gateway import models
from nutmegtrail.gateway import request_queue
from nutmegtrail.gateway import routes
from nutmegtrail.gateway import selection


class Failure(typing.NamedTuple):
    """A whole failed answer of an upstream."""

    head: messages.Head
    body: bytes


class Job:
    """A request on its way and what is known of it."""

    def __init__(
        self,
        exchange: server.Exchange,
        caller: models.CallerRequest,
        route: models.Route,
        account: models.Account,
        configuration_version: int,
    ) -> None:
        """Start before the first attempt."""
        self.configuration_version = configuration_version
        self.exchange = exchange
        self.caller = caller
        self.route = route
        self.account = account
        self.service = routes.service_of(route, caller.request_id)
        self.delivery = attempts.Delivery(route)
        self.position = events.Position(caller.last_event)
        self.failure: Failure | None = None
        budget = route.timeout_seconds
        if caller.budget_seconds is not None:
            budget = min(budget, caller.budget_seconds)
        self.deadline = exchange.received_at_seconds + budget
        self.choices: list[dict[str, object]] = []
        self.dispatched_at_seconds = 0.0
        self.first_event_seconds: float | None = None
        self.longest_pause_seconds = 0.0

    @property
    def remaining_seconds(self) -> float:
        """Return the time until the caller or the route gives up."""
        return self.deadline - anyio.current_time()

    @property
    def priority(self) -> int:
        """Return the priority of the account, or else of the route."""
        if self.account.priority is not None:
            return self.account.priority
        return self.route.priority

    def waiting(self) -> request_queue.Waiting:
        """Return the request as a line sees it."""
        received_at = self.exchange.received_at_seconds
        return request_queue.Waiting(
            self.caller.request_id,
            self.account.name,
            self.priority,
            received_at + self.route.objective_seconds,
            dispatching.latest_start(self.route, received_at, self.deadline),
            self.delivery.excluded_ids,
        )


def retry_after_seconds(remaining_seconds: float) -> float:
    """Return when a refused caller should come back."""
    wanted = remaining_seconds * const.RETRY_AFTER_RATIO
    least = max(wanted, const.MIN_RETRY_AFTER_SECONDS)
    return min(least, const.MAX_RETRY_AFTER_SECONDS)


def describe(place: selection.Place, job: Job) -> dict[str, object]:
    """Return what decided for an upstream, for the log."""
    received_at = job.exchange.received_at_seconds
    return {
        'upstream': place.upstream.upstream_id,
        'in_flight': place.in_flight,
        'group_in_flight': place.group_in_flight,
        'group_room': round(place.group_room, 1),
        'pace_seconds': round(place.pace_seconds, 4),
        'after_seconds': round(job.dispatched_at_seconds - received_at, 4),
    }
