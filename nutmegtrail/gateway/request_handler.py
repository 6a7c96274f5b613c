"""Handling of a request from admission to the final response."""

import http
import math
import typing

import anyio

from nutmegtrail.adapters.http1 import client
from nutmegtrail.adapters.http1 import errors as http_errors
from nutmegtrail.adapters.http1 import messages
from nutmegtrail.adapters.http1 import server
from nutmegtrail.gateway import attempts
from nutmegtrail.gateway import const
from nutmegtrail.gateway import crash_guard
from nutmegtrail.gateway import dispatcher as dispatching
from nutmegtrail.gateway import errors
from nutmegtrail.gateway import events
from nutmegtrail.gateway import health_recorder
from nutmegtrail.gateway import jobs
from nutmegtrail.gateway import models
from nutmegtrail.gateway import request_queue
from nutmegtrail.gateway import retry_budgets
from nutmegtrail.gateway import routes
from nutmegtrail.observability import logs
from nutmegtrail.observability import metrics
from nutmegtrail.ports import header_translator as header_translators

# Statuses that tell callers that the request has not run.
_NOT_RUN_STATUSES: typing.Final = frozenset(
    (
        http.HTTPStatus.REQUEST_TIMEOUT,
        http.HTTPStatus.MISDIRECTED_REQUEST,
        http.HTTPStatus.TOO_MANY_REQUESTS,
        http.HTTPStatus.SERVICE_UNAVAILABLE,
    ),
)


class RequestHandler:
    """Forwards callers' requests to upstreams and returns the responses."""

    def __init__(
        self,
        header_translator: header_translators.HeaderTranslator,
        dispatcher: dispatching.Dispatcher,
        budgets: retry_budgets.RetryBudgets,
        guard: crash_guard.CrashGuard,
        metrics_registry: metrics.Metrics,
    ) -> None:
        """Initialize the handler; requests are rejected until configured."""
        self.configuration: models.Configuration | None = None
        self._header_translator = header_translator
        self._dispatcher = dispatcher
        self._health_recorder = health_recorder.HealthRecorder(dispatcher)
        self._retry_budgets = budgets
        self._crash_guard = guard
        self._metrics = metrics_registry
        self._client = client.Client()

    async def close(self) -> None:
        """Close idle connections to upstreams."""
        await self._client.close()

    async def serve(self, exchange: server.Exchange) -> None:
        """Handle one request."""
        job = await self._admit(exchange)
        if job is None:
            return
        try:
            await self._deliver(job)
        finally:
            self._record_end(job)

    async def _admit(self, exchange: server.Exchange) -> jobs.Job | None:
        """Return a job for the request, None if it was rejected."""
        configuration = self.configuration
        try:
            caller = self._header_translator.read_request(exchange.request)
        except errors.MalformedRequest as error:
            logs.decision('request:malformed', detail=str(error))
            await self._respond(exchange, '', http.HTTPStatus.BAD_REQUEST)
            return None
        if configuration is None:
            await self._reject(
                exchange,
                caller,
                'no configuration yet',
                const.MAX_RETRY_AFTER_SECONDS,
            )
            return None
        route = routes.find_route(configuration, caller.host, caller.path)
        status = http.HTTPStatus.NOT_FOUND
        if route is not None:
            account = routes.find_account(configuration, route, caller.api_key)
            if account is not None:
                version = configuration.version
                return jobs.Job(exchange, caller, route, account, version)
            status = http.HTTPStatus.UNAUTHORIZED
        logs.decision(
            'request:denied',
            request_id=caller.request_id,
            status=status,
            configuration=configuration.version,
        )
        self._metrics.increment('requests', str(status))
        await self._respond(exchange, caller.request_id, status)
        return None

    async def _deliver(self, job: jobs.Job) -> None:
        """Try upstreams until the request is answered or given up."""
        self._retry_budgets.record_request(job.service)
        while True:
            event = await self._next_attempt(job)
            if event is None:
                return
            if isinstance(event, attempts.GiveUp):
                await self._send_final_response(job, event)
                return
            decision = attempts.decide(event, job.delivery)
            job.delivery = decision.delivery
            action = decision.action
            self._log_failure(job, event, action)
            if isinstance(action, attempts.Repeat):
                has_retry = (
                    not action.uses_retry_budget
                    or self._retry_budgets.spend_retry(job.service)
                )
                if not has_retry:
                    action = self._give_up(job)
            if isinstance(action, attempts.GiveUp):
                await self._send_final_response(job, action)
                return

    async def _next_attempt(
        self,
        job: jobs.Job,
    ) -> attempts.Event | attempts.GiveUp | None:
        """Wait for an upstream and try it; return None on success."""
        excluded_ids = job.delivery.excluded_ids
        refusal = self._crash_guard.refusal(job)
        if refusal is not None:
            return refusal
        if not self._dispatcher.has_upstreams(job.service, excluded_ids):
            return self._give_up(job)
        queued = job.queued_request(self._crash_guard.is_suspect(job))
        queued_at = anyio.current_time()
        candidate = await self._dispatcher.acquire(job.service, queued)
        if candidate is None:
            self._log_not_placed(job, queued, queued_at)
            return self._give_up(job)
        upstream = candidate.upstream
        job.dispatched_at_seconds = anyio.current_time()
        try:
            # It may have been quarantined while it was queued.
            refusal = self._crash_guard.refusal(job)
            if refusal is not None:
                return refusal
            job.choices.append(jobs.describe_choice(candidate, job))
            return await self._attempt(job, upstream)
        finally:
            self._dispatcher.release(upstream, job.queue_id)

    async def _attempt(
        self,
        job: jobs.Job,
        upstream: models.Upstream,
    ) -> attempts.Event | attempts.GiveUp | None:
        """Send the request to an upstream; return None on success."""
        event: attempts.Event | None = None
        with self._crash_guard.watch(job, upstream) as watched:
            try:
                with anyio.fail_after(max(job.remaining_seconds, 0)):
                    event = await self._send_to_upstream(job, upstream)
            except TimeoutError:
                return attempts.GiveUp(attempts.Outcome.UNKNOWN)
            except http_errors.NotConnected:
                event = attempts.NotConnected(upstream.upstream_id)
            except http_errors.ExchangeBroken as error:
                event = attempts.Broken(
                    upstream.upstream_id, str(error), is_closed=True
                )
            watched.is_answered = not isinstance(event, attempts.Broken)
        if watched.is_cancelled:
            return attempts.GiveUp(attempts.Outcome.UNKNOWN)
        self._health_recorder.record_outcome(upstream, event)
        self._metrics.count(
            'attempts',
            upstream=upstream.upstream_id,
            outcome='Success' if event is None else type(event).__name__,
        )
        if event is None:
            self._crash_guard.record_success(job)
        elif isinstance(event, attempts.Broken) and event.is_closed:
            await self._crash_guard.examine(job, upstream)
        return event

    async def _send_to_upstream(
        self,
        job: jobs.Job,
        upstream: models.Upstream,
    ) -> attempts.Event | None:
        """Send the request and forward the response; return any failure."""
        request = job.exchange.request
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
        )
        timeout_seconds = self._response_timeout(job, upstream)
        with anyio.move_on_after(timeout_seconds) as timeout_scope:
            async with self._client.open(call) as response:
                timeout_scope.deadline = math.inf
                return await self._read_response(job, upstream, response)
        return attempts.Broken(
            upstream.upstream_id, f'no response within {timeout_seconds:.2f} s'
        )

    async def _read_response(
        self,
        job: jobs.Job,
        upstream: models.Upstream,
        response: client.Response,
    ) -> attempts.Event | None:
        """Forward a successful response; return the failure otherwise."""
        classification = self._header_translator.classify_response(
            response.head, job.caller.request_id
        )
        self._health_recorder.record_response(job, upstream, classification)
        if classification.response_kind is not models.ResponseKind.SUCCESS:
            return await self._read_failure(
                job, upstream, response, classification
            )
        self._crash_guard.record_response(upstream)
        if job.route.kind is models.RouteKind.STREAM:
            return await self._forward_stream(job, upstream, response)
        body = await response.read(const.RESPONSE_BYTES_LIMIT)
        seconds = anyio.current_time() - job.dispatched_at_seconds
        self._health_recorder.record_latency(upstream, seconds)
        self._dispatcher.record_response_time(job.service, seconds)
        headers = messages.end_to_end_headers(response.head.headers)
        await job.exchange.respond(response.head.status, headers, body)
        return None

    def _response_timeout(
        self,
        job: jobs.Job,
        upstream: models.Upstream,
    ) -> float:
        """Return the seconds to wait for the response head.

        After that the request is retried on another upstream, if one may be
        used. Streams have no such timeout: under load their first event takes
        long, and a retry would add to the load.
        """
        if job.route.kind is models.RouteKind.STREAM:
            return math.inf
        if not self._can_retry(job, upstream):
            return math.inf
        return max(
            job.route.objective_seconds
            * const.RESPONSE_TIMEOUT_OBJECTIVE_RATIO,
            self._health_recorder.expected_latency(upstream)
            * const.RESPONSE_TIMEOUT_LATENCY_RATIO,
            const.MIN_RESPONSE_TIMEOUT_SECONDS,
        )

    async def _read_failure(
        self,
        job: jobs.Job,
        upstream: models.Upstream,
        response: client.Response,
        classification: models.ResponseClassification,
    ) -> attempts.Event:
        """Return the failure that an unsuccessful response means."""
        if classification.response_kind is models.ResponseKind.FOREIGN:
            return attempts.Broken(upstream.upstream_id, 'foreign response')
        self._crash_guard.record_response(upstream)
        body = await response.read(const.RESPONSE_BYTES_LIMIT)
        if classification.response_kind is models.ResponseKind.FAILURE:
            job.failure = jobs.Failure(response.head, body)
            return attempts.Failed(upstream.upstream_id)
        self._health_recorder.eject_blocked_group(upstream, classification)
        return attempts.NotRun(upstream.upstream_id)

    async def _forward_stream(
        self,
        job: jobs.Job,
        upstream: models.Upstream,
        response: client.Response,
    ) -> attempts.Event | None:
        """Forward events as they arrive; return the failure, if any."""
        splitter = events.Splitter()
        last_event_at = anyio.current_time()
        while True:
            part = await self._receive_part(job, upstream, response)
            if part is None:
                return attempts.Broken(upstream.upstream_id, 'silent stream')
            complete_events = splitter.feed(part)
            new_events = events.select_new_events(job.position, complete_events)
            if new_events.payload:
                now = anyio.current_time()
                if job.delivery.has_sent_events:
                    pause_seconds = now - last_event_at
                    job.longest_pause_seconds = max(
                        job.longest_pause_seconds,
                        pause_seconds,
                    )
                    self._health_recorder.record_pause(
                        job, upstream, pause_seconds / len(complete_events)
                    )
                last_event_at = now
                await self._forward_events(job, response.head, new_events)
            if new_events.has_gap:
                return attempts.Broken(upstream.upstream_id, 'missing event')
            if not part:
                break
        if splitter.has_partial_event or not job.delivery.has_sent_events:
            return attempts.Broken(upstream.upstream_id, 'incomplete stream')
        await job.exchange.finish()
        return None

    async def _receive_part(
        self,
        job: jobs.Job,
        upstream: models.Upstream,
        response: client.Response,
    ) -> bytes | None:
        """Return a part of the stream, None to resume it elsewhere."""
        while True:
            with anyio.move_on_after(const.STREAM_IDLE_TIMEOUT_SECONDS):
                return await response.receive()
            self._health_recorder.eject_group(upstream)
            if self._can_retry(job, upstream):
                return None

    def _can_retry(self, job: jobs.Job, upstream: models.Upstream) -> bool:
        """Return whether another upstream may run or resume the request."""
        decision = attempts.decide(
            attempts.Broken(upstream.upstream_id),
            job.delivery,
        )
        return (
            isinstance(decision.action, attempts.Repeat)
            and self._dispatcher.has_available_upstreams(
                job.service,
                decision.delivery.excluded_ids,
            )
            and self._retry_budgets.has_retry(job.service)
        )

    async def _forward_events(
        self,
        job: jobs.Job,
        head: messages.Head,
        new_events: events.NewEvents,
    ) -> None:
        """Send events to the caller, the first ones with the head."""
        job.position = new_events.position
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

    async def _send_final_response(
        self, job: jobs.Job, action: attempts.GiveUp
    ) -> None:
        """Send the final response of a request that did not succeed."""
        job.failure_reason = action.outcome.value
        if job.exchange.has_started:
            job.exchange.keep_alive = False
            return
        failure = job.failure
        if action.outcome is attempts.Outcome.PASS_ON and failure is not None:
            if failure.head.status not in _NOT_RUN_STATUSES:
                await job.exchange.respond(
                    failure.head.status,
                    messages.end_to_end_headers(failure.head.headers),
                    failure.body,
                )
                return
        if action.outcome is attempts.Outcome.QUARANTINED:
            await self._reject(
                job.exchange,
                job.caller,
                'quarantined',
                self._crash_guard.refused_seconds(job),
                crashes=self._crash_guard.crash_count(job),
            )
            return
        if action.outcome is attempts.Outcome.NOT_RUN:
            await self._reject(
                job.exchange,
                job.caller,
                'no free upstream',
                jobs.retry_after_seconds(
                    job.remaining_seconds,
                    self._dispatcher.held_off_seconds(job.service),
                ),
            )
            return
        status = http.HTTPStatus.BAD_GATEWAY
        if job.remaining_seconds <= 0:
            status = http.HTTPStatus.GATEWAY_TIMEOUT
        await self._respond(job.exchange, job.caller.request_id, status)

    async def _reject(
        self,
        exchange: server.Exchange,
        caller: models.CallerRequest,
        reason: str,
        retry_after_seconds: float,
        **details: int,
    ) -> None:
        """Respond that the request has not run and when to retry it."""
        logs.decision(
            'request:rejected',
            request_id=caller.request_id,
            reason=reason,
            waiting=self._dispatcher.waiting_count,
            retry_after_seconds=retry_after_seconds,
            **details,
        )
        await self._respond(
            exchange,
            caller.request_id,
            http.HTTPStatus.SERVICE_UNAVAILABLE,
            retry_after_seconds,
        )

    async def _respond(
        self,
        exchange: server.Exchange,
        request_id: str,
        status: int,
        retry_after_seconds: float | None = None,
    ) -> None:
        """Send a response that does not come from an upstream."""
        headers = self._header_translator.refusal_headers(
            request_id,
            retry_after_seconds,
        )
        await exchange.respond(status, headers, b'')

    def _give_up(self, job: jobs.Job) -> attempts.GiveUp:
        """Return the outcome of a request that is not retried."""
        if job.failure is not None:
            return attempts.GiveUp(attempts.Outcome.PASS_ON)
        return attempts.give_up(job.delivery)

    def _log_failure(
        self,
        job: jobs.Job,
        event: attempts.Event,
        action: attempts.Repeat | attempts.GiveUp,
    ) -> None:
        """Log and count a failed attempt."""
        self._metrics.increment('failed_attempts', type(event).__name__)
        logs.decision(
            'attempt:failed',
            request_id=job.caller.request_id,
            fingerprint=job.fingerprint,
            upstream=event.upstream_id,
            failure=type(event).__name__,
            detail=getattr(event, 'detail', ''),
            reached=job.delivery.reached,
            action=type(action).__name__,
        )

    def _log_not_placed(
        self,
        job: jobs.Job,
        queued: request_queue.QueuedRequest,
        queued_at_seconds: float,
    ) -> None:
        """Log and count that no upstream became free for an attempt."""
        now = anyio.current_time()
        self._metrics.increment('attempts_not_placed', job.service)
        logs.decision(
            'attempt:not-placed',
            request_id=job.caller.request_id,
            service=job.service,
            reached=job.delivery.reached,
            has_sent_events=job.delivery.has_sent_events,
            waited_seconds=round(now - queued_at_seconds, 4),
            late_by_seconds=round(now - queued.latest_start_seconds, 4),
            waiting=self._dispatcher.waiting_count,
        )

    def _record_end(self, job: jobs.Job) -> None:
        """Log and count the end of a request."""
        seconds = anyio.current_time() - job.exchange.received_at_seconds
        outcome = 'answered' if job.exchange.is_complete else 'cut'
        self._metrics.increment('requests', outcome)
        self._metrics.count(
            'request_outcomes',
            route_kind=job.route.kind.value,
            outcome=outcome,
            reason=job.failure_reason,
        )
        self._metrics.observe_seconds('request', seconds)
        logs.decision(
            'request:ended',
            request_id=job.caller.request_id,
            fingerprint=job.fingerprint,
            route=job.route.name,
            client_account=job.account.name,
            configuration=job.configuration_version,
            choices=job.choices,
            entries=self._dispatcher.entries,
            outcome=outcome,
            reason=job.failure_reason,
            status=job.exchange.status,
            seconds=round(seconds, 4),
            first_event_seconds=job.first_event_seconds,
            longest_pause_seconds=round(job.longest_pause_seconds, 4),
        )
