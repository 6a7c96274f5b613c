"""Delivery of one request from its caller to an upstream and back."""

import collections.abc
import functools
import random
import time
import typing

import anyio

from nutmegtrail import const as shared_const
from nutmegtrail.adapters.http import exchanges
from nutmegtrail.adapters.http import const as http_const
from nutmegtrail.adapters.http1 import errors as http_errors
from nutmegtrail.daemons import asked_upstreams
from nutmegtrail.daemons import const
from nutmegtrail.daemons import inbound_request
from nutmegtrail.daemons import planned_stop
from nutmegtrail.daemons import sidecar_pool
from nutmegtrail.daemons import silence_watch
from nutmegtrail.daemons import upstream_selector
from nutmegtrail.daemons import withdrawal
from nutmegtrail.daemons import write_times
from nutmegtrail.delivery import attempts
from nutmegtrail.delivery import const as delivery_const
from nutmegtrail.delivery import models as delivery_models
from nutmegtrail.observability import logs
from nutmegtrail.observability import metrics
from nutmegtrail.ports import host_list
from nutmegtrail.retries import models as retry_models
from nutmegtrail.retries import problems
from nutmegtrail.retry_budget import budgets as retry_budgets
from nutmegtrail.wire import errors as wire_errors
from nutmegtrail.wire import models

_Reason: typing.TypeAlias = retry_models.Reason
_Wait: typing.TypeAlias = collections.abc.Callable[
    [], collections.abc.Awaitable[bool | None]
]


class FlowDependencies(typing.NamedTuple):
    """Components shared by all request flows of an entry."""

    pool: sidecar_pool.SidecarPool
    selector: upstream_selector.UpstreamSelector
    budgets: retry_budgets.RetryBudgets
    metrics_registry: metrics.Metrics
    generator: random.Random
    stop: planned_stop.PlannedStop


class RequestFlow:
    """Delivers one request and gives its caller exactly one response."""

    def __init__(
        self,
        request: inbound_request.InboundRequest,
        exchange: exchanges.Exchange,
        dependencies: FlowDependencies,
    ) -> None:
        """Initialize the flow and start the request's deadline."""
        self._request = request
        self._exchange = exchange
        self._dependencies = dependencies
        self._pending = dependencies.pool.open_call(request.request_id)
        self._started_at_seconds = time.monotonic()
        self._deadline_seconds = (
            self._started_at_seconds + shared_const.REQUEST_TIMEOUT_SECONDS
        )
        self._drained = inbound_request.to_drained(
            request, self._started_at_seconds
        )
        self._writes = write_times.WriteTimes(
            dependencies.metrics_registry, self._started_at_seconds
        )
        self._head: models.Head | None = None
        self._asked = asked_upstreams.AskedUpstreams(dependencies.selector)
        self._silence = silence_watch.SilenceWatch(
            dependencies.stop, request.request_id, self._ask_beside
        )
        self._status = 0
        self._is_answered = False
        self._delivery = delivery_models.Delivery(
            idempotent=request.idempotent,
            has_idempotency_key=bool(request.idempotency_key),
        )

    async def run(self) -> None:
        """Deliver the response; it is cancelled when the caller disconnects."""
        try:
            if await self._dependencies.stop.run_until_cut(self._deliver):
                self._delivery = await withdrawal.withdraw(
                    self._delivery,
                    self._pending,
                    self._dependencies.pool,
                    self._dependencies.stop.schedule.withdrawn_at_seconds,
                )
                stopped = delivery_models.Stopped()
                decision = attempts.decide(stopped, self._delivery)
                await self._finish(decision.action)
        except BaseException:
            self._dependencies.pool.cancel_call(self._pending)
            self._dependencies.metrics_registry.increment('callers_gone')
            raise
        finally:
            self._dependencies.pool.close_call(self._pending)
            self._dependencies.stop.drain.record_end(
                self._request.request_id,
                time.monotonic(),
                self._writes.first_at_seconds,
                is_answered=self._is_answered,
                events=self._writes.count,
            )

    async def _deliver(self) -> None:
        """Send attempts until the request has its final response."""
        action: delivery_models.Action = delivery_models.Ask()
        failure = ''
        while isinstance(action, delivery_models.Ask):
            event = await self._attempt(action, failure)
            self._delivery = self._delivery._replace(is_under_way=False)
            if event is None:
                self._record_success()
                return
            failure = type(event).__name__
            decision = attempts.decide(event, self._delivery)
            self._delivery = decision.delivery
            action = decision.action
            self._dependencies.metrics_registry.increment(
                'failed_attempts', failure
            )
            _log_failure(self._request, self._delivery, event, action)
        await self._finish(action)

    async def _finish(self, action: delivery_models.Action) -> None:
        """Give the final response."""
        if isinstance(action, delivery_models.Prove):
            await self._obtain_tombstone()
        elif isinstance(action, delivery_models.GiveUp):
            await self._give_up(action.reason)

    def _record_success(self) -> None:
        """Clear crash marks and earn retries.

        Only successes earn them, so that there are few in an outage.
        """
        self._is_answered = self._status < http_const.HTTP_INTERNAL_SERVER_ERROR
        self._dependencies.selector.record_success(self._request)
        self._dependencies.budgets.record_request(self._request.target)

    async def _attempt(
        self, ask: delivery_models.Ask, failure: str
    ) -> delivery_models.Event | None:
        """Send one attempt; return why it failed, or None on success.

        `failure` is how the attempt before it failed.
        """
        if self._dependencies.selector.is_quarantined(self._request):
            return delivery_models.Refused(_Reason.QUARANTINED)
        host = await self._acquire(ask, failure)
        if host is None:
            return delivery_models.NoUpstream()
        self._delivery = attempts.record_attempt(self._delivery, host.upstream)
        if not await self._reach(host, self._dependencies.pool.connect(host)):
            return delivery_models.NotSent()
        if attempts.starts_run(
            ask, self._delivery
        ) and not self._dependencies.stop.has_room_for(self._drained):
            return delivery_models.Stopped()
        sending = self._dependencies.pool.send(
            host, self._pending, self._build_call()
        )
        if not await self._reach(host, sending):
            return delivery_models.NotSent()
        self._delivery = self._delivery._replace(is_under_way=True)
        self._dependencies.stop.drain.record_start(
            self._request.request_id, self._drained, time.monotonic()
        )
        self._asked.record(self._delivery.attempt_count, host.upstream)
        self._silence.record_reply()
        try:
            return await self._receive_in_time()
        finally:
            self._asked.clear()

    def _build_call(self) -> models.Call:
        """Return the message of the current attempt."""
        remaining_ms = round(
            self._remaining_seconds() * shared_const.MILLISECONDS_PER_SECOND
        )
        return inbound_request.build_call(
            self._request,
            self._delivery.attempt_count,
            self._delivery.next_offset,
            max(remaining_ms, 0),
            suspect=self._dependencies.selector.is_suspect(self._request),
        )

    async def _ask_beside(self) -> None:
        """Ask another upstream for the rest of a stream.

        The silent one may go on, too; the first to send an event does.
        """
        is_other = self._head is not None and not _is_stream(self._head)
        if (
            is_other
            or self._delivery.attempt_count >= delivery_const.ATTEMPT_LIMIT
        ):
            return
        budgets = self._dependencies.budgets
        retry = retry_budgets.Retry(
            self._request.target, self._request.request_id, 'Silent'
        )
        if not await budgets.wait(retry, self._remaining_seconds()):
            return
        host = self._dependencies.selector.select(
            self._request,
            '',
            self._delivery.failed_upstreams.union(self._asked.upstreams),
        )
        if host is None or not await self._reach(
            host, self._dependencies.pool.connect(host)
        ):
            return
        if self._silence.is_silent and budgets.spend(retry):
            self._delivery = attempts.record_attempt(
                self._delivery, host.upstream
            )
            self._dependencies.pool.send_beside(
                host, self._pending, self._build_call()
            )
            self._asked.record(self._delivery.attempt_count, host.upstream)
            logs.decision(
                'delivery:asked-beside',
                request_id=self._request.request_id,
                upstream=self._delivery.upstream,
                attempt=self._delivery.attempt_count,
                offset=self._delivery.next_offset,
            )

    async def _acquire(
        self, ask: delivery_models.Ask, failure: str
    ) -> host_list.Host | None:
        """Return the sidecar to use, None without one or without a retry."""
        if not ask.uses_retry_budget:
            return await self._select(ask.upstream)
        budgets = self._dependencies.budgets
        retry = retry_budgets.Retry(
            self._request.target, self._request.request_id, failure
        )
        wait: _Wait = functools.partial(
            budgets.wait, retry, self._remaining_seconds()
        )
        if attempts.starts_run(ask, self._delivery):
            wait = functools.partial(
                self._dependencies.stop.run_while_room, self._drained, wait
            )
        while await wait():
            host = await self._select(ask.upstream)
            if host is None or budgets.spend(retry):
                return host
        return None

    async def _select(self, preferred: str) -> host_list.Host | None:
        """Return the sidecar to use, or None if there is none.

        Selection is retried once after a short wait.
        """
        for _ in range(2):
            host = self._dependencies.selector.select(
                self._request,
                preferred,
                self._delivery.failed_upstreams,
            )
            if host is not None:
                return host
            await anyio.sleep(const.NO_UPSTREAM_WAIT_SECONDS)
        return None

    async def _receive_in_time(self) -> delivery_models.Event | None:
        """Forward the response until it ends or the deadline passes."""
        with anyio.move_on_after(self._remaining_seconds()):
            if not (self._request.is_stream and self._request.idempotent):
                return await self._receive()
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(self._silence.run)
                event = await self._receive()
                tasks.cancel_scope.cancel()
                return event
        return delivery_models.Expired()

    async def _receive(self) -> delivery_models.Event | None:
        """Forward the response; return why it broke off, or None at its end."""
        while True:
            reply = await self._pending.get()
            self._silence.record_reply()
            event = await self._forward(reply)
            if event is not None and self._has_other_attempt(reply, event):
                continue
            if event is not None:
                return event
            if _is_final(reply):
                if self._pending.has_several_attempts:
                    self._dependencies.pool.cancel_call(self._pending)
                return None

    def _has_other_attempt(
        self, failed: sidecar_pool.Reply, event: delivery_models.Event
    ) -> bool:
        """Return whether another attempt goes on after one has failed."""
        attempt = failed.attempt or self._pending.attempt
        upstream = self._asked.upstream(attempt, self._delivery.upstream)
        has_other = self._pending.end_attempt(attempt)
        self._delivery = self._delivery._replace(upstream=upstream)
        if has_other:
            self._delivery = attempts.end_one(event, self._delivery)
        return has_other

    async def _forward(
        self, reply: sidecar_pool.Reply
    ) -> delivery_models.Event | None:
        """Forward a part of the response; return the failure that it means."""
        if isinstance(reply, models.Head):
            return self._check_head(reply)
        if not isinstance(reply, models.Chunk):
            return self._record_failure(reply)
        is_shorter = (
            reply.final and reply.offset < self._delivery.next_offset
        ) and self._pending.has_several_attempts
        if is_shorter or reply.offset > self._delivery.next_offset:
            return delivery_models.Lost()
        if reply.final:
            self._start_response()
            await self._exchange.write(b'', more=False)
        else:
            await self._forward_chunk(reply)
        return None

    def _check_head(self, head: models.Head) -> delivery_models.Event | None:
        """Return a failure if the attempt does not continue the response.

        The caller has the status and content type of an earlier attempt then.
        """
        if self._delivery.is_response_started and self._head is not None:
            is_other = _kind(head) != _kind(self._head)
        else:
            is_other = self._pending.has_several_attempts and not _is_stream(
                head
            )
        if is_other:
            return delivery_models.Refused(_Reason.INTERRUPTED)
        if not self._delivery.is_response_started:
            self._head = head
        return None

    def _start_response(self) -> None:
        """Send the head of the attempt whose body is sent first."""
        if self._delivery.is_response_started or self._head is None:
            return
        self._delivery = self._delivery._replace(is_response_started=True)
        request_id = ('x-request-id', self._request.request_id)
        self._status = self._head.status
        self._exchange.start(
            self._head.status,
            self._head.content_type,
            (request_id,),
        )

    async def _forward_chunk(self, first: models.Chunk) -> None:
        """Send new events to the caller; queued ones share one write."""
        payload = bytearray()
        chunk: sidecar_pool.Reply | None = first
        while isinstance(chunk, models.Chunk) and not chunk.final:
            if chunk.offset == self._delivery.next_offset:
                payload += chunk.payload
                self._delivery = self._delivery._replace(
                    next_offset=chunk.offset + 1,
                )
            chunk = self._pending.get_nowait()
        if payload:
            self._start_response()
            await self._exchange.write(bytes(payload), more=True)
            self._writes.record()
        if chunk is not None:
            self._pending.put_back(chunk)

    def _record_failure(
        self,
        reply: models.Refusal | delivery_models.Lost,
    ) -> delivery_models.Event:
        """Record a refusal at the selector; return the delivery event."""
        if isinstance(reply, models.Refusal):
            self._dependencies.selector.record_refusal(
                self._request,
                self._asked.upstream(reply.attempt, self._delivery.upstream),
                reply,
            )
        return sidecar_pool.to_event(reply)

    async def _obtain_tombstone(self) -> None:
        """Obtain a tombstone, which proves that the request never runs.

        If the request has run, its response is delivered instead.
        """
        reason = retry_models.Reason.MOVED
        owner = ''
        for _ in range(const.TOMBSTONE_ATTEMPTS):
            host = await self._select(owner)
            if host is None:
                break
            event = await self._send_tombstone(host)
            if event is None:
                return
            if isinstance(event, delivery_models.Refused):
                reason, owner = event.reason, event.owner
            if reason is not retry_models.Reason.MOVED or _is_lost(event):
                break
        if reason is retry_models.Reason.MOVED:
            reason = retry_models.Reason.OUTCOME_UNKNOWN
        await self._give_up(reason)

    async def _send_tombstone(
        self,
        host: host_list.Host,
    ) -> delivery_models.Event | None:
        """Request a tombstone; return None if the response was delivered."""
        self._delivery = attempts.record_attempt(self._delivery, host.upstream)
        tombstone = models.Tombstone(
            self._request.request_id,
            self._delivery.attempt_count,
            self._request.caller.client_account,
            self._request.target,
            self._request.idempotency_key,
        )
        sending = self._dependencies.pool.send(host, self._pending, tombstone)
        if not await self._reach(host, sending):
            return delivery_models.NotSent()
        with anyio.move_on_after(const.TOMBSTONE_TIMEOUT_SECONDS):
            return await self._receive()
        return delivery_models.Lost()

    async def _reach(
        self, host: host_list.Host, action: collections.abc.Awaitable[None]
    ) -> bool:
        """Return whether a sidecar is connected, and a message queued."""
        try:
            await action
        except wire_errors.ConnectionLost:
            self._dependencies.selector.record_connection_failure(host.upstream)
            return False
        return True

    async def _give_up(self, reason: retry_models.Reason) -> None:
        """Answer the caller with the reason for the failure."""
        self._dependencies.pool.cancel_call(self._pending)
        self._dependencies.metrics_registry.increment('given_up', reason.value)
        if self._exchange.is_sent:
            await self._end_partial_response(reason)
            return
        await refuse(
            self._exchange,
            reason,
            f'{self._request.target} gave no answer',
            self._request.request_id,
            self._dependencies.generator,
        )

    async def _end_partial_response(self, reason: retry_models.Reason) -> None:
        """Abort a response; an error event tells why a stream ends."""
        content_type = '' if self._head is None else self._head.content_type
        if content_type.startswith(http_const.CONTENT_TYPE_EVENTS):
            problem = problems.create_problem(
                reason,
                'the answer was cut and could not be resumed',
                self._request.request_id,
                self._dependencies.generator,
            )
            event = b''.join((b'event: error\ndata: ', problem.body, b'\n\n'))
            await self._exchange.write(event, more=True)
        raise http_errors.ClientDisconnected(
            'the upstream response is incomplete'
        )

    def _remaining_seconds(self) -> float:
        """Return the seconds left until the deadline."""
        return self._deadline_seconds - time.monotonic()


def _log_failure(
    request: inbound_request.InboundRequest,
    delivery: delivery_models.Delivery,
    event: delivery_models.Event,
    action: delivery_models.Action,
) -> None:
    """Log a failed attempt and the action that follows."""
    logs.decision(
        'delivery:attempt-failed',
        request_id=request.request_id,
        client_account=request.caller.client_account,
        upstream=delivery.upstream,
        attempt=delivery.attempt_count,
        event=type(event).__name__,
        reason=getattr(event, 'reason', ''),
        next=type(action).__name__,
    )


def _kind(head: models.Head) -> tuple[int, str]:
    """Return what the attempts of one response have in common."""
    return head.status, head.content_type


def _is_stream(head: models.Head) -> bool:
    """Return whether a response is a stream of events that may be resumed."""
    is_success = head.status < http_const.HTTP_BAD_REQUEST
    return is_success and head.content_type.startswith(
        http_const.CONTENT_TYPE_EVENTS
    )


def _is_final(reply: sidecar_pool.Reply) -> bool:
    """Return whether a reply ends the response."""
    return isinstance(reply, models.Chunk) and reply.final


def _is_lost(event: delivery_models.Event) -> bool:
    """Return whether the connection was lost before a reply."""
    return isinstance(event, delivery_models.Lost)


async def refuse(
    exchange: exchanges.Exchange,
    reason: retry_models.Reason,
    detail: str,
    request_id: str,
    generator: random.Random,
) -> None:
    """Answer a request with a problem document."""
    problem = problems.create_problem(reason, detail, request_id, generator)
    headers: tuple[tuple[str, str], ...] = ()
    if problem.retry_after_seconds:
        headers = (('retry-after', str(problem.retry_after_seconds)),)
    await exchange.respond(
        problem.status,
        problem.body,
        http_const.CONTENT_TYPE_PROBLEM,
        headers,
    )
