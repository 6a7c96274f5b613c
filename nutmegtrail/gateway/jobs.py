"""State of a caller's request while the gateway handles it."""

import functools
import math
import typing

import anyio

from nutmegtrail.adapters.http1 import messages
from nutmegtrail.adapters.http1 import server
from nutmegtrail.byte_budget import budget as byte_budgets
from nutmegtrail.byte_budget import errors as budget_errors
from nutmegtrail.byte_budget import models as budget_models
from nutmegtrail.draining import models as draining_models
from nutmegtrail.gateway import attempts
from nutmegtrail.gateway import const
from nutmegtrail.gateway import dispatcher as dispatching
from nutmegtrail.gateway import events
from nutmegtrail.gateway import models
from nutmegtrail.gateway import request_queue
from nutmegtrail.gateway import routes
from nutmegtrail.gateway import selection
from nutmegtrail.overload import work
from nutmegtrail.retries import part_evidence
from nutmegtrail.retries import quarantine


class Failure(typing.NamedTuple):
    """Complete error response of an upstream."""

    head: messages.Head
    body: bytes


class Job:
    """State of one request from admission to its final response."""

    def __init__(
        self,
        exchange: server.Exchange,
        caller: models.CallerRequest,
        route: models.Route,
        account: models.Account,
        configuration_version: int,
        allowed_domains: frozenset[str] | None = None,
    ) -> None:
        """Initialize a job without any attempt."""
        # Failure domains of the upstreams that may get the request.
        self.allowed_domains = allowed_domains
        self.configuration_version = configuration_version
        self.exchange = exchange
        self.caller = caller
        self.route = route
        self.account = account
        self.service = routes.choose_service(route, caller.request_id)
        # Those of the service, None if they are not known.
        self.step_times: models.StepTimes | None = None
        self.delivery = attempts.Delivery(route)
        self.position = events.Position(caller.last_event)
        self.failure: Failure | None = None
        self._failure_holding: byte_budgets.Holding | None = None
        # Why the request got no response of an upstream, for the counters.
        self.failure_reason = ''
        budget_seconds = route.timeout_seconds
        if caller.budget_seconds is not None:
            budget_seconds = min(budget_seconds, caller.budget_seconds)
        self.deadline_seconds = exchange.received_at_seconds + budget_seconds
        self.choices: list[dict[str, object]] = []
        # Set while the outcome of an attempt is not known.
        self.is_under_way = False
        self._queued_count = 0
        self.dispatched_at_seconds = 0.0
        self.last_event_at_seconds = 0.0
        # When the running response began, None before its first event.
        self.begun_at_seconds: float | None = None
        # Set once a response went on after its upstream had begun it.
        self.has_settled = False
        self.first_event_seconds: float | None = None
        self.event_count = 0
        self.longest_pause_seconds = 0.0
        # How long upstreams were silent in the middle of the response.
        self.silent_seconds = 0.0

    @functools.cached_property
    def fingerprint(self) -> str:
        """Return a hash that is equal for repetitions of the request."""
        request = self.exchange.request
        method = request.method.decode('latin-1')
        target = request.target.decode('latin-1')
        return quarantine.fingerprint(
            self.account.name,
            f'{method} {self.caller.host}{target}',
            request.body,
        )

    @functools.cached_property
    def part_keys(self) -> tuple[str, ...]:
        """Return hashes of the prompt parts that other requests may share."""
        return tuple(
            part_evidence.part_key(self.service, part)
            for part in self.caller.shared_parts
        )

    def keep_failure(
        self, failure: Failure, budget: byte_budgets.ByteBudget
    ) -> None:
        """Keep an error response, unless it has to give way."""
        self.close()
        holding = budget.open(budget_models.Kind.RESPONSE, self._drop_failure)
        self.failure = failure
        self._failure_holding = holding
        try:
            holding.grow(len(failure.body))
        except budget_errors.GaveWay:
            self._drop_failure()

    def close(self) -> None:
        """Free the bytes of the error response."""
        self.failure = None
        if self._failure_holding is not None:
            self._failure_holding.close()

    def _drop_failure(self) -> None:
        """Drop the error response for the sake of others."""
        self.failure = None

    @property
    def remaining_seconds(self) -> float:
        """Return the time until the caller's or the route's deadline."""
        return self.deadline_seconds - anyio.current_time()

    @property
    def priority(self) -> int:
        """Return the account's priority, or the route's if it has none."""
        if self.account.priority is not None:
            return self.account.priority
        return self.route.priority

    @property
    def work(self) -> float:
        """Return what the request needs of its upstream, 1 if usual."""
        times = self.step_times
        if times is None:
            return 1.0
        return work.relative(
            (self.caller.prompt_tokens, self.caller.output_tokens),
            (times.usual_prompt_tokens, times.usual_output_tokens),
            times.prompt_tokens_per_second,
            times.token_seconds,
        )

    @property
    def stoppable(self) -> draining_models.Request:
        """Return the request as planned stops see it."""
        if self.delivery.reached:
            return self._new_stoppable._replace(is_sent=True)
        return self._new_stoppable

    @functools.cached_property
    def _new_stoppable(self) -> draining_models.Request:
        """Return the request as planned stops see it before any attempt."""
        return draining_models.Request(
            (self.service, self.route.kind.value, str(self.route.resumable)),
            self.exchange.received_at_seconds,
            self.deadline_seconds,
            self.caller.output_tokens_limit,
            runs_once=not self.route.is_retryable,
        )

    @property
    def waited_seconds(self) -> float:
        """Return how long the first attempt waited for room."""
        if not self.choices:
            return 0.0
        return typing.cast(float, self.choices[0]['after_seconds'])

    def is_late(self, seconds: float) -> bool:
        """Return whether a response after some seconds missed its objective.

        A stream misses it with its first event or with a long pause.
        """
        if self.route.kind is not models.RouteKind.STREAM:
            return seconds > self.route.objective_seconds
        first_event_seconds = self.first_event_seconds
        if first_event_seconds is None:
            return True
        pause_limit = self.route.pause_objective_seconds or math.inf
        return (
            first_event_seconds > self.route.objective_seconds
            or self.longest_pause_seconds > pause_limit
        )

    def queued_request(self, is_suspect: bool) -> request_queue.QueuedRequest:
        """Return the entry for the request queue."""
        received_at = self.exchange.received_at_seconds
        queued = request_queue.QueuedRequest(
            self._next_queue_id(),
            self.account.name,
            self.priority,
            received_at + self.route.objective_seconds,
            dispatching.latest_start(
                self.route, received_at, self.deadline_seconds
            ),
            self.delivery.excluded_ids,
            is_suspect,
            allowed_domains=self.allowed_domains,
            work=self.work,
            stoppable=self.stoppable,
        )
        if not self.delivery.has_sent_events:
            return queued
        # The limits above are for the first event, which has been sent.
        abandoned_at = (
            self.last_event_at_seconds + self.route.pause_limit_seconds
        )
        return queued._replace(
            is_resumed=True,
            objective_deadline_seconds=math.inf,
            latest_start_seconds=min(abandoned_at, self.deadline_seconds),
        )

    def _next_queue_id(self) -> str:
        """Return an identifier that no other queued or running request has.

        Callers may send the same request ID more than once, and two attempts
        at one request may run at the same time.
        """
        self._queued_count += 1
        return f'{self.caller.request_id}#{id(self):x}.{self._queued_count}'


def retry_after_seconds(
    remaining_seconds: float,
    wait_seconds: float = 0,
    spread: float = 0,
    queue_seconds: float = 0,
) -> float:
    """Return the seconds after which a refused caller should retry.

    `wait_seconds` is the time until an upstream accepts a request, 0 if one
    does, and `queue_seconds` its part in the queue. `spread` is a random number from 0 to 1, by which callers that are
    refused together come back at different times.
    """
    usual_seconds = remaining_seconds * const.RETRY_AFTER_RATIO
    spread_seconds = usual_seconds * spread * const.RETRY_AFTER_SPREAD_RATIO
    delay_seconds = usual_seconds - spread_seconds
    if wait_seconds:
        # Callers that come back before the end of the wait are refused again.
        # The longer the queue, the more callers are refused meanwhile.
        delay_seconds = wait_seconds + max(
            spread_seconds,
            queue_seconds * spread * const.RETRY_AFTER_WAIT_SPREAD_RATIO,
        )
    bounded_seconds = max(delay_seconds, const.MIN_RETRY_AFTER_SECONDS)
    return min(bounded_seconds, const.MAX_RETRY_AFTER_SECONDS)


def describe_choice(
    candidate: selection.Candidate, job: Job, assigned_at_seconds: float
) -> dict[str, object]:
    """Return the log fields that explain the choice of an upstream."""
    received_at = job.exchange.received_at_seconds
    return {
        'upstream': candidate.upstream.upstream_id,
        'in_flight': candidate.in_flight,
        'group_in_flight': candidate.group_in_flight,
        'group_room': round(candidate.group_capacity, 1),
        'pace_seconds': round(candidate.latency_seconds, 4),
        'after_seconds': round(assigned_at_seconds - received_at, 4),
    }
