"""Decisions on one shard of a service's idempotency keys.

A call runs only after a compare-and-swap has stored its claim, so the
stored log decides between sidecars whatever their clocks say.
"""

import functools

from nutmegtrail.idempotency import admission
from nutmegtrail.idempotency import const
from nutmegtrail.idempotency import models
from nutmegtrail.idempotency import serialization
from nutmegtrail.retries import models as retry_models


@functools.singledispatch
def decide(
    event: models.Event,
    shard: models.Shard,
    context: models.Context,
) -> models.Decision:
    """Return the next state of a shard and the actions to take."""
    raise TypeError(f'unknown event {event!r}')


@decide.register
def _call_arrived(
    event: models.CallArrived,
    shard: models.Shard,
    context: models.Context,
) -> models.Decision:
    """Admit a call, or keep it until the shard's owner is known."""
    if shard.releasing:
        waiter = models.Waiter(event.call.request_id, event.call.attempt)
        refusal = models.Refuse(waiter, retry_models.Reason.MOVED)
        return models.Decision(shard, (refusal,))
    if shard.role is models.Role.OWNER:
        return _with_schedule(admission.admit(shard, event.call, context))
    waiting = shard._replace(calls=(*shard.calls, event.call))
    return _acquire(waiting)


@decide.register
def _tombstone_requested(
    event: models.TombstoneRequested,
    shard: models.Shard,
    context: models.Context,
) -> models.Decision:
    """Store proof that a request identifier is never claimed."""
    if shard.role is models.Role.OWNER:
        decision = admission.bury(shard, event.tombstone)
        return _with_schedule(decision)
    waiting = shard._replace(tombstones=(*shard.tombstones, event.tombstone))
    return _acquire(waiting)


@decide.register
def _shard_read(
    event: models.ShardRead,
    shard: models.Shard,
    context: models.Context,
) -> models.Decision:
    """Resolve a lost answer, then continue, follow or take over."""
    seen = shard._replace(revision=event.revision, log=event.log)
    batch = shard.in_flight
    if batch is not None:
        if admission.took_effect(batch, event.log, shard.me):
            return _confirm(seen, batch, context)
        updates = (*shard.updates, *admission.stored_but_not_run(seen))
        seen = _requeue(seen._replace(updates=updates))
    if event.log.owner == shard.me:
        return _serve(seen, context)
    if event.is_owner_live:
        return _follow(seen, event.log.owner.upstream)
    return _take_over(seen)


@decide.register
def _read_failed(
    event: models.ReadFailed,
    shard: models.Shard,
    context: models.Context,
) -> models.Decision:
    """Answer what waits; an append with a lost answer stays unresolved."""
    decision = _answer_in_outage(shard, context)
    emptied = decision.shard._replace(role=models.Role.UNOWNED)
    if shard.in_flight is None and not shard.updates:
        return models.Decision(emptied, decision.actions)
    return _retry_later(emptied, decision.actions)


@decide.register
def _append_due(
    event: models.AppendDue,
    shard: models.Shard,
    context: models.Context,
) -> models.Decision:
    """Start an append of all that waits; one runs at a time."""
    idle = shard._replace(scheduled=False)
    if shard.role is models.Role.UNOWNED:
        return _acquire(idle) if _has_backlog(idle) else models.Decision(idle)
    if shard.role is not models.Role.OWNER or shard.in_flight is not None:
        return models.Decision(idle)
    if not admission.has_work(idle):
        return _release(idle) if idle.releasing else models.Decision(idle)
    return admission.start_batch(idle, context)


@decide.register
def _append_confirmed(
    event: models.AppendConfirmed,
    shard: models.Shard,
    context: models.Context,
) -> models.Decision:
    """Run the calls whose claims are stored."""
    batch = shard.in_flight
    if batch is None:
        return models.Decision(shard)
    stored = shard._replace(revision=event.revision, log=batch.log)
    return _confirm(stored, batch, context)


@decide.register
def _append_conflict(
    event: models.AppendConflict,
    shard: models.Shard,
    context: models.Context,
) -> models.Decision:
    """Read the log that another sidecar stored; nothing of ours is in it."""
    return _acquire(_requeue(shard)._replace(role=models.Role.UNOWNED))


@decide.register
def _append_unavailable(
    event: models.AppendUnavailable,
    shard: models.Shard,
    context: models.Context,
) -> models.Decision:
    """Answer the calls that wait for a claim; retry completions later."""
    acquiring = shard.role is models.Role.ACQUIRING
    decision = _answer_in_outage(_requeue(shard), context)
    emptied = decision.shard
    if acquiring:
        emptied = emptied._replace(role=models.Role.UNOWNED)
    if not emptied.updates:
        return models.Decision(emptied, decision.actions)
    return _retry_later(emptied, decision.actions)


@decide.register
def _append_unknown(
    event: models.AppendUnknown,
    shard: models.Shard,
    context: models.Context,
) -> models.Decision:
    """Read back to learn whether the append took effect."""
    return models.Decision(
        shard._replace(role=models.Role.READING),
        (models.ReadShard(),),
    )


@decide.register
def _upstream_answered(
    event: models.UpstreamResponded,
    shard: models.Shard,
    context: models.Context,
) -> models.Decision:
    """Give the answer to all that wait and store the completion."""
    waiters = shard.waiters_by_id.get(event.record_id, ())
    answers = tuple(
        models.Respond(waiter, event.response) for waiter in waiters
    )
    update = shard.running_by_id[event.record_id]._replace(
        status=models.Status.COMPLETED,
        response=admission.trim(event.response),
    )
    return _finish(shard, update, answers)


@decide.register
def _upstream_not_sent(
    event: models.UpstreamNotSent,
    shard: models.Shard,
    context: models.Context,
) -> models.Decision:
    """Refuse truthfully and free the key for another try."""
    waiters = shard.waiters_by_id.get(event.record_id, ())
    refusals = _refuse(waiters, retry_models.Reason.NOT_RUN)
    update = shard.running_by_id[event.record_id]._replace(
        status=models.Status.ABANDONED,
    )
    return _finish(shard, update, refusals)


@decide.register
def _upstream_interrupted(
    event: models.UpstreamInterrupted,
    shard: models.Shard,
    context: models.Context,
) -> models.Decision:
    """Leave the claim without completion; its outcome stays unknown."""
    waiters = shard.waiters_by_id.get(event.record_id, ())
    refusals = _refuse(waiters, retry_models.Reason.OUTCOME_UNKNOWN)
    stopped = _forget(shard, event.record_id)
    return _with_schedule(models.Decision(stopped, refusals))


@decide.register
def _release_requested(
    event: models.ReleaseRequested,
    shard: models.Shard,
    context: models.Context,
) -> models.Decision:
    """Hand the shard over as soon as nothing runs or waits."""
    return _with_schedule(models.Decision(shard._replace(releasing=True)))


@decide.register
def _lease_lapsed(
    event: models.LeaseLapsed,
    shard: models.Shard,
    context: models.Context,
) -> models.Decision:
    """Trust the state of the shard no longer; read it before the next use."""
    lapsed = shard._replace(certain=False)
    if shard.role is models.Role.OWNER and shard.in_flight is None:
        lapsed = lapsed._replace(
            role=models.Role.UNOWNED,
            calls=(*shard.claims, *shard.calls),
            claims=(),
        )
    return models.Decision(lapsed)


def _has_backlog(shard: models.Shard) -> bool:
    """Return whether anything waits for the shard's owner to be known."""
    if shard.in_flight is not None:
        return True
    return bool(shard.calls or shard.tombstones or shard.updates)


def _acquire(shard: models.Shard) -> models.Decision:
    """Read the stored log unless that is under way."""
    if shard.role is not models.Role.UNOWNED:
        return models.Decision(shard)
    return models.Decision(
        shard._replace(role=models.Role.READING),
        (models.ReadShard(),),
    )


def _take_over(shard: models.Shard) -> models.Decision:
    """Store this sidecar as the owner of a shard without a live owner."""
    log = admission.next_log(shard)._replace(owner=shard.me)
    batch = models.Batch(log)
    acquiring = shard._replace(
        role=models.Role.ACQUIRING,
        in_flight=batch,
        batches=shard.batches + 1,
    )
    append = models.Append(shard.revision, serialization.encode_log(log))
    return models.Decision(acquiring, (append,))


def _follow(shard: models.Shard, upstream: str) -> models.Decision:
    """Send what waits to the live owner; merge our completions there."""
    refusals = tuple(
        refusal._replace(owner=upstream)
        for refusal in _refuse_all(shard, retry_models.Reason.MOVED)
    )
    fenced = shard._replace(
        role=models.Role.UNOWNED,
        calls=(),
        claims=(),
        tombstones=(),
        waiters_by_id=_running_waiters(shard),
    )
    merged = admission.merge_completions(fenced)
    return models.Decision(merged.shard, (*refusals, *merged.actions))


def _serve(
    shard: models.Shard,
    context: models.Context,
) -> models.Decision:
    """Admit all that waited for the ownership."""
    calls = shard.calls
    tombstones = shard.tombstones
    owner = shard._replace(
        role=models.Role.OWNER,
        certain=True,
        calls=(),
        tombstones=(),
    )
    actions: tuple[models.Action, ...] = ()
    for tombstone in tombstones:
        decision = admission.bury(owner, tombstone)
        owner = decision.shard
        actions += decision.actions
    for call in calls:
        decision = admission.admit(owner, call, context)
        owner = decision.shard
        actions += decision.actions
    return _with_schedule(models.Decision(owner, actions))


def _confirm(
    shard: models.Shard,
    batch: models.Batch,
    context: models.Context,
) -> models.Decision:
    """Run the claims of a batch that the log in the state holds."""
    stored = shard._replace(in_flight=None)
    if shard.log.owner != shard.me:
        return _with_schedule(
            models.Decision(stored._replace(role=models.Role.UNOWNED)),
        )
    started = admission.start_claims(stored, batch.claims, context)
    buried = admission.answer_tombstones(stored, batch.tombstones)
    served = _serve(started.shard, context)
    return models.Decision(
        served.shard,
        (*started.actions, *buried, *served.actions),
    )


def _release(shard: models.Shard) -> models.Decision:
    """Store that the shard has no owner once nothing runs."""
    if shard.running_by_id or shard.log.owner != shard.me:
        return models.Decision(shard)
    log = admission.next_log(shard)._replace(owner=models.Owner())
    released = shard._replace(
        in_flight=models.Batch(log),
        batches=shard.batches + 1,
    )
    append = models.Append(shard.revision, serialization.encode_log(log))
    return models.Decision(released, (append,))


def _requeue(shard: models.Shard) -> models.Shard:
    """Put what an append that did not take effect held back in line."""
    batch = shard.in_flight
    if batch is None:
        return shard
    return shard._replace(
        in_flight=None,
        calls=(*_waited_for(shard, batch), *shard.claims, *shard.calls),
        claims=(),
        tombstones=(*batch.tombstones, *shard.tombstones),
        updates=(*batch.updates, *shard.updates),
    )


def _waited_for(
    shard: models.Shard,
    batch: models.Batch,
) -> tuple[models.KeyedCall, ...]:
    """Return the claims of a batch that were not yet refused."""
    return tuple(
        claim
        for claim in batch.claims
        if models.Waiter(claim.request_id, claim.attempt)
        in shard.waiters_by_id.get(claim.record_id, ())
    )


def _finish(
    shard: models.Shard,
    update: models.Record,
    actions: tuple[models.Action, ...],
) -> models.Decision:
    """Queue the last word on a claim that no longer runs."""
    stopped = _forget(shard, update.record_id)
    queued = stopped._replace(updates=(*stopped.updates, update))
    return _with_schedule(models.Decision(queued, actions))


def _forget(shard: models.Shard, record_id: str) -> models.Shard:
    """Return the shard without a running call and its waiters."""
    return shard._replace(
        running_by_id=shard.running_by_id.discard(record_id),
        waiters_by_id=shard.waiters_by_id.discard(record_id),
    )


def _with_schedule(decision: models.Decision) -> models.Decision:
    """Ask for an append where there is work and none is asked for."""
    shard = decision.shard
    has_work = admission.has_work(shard) or shard.releasing
    if shard.scheduled or shard.in_flight is not None or not has_work:
        return decision
    scheduled = shard._replace(scheduled=True)
    return models.Decision(
        scheduled,
        (*decision.actions, models.ScheduleAppend()),
    )


def _answer_in_outage(
    shard: models.Shard,
    context: models.Context,
) -> models.Decision:
    """Answer from memory what is known and refuse the rest."""
    reason = _outage_reason(shard, context)
    refusals = _refuse_all(shard._replace(calls=()), reason)
    refused = {refusal.waiter for refusal in refusals}
    emptied = shard._replace(
        calls=(),
        claims=(),
        tombstones=(),
        waiters_by_id=_running_waiters(shard),
    )
    actions: tuple[models.Action, ...] = refusals
    for call in shard.calls:
        if models.Waiter(call.request_id, call.attempt) in refused:
            continue
        decision = admission.recall(emptied, call, reason)
        emptied = decision.shard
        actions += decision.actions
    return models.Decision(emptied, actions)


def _retry_later(
    shard: models.Shard,
    actions: tuple[models.Action, ...],
) -> models.Decision:
    """Ask for another append after a pause."""
    retry = models.ScheduleAppend(const.APPEND_BACKOFF_SECONDS)
    scheduled = shard._replace(scheduled=True)
    return models.Decision(scheduled, (*actions, retry))


def _outage_reason(
    shard: models.Shard,
    context: models.Context,
) -> retry_models.Reason:
    """Return the refusal that is true while the service is down.

    Only an owner whose lease surely lives knows that nobody else ran the
    key.
    """
    owned = shard.certain and shard.log.owner == shard.me
    if owned and context.lease_valid:
        return retry_models.Reason.NOT_RUN
    return retry_models.Reason.OUTCOME_UNKNOWN


def _refuse_all(
    shard: models.Shard,
    reason: retry_models.Reason,
) -> tuple[models.Refuse, ...]:
    """Refuse every attempt whose call does not run here."""
    waiters = [
        models.Waiter(call.request_id, call.attempt) for call in shard.calls
    ]
    for record_id, group in shard.waiters_by_id.items():
        if record_id not in shard.running_by_id:
            waiters.extend(group)
    unproven = reason
    if reason is not retry_models.Reason.MOVED:
        unproven = retry_models.Reason.OUTCOME_UNKNOWN
    buried = tuple(
        models.Waiter(tombstone.request_id, tombstone.attempt)
        for tombstone in shard.tombstones
    )
    distinct = tuple(dict.fromkeys(waiters))
    return (*_refuse(distinct, reason), *_refuse(buried, unproven))


def _refuse(
    waiters: tuple[models.Waiter, ...],
    reason: retry_models.Reason,
) -> tuple[models.Refuse, ...]:
    """Return a refusal for each waiter."""
    return tuple(models.Refuse(waiter, reason) for waiter in waiters)


def _running_waiters(shard: models.Shard) -> models.WaitersByRecordId:
    """Return the waiters of the calls that run here."""
    waiters_by_id = shard.waiters_by_id
    for record_id in shard.waiters_by_id:
        if record_id not in shard.running_by_id:
            waiters_by_id = waiters_by_id.remove(record_id)
    return waiters_by_id
