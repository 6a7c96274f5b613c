"""Handling of a request from admission to the final response."""

import contextlib
import http
import random
import typing

import anyio
import pyrsistent

from nutmegtrail.adapters.http1 import messages
from nutmegtrail.adapters.http1 import server
from nutmegtrail.gateway import attempt_runner
from nutmegtrail.gateway import attempts
from nutmegtrail.gateway import const
from nutmegtrail.gateway import crash_guard
from nutmegtrail.gateway import dispatcher as dispatching
from nutmegtrail.gateway import errors
from nutmegtrail.gateway import evacuated_upstreams
from nutmegtrail.gateway import jobs
from nutmegtrail.gateway import models
from nutmegtrail.gateway import routes
from nutmegtrail.host_limits import condition as conditions
from nutmegtrail.observability import logs
from nutmegtrail.observability import metrics
from nutmegtrail.ports import header_translator as header_translators
from nutmegtrail.residency import regions
from nutmegtrail.warmup import shares

_NO_REGIONS: typing.Final[typing.Mapping[str, str]] = pyrsistent.pmap()
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
        runner: attempt_runner.AttemptRunner,
        guard: crash_guard.CrashGuard,
        metrics_registry: metrics.Metrics,
        generator: random.Random,
        region_by_domain: typing.Mapping[str, str] = _NO_REGIONS,
    ) -> None:
        """Initialize the handler; requests are rejected until configured.

        The generator spreads the times at which refused callers come back.
        """
        self._configuration: models.Configuration | None = None
        self._region_by_domain = region_by_domain
        self._exhausted: frozenset[conditions.Resource] = frozenset()
        self._scopes: set[anyio.CancelScope] = set()
        self._header_translator = header_translator
        self._dispatcher = dispatcher
        self._runner = runner
        self._crash_guard = guard
        self._metrics = metrics_registry
        self._generator = generator

    @property
    def configuration(self) -> models.Configuration | None:
        """Return the configuration in force, None before the first one."""
        return self._configuration

    @configuration.setter
    def configuration(self, configuration: models.Configuration) -> None:
        """Put a configuration in force."""
        self._configuration = configuration
        self._dispatcher.limiter.cold.set_rules(
            {
                service.name: shares.Rule(
                    service.cold_seconds, service.cold_requests_per_second
                )
                for service in configuration.services_by_name.values()
            }
        )

    def on_host_limit(self, exhausted: frozenset[conditions.Resource]) -> None:
        """Refuse new requests while resources of the host are used up."""
        self._exhausted = exhausted

    async def close(self) -> None:
        """Close idle connections to upstreams."""
        await self._runner.close()

    async def serve(self, exchange: server.Exchange) -> None:
        """Handle one request."""
        job = await self._admit(exchange)
        if job is None:
            return
        try:
            action = await self._run(job)
            if action is not None:
                await self._send_final_response(job, action)
        finally:
            self._record_end(job)
            job.close()

    def no_room_headers(self, request: messages.Request) -> messages.Headers:
        """Return the headers of a refusal for lack of memory.

        The request may have arrived only in part.
        """
        request_id = ''
        budget_seconds: float | None = None
        with contextlib.suppress(errors.MalformedRequest):
            caller = self._header_translator.read_request(request)
            request_id = caller.request_id
            budget_seconds = caller.budget_seconds
        return self._header_translator.refusal_headers(
            request_id, self._retry_after_seconds(budget_seconds)
        )

    def cut(self) -> int:
        """Give up all requests; return their number.

        Those that have not run are refused as such.
        """
        scopes = tuple(self._scopes)
        for scope in scopes:
            scope.cancel()
        return len(scopes)

    async def _run(self, job: jobs.Job) -> attempts.GiveUp | None:
        """Answer a request; return the outcome if no upstream does."""
        with anyio.CancelScope() as scope:
            self._scopes.add(scope)
            try:
                return await self._runner.run(job)
            finally:
                self._scopes.discard(scope)
        delivery = job.delivery
        if job.is_under_way:
            delivery = delivery._replace(may_have_run=True)
        return attempts.give_up(delivery)

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
                return await self._admit_job(
                    exchange, caller, route, account, configuration
                )
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

    async def _admit_job(
        self,
        exchange: server.Exchange,
        caller: models.CallerRequest,
        route: models.Route,
        account: models.Account,
        configuration: models.Configuration,
    ) -> jobs.Job | None:
        """Return the job of a request that is allowed, None if it is refused.

        The host may have no room, the route no service, or a planned stop may
        leave too little time.
        """
        if self._exhausted:
            await self._refuse_at_limit(exchange, caller)
            return None
        if not route.has_service:
            await self._reject(
                exchange,
                caller,
                'no service of the route',
                const.MAX_RETRY_AFTER_SECONDS,
            )
            return None
        job = self._create_job(exchange, caller, route, account, configuration)
        if self._fits(job):
            return job
        await self._refuse_at_stop(job)
        return None

    def _fits(self, job: jobs.Job) -> bool:
        """Return whether a request sent now ends before a planned stop."""
        return self._dispatcher.drain.has_room_for(
            job.stoppable, anyio.current_time()
        )

    async def _refuse_at_stop(self, job: jobs.Job) -> None:
        """Refuse a request so that its caller tries another host at once."""
        self._metrics.increment('requests', 'refused-at-stop')
        await self._reject(
            job.exchange,
            job.caller,
            'stopping',
            const.MIN_RETRY_AFTER_SECONDS,
            stopping_seconds=self._stopping_seconds(job) or 0,
            budget_seconds=round(job.remaining_seconds, 3),
        )

    async def _refuse_at_limit(
        self, exchange: server.Exchange, caller: models.CallerRequest
    ) -> None:
        """Refuse a request so that its caller tries another host.

        The load balancer may send its next connection elsewhere.
        """
        exchange.keep_alive = False
        await self._reject(
            exchange,
            caller,
            f'host at its limit: {", ".join(sorted(self._exhausted))}',
            self._retry_after_seconds(caller.budget_seconds),
        )

    def _retry_after_seconds(self, budget_seconds: float | None) -> float:
        """Return when to retry a request that the host has no room for."""
        return jobs.retry_after_seconds(
            budget_seconds or 0, spread=self._generator.random()
        )

    def _create_job(
        self,
        exchange: server.Exchange,
        caller: models.CallerRequest,
        route: models.Route,
        account: models.Account,
        configuration: models.Configuration,
    ) -> jobs.Job:
        """Return the job of an admitted request."""
        job = jobs.Job(
            exchange,
            caller,
            route,
            account,
            configuration.version,
            regions.allowed_domains(
                self._region_by_domain,
                route.allowed_regions,
                account.allowed_regions,
            ),
        )
        service = configuration.services_by_name.get(job.service)
        if service is not None:
            job.step_times = service.step_times
        return job

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
        if action.outcome is attempts.Outcome.NOT_RUN and not self._fits(job):
            await self._refuse_at_stop(job)
            return
        if action.outcome is attempts.Outcome.NOT_RUN:
            evacuated = evacuated_upstreams.count(
                self._dispatcher.known_upstreams, job.service
            )
            if evacuated:
                self._metrics.increment('evacuated_requests', 'refused')
            wait = self._dispatcher.expected_wait(job.service, job.priority)
            await self._reject(
                job.exchange,
                job.caller,
                'no free upstream',
                jobs.retry_after_seconds(
                    job.remaining_seconds,
                    wait.total_seconds,
                    self._generator.random(),
                    wait.queue_seconds,
                ),
                out_of_service_upstreams=evacuated,
                priority=job.priority,
                work=round(job.work, 2),
                expected_wait_seconds=round(wait.total_seconds, 3),
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
        **details: float,
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

    def _record_end(self, job: jobs.Job) -> None:
        """Log and count the end of a request."""
        seconds = anyio.current_time() - job.exchange.received_at_seconds
        outcome = 'answered' if job.exchange.is_complete else 'cut'
        self._record_duration(job)
        self._metrics.increment('requests', outcome)
        self._metrics.count(
            'request_outcomes',
            route_kind=job.route.kind.value,
            outcome=outcome,
            reason=job.failure_reason,
        )
        self._metrics.observe_seconds('request', seconds)
        self._count_by_priority(job, outcome, seconds)
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
            priority=job.priority,
            work=round(job.work, 2),
            status=job.exchange.status,
            seconds=round(seconds, 4),
            stopping_seconds=self._stopping_seconds(job),
            first_event_seconds=job.first_event_seconds,
            longest_pause_seconds=round(job.longest_pause_seconds, 4),
            silent_seconds=round(job.silent_seconds, 4),
        )

    def _record_duration(self, job: jobs.Job) -> None:
        """Tell planned stops how long a request took."""
        first_event_at = None
        if job.first_event_seconds is not None:
            first_event_at = (
                job.exchange.received_at_seconds + job.first_event_seconds
            )
        self._dispatcher.drain.record_end(
            job,
            anyio.current_time(),
            first_event_at,
            is_answered=job.exchange.is_complete and not job.failure_reason,
            events=job.event_count,
        )

    def _stopping_seconds(self, job: jobs.Job) -> float | None:
        """Return for how long the entry stopped when it got a request.

        It is negative for requests from before the stop, None without one.
        """
        signalled_at = self._dispatcher.drain.signalled_at_seconds
        if signalled_at is None:
            return None
        return round(job.exchange.received_at_seconds - signalled_at, 4)

    def _count_by_priority(
        self, job: jobs.Job, outcome: str, seconds: float
    ) -> None:
        """Count which priorities were delayed, refused or late."""
        priority = str(job.priority)
        if job.waited_seconds > const.DELAYED_SECONDS:
            self._metrics.count('delayed_requests', priority=priority)
        if job.failure_reason == attempts.Outcome.NOT_RUN.value:
            outcome = 'refused'
        elif outcome == 'answered' and job.is_late(seconds):
            outcome = 'late'
        self._metrics.count(
            'requests_by_priority', priority=priority, outcome=outcome
        )
