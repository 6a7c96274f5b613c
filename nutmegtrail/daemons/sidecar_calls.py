"""Execution of a sidecar's calls: queueing, running and recording them."""

import functools
import time
import typing

import anyio
import anyio.abc

from nutmegtrail import const as shared_const
from nutmegtrail.byte_budget import budget
from nutmegtrail.byte_budget import errors as budget_errors
from nutmegtrail.byte_budget import models as budget_models
from nutmegtrail.daemons import const
from nutmegtrail.daemons import running_calls
from nutmegtrail.daemons import shard_driver
from nutmegtrail.delivery import const as delivery_const
from nutmegtrail.delivery import responses
from nutmegtrail.idempotency import keys
from nutmegtrail.idempotency import models as idempotency_models
from nutmegtrail.limits import fair_queue
from nutmegtrail.observability import logs
from nutmegtrail.observability import metrics
from nutmegtrail.ports import upstream as upstream_port
from nutmegtrail.retries import const as retry_const
from nutmegtrail.retries import models as retry_models
from nutmegtrail.wire import models

_Reason: typing.TypeAlias = retry_models.Reason


class CallExecutor:
    """Runs calls at the upstream, one per request identifier."""

    def __init__(
        self,
        name: str,
        slots: int,
        upstream: upstream_port.Upstream,
        metrics_registry: metrics.Metrics,
        tasks: anyio.abc.TaskGroup,
    ) -> None:
        """Initialize the executor without calls."""
        self.shards: shard_driver.ShardDriver | None = None
        self.running = running_calls.RunningCalls()
        self.store = responses.ResponseStore(self.running.cancel)
        self._name = name
        self._upstream = upstream
        self._metrics = metrics_registry
        self._tasks = tasks
        self._queue = fair_queue.Queue(slots)
        self._calls_by_id: dict[str, models.Call] = {}

    @property
    def in_flight(self) -> int:
        """Return the number of running and queued calls."""
        return len(self._calls_by_id)

    def accept(
        self, call: models.Call, send_reply: responses.SendMessage
    ) -> None:
        """Accept a call, or subscribe to an earlier attempt's recording."""
        recording = self.store.get(call.request_id)
        subscriber = responses.Subscriber(send_reply, call.attempt)
        if recording is not None:
            recording.subscribe(subscriber, call.offset)
            return
        recording = self.store.open(call.request_id, call.offset)
        recording.subscribe(subscriber, call.offset)
        refusal = self._refusal_reason(call)
        if refusal is not None:
            self._refuse(call.request_id, refusal)
            return
        self._calls_by_id[call.request_id] = call
        if call.idempotency_key and self.shards is not None:
            self._claim(call, self.shards)
        else:
            self._enqueue(call)

    def place_tombstone(
        self, tombstone: models.Tombstone, send_reply: responses.SendMessage
    ) -> None:
        """Place a tombstone, so that a request never runs.

        If the request has already run, its response is sent instead.
        """
        waiter = idempotency_models.Waiter(
            tombstone.request_id,
            tombstone.attempt,
        )
        recording = self.store.open(
            tombstone.request_id,
            0,
            _tombstone_recording_id(waiter),
        )
        recording.subscribe(
            responses.Subscriber(send_reply, tombstone.attempt), 0
        )
        if self.shards is None:
            self._refuse_attempt(waiter, _Reason.OUTCOME_UNKNOWN)
            return
        record_id = keys.record_id(
            tombstone.client_account,
            tombstone.target,
            tombstone.idempotency_key,
        )
        tombstone_call = idempotency_models.TombstoneCall(
            record_id,
            tombstone.request_id,
            tombstone.attempt,
        )
        event = idempotency_models.TombstoneRequested(tombstone_call)
        self.shards.submit(record_id, event)

    def cancel(self, request_id: str) -> None:
        """Cancel an idempotent call without a key; other calls run to the end."""
        call = self._calls_by_id.get(request_id)
        if call is None or not call.idempotent or call.idempotency_key:
            return
        self.running.cancel(request_id)
        self._release_slot(request_id)
        self.store.drop(request_id)

    def withdraw(self, request_id: str) -> bool:
        """Refuse a call that has not been sent; return False for others.

        Whether a call with a claim may run is up to its shard.
        """
        call = self._calls_by_id.get(request_id)
        if call is None or request_id in self.running:
            return False
        if call.idempotency_key and self.shards is not None:
            return False
        self._refuse(request_id, _Reason.NOT_RUN)
        self._release_slot(request_id)
        return True

    def cut(self) -> None:
        """Give up all calls at the end of a planned stop.

        Calls that have a claim are refused by its shard.
        """
        for request_id, call in tuple(self._calls_by_id.items()):
            if call.idempotency_key and self.shards is not None:
                continue
            reason = _Reason.DRAINING
            if request_id in self.running:
                reason = _reason_of_cut_run(call)
            self._refuse(request_id, reason)
            self._calls_by_id.pop(request_id)
        self.running.cut()

    def handle_connection_loss(self, send_reply: responses.SendMessage) -> None:
        """Unsubscribe a lost connection.

        Its calls go on for a while, so that a new attempt can resume them.
        """
        for request_id in self.store.unsubscribe(send_reply):
            self._tasks.start_soon(self._cancel_unless_resumed, request_id)

    def run_claimed(self, run: idempotency_models.Run) -> None:
        """Run a call whose claim is stored."""
        call = self._calls_by_id.get(run.request_id)
        if call is not None and self.running.has_room_for(call):
            self._tasks.start_soon(self._run_claimed, call, run.record_id)
        elif self.shards is not None:
            event = idempotency_models.UpstreamNotSent(run.record_id)
            self.shards.submit(run.record_id, event)

    def respond_claimed(self, action: idempotency_models.Respond) -> None:
        """Send the response of a claimed call to an attempt."""
        recording = self._recording_for(action.waiter)
        self._calls_by_id.pop(action.waiter.request_id, None)
        if recording is not None and not recording.is_complete:
            recording.start(
                action.response.status, action.response.content_type
            )
            try:
                recording.append(action.response.body)
            except budget_errors.GaveWay:
                self._refuse(action.waiter.request_id, _Reason.INTERRUPTED)
                return
            recording.finish(time.monotonic())

    def refuse_claimed(self, action: idempotency_models.Refuse) -> None:
        """Refuse an attempt of a claimed call."""
        self._refuse_attempt(action.waiter, action.reason, action.owner)

    def _recording_for(
        self,
        waiter: idempotency_models.Waiter,
    ) -> responses.RecordedResponse | None:
        """Return the recording of a tombstone request, or else of a call."""
        tombstone_recording = self.store.get(_tombstone_recording_id(waiter))
        return tombstone_recording or self.store.get(waiter.request_id)

    def _refuse_attempt(
        self,
        waiter: idempotency_models.Waiter,
        reason: retry_models.Reason,
        owner: str = '',
    ) -> None:
        """Refuse a tombstone request, or else a call with all its attempts."""
        recording_id = _tombstone_recording_id(waiter)
        tombstone_recording = self.store.get(recording_id)
        if tombstone_recording is None:
            self._calls_by_id.pop(waiter.request_id, None)
            self._refuse(waiter.request_id, reason, owner)
            return
        tombstone_recording.refuse(reason, time.monotonic(), 0, owner)
        self.store.drop(recording_id)

    def _refusal_reason(self, call: models.Call) -> retry_models.Reason | None:
        """Return why a call must not start here, or None if it may."""
        if may_have_run_before(call, keeps_claims=self.shards is not None):
            return _Reason.OUTCOME_UNKNOWN
        if call.suspect and any(
            other.suspect for other in self._calls_by_id.values()
        ):
            return _Reason.OVERLOADED
        kept_bytes = sum(
            len(other.body) for other in self._calls_by_id.values()
        )
        if kept_bytes + len(call.body) > delivery_const.CALLS_LIMIT_BYTES:
            return _Reason.OVERLOADED
        return None

    def _claim(
        self,
        call: models.Call,
        shards: shard_driver.ShardDriver,
    ) -> None:
        """Claim a keyed call at the shard of its record."""
        record_id = keys.record_id(
            call.client_account,
            call.target,
            call.idempotency_key,
        )
        keyed_call = idempotency_models.KeyedCall(
            record_id,
            call.request_id,
            call.attempt,
            keys.body_digest(call),
            time.time()
            + call.deadline_ms / shared_const.MILLISECONDS_PER_SECOND,
        )
        shards.submit(record_id, idempotency_models.CallArrived(keyed_call))

    def _enqueue(self, call: models.Call) -> None:
        """Queue a call for a concurrency slot of the upstream."""
        arrival = fair_queue.NewRequest(
            call.request_id,
            call.client_account,
            call.priority,
            call.share_weight,
        )
        self._apply_queue_outcome(fair_queue.enqueue(self._queue, arrival))

    def _release_slot(self, request_id: str) -> None:
        """Release a call's slot and start the next queued call."""
        if self._calls_by_id.pop(request_id, None) is not None:
            self._apply_queue_outcome(
                fair_queue.remove(self._queue, request_id)
            )

    def _apply_queue_outcome(self, outcome: fair_queue.QueueUpdate) -> None:
        """Start and refuse calls according to the queue."""
        self._queue = outcome.queue
        for request_id in outcome.started_ids:
            call = self._calls_by_id[request_id]
            if self.running.has_room_for(call):
                self._tasks.start_soon(self._run, call)
            else:
                self._refuse(request_id, _Reason.DRAINING)
                self._release_slot(request_id)
        for refused_id in outcome.refused_ids:
            self._calls_by_id.pop(refused_id)
            self._refuse(refused_id, _Reason.OVERLOADED)

    async def _run(self, call: models.Call) -> None:
        """Run an unclaimed call, which may be cancelled and repeated."""
        recording = self.store.get(call.request_id)
        if recording is None or call.request_id not in self._calls_by_id:
            return
        with self.running.track(call) as run:
            reason = await self._record_response(call, recording)
            run.is_answered = reason is None
            if reason is not None:
                self._refuse(
                    call.request_id, reason, _crash_id(self._name, reason)
                )
        self._release_slot(call.request_id)

    async def _record_response(
        self,
        call: models.Call,
        recording: responses.RecordedResponse,
    ) -> retry_models.Reason | None:
        """Record the upstream's response; return why it failed, if it did."""
        try:
            async with self._upstream.open(call) as response:
                recording.start(response.status, response.content_type)
                async for event in response.events:
                    recording.append(event)
        except upstream_port.NotSent:
            return _Reason.UNREACHABLE
        except upstream_port.Interrupted:
            return _Reason.CRASHED
        except budget_errors.GaveWay:
            return _Reason.INTERRUPTED
        recording.finish(time.monotonic())
        return None

    async def _run_claimed(self, call: models.Call, record_id: str) -> None:
        """Run a claimed call and submit its outcome to its shard."""
        event: idempotency_models.Event = (
            idempotency_models.UpstreamInterrupted(record_id)
        )
        with self.running.track(call) as run:
            event = await self._execute_claimed(call, record_id)
            run.is_answered = isinstance(
                event, idempotency_models.UpstreamResponded
            )
        if self.shards is not None:
            self.shards.submit(record_id, event)

    async def _execute_claimed(
        self,
        call: models.Call,
        record_id: str,
    ) -> idempotency_models.Event:
        """Run a claimed call at most once and return its outcome."""
        body = bytearray()
        holding = self.store.budget.open(
            budget_models.Kind.DELIVERY,
            functools.partial(self.running.cancel, call.request_id),
        )
        try:
            async with self._upstream.open(call) as response:
                status = response.status
                content_type = response.content_type
                async for chunk in response.events:
                    _keep_claimed(holding, len(chunk))
                    body.extend(chunk)
        except upstream_port.NotSent:
            return idempotency_models.UpstreamNotSent(record_id)
        except (upstream_port.Interrupted, budget_errors.GaveWay):
            return idempotency_models.UpstreamInterrupted(record_id)
        finally:
            holding.close()
        stored_response = idempotency_models.StoredResponse(
            status,
            content_type,
            bytes(body),
        )
        return idempotency_models.UpstreamResponded(record_id, stored_response)

    async def _cancel_unless_resumed(self, request_id: str) -> None:
        """Cancel a call unless a new attempt resumes it in time."""
        await anyio.sleep(delivery_const.RESUME_TIMEOUT_SECONDS)
        recording = self.store.get(request_id)
        if (
            recording is None
            or recording.is_complete
            or recording.has_subscribers
        ):
            return
        self.cancel(request_id)

    def _refuse(
        self,
        request_id: str,
        reason: retry_models.Reason,
        owner: str = '',
    ) -> None:
        """Refuse a request and record the refusal.

        Only the refusal of a call that must not be repeated stays recorded.
        """
        self._metrics.increment('refusals', reason.value)
        logs.decision(
            'sidecar:refused',
            request_id=request_id,
            upstream=self._name,
            reason=reason.value,
        )
        recording = self.store.get(request_id)
        if recording is None:
            return
        base_ms = round(
            retry_const.RETRY_AFTER_BASE_SECONDS
            * shared_const.MILLISECONDS_PER_SECOND
        )
        recording.refuse(reason, time.monotonic(), base_ms, owner)
        call = self._calls_by_id.get(request_id)
        if call is None or call.idempotent or call.idempotency_key:
            self.store.drop(request_id)


def may_have_run_before(call: models.Call, *, keeps_claims: bool) -> bool:
    """Return whether an earlier attempt may have run without a claim."""
    is_claimed = call.idempotency_key and keeps_claims
    return call.attempt > 1 and not call.idempotent and not is_claimed


def _keep_claimed(holding: budget.Holding, size_bytes: int) -> None:
    """Count a part of a claimed response; raise GaveWay above a limit."""
    holding.grow(size_bytes)
    if holding.kept_bytes > const.CLAIMED_BODY_LIMIT_BYTES:
        raise budget_errors.GaveWay


def _reason_of_cut_run(call: models.Call) -> retry_models.Reason:
    """Return the reason for giving up a run without a claim."""
    if call.idempotent:
        return _Reason.INTERRUPTED
    return _Reason.OUTCOME_UNKNOWN


def _crash_id(upstream: str, reason: retry_models.Reason) -> str:
    """Return the identifier of a crash, empty for other reasons.

    Refusals in the same second share it, so that one crash counts once.
    """
    if reason is not _Reason.CRASHED:
        return ''
    return f'{upstream}@{int(time.time())}'


def _tombstone_recording_id(waiter: idempotency_models.Waiter) -> str:
    """Return the recording identifier of a tombstone request."""
    return f'{waiter.request_id}#{waiter.attempt}'
