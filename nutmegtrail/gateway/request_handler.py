"""Way of a request from its caller to an upstream and back."""

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
from nutmegtrail.gateway import dispatcher as dispatching
from nutmegtrail.gateway import errors
from nutmegtrail.gateway import events
from nutmegtrail.gateway import health_recorder
from nutmegtrail.gateway import jobs
from nutmegtrail.gateway import models
from nutmegtrail.gateway import retry_budget
from nutmegtrail.gateway import routes
from nutmegtrail.observability import logs
from nutmegtrail.observability import metrics
from nutmegtrail.ports import header_translator as header_translators

_PROMISING_NOT_RUN: typing.Final = frozenset(
    (
        http.HTTPStatus.REQUEST_TIMEOUT,
        http.HTTPStatus.MISDIRECTED_REQUEST,
        http.HTTPStatus.TOO_MANY_REQUESTS,
        http.HTTPStatus.SERVICE_UNAVAILABLE,
    ),
)


class RequestHandler:
    """Serves callers' requests under the present configuration."""

    def __init__(
        self,
        header_translator: header_translators.HeaderTranslator,
        dispatcher: dispatching.Dispatcher,
        allowance: retry_budget.Allowance,
        readings: metrics.Metrics,
    ) -> None:
        """Keep the collaborators; no configuration is known yet."""
        self.configuration: models.Configuration | None = None
        self._header_translator = header_translator
        self._dispatcher = dispatcher
        self._observer = health_recorder.HealthRecorder(dispatcher)
        self._allowance = allowance
        self._metrics = readings
        self._client = client.Client()
        self._budgets_by_service: dict[str, retry_budget.Budget] = {}

    async def close(self) -> None:
        """Close the idle connections to upstreams."""
        await self._client.close()

    async def serve(self, exchange: server.Exchange) -> None:
        """Answer one request."""
        job = await self._admit(exchange)
        if job is None:
            return
        try:
            await self._deliver(job)
        finally:
            self._report(job)

    async def _admit(self, exchange: server.Exchange) -> jobs.Job | None:
        """Return the job of an acceptable request, None once answered."""
        configuration = self.configuration
        try:
            caller = self._header_translator.read_request(exchange.request)
        except errors.MalformedRequest as error:
            logs.decision('request:malformed', detail=str(error))
            await self._answer(exchange, '', http.HTTPStatus.BAD_REQUEST)
            return None
        if configuration is None:
            await self._reject(
                exchange,
                caller,
                'no configuration yet',
                const.MAX_RETRY_AFTER_SECONDS,
            )
            return None
        route = routes.match(configuration, caller.host, caller.path)
        status = http.HTTPStatus.NOT_FOUND
        if route is not None:
            account = routes.account_of(configuration, route, caller.api_key)
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
        await self._answer(exchange, caller.request_id, status)
        return None

    async def _deliver(self, job: jobs.Job) -> None:
        """Send a request to upstreams until it is answered."""
        now = anyio.current_time()
        budget = self._budget(job.service)
        window = self._allowance.window_seconds
        self._budgets_by_service[job.service] = retry_budget.requested(
            budget,
            window,
            now,
        )
        while True:
            event = await self._next_attempt(job)
            if event is None:
                return
            if isinstance(event, attempts.GiveUp):
                await self._end(job, event)
                return
            decision = attempts.decide(event, job.delivery)
            job.delivery = decision.delivery
            action = decision.action
            self._log_failure(job, event, action)
            if isinstance(action, attempts.Repeat):
                if action.from_budget and not self._spend(job.service):
                    action = self._without_repeat(job)
            if isinstance(action, attempts.GiveUp):
                await self._end(job, action)
                return

    async def _next_attempt(
        self,
        job: jobs.Job,
    ) -> attempts.Event | attempts.GiveUp | None:
        """Wait for an upstream and try it; None where answered."""
        excluded = job.delivery.excluded_ids
        if not self._dispatcher.has_upstreams(job.service, excluded):
            return self._without_repeat(job)
        place = await self._dispatcher.acquire(job.service, job.waiting())
        if place is None:
            return self._without_repeat(job)
        upstream = place.upstream
        job.dispatched_at_seconds = anyio.current_time()
        job.choices.append(jobs.describe(place, job))
        try:
            return await self._attempt(job, upstream)
        finally:
            self._dispatcher.release(upstream)

    async def _attempt(
        self,
        job: jobs.Job,
        upstream: models.Upstream,
    ) -> attempts.Event | attempts.GiveUp | None:
        """Send a request to an upstream; None where it was answered."""
        try:
            with anyio.fail_after(max(job.remaining_seconds, 0)):
                event = await self._exchange(job, upstream)
        except TimeoutError:
            return attempts.GiveUp(attempts.Outcome.UNKNOWN)
        except http_errors.NotConnected:
            event = attempts.NotConnected(upstream.upstream_id)
        except http_errors.ExchangeBroken:
            event = attempts.Broken(upstream.upstream_id)
        self._observer.record_outcome(upstream, event)
        return event

    async def _exchange(
        self,
        job: jobs.Job,
        upstream: models.Upstream,
    ) -> attempts.Event | None:
        """Exchange a request and its answer with an upstream."""
        request = job.exchange.request
        dispatch = models.ForwardingMetadata(
            upstream.upstream_id,
            job.account.name,
            job.remaining_seconds,
            job.position.last_event,
        )
        call = client.Call(
            upstream.address,
            request.method,
            request.target,
            self._header_translator.upstream_headers(request, dispatch),
            request.body,
            needs_new_connection=not job.route.is_retryable,
        )
        silence_seconds = self._bearable_silence(job, upstream)
        with anyio.move_on_after(silence_seconds) as waiting:
            async with self._client.open(call) as response:
                waiting.deadline = math.inf
                return await self._read_answer(job, upstream, response)
        return attempts.Broken(upstream.upstream_id)

    async def _read_answer(
        self,
        job: jobs.Job,
        upstream: models.Upstream,
        response: client.Response,
    ) -> attempts.Event | None:
        """Pass an answer on; return what it means where it is no success."""
        signs = self._header_translator.classify_response(
            response.head, job.caller.request_id
        )
        if signs.response_kind is not models.ResponseKind.SUCCESS:
            return await self._read_failure(job, upstream, response, signs)
        if job.route.kind is models.RouteKind.STREAM:
            return await self._pass_stream(job, upstream, response)
        body = await response.read(const.RESPONSE_BYTES_LIMIT)
        seconds = anyio.current_time() - job.dispatched_at_seconds
        self._observer.record_latency(upstream, seconds)
        self._dispatcher.observe_start(job.service, seconds)
        headers = messages.end_to_end_headers(response.head.headers)
        await job.exchange.answer(response.head.status, headers, body)
        return None

    def _bearable_silence(
        self,
        job: jobs.Job,
        upstream: models.Upstream,
    ) -> float:
        """Return how long a call may be without the head of its answer.

        After that another upstream is asked, where one may be. The first
        event of a stream takes long under load, and a repeat adds to it.
        """
        if job.route.kind is models.RouteKind.STREAM:
            return math.inf
        if not self._may_repeat(job, upstream):
            return math.inf
        return max(
            job.route.objective_seconds
            * const.RESPONSE_TIMEOUT_OBJECTIVE_RATIO,
            self._observer.expected_latency(upstream)
            * const.RESPONSE_TIMEOUT_LATENCY_RATIO,
            const.MIN_RESPONSE_TIMEOUT_SECONDS,
        )

    async def _read_failure(
        self,
        job: jobs.Job,
        upstream: models.Upstream,
        response: client.Response,
        signs: models.ResponseClassification,
    ) -> attempts.Event:
        """Return what an answer that is no success means."""
        if signs.response_kind is models.ResponseKind.FOREIGN:
            return attempts.Broken(upstream.upstream_id)
        body = await response.read(const.RESPONSE_BYTES_LIMIT)
        if signs.response_kind is models.ResponseKind.FAILURE:
            job.failure = jobs.Failure(response.head, body)
            return attempts.Failed(upstream.upstream_id)
        self._observer.eject_blocked_group(upstream, signs)
        return attempts.NotRun(upstream.upstream_id)

    async def _pass_stream(
        self,
        job: jobs.Job,
        upstream: models.Upstream,
        response: client.Response,
    ) -> attempts.Event | None:
        """Pass events on as they come; return what cut them short."""
        splitter = events.Splitter()
        last_at = anyio.current_time()
        while True:
            part = await self._next_part(job, upstream, response)
            if part is None:
                return attempts.Broken(upstream.upstream_id)
            whole = splitter.feed(part)
            advance = events.select_new_events(job.position, whole)
            if advance.payload:
                now = anyio.current_time()
                if job.delivery.begun:
                    pause = now - last_at
                    job.longest_pause_seconds = max(
                        job.longest_pause_seconds,
                        pause,
                    )
                    self._observer.record_pause(
                        job, upstream, pause / len(whole)
                    )
                last_at = now
                await self._pass_events(job, response.head, advance)
            if advance.has_gap:
                return attempts.Broken(upstream.upstream_id)
            if not part:
                break
        if splitter.has_partial_event or not job.delivery.begun:
            return attempts.Broken(upstream.upstream_id)
        await job.exchange.finish()
        return None

    async def _next_part(
        self,
        job: jobs.Job,
        upstream: models.Upstream,
        response: client.Response,
    ) -> bytes | None:
        """Return a part of a stream, None where it should go on elsewhere."""
        while True:
            with anyio.move_on_after(const.STREAM_IDLE_TIMEOUT_SECONDS):
                return await response.receive()
            self._observer.eject_group(upstream)
            if self._may_repeat(job, upstream):
                return None

    def _may_repeat(self, job: jobs.Job, upstream: models.Upstream) -> bool:
        """Return whether another upstream may get a request, or go on."""
        decided = attempts.decide(
            attempts.Broken(upstream.upstream_id),
            job.delivery,
        )
        return (
            isinstance(decided.action, attempts.Repeat)
            and self._dispatcher.has_upstreams(
                job.service,
                decided.delivery.excluded_ids,
            )
            and self._budget_after_repeat(job.service) is not None
        )

    async def _pass_events(
        self,
        job: jobs.Job,
        head: messages.Head,
        advance: events.NewEvents,
    ) -> None:
        """Send events to the caller, the first ones behind the head."""
        job.position = advance.position
        if job.delivery.begun:
            await job.exchange.write(advance.payload)
            return
        job.delivery = job.delivery._replace(begun=True)
        now = anyio.current_time()
        seconds = now - job.exchange.received_at_seconds
        job.first_event_seconds = seconds
        self._dispatcher.observe_start(
            job.service,
            now - job.dispatched_at_seconds,
        )
        self._metrics.observe_seconds('first_event', seconds)
        await job.exchange.start_chunked(
            head.status,
            messages.end_to_end_headers(head.headers),
            advance.payload,
        )

    async def _end(self, job: jobs.Job, action: attempts.GiveUp) -> None:
        """Give a request that got no success its final answer."""
        if job.exchange.has_started:
            job.exchange.keep_alive = False
            return
        failure = job.failure
        if action.outcome is attempts.Outcome.PASS_ON and failure is not None:
            if failure.head.status not in _PROMISING_NOT_RUN:
                await job.exchange.answer(
                    failure.head.status,
                    messages.end_to_end_headers(failure.head.headers),
                    failure.body,
                )
                return
        if action.outcome is attempts.Outcome.NOT_RUN:
            await self._reject(
                job.exchange,
                job.caller,
                'no free upstream',
                jobs.retry_after_seconds(job.remaining_seconds),
            )
            return
        status = http.HTTPStatus.BAD_GATEWAY
        if job.remaining_seconds <= 0:
            status = http.HTTPStatus.GATEWAY_TIMEOUT
        await self._answer(job.exchange, job.caller.request_id, status)

    async def _reject(
        self,
        exchange: server.Exchange,
        caller: models.CallerRequest,
        reason: str,
        retry_after: float,
    ) -> None:
        """Say that a request has not run and when to come back."""
        logs.decision(
            'request:rejected',
            request_id=caller.request_id,
            reason=reason,
            waiting=self._dispatcher.waiting_count,
            retry_after_seconds=retry_after,
        )
        await self._answer(
            exchange,
            caller.request_id,
            http.HTTPStatus.SERVICE_UNAVAILABLE,
            retry_after,
        )

    async def _answer(
        self,
        exchange: server.Exchange,
        request_id: str,
        status: int,
        retry_after_seconds: float | None = None,
    ) -> None:
        """Send an answer of our own."""
        headers = self._header_translator.refusal_headers(
            request_id,
            retry_after_seconds,
        )
        await exchange.answer(status, headers, b'')

    def _without_repeat(self, job: jobs.Job) -> attempts.GiveUp:
        """Return the end of a request that gets no further attempt."""
        if job.failure is not None:
            return attempts.GiveUp(attempts.Outcome.PASS_ON)
        return attempts.give_up(job.delivery)

    def _budget(self, service: str) -> retry_budget.Budget:
        """Return the retry budget of a service."""
        return self._budgets_by_service.get(service, retry_budget.Budget())

    def _budget_after_repeat(self, service: str) -> retry_budget.Budget | None:
        """Return the budget after a second send, None where not allowed."""
        entries = self._dispatcher.entries
        base = self._allowance.base * const.RETRY_ALLOWANCE_RATIO / entries
        return retry_budget.spend(
            self._budget(service),
            self._allowance._replace(base=base),
            anyio.current_time(),
        )

    def _spend(self, service: str) -> bool:
        """Return whether the budget allows a second send."""
        left = self._budget_after_repeat(service)
        if left is None:
            self._metrics.increment('retries_refused', service)
            return False
        self._budgets_by_service[service] = left
        return True

    def _log_failure(
        self,
        job: jobs.Job,
        event: attempts.Event,
        action: attempts.Repeat | attempts.GiveUp,
    ) -> None:
        """Log a failed attempt and what follows it."""
        self._metrics.increment('failed_attempts', type(event).__name__)
        logs.decision(
            'attempt:failed',
            request_id=job.caller.request_id,
            upstream=event.upstream_id,
            failure=type(event).__name__,
            reached=job.delivery.reached,
            action=type(action).__name__,
        )

    def _report(self, job: jobs.Job) -> None:
        """Log and count the end of a request."""
        seconds = anyio.current_time() - job.exchange.received_at_seconds
        outcome = 'answered' if job.exchange.is_complete else 'cut'
        self._metrics.increment('requests', outcome)
        self._metrics.observe_seconds('request', seconds)
        logs.decision(
            'request:ended',
            request_id=job.caller.request_id,
            route=job.route.name,
            client_account=job.account.name,
            configuration=job.configuration_version,
            choices=job.choices,
            entries=self._dispatcher.entries,
            outcome=outcome,
            status=job.exchange.status,
            seconds=round(seconds, 4),
            first_event_seconds=job.first_event_seconds,
            longest_pause_seconds=round(job.longest_pause_seconds, 4),
        )
