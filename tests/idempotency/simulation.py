"""Deterministic simulation of two sidecars, one stored log and callers.

Pending actions wait in one queue. A fault is injected at the n-th executed
action, so that every fault can be placed at every step.
"""

import collections
import functools
import typing

from nutmegtrail.delivery import attempts
from nutmegtrail.delivery import models as delivery_models
from nutmegtrail.idempotency import models
from nutmegtrail.idempotency import serialization
from nutmegtrail.idempotency import shard
from nutmegtrail.retries import models as retry_models

FAULTS = (
    'none',
    'answer-lost',
    'request-lost',
    'unavailable',
    'outage',
    'cut-off',
    'late',
    'killed-before',
    'killed-after',
    'paused',
    'paused-after',
    'upstream-cut',
    'upstream-refused',
    'connection-lost',
    'entry-expired',
)
_READ_FAULTS = frozenset(('unavailable', 'answer-lost', 'request-lost'))
_NAMES = ('a', 'b')
_DEADLINE_SECONDS = 100.0
_STEP_LIMIT = 400
_KEY = 'key'
_RESPONSE = models.StoredResponse(200, 'application/json', b'confirmed')


class Pending(typing.NamedTuple):
    """A pending action of one incarnation of a sidecar."""

    sidecar: str
    incarnation: str
    action: typing.Any


class Caller:
    """A request of a caller, driven by the delivery decisions."""

    def __init__(
        self, simulation: 'Simulation', request_id: str, first_sidecar: str
    ) -> None:
        """Send the first attempt."""
        self.request_id = request_id
        self.final = None
        self._simulation = simulation
        self._delivery = delivery_models.Delivery(
            idempotent=False, has_idempotency_key=True
        )
        self._is_awaiting_tombstone = False
        self._tombstone_attempts = 0
        self._current_sidecar = first_sidecar
        self._send_attempt(first_sidecar)

    def receive(self, sidecar: str, event: typing.Any) -> None:
        """Handle a reply from a sidecar."""
        if self.final is not None:
            return
        if isinstance(event, models.StoredResponse):
            self.final = event
        elif self._is_awaiting_tombstone:
            self._receive_tombstone_reply(event)
        else:
            decision = attempts.decide(event, self._delivery)
            self._delivery = decision.delivery
            self._perform_action(decision.action)

    def expire(self) -> None:
        """Let the request reach its deadline."""
        if self.final is None and not self._is_awaiting_tombstone:
            self.receive(self._current_sidecar, delivery_models.Expired())

    def drop_connection(self, sidecar: str) -> None:
        """Lose the connection to a sidecar."""
        if self._current_sidecar == sidecar:
            self.receive(sidecar, delivery_models.Lost())

    def is_current_attempt(self, attempt: int) -> bool:
        """Return whether a reply belongs to the current attempt."""
        return attempt == self._delivery.attempt_count

    def _receive_tombstone_reply(self, event: typing.Any) -> None:
        """Handle the reply to a tombstone request."""
        refused = isinstance(event, delivery_models.Refused)
        if refused and event.reason is not retry_models.Reason.MOVED:
            self._finish(event.reason)
            return
        self._request_tombstone(getattr(event, 'owner', ''))

    def _perform_action(self, action: delivery_models.Action) -> None:
        """Perform the action that the delivery decided on."""
        if isinstance(action, delivery_models.Ask):
            self._send_attempt(action.upstream)
        elif isinstance(action, delivery_models.Prove):
            self._is_awaiting_tombstone = True
            self._request_tombstone('')
        else:
            self._finish(action.reason)

    def _send_attempt(self, preferred: str) -> None:
        """Send the next attempt."""
        failed = self._delivery.failed_upstreams
        available = [name for name in _NAMES if name not in failed]
        sidecar = (
            preferred if preferred in available else next(iter(available), '')
        )
        if not sidecar:
            self._perform_action(
                attempts.decide(
                    delivery_models.NoUpstream(),
                    self._delivery,
                ).action,
            )
            return
        self._current_sidecar = sidecar
        self._delivery = attempts.record_attempt(self._delivery, sidecar)
        call = models.KeyedCall(
            _KEY,
            self.request_id,
            self._delivery.attempt_count,
            'digest',
            _DEADLINE_SECONDS,
        )
        self._simulation.send(sidecar, self, models.CallArrived(call))

    def _request_tombstone(self, preferred: str) -> None:
        """Request a tombstone, at most three times."""
        self._tombstone_attempts += 1
        if self._tombstone_attempts > 3:
            self._finish(retry_models.Reason.OUTCOME_UNKNOWN)
            return
        sidecar = preferred or _NAMES[self._tombstone_attempts % 2]
        self._current_sidecar = sidecar
        self._delivery = attempts.record_attempt(self._delivery, sidecar)
        tombstone = models.TombstoneCall(
            _KEY,
            self.request_id,
            self._delivery.attempt_count,
        )
        event = models.TombstoneRequested(tombstone)
        self._simulation.send(sidecar, self, event)

    def _finish(self, reason: retry_models.Reason) -> None:
        """Record the final refusal and check it."""
        self.final = reason
        self._simulation.check_refusal(self.request_id, reason)


class Simulation:
    """State of all participants and checks of the guarantees."""

    def __init__(self, faults: dict[int, str], shard_module=shard) -> None:
        """Initialize two sidecars and an empty log."""
        self.runs = 0
        self.steps = 0
        self.violations: list[str] = []
        self._decide = shard_module.decide
        self._faults = faults
        self._revision = 0
        self._content = b''
        self._outage = False
        self._are_faults_ended = False
        self._queue: collections.deque[Pending] = collections.deque()
        self._paused: list[Pending] = []
        self._paused_names: set[str] = set()
        self._isolated_names: set[str] = set()
        self._callers_by_id: dict[str, Caller] = {}
        self._ran_requests: set[str] = set()
        self._not_run_requests: set[str] = set()
        self._incarnations = 0
        self._shards_by_name: dict[str, models.Shard] = {}
        for name in _NAMES:
            self._start(name)

    def call(self, request_id: str, sidecar: str) -> Caller:
        """Send a caller's request."""
        return Caller(self, request_id, sidecar)

    def send(self, sidecar: str, caller: Caller, event: models.Event) -> None:
        """Queue a message to a sidecar; a paused sidecar reads it later."""
        self._callers_by_id[caller.request_id] = caller
        self._queue.append(Pending(sidecar, '', event))

    def run(self) -> None:
        """Execute actions until none is pending."""
        limit = self.steps + _STEP_LIMIT
        while self._queue and self.steps < limit:
            self._execute(self._queue.popleft())
        if self._queue:
            self.violations.append('pending actions do not end')

    def end_faults(self) -> None:
        """End all faults, resume paused sidecars and finish pending actions."""
        self._are_faults_ended = True
        self._outage = False
        self._isolated_names.clear()
        self.run()
        self._paused_names.clear()
        self._queue.extend(self._paused)
        self._paused.clear()
        self.run()
        for name in _NAMES:
            self._apply(name, models.LeaseLapsed())
        self.run()

    def check_refusal(
        self, request_id: str, reason: retry_models.Reason
    ) -> None:
        """Check a final refusal at the time it is sent."""
        if reason is retry_models.Reason.NOT_RUN:
            self._not_run_requests.add(request_id)
            if self.runs:
                self.violations.append(
                    f'{request_id}: refused as not run, but the key had run'
                )

    def check(self) -> list[str]:
        """Return the violated guarantees."""
        if self.runs > 1:
            self.violations.append(f'the call ran {self.runs} times')
        for request_id in self._not_run_requests & self._ran_requests:
            self.violations.append(
                f'{request_id}: refused as not run, but it ran later'
            )
        for caller in self._callers_by_id.values():
            if caller.final is None:
                self.violations.append(f'{caller.request_id}: no final reply')
            if caller.final == _RESPONSE and not self.runs:
                self.violations.append(
                    f'{caller.request_id}: response, but the call never ran'
                )
        return self.violations

    def _start(self, name: str) -> None:
        """Start a sidecar with a new incarnation."""
        self._incarnations += 1
        owner = models.Owner(name, f'{name}{self._incarnations}')
        self._shards_by_name[name] = models.Shard(owner)

    def _execute(self, pending: Pending) -> None:
        """Execute one action with the fault of the current step."""
        name = pending.sidecar
        present = self._shards_by_name[name].local_owner.incarnation
        if pending.incarnation not in {'', present}:
            return
        if name in self._paused_names:
            self._paused.append(pending)
            self._drop_connections(name)
            return
        self.steps += 1
        fault = (
            'none'
            if self._are_faults_ended
            else self._faults.get(self.steps, 'none')
        )
        if fault == 'late':
            self._queue.append(pending)
            return
        if fault == 'killed-before':
            self._kill(name)
            return
        if fault == 'paused':
            self._paused_names.add(name)
            self._paused.append(pending)
            self._drop_connections(name)
            return
        self._outage = self._outage or fault == 'outage'
        if fault == 'cut-off':
            self._isolated_names.add(name)
        _perform(pending.action, self, name, fault)
        if fault == 'killed-after':
            self._kill(name)
        if fault == 'paused-after':
            self._paused_names.add(name)
            self._drop_connections(name)
        if fault == 'connection-lost':
            self._drop_connections(name)
        if fault == 'entry-expired':
            for caller in tuple(self._callers_by_id.values()):
                caller.expire()

    def _kill(self, name: str) -> None:
        """Kill a sidecar and start a new incarnation at once."""
        self._start(name)
        self._drop_connections(name)

    def _drop_connections(self, name: str) -> None:
        """Drop the connections of all callers to a sidecar."""
        for caller in tuple(self._callers_by_id.values()):
            caller.drop_connection(name)

    def _apply(self, name: str, event: models.Event) -> None:
        """Apply an event to a sidecar and queue its actions."""
        is_lease_valid = name not in self._paused_names and not self._outage
        context = models.Context(1.0, is_lease_valid)
        before = self._shards_by_name[name]
        decision = self._decide(event, before, context)
        self._shards_by_name[name] = decision.shard
        incarnation = decision.shard.local_owner.incarnation
        self._queue.extend(
            Pending(name, incarnation, action) for action in decision.actions
        )

    def _delay(self, name: str, action: models.ScheduleAppend) -> None:
        """Hold a timer back until the faults have ended."""
        incarnation = self._shards_by_name[name].local_owner.incarnation
        self._paused.append(Pending(name, incarnation, action))

    def _is_isolated(self, name: str) -> bool:
        """Return whether a sidecar cannot reach the stored log."""
        return self._outage or name in self._isolated_names

    def _read(self, name: str, fault: str) -> None:
        """Read the stored log."""
        if self._is_isolated(name) or fault in _READ_FAULTS:
            self._apply(name, models.ReadFailed())
            return
        log = models.Log()
        if self._content:
            log = serialization.decode_log(self._content)
        live = {
            self._shards_by_name[other].local_owner
            for other in _NAMES
            if other not in self._paused_names
        }
        read = models.ShardRead(self._revision, log, log.owner in live)
        self._apply(name, read)

    def _append(self, name: str, action: models.Append, fault: str) -> None:
        """Store a log by compare-and-swap."""
        if self._is_isolated(name) or fault == 'unavailable':
            self._apply(name, models.AppendUnavailable())
            return
        if fault == 'request-lost':
            self._apply(name, models.AppendUnknown())
            return
        matches = action.expected_revision == self._revision
        if matches:
            self._revision += 1
            self._content = action.content
        if fault == 'answer-lost':
            self._apply(name, models.AppendUnknown())
        elif matches:
            self._apply(name, models.AppendConfirmed(self._revision))
        else:
            self._apply(name, models.AppendConflict())

    def _run(self, name: str, action: models.Run, fault: str) -> None:
        """Run a call at the upstream."""
        if fault == 'upstream-refused':
            self._apply(name, models.UpstreamNotSent(action.record_id))
            return
        self.runs += 1
        self._ran_requests.add(action.request_id)
        if fault == 'upstream-cut':
            event = models.UpstreamInterrupted(action.record_id)
        else:
            event = models.UpstreamResponded(action.record_id, _RESPONSE)
        self._queue.append(
            Pending(
                name, self._shards_by_name[name].local_owner.incarnation, event
            ),
        )

    def _reply(self, waiter: models.Waiter, name: str, reply: object) -> None:
        """Send a reply to a caller unless its attempt is outdated."""
        caller = self._callers_by_id[waiter.request_id]
        if caller.is_current_attempt(waiter.attempt):
            caller.receive(name, reply)


@functools.singledispatch
def _perform(
    action: object, simulation: Simulation, name: str, fault: str
) -> None:
    """Perform a pending action; anything else is an event of the sidecar."""
    simulation._apply(name, action)


@_perform.register
def _(
    action: models.ReadShard, simulation: Simulation, name: str, fault: str
) -> None:
    simulation._read(name, fault)


@_perform.register
def _(
    action: models.Append, simulation: Simulation, name: str, fault: str
) -> None:
    simulation._append(name, action, fault)


@_perform.register
def _(
    action: models.ScheduleAppend,
    simulation: Simulation,
    name: str,
    fault: str,
) -> None:
    if not action.delay_seconds or simulation._are_faults_ended:
        simulation._apply(name, models.AppendDue())
    else:
        simulation._delay(name, action)


@_perform.register
def _(
    action: models.Run, simulation: Simulation, name: str, fault: str
) -> None:
    simulation._run(name, action, fault)


@_perform.register
def _(
    action: models.Respond, simulation: Simulation, name: str, fault: str
) -> None:
    simulation._reply(action.waiter, name, action.response)


@_perform.register
def _(
    action: models.Refuse, simulation: Simulation, name: str, fault: str
) -> None:
    refused = delivery_models.Refused(action.reason, action.owner)
    simulation._reply(action.waiter, name, refused)
