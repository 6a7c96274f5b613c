"""Attempts at upstreams until a request is answered or given up."""

import functools
import math
import typing

import anyio

from nutmegtrail.adapters.http1 import client
from nutmegtrail.adapters.http1 import errors as http_errors
from nutmegtrail.adapters.http1 import messages
from nutmegtrail.byte_budget import budget as byte_budgets
from nutmegtrail.draining import drain as draining
from nutmegtrail.gateway import attempt_log
from nutmegtrail.gateway import attempts
from nutmegtrail.gateway import const
from nutmegtrail.gateway import crash_guard
from nutmegtrail.gateway import dispatcher as dispatching
from nutmegtrail.gateway import errors
from nutmegtrail.gateway import events
from nutmegtrail.gateway import health_recorder
from nutmegtrail.gateway import hedging
from nutmegtrail.gateway import jobs
from nutmegtrail.gateway import models
from nutmegtrail.gateway import opened_response
from nutmegtrail.gateway import signal_recorder
from nutmegtrail.gateway import stop_limits
from nutmegtrail.observability import metrics
from nutmegtrail.ports import header_translator as header_translators
from nutmegtrail.retry_budget import budgets as retry_budgets

# Failures before the request was sent.
_NOT_SENT: typing.Final = (attempts.NotConnected, attempts.Withdrawn)
# Responses that ended early.
_INTERRUPTED: typing.Final = (attempts.Broken, attempts.Dropped)


class AttemptRunner:
    """Sends requests to upstreams and forwards their responses.

    An upstream that is silent is not given up: the request is sent to another
    one beside it, if one may run it too, and the first that goes on answers.
    """

    def __init__(
        self,
        header_translator: header_translators.HeaderTranslator,
        dispatcher: dispatching.Dispatcher,
        budgets: retry_budgets.RetryBudgets,
        guard: crash_guard.CrashGuard,
        metrics_registry: metrics.Metrics,
        budget: byte_budgets.ByteBudget | None = None,
    ) -> None:
        """Initialize the runner without connections.

        The budget limits the received bytes; without it, their sum has no
        limit.
        """
        self._header_translator = header_translator
        self._dispatcher = dispatcher
        self._health_recorder = health_recorder.HealthRecorder(dispatcher)
        self._signal_recorder = signal_recorder.SignalRecorder(dispatcher)
        self._retry_budgets = budgets
        self._crash_guard = guard
        self._metrics = metrics_registry
        self._log = attempt_log.AttemptLog(dispatcher, metrics_registry)
        self._budget = budget or byte_budgets.ByteBudget(math.inf)
        self._client = client.Client(self._budget)

    async def close(self) -> None:
        """Close idle connections to upstreams."""
        await self._client.close()

    async def run(self, job: jobs.Job) -> attempts.GiveUp | None:
        """Answer a request; return the outcome if no upstream does."""
        self._retry_budgets.record_request(job.service)
        try:
            await self._answer(job)
        except errors.GivenUp as error:
            return error.action
        return None

    async def _answer(self, job: jobs.Job) -> None:
        """Forward the response of an upstream, and those that continue it."""
        opened: opened_response.OpenedResponse | None
        opened = await self._open_next(job, await self._acquire(job))
        while opened is not None:
            opened = await self._forward(job, opened)

    async def _open_next(
        self, job: jobs.Job, assignment: opened_response.Assignment
    ) -> opened_response.OpenedResponse:
        """Return a successful response; raise GivenUp without one.

        The first attempt uses the given assignment.
        """
        while True:
            try:
                with anyio.fail_after(max(job.remaining_seconds, 0)):
                    return await self._open_hedged(job, assignment)
            except TimeoutError:
                raise errors.GivenUp(
                    attempts.GiveUp(attempts.Outcome.UNKNOWN)
                ) from None
            except errors.AttemptFailed as error:
                assignment = await self._acquire_next(
                    job, error.event, is_hedge=assignment.is_hedge
                )

    async def _acquire(
        self, job: jobs.Job, *, is_hedge: bool = False
    ) -> opened_response.Assignment:
        """Wait for an upstream; raise GivenUp if there is none."""
        self._crash_guard.raise_if_quarantined(job)
        excluded_ids = job.delivery.excluded_ids
        if not self._dispatcher.has_upstreams(
            job.service, excluded_ids, job.allowed_domains
        ):
            self._log.record_no_upstream(job)
            raise errors.GivenUp(_give_up(job))
        queued = job.queued_request(self._crash_guard.is_suspect(job))
        queued_at = anyio.current_time()
        candidate = await self._dispatcher.acquire(job.service, queued)
        if candidate is None:
            self._log.record_not_placed(job, queued, queued_at)
            raise errors.GivenUp(_give_up(job))
        assignment = opened_response.Assignment(
            candidate.upstream,
            queued.request_id,
            anyio.current_time(),
            is_hedge,
        )
        try:
            # It may have been quarantined while it was queued.
            self._crash_guard.raise_if_quarantined(job)
        except errors.GivenUp:
            self._release(assignment)
            raise
        self._dispatcher.drain.record_start(
            job, job.stoppable, assignment.assigned_at_seconds
        )
        job.choices.append(
            jobs.describe_choice(candidate, job, assignment.assigned_at_seconds)
        )
        return assignment

    async def _acquire_next(
        self, job: jobs.Job, event: attempts.Event, *, is_hedge: bool = False
    ) -> opened_response.Assignment:
        """Wait for an upstream after a failed attempt.

        Raises GivenUp if there is none, or no further attempt.
        """
        decision = attempts.decide(event, job.delivery)
        job.delivery = decision.delivery
        job.is_under_way = False
        action = decision.action
        self._log.record_failure(job, event, action)
        if isinstance(action, attempts.GiveUp):
            raise errors.GivenUp(action)
        if not action.uses_retry_budget:
            return await self._acquire(job, is_hedge=is_hedge)
        assignment = await self._acquire_retry(
            job, _retry(job, type(event).__name__), is_hedge=is_hedge
        )
        if assignment is None:
            raise errors.GivenUp(_give_up(job))
        return assignment

    async def _acquire_retry(
        self, job: jobs.Job, retry: retry_budgets.Retry, *, is_hedge: bool
    ) -> opened_response.Assignment | None:
        """Wait for an upstream and spend a retry; None if there is no retry.

        It is spent last, so that its request arrives soon after.
        """
        while await self._retry_budgets.wait(retry, job.remaining_seconds):
            assignment = await self._acquire(job, is_hedge=is_hedge)
            if self._retry_budgets.spend(retry):
                return assignment
            self._release(assignment)
        return None

    async def _open_hedged(
        self, job: jobs.Job, assignment: opened_response.Assignment
    ) -> opened_response.OpenedResponse:
        """Return the response of an upstream, or of another if it is silent."""
        if not job.route.is_retryable:
            return await self._open(job, assignment)
        # Without a stop, streams are hedged from their first event on only:
        # under load it takes long, and a second attempt adds to the load.
        usual_seconds = math.inf
        if job.route.kind is models.RouteKind.IDEMPOTENT:
            usual_seconds = _hedge_delay(
                job.route,
                self._health_recorder.expected_latency(assignment.upstream),
            )
        drain = self._dispatcher.drain
        limit = functools.partial(_response_limit, drain, job, usual_seconds)
        race = hedging.Race[
            opened_response.OpenedResponse, opened_response.OpenedResponse
        ](
            functools.partial(self._open_hedge, job, assignment.upstream),
            functools.partial(stop_limits.wait, drain, limit),
        )
        opened = await race.run(functools.partial(self._open, job, assignment))
        if opened.assignment is not assignment:
            self._log.record_superseded(
                job, assignment.upstream, opened.upstream
            )
            if race.failure is None:
                superseded = _superseded(assignment.upstream)
                await self._record_failure(job, assignment.upstream, superseded)
        return opened

    async def _open(
        self, job: jobs.Job, assignment: opened_response.Assignment
    ) -> opened_response.OpenedResponse:
        """Send the request; raise AttemptFailed without a success."""
        opened = opened_response.OpenedResponse(
            assignment, functools.partial(self._release, assignment)
        )
        job.is_under_way = True
        try:
            with self._crash_guard.watch(job, assignment.upstream) as watched:
                event = await self._send(job, opened)
                watched.is_answered = not isinstance(event, _INTERRUPTED)
        except BaseException:
            # The upstream may run it although its response is not awaited.
            job.delivery = attempts.count_running(
                job.delivery, assignment.upstream.upstream_id
            )
            await opened.close()
            raise
        if watched.is_cancelled:
            await opened.close()
            raise errors.GivenUp(attempts.GiveUp(attempts.Outcome.UNKNOWN))
        if assignment.is_hedge and not isinstance(event, _NOT_SENT):
            # It is cancelled if the other attempt wins at the same time.
            job.delivery = attempts.count_running(
                job.delivery, assignment.upstream.upstream_id
            )
        if event is not None:
            await opened.close()
            await self._record_failure(job, assignment.upstream, event)
            raise errors.AttemptFailed(event)
        return opened

    async def _send(
        self, job: jobs.Job, opened: opened_response.OpenedResponse
    ) -> attempts.Event | None:
        """Send the request and read the head; return any failure."""
        upstream = opened.upstream
        request = job.exchange.request
        opened.run = events.Run(asked_after=job.position.last_event)
        forwarding = models.ForwardingMetadata(
            upstream.upstream_id,
            job.account.name,
            job.remaining_seconds,
            job.position.last_event,
        )
        call = client.Call(
            upstream.address,
            request.method,
            request.target,
            self._header_translator.upstream_headers(request, forwarding),
            request.body,
            needs_new_connection=not job.route.is_retryable,
            is_wanted=functools.partial(
                _may_send, self._dispatcher, job, opened.assignment
            ),
            request_id=job.caller.request_id,
        )
        try:
            await opened.connect(self._client, call)
            return await self._read_head(job, opened)
        except http_errors.NotConnected:
            return attempts.NotConnected(upstream.upstream_id)
        except http_errors.Withdrawn:
            return attempts.Withdrawn(upstream.upstream_id)
        except http_errors.ExchangeBroken as error:
            return opened_response.failure_of(upstream, error)

    async def _read_head(
        self, job: jobs.Job, opened: opened_response.OpenedResponse
    ) -> attempts.Event | None:
        """Return the failure that a response means, None for a success."""
        upstream = opened.upstream
        classification = self._header_translator.classify_response(
            opened.head, job.caller.request_id
        )
        if classification.signals is not None:
            self._signal_recorder.record(
                upstream,
                models.ReceivedSignals(
                    classification.signals,
                    opened.assignment.assigned_at_seconds,
                    job.caller.request_id,
                ),
            )
        kind = classification.response_kind
        if kind is models.ResponseKind.FOREIGN:
            opened.record_foreign()
            return attempts.Broken(upstream.upstream_id, 'foreign response')
        self._crash_guard.record_response(upstream)
        if kind is models.ResponseKind.SUCCESS:
            if opened.assignment.is_hedge:
                # It takes over only with something to forward.
                await opened.prefetch(job.route.kind)
            return None
        body = await opened.read(const.RESPONSE_BYTES_LIMIT)
        if kind is models.ResponseKind.FAILURE:
            job.keep_failure(jobs.Failure(opened.head, body), self._budget)
            return attempts.Failed(upstream.upstream_id)
        opened.record_refusal(names_request=classification.names_request)
        self._health_recorder.eject_blocked_group(upstream, classification)
        return attempts.NotRun(upstream.upstream_id)

    async def _open_hedge(
        self, job: jobs.Job, upstream: models.Upstream
    ) -> opened_response.OpenedResponse | None:
        """Return a response beside a silent one, None if there is none."""
        decision = _decide_on_silence(job, upstream)
        hedge = _retry(
            job, 'Resumption' if job.delivery.has_sent_events else 'Hedge'
        )
        can_hedge = (
            isinstance(decision.action, attempts.Repeat)
            and self._dispatcher.has_available_upstreams(
                job.service,
                decision.delivery.excluded_ids,
                job.allowed_domains,
            )
            and await self._retry_budgets.wait(hedge, job.remaining_seconds)
        )
        # The silent attempt may have failed meanwhile.
        decision = _decide_on_silence(job, upstream)
        can_hedge = can_hedge and isinstance(decision.action, attempts.Repeat)
        self._log.record_silence(job, upstream, is_hedged=can_hedge)
        if not can_hedge:
            return None
        job.delivery = decision.delivery
        try:
            assignment = await self._acquire_retry(job, hedge, is_hedge=True)
            if assignment is not None:
                return await self._open_next(job, assignment)
        except errors.GivenUp:
            return None
        return None

    async def _forward(
        self, job: jobs.Job, opened: opened_response.OpenedResponse
    ) -> opened_response.OpenedResponse | None:
        """Forward a response; return another one that continues it.

        Raises GivenUp if it is broken and not tried again.
        """
        upstream = opened.upstream
        job.dispatched_at_seconds = opened.assignment.assigned_at_seconds
        job.begun_at_seconds = None
        try:
            with self._crash_guard.watch(job, upstream) as watched:
                outcome = await self._forward_in_time(job, opened)
                watched.is_answered = outcome is None
        finally:
            await opened.close()
        if watched.is_cancelled:
            raise errors.GivenUp(attempts.GiveUp(attempts.Outcome.UNKNOWN))
        if isinstance(outcome, opened_response.Successor):
            successor = outcome.opened
            self._log.record_superseded(job, upstream, successor.upstream)
            self._record_attempt(upstream, outcome.failure)
            if _is_closed(outcome.failure):
                # Its events have arrived and must not wait for a probe.
                self._crash_guard.examine_later(upstream)
            return successor
        if outcome is None:
            self._record_success(job, upstream)
            return None
        await self._record_failure(job, upstream, outcome)
        return await self._open_next(
            job, await self._acquire_next(job, outcome)
        )

    async def _forward_in_time(
        self, job: jobs.Job, opened: opened_response.OpenedResponse
    ) -> attempts.Event | opened_response.Successor | None:
        """Forward a response; raise GivenUp at the deadline."""
        try:
            with anyio.fail_after(max(job.remaining_seconds, 0)):
                if job.route.kind is models.RouteKind.STREAM:
                    return await self._forward_stream(job, opened)
                await self._forward_body(job, opened)
        except TimeoutError:
            raise errors.GivenUp(
                attempts.GiveUp(attempts.Outcome.UNKNOWN)
            ) from None
        except http_errors.ExchangeBroken as error:
            return opened_response.failure_of(opened.upstream, error)
        except errors.AttemptFailed as failed:
            return failed.event
        return None

    async def _forward_body(
        self, job: jobs.Job, opened: opened_response.OpenedResponse
    ) -> None:
        """Forward a whole response."""
        body = await opened.read(const.RESPONSE_BYTES_LIMIT)
        seconds = anyio.current_time() - job.dispatched_at_seconds
        self._health_recorder.record_latency(opened.upstream, seconds)
        self._dispatcher.record_response_time(job.service, seconds)
        # Its upstream is free, however long the caller takes to read.
        await opened.close()
        headers = messages.end_to_end_headers(opened.head.headers)
        await job.exchange.respond(opened.head.status, headers, body)

    async def _forward_stream(
        self, job: jobs.Job, opened: opened_response.OpenedResponse
    ) -> attempts.Event | opened_response.Successor | None:
        """Forward events as they arrive; return a failure or a successor."""
        upstream_id = opened.upstream.upstream_id
        while True:
            received = await self._receive_events(job, opened)
            if isinstance(received, opened_response.Successor):
                return received
            new_events = events.select_new_events(
                job.position, received.complete, opened.run
            )
            opened.run = new_events.run
            if new_events.payload:
                self._record_pause(job, opened, len(received.complete))
                await self._forward_events(job, opened.head, new_events)
            if new_events.fault:
                return attempts.Broken(upstream_id, new_events.fault)
            if received.is_end:
                break
        if opened.has_partial_event or not job.delivery.has_sent_events:
            return attempts.Broken(upstream_id, 'incomplete stream')
        await job.exchange.finish()
        return None

    async def _receive_events(
        self, job: jobs.Job, opened: opened_response.OpenedResponse
    ) -> opened_response.ReceivedEvents | opened_response.Successor:
        """Return the next events of a stream, or the response that resumes it.

        An upstream without a complete event is silent. A silent upstream may
        go on at any time: its stream is resumed elsewhere only once the other
        upstream sends events.
        """
        drain = self._dispatcher.drain
        silent_since = anyio.current_time()
        limit = functools.partial(
            drain.silence_limit, job, const.STREAM_IDLE_TIMEOUT_SECONDS
        )
        with (
            anyio.CancelScope() as scope,
            stop_limits.limit_scope(scope, drain, limit),
        ):
            return await opened.receive_events()
        upstream = opened.upstream
        self._health_recorder.eject_silent(upstream)
        race = hedging.Race[
            opened_response.ReceivedEvents, opened_response.OpenedResponse
        ](
            functools.partial(self._open_hedge, job, upstream),
            interval=functools.partial(stop_limits.wait, drain, limit),
        )
        received = await race.run(opened.receive_events)
        now = anyio.current_time()
        job.silent_seconds += now - silent_since
        drain.record_silence(job, now - silent_since, now)
        if isinstance(received, opened_response.OpenedResponse):
            failure = race.failure or _superseded(upstream)
            return opened_response.Successor(received, failure)
        self._health_recorder.record_recovery(upstream)
        return received

    async def _forward_events(
        self,
        job: jobs.Job,
        head: messages.Head,
        new_events: events.NewEvents,
    ) -> None:
        """Send events to the caller, the first ones with the head."""
        job.position = new_events.position
        job.event_count += new_events.event_count
        if job.delivery.has_sent_events:
            await job.exchange.write(new_events.payload)
            return
        job.delivery = job.delivery._replace(has_sent_events=True)
        now = anyio.current_time()
        seconds = now - job.exchange.received_at_seconds
        job.first_event_seconds = seconds
        self._dispatcher.record_response_time(
            job.service,
            now - job.dispatched_at_seconds,
        )
        self._metrics.observe_seconds('first_event', seconds)
        await job.exchange.start_chunked(
            head.status,
            messages.end_to_end_headers(head.headers),
            new_events.payload,
        )

    def _record_pause(
        self,
        job: jobs.Job,
        opened: opened_response.OpenedResponse,
        event_count: int,
    ) -> None:
        """Record the pause before new events."""
        now = anyio.current_time()
        if job.delivery.has_sent_events:
            pause_seconds = now - job.last_event_at_seconds
            job.longest_pause_seconds = max(
                job.longest_pause_seconds, pause_seconds
            )
            # The pause before a resumption is not that of its upstream.
            if opened.has_sent_events:
                self._health_recorder.record_pause(
                    job, opened.upstream, pause_seconds / event_count
                )
        opened.has_sent_events = True
        job.last_event_at_seconds = now
        self._crash_guard.record_events(job)

    def _record_success(self, job: jobs.Job, upstream: models.Upstream) -> None:
        """Record that an upstream answered a request."""
        self._health_recorder.record_outcome(upstream, None)
        self._log.count_attempt(upstream, 'Success')
        self._crash_guard.record_success(job)

    async def _record_failure(
        self, job: jobs.Job, upstream: models.Upstream, event: attempts.Event
    ) -> None:
        """Record a failed attempt, and examine an upstream that closed."""
        self._record_attempt(upstream, event)
        if _is_closed(event):
            await self._crash_guard.examine(job, upstream)

    def _record_attempt(
        self, upstream: models.Upstream, event: attempts.Event
    ) -> None:
        """Record that an attempt failed."""
        self._health_recorder.record_outcome(upstream, event)
        self._log.count_attempt(upstream, type(event).__name__)

    def _release(self, assignment: opened_response.Assignment) -> None:
        """Free the slot of a request at an upstream."""
        self._dispatcher.release(assignment.upstream, assignment.queue_id)


def _may_send(
    dispatcher: dispatching.Dispatcher,
    job: jobs.Job,
    assignment: opened_response.Assignment,
) -> bool:
    """Return whether an assigned request may still be sent."""
    has_room = job.delivery.has_sent_events or dispatcher.drain.has_room_for(
        job.stoppable, anyio.current_time()
    )
    return has_room and dispatcher.confirm(
        assignment.upstream, assignment.queue_id
    )


def _is_closed(event: attempts.Event) -> bool:
    """Return whether an upstream closed the connection of an attempt."""
    return isinstance(event, attempts.Broken) and event.is_closed


def _superseded(upstream: models.Upstream) -> attempts.Broken:
    """Return the failure of an upstream that another one was faster than."""
    return attempts.Broken(upstream.upstream_id, 'superseded')


def _hedge_delay(route: models.Route, expected_seconds: float) -> float:
    """Return the seconds without a response after which to hedge."""
    return max(
        route.objective_seconds * const.RESPONSE_TIMEOUT_OBJECTIVE_RATIO,
        expected_seconds * const.RESPONSE_TIMEOUT_LATENCY_RATIO,
        const.MIN_RESPONSE_TIMEOUT_SECONDS,
    )


def _response_limit(
    drain: draining.Drain,
    job: jobs.Job,
    usual_seconds: float,
    now_seconds: float,
) -> float:
    """Return for how long to wait for a response, less during a stop."""
    return min(drain.response_limit(job, now_seconds), usual_seconds)


def _decide_on_silence(
    job: jobs.Job, upstream: models.Upstream
) -> attempts.Decision:
    """Return the decision on a request whose upstream is silent."""
    return attempts.decide(attempts.Silent(upstream.upstream_id), job.delivery)


def _retry(job: jobs.Job, reason: str) -> retry_budgets.Retry:
    """Return a further attempt at a request."""
    return retry_budgets.Retry(job.service, job.caller.request_id, reason)


def _give_up(job: jobs.Job) -> attempts.GiveUp:
    """Return the outcome of a request that is not tried again."""
    if job.failure is not None:
        return attempts.GiveUp(attempts.Outcome.PASS_ON)
    return attempts.give_up(job.delivery)
