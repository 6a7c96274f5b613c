"""Two sidecars, one stored log, one service and callers, step by step.

Pending actions wait in one queue; a fault strikes at the n-th action that
is executed, so every fault can be put at every step.
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
_ANSWER = models.StoredResponse(200, 'application/json', b'confirmed')


class Pending(typing.NamedTuple):
    """An action of one incarnation of a sidecar."""

    sidecar: str
    incarnation: str
    action: typing.Any


class Caller:
    """A request of a caller, driven by the delivery's decisions."""

    def __init__(self, world: 'World', request_id: str, first: str) -> None:
        """Send the first attempt."""
        self.request_id = request_id
        self.final = None
        self._world = world
        self._delivery = delivery_models.Delivery(
            idempotent=False, has_idempotency_key=True
        )
        self._proving = False
        self._proofs = 0
        self._attempt_at = first
        self._ask(first)

    def hear(self, sidecar: str, event: typing.Any) -> None:
        """Take a reply from a sidecar."""
        if self.final is not None:
            return
        if isinstance(event, models.StoredResponse):
            self.final = event
        elif self._proving:
            self._hear_proof(event)
        else:
            decision = attempts.decide(event, self._delivery)
            self._delivery = decision.delivery
            self._follow(decision.action)

    def expire(self) -> None:
        """Reach the deadline."""
        if self.final is None and not self._proving:
            self.hear(self._attempt_at, delivery_models.Expired())

    def lose(self, sidecar: str) -> None:
        """Lose the connection to a sidecar."""
        if self._attempt_at == sidecar:
            self.hear(sidecar, delivery_models.Lost())

    def expects(self, attempt: int) -> bool:
        """Return whether a reply belongs to the present attempt."""
        return attempt == self._delivery.attempt_count

    def _hear_proof(self, event: typing.Any) -> None:
        """Take the reply to a demand for a tombstone."""
        refused = isinstance(event, delivery_models.Refused)
        if refused and event.reason is not retry_models.Reason.MOVED:
            self._finish(event.reason)
            return
        self._prove(getattr(event, 'owner', ''))

    def _follow(self, action: delivery_models.Action) -> None:
        """Carry out the delivery's decision."""
        if isinstance(action, delivery_models.Ask):
            self._ask(action.upstream)
        elif isinstance(action, delivery_models.Prove):
            self._proving = True
            self._prove('')
        else:
            self._finish(action.reason)

    def _ask(self, preferred: str) -> None:
        """Send the next attempt."""
        failed = self._delivery.failed_upstreams
        left = [name for name in _NAMES if name not in failed]
        sidecar = preferred if preferred in left else next(iter(left), '')
        if not sidecar:
            self._follow(
                attempts.decide(
                    delivery_models.NoUpstream(),
                    self._delivery,
                ).action,
            )
            return
        self._attempt_at = sidecar
        self._delivery = attempts.record_attempt(self._delivery, sidecar)
        call = models.KeyedCall(
            _KEY,
            self.request_id,
            self._delivery.attempt_count,
            'digest',
            _DEADLINE_SECONDS,
        )
        self._world.send(sidecar, self, models.CallArrived(call))

    def _prove(self, preferred: str) -> None:
        """Ask for a tombstone, a few times at most."""
        self._proofs += 1
        if self._proofs > 3:
            self._finish(retry_models.Reason.OUTCOME_UNKNOWN)
            return
        sidecar = preferred or _NAMES[self._proofs % 2]
        self._attempt_at = sidecar
        self._delivery = attempts.record_attempt(self._delivery, sidecar)
        tombstone = models.TombstoneCall(
            _KEY,
            self.request_id,
            self._delivery.attempt_count,
        )
        event = models.TombstoneRequested(tombstone)
        self._world.send(sidecar, self, event)

    def _finish(self, reason: retry_models.Reason) -> None:
        """Take the final refusal and have it checked."""
        self.final = reason
        self._world.refused(self.request_id, reason)


class World:
    """The state of all parts and the checks of the promises."""

    def __init__(self, faults: dict[int, str], shard_module=shard) -> None:
        """Start two sidecars and an empty log."""
        self.runs = 0
        self.steps = 0
        self.broken: list[str] = []
        self._decide = shard_module.decide
        self._faults = faults
        self._revision = 0
        self._content = b''
        self._outage = False
        self._calm = False
        self._queue: collections.deque[Pending] = collections.deque()
        self._paused: list[Pending] = []
        self._paused_names: set[str] = set()
        self._cut_names: set[str] = set()
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
        """Deliver a message to a sidecar; a paused one reads it later."""
        self._callers_by_id[caller.request_id] = caller
        self._queue.append(Pending(sidecar, '', event))

    def run(self) -> None:
        """Execute actions until none is left."""
        limit = self.steps + _STEP_LIMIT
        while self._queue and self.steps < limit:
            self._execute(self._queue.popleft())
        if self._queue:
            self.broken.append('the actions do not come to an end')

    def calm(self) -> None:
        """End all faults, wake the paused, finish what is left."""
        self._calm = True
        self._outage = False
        self._cut_names.clear()
        self.run()
        self._paused_names.clear()
        self._queue.extend(self._paused)
        self._paused.clear()
        self.run()
        for name in _NAMES:
            self._apply(name, models.LeaseLapsed())
        self.run()

    def refused(self, request_id: str, reason: retry_models.Reason) -> None:
        """Check a final refusal at the time when it is given."""
        if reason is retry_models.Reason.NOT_RUN:
            self._not_run_requests.add(request_id)
            if self.runs:
                self.broken.append(f'{request_id}: not run, yet the key ran')

    def check(self) -> list[str]:
        """Return the broken promises."""
        if self.runs > 1:
            self.broken.append(f'the call ran {self.runs} times')
        for request_id in self._not_run_requests & self._ran_requests:
            self.broken.append(f'{request_id}: not run, yet it ran later')
        for caller in self._callers_by_id.values():
            if caller.final is None:
                self.broken.append(f'{caller.request_id}: no final answer')
            if caller.final == _ANSWER and not self.runs:
                self.broken.append(f'{caller.request_id}: an answer from none')
        return self.broken

    def _start(self, name: str) -> None:
        """Start a sidecar in a new incarnation."""
        self._incarnations += 1
        owner = models.Owner(name, f'{name}{self._incarnations}')
        self._shards_by_name[name] = models.Shard(owner)

    def _execute(self, pending: Pending) -> None:
        """Execute one action under the fault that strikes now."""
        name = pending.sidecar
        present = self._shards_by_name[name].me.incarnation
        if pending.incarnation not in {'', present}:
            return
        if name in self._paused_names:
            self._paused.append(pending)
            self._entry_notices(name)
            return
        self.steps += 1
        fault = 'none' if self._calm else self._faults.get(self.steps, 'none')
        if fault == 'late':
            self._queue.append(pending)
            return
        if fault == 'killed-before':
            self._kill(name)
            return
        if fault == 'paused':
            self._paused_names.add(name)
            self._paused.append(pending)
            self._entry_notices(name)
            return
        self._outage = self._outage or fault == 'outage'
        if fault == 'cut-off':
            self._cut_names.add(name)
        _perform(pending.action, self, name, fault)
        if fault == 'killed-after':
            self._kill(name)
        if fault == 'paused-after':
            self._paused_names.add(name)
            self._entry_notices(name)
        if fault == 'connection-lost':
            self._entry_notices(name)
        if fault == 'entry-expired':
            for caller in tuple(self._callers_by_id.values()):
                caller.expire()

    def _kill(self, name: str) -> None:
        """Kill a sidecar; a new incarnation starts at once."""
        self._start(name)
        self._entry_notices(name)

    def _entry_notices(self, name: str) -> None:
        """Let the callers at a sidecar lose their connections."""
        for caller in tuple(self._callers_by_id.values()):
            caller.lose(name)

    def _apply(self, name: str, event: models.Event) -> None:
        """Let a sidecar decide and queue its actions."""
        lease_valid = name not in self._paused_names and not self._outage
        context = models.Context(1.0, lease_valid)
        before = self._shards_by_name[name]
        decision = self._decide(event, before, context)
        self._shards_by_name[name] = decision.shard
        incarnation = decision.shard.me.incarnation
        self._queue.extend(
            Pending(name, incarnation, action) for action in decision.actions
        )

    def _delay(self, name: str, action: models.ScheduleAppend) -> None:
        """Keep a timer until the faults have ended."""
        incarnation = self._shards_by_name[name].me.incarnation
        self._paused.append(Pending(name, incarnation, action))

    def _is_cut(self, name: str) -> bool:
        """Return whether a sidecar can not reach the stored log."""
        return self._outage or name in self._cut_names

    def _read(self, name: str, fault: str) -> None:
        """Read the stored log."""
        if self._is_cut(name) or fault in _READ_FAULTS:
            self._apply(name, models.ReadFailed())
            return
        log = models.Log()
        if self._content:
            log = serialization.decode_log(self._content)
        live = {
            self._shards_by_name[other].me
            for other in _NAMES
            if other not in self._paused_names
        }
        read = models.ShardRead(self._revision, log, log.owner in live)
        self._apply(name, read)

    def _append(self, name: str, action: models.Append, fault: str) -> None:
        """Store a log by compare-and-swap."""
        if self._is_cut(name) or fault == 'unavailable':
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
        """Run a call at the service."""
        if fault == 'upstream-refused':
            self._apply(name, models.UpstreamNotSent(action.record_id))
            return
        self.runs += 1
        self._ran_requests.add(action.request_id)
        if fault == 'upstream-cut':
            event = models.UpstreamInterrupted(action.record_id)
        else:
            event = models.UpstreamResponded(action.record_id, _ANSWER)
        self._queue.append(
            Pending(name, self._shards_by_name[name].me.incarnation, event),
        )

    def _reply(self, waiter: models.Waiter, name: str, reply: object) -> None:
        """Give a caller the reply to its present attempt."""
        caller = self._callers_by_id[waiter.request_id]
        if caller.expects(waiter.attempt):
            caller.hear(name, reply)


@functools.singledispatch
def _perform(action: object, world: World, name: str, fault: str) -> None:
    """Hand an event to a sidecar."""
    world._apply(name, action)


@_perform.register
def _(action: models.ReadShard, world: World, name: str, fault: str) -> None:
    world._read(name, fault)


@_perform.register
def _(action: models.Append, world: World, name: str, fault: str) -> None:
    world._append(name, action, fault)


@_perform.register
def _(
    action: models.ScheduleAppend,
    world: World,
    name: str,
    fault: str,
) -> None:
    if not action.delay_seconds or world._calm:
        world._apply(name, models.AppendDue())
    else:
        world._delay(name, action)


@_perform.register
def _(action: models.Run, world: World, name: str, fault: str) -> None:
    world._run(name, action, fault)


@_perform.register
def _(action: models.Respond, world: World, name: str, fault: str) -> None:
    world._reply(action.waiter, name, action.response)


@_perform.register
def _(action: models.Refuse, world: World, name: str, fault: str) -> None:
    refused = delivery_models.Refused(action.reason, action.owner)
    world._reply(action.waiter, name, refused)
