"""State machine of one shard of a service's idempotency keys.

A call is sent to the upstream only after a compare-and-swap has stored its
claim. The stored log therefore decides between competing sidecars, and
correctness does not depend on their clocks.
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
    """Return the next state of a shard and the actions to perform."""
    raise TypeError(f'unknown event {event!r}')


@decide.register
def _call_arrived(
    event: models.CallArrived,
    shard: models.Shard,
    context: models.Context,
) -> models.Decision:
    """Admit a call, or keep it until the owner of the shard is known."""
    if shard.releasing:
        waiter = models.Waiter(event.call.request_id, event.call.attempt)
        refusal = models.Refuse(waiter, retry_models.Reason.MOVED)
        return models.Decision(shard, (refusal,))
    if shard.role is models.Role.OWNER:
        return _schedule_append(admission.admit(shard, event.call, context))
    waiting = shard._replace(calls=(*shard.calls, event.call))
    return _acquire(waiting)


@decide.register
def _tombstone_requested(
    event: models.TombstoneRequested,
    shard: models.Shard,
    context: models.Context,
) -> models.Decision:
    """Queue a tombstone, so that a request identifier is never claimed."""
    if shard.role is models.Role.OWNER:
        decision = admission.queue_tombstone(shard, event.tombstone)
        return _schedule_append(decision)
    waiting = shard._replace(tombstones=(*shard.tombstones, event.tombstone))
    return _acquire(waiting)


@decide.register
def _shard_read(
    event: models.ShardRead,
    shard: models.Shard,
    context: models.Context,
) -> models.Decision:
    """Resolve a lost append, then serve, redirect or take over the shard."""
    updated = shard._replace(revision=event.revision, log=event.log)
    batch = shard.in_flight
    if batch is not None:
        if admission.is_batch_stored(batch, event.log, shard.local_owner):
            return _complete_batch(updated, batch, context)
        updates = (*shard.updates, *admission.abandon_stored_claims(updated))
        updated = _requeue(updated._replace(updates=updates))
    if event.log.owner == shard.local_owner:
        return _start_serving(updated, context)
    if event.is_owner_live:
        return _redirect_to_owner(updated, event.log.owner.upstream)
    return _take_over(updated)


@decide.register
def _read_failed(
    event: models.ReadFailed,
    shard: models.Shard,
    context: models.Context,
) -> models.Decision:
    """Respond to waiting attempts.

    An append whose outcome is unknown stays in flight until the log can be
    read.
    """
    decision = _respond_in_outage(shard, context)
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
    """Append all queued changes; only one append runs at a time."""
    unscheduled = shard._replace(is_append_scheduled=False)
    if shard.role is models.Role.UNOWNED:
        return (
            _acquire(unscheduled)
            if _has_backlog(unscheduled)
            else models.Decision(unscheduled)
        )
    if shard.role is not models.Role.OWNER or shard.in_flight is not None:
        return models.Decision(unscheduled)
    if not admission.has_pending_writes(unscheduled):
        return (
            _release(unscheduled)
            if unscheduled.releasing
            else models.Decision(unscheduled)
        )
    return admission.start_batch(unscheduled, context)


@decide.register
def _append_confirmed(
    event: models.AppendConfirmed,
    shard: models.Shard,
    context: models.Context,
) -> models.Decision:
    """Run the calls whose claims have been stored."""
    batch = shard.in_flight
    if batch is None:
        return models.Decision(shard)
    stored = shard._replace(revision=event.revision, log=batch.log)
    return _complete_batch(stored, batch, context)


@decide.register
def _append_conflict(
    event: models.AppendConflict,
    shard: models.Shard,
    context: models.Context,
) -> models.Decision:
    """Read the log of the other sidecar; the local batch was not stored."""
    return _acquire(_requeue(shard)._replace(role=models.Role.UNOWNED))


@decide.register
def _append_unavailable(
    event: models.AppendUnavailable,
    shard: models.Shard,
    context: models.Context,
) -> models.Decision:
    """Respond to calls that wait for a claim; retry completions later."""
    is_acquiring = shard.role is models.Role.ACQUIRING
    decision = _respond_in_outage(_requeue(shard), context)
    emptied = decision.shard
    if is_acquiring:
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
    """Read the log back to learn whether the append was stored."""
    return models.Decision(
        shard._replace(role=models.Role.READING),
        (models.ReadShard(),),
    )


@decide.register
def _upstream_responded(
    event: models.UpstreamResponded,
    shard: models.Shard,
    context: models.Context,
) -> models.Decision:
    """Send the response to all waiters and queue the completion."""
    waiters = shard.waiters_by_id.get(event.record_id, ())
    responses = tuple(
        models.Respond(waiter, event.response) for waiter in waiters
    )
    update = shard.running_by_id[event.record_id]._replace(
        status=models.Status.COMPLETED,
        response=admission.drop_oversized_body(event.response),
    )
    return _queue_update(shard, update, responses)


@decide.register
def _upstream_not_sent(
    event: models.UpstreamNotSent,
    shard: models.Shard,
    context: models.Context,
) -> models.Decision:
    """Refuse as not run and release the key for another attempt."""
    waiters = shard.waiters_by_id.get(event.record_id, ())
    refusals = _refuse(waiters, retry_models.Reason.NOT_RUN)
    update = shard.running_by_id[event.record_id]._replace(
        status=models.Status.ABANDONED,
    )
    return _queue_update(shard, update, refusals)


@decide.register
def _upstream_interrupted(
    event: models.UpstreamInterrupted,
    shard: models.Shard,
    context: models.Context,
) -> models.Decision:
    """Leave the claim without a completion, as its outcome is unknown."""
    waiters = shard.waiters_by_id.get(event.record_id, ())
    refusals = _refuse(waiters, retry_models.Reason.OUTCOME_UNKNOWN)
    remaining = _remove_running(shard, event.record_id)
    return _schedule_append(models.Decision(remaining, refusals))


@decide.register
def _release_requested(
    event: models.ReleaseRequested,
    shard: models.Shard,
    context: models.Context,
) -> models.Decision:
    """Release the shard as soon as no call runs or waits."""
    return _schedule_append(models.Decision(shard._replace(releasing=True)))


@decide.register
def _lease_lapsed(
    event: models.LeaseLapsed,
    shard: models.Shard,
    context: models.Context,
) -> models.Decision:
    """Mark the shard as unverified, so that it is read before its next use."""
    lapsed = shard._replace(is_log_verified=False)
    if shard.role is models.Role.OWNER and shard.in_flight is None:
        lapsed = lapsed._replace(
            role=models.Role.UNOWNED,
            calls=(*shard.claims, *shard.calls),
            claims=(),
        )
    return models.Decision(lapsed)


def _has_backlog(shard: models.Shard) -> bool:
    """Return whether any work waits until the owner is known."""
    if shard.in_flight is not None:
        return True
    return bool(shard.calls or shard.tombstones or shard.updates)


def _acquire(shard: models.Shard) -> models.Decision:
    """Read the stored log unless a read or take-over is in progress."""
    if shard.role is not models.Role.UNOWNED:
        return models.Decision(shard)
    return models.Decision(
        shard._replace(role=models.Role.READING),
        (models.ReadShard(),),
    )


def _take_over(shard: models.Shard) -> models.Decision:
    """Store the local sidecar as owner of a shard without a live owner."""
    log = admission.next_log(shard)._replace(owner=shard.local_owner)
    batch = models.Batch(log)
    acquiring = shard._replace(
        role=models.Role.ACQUIRING,
        in_flight=batch,
        batch_count=shard.batch_count + 1,
    )
    append = models.Append(shard.revision, serialization.encode_log(log))
    return models.Decision(acquiring, (append,))


def _redirect_to_owner(shard: models.Shard, upstream: str) -> models.Decision:
    """Redirect waiting attempts to the live owner.

    Completions of local claims are merged into the owner's log.
    """
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


def _start_serving(
    shard: models.Shard,
    context: models.Context,
) -> models.Decision:
    """Become owner and admit the calls that waited for it."""
    calls = shard.calls
    tombstones = shard.tombstones
    owner = shard._replace(
        role=models.Role.OWNER,
        is_log_verified=True,
        calls=(),
        tombstones=(),
    )
    actions: tuple[models.Action, ...] = ()
    for tombstone in tombstones:
        decision = admission.queue_tombstone(owner, tombstone)
        owner = decision.shard
        actions += decision.actions
    for call in calls:
        decision = admission.admit(owner, call, context)
        owner = decision.shard
        actions += decision.actions
    return _schedule_append(models.Decision(owner, actions))


def _complete_batch(
    shard: models.Shard,
    batch: models.Batch,
    context: models.Context,
) -> models.Decision:
    """Run the claims of a stored batch, or stop serving if not the owner."""
    stored = shard._replace(in_flight=None)
    if shard.log.owner != shard.local_owner:
        return _schedule_append(
            models.Decision(stored._replace(role=models.Role.UNOWNED)),
        )
    started = admission.start_claims(stored, batch.claims, context)
    tombstone_actions = admission.resolve_tombstones(stored, batch.tombstones)
    serving = _start_serving(started.shard, context)
    return models.Decision(
        serving.shard,
        (*started.actions, *tombstone_actions, *serving.actions),
    )


def _release(shard: models.Shard) -> models.Decision:
    """Store that the shard has no owner once no call runs."""
    if shard.running_by_id or shard.log.owner != shard.local_owner:
        return models.Decision(shard)
    log = admission.next_log(shard)._replace(owner=models.Owner())
    released = shard._replace(
        in_flight=models.Batch(log),
        batch_count=shard.batch_count + 1,
    )
    append = models.Append(shard.revision, serialization.encode_log(log))
    return models.Decision(released, (append,))


def _requeue(shard: models.Shard) -> models.Shard:
    """Queue the changes of a failed append again."""
    batch = shard.in_flight
    if batch is None:
        return shard
    return shard._replace(
        in_flight=None,
        calls=(*_pending_claims(shard, batch), *shard.claims, *shard.calls),
        claims=(),
        tombstones=(*batch.tombstones, *shard.tombstones),
        updates=(*batch.updates, *shard.updates),
    )


def _pending_claims(
    shard: models.Shard,
    batch: models.Batch,
) -> tuple[models.KeyedCall, ...]:
    """Return the claims of a batch that attempts still wait for."""
    return tuple(
        claim
        for claim in batch.claims
        if models.Waiter(claim.request_id, claim.attempt)
        in shard.waiters_by_id.get(claim.record_id, ())
    )


def _queue_update(
    shard: models.Shard,
    update: models.Record,
    actions: tuple[models.Action, ...],
) -> models.Decision:
    """Queue the final record of a claim that no longer runs."""
    remaining = _remove_running(shard, update.record_id)
    queued = remaining._replace(updates=(*remaining.updates, update))
    return _schedule_append(models.Decision(queued, actions))


def _remove_running(shard: models.Shard, record_id: str) -> models.Shard:
    """Return the shard without a running call and its waiters."""
    return shard._replace(
        running_by_id=shard.running_by_id.discard(record_id),
        waiters_by_id=shard.waiters_by_id.discard(record_id),
    )


def _schedule_append(decision: models.Decision) -> models.Decision:
    """Schedule an append if changes are queued and none is scheduled."""
    shard = decision.shard
    is_append_needed = admission.has_pending_writes(shard) or shard.releasing
    if (
        shard.is_append_scheduled
        or shard.in_flight is not None
        or not is_append_needed
    ):
        return decision
    scheduled = shard._replace(is_append_scheduled=True)
    return models.Decision(
        scheduled,
        (*decision.actions, models.ScheduleAppend()),
    )


def _respond_in_outage(
    shard: models.Shard,
    context: models.Context,
) -> models.Decision:
    """Respond from the last known log while the key-value service is down.

    Attempts that cannot be answered that way are refused.
    """
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
        decision = admission.respond_from_memory(emptied, call, reason)
        emptied = decision.shard
        actions += decision.actions
    return models.Decision(emptied, actions)


def _retry_later(
    shard: models.Shard,
    actions: tuple[models.Action, ...],
) -> models.Decision:
    """Schedule another append after the backoff."""
    retry = models.ScheduleAppend(const.APPEND_BACKOFF_SECONDS)
    scheduled = shard._replace(is_append_scheduled=True)
    return models.Decision(scheduled, (*actions, retry))


def _outage_reason(
    shard: models.Shard,
    context: models.Context,
) -> retry_models.Reason:
    """Return the reason for refusals while the key-value service is down.

    Only an owner with a valid lease and a verified log can rule out that
    another sidecar ran the key.
    """
    is_owner = shard.is_log_verified and shard.log.owner == shard.local_owner
    if is_owner and context.is_lease_valid:
        return retry_models.Reason.NOT_RUN
    return retry_models.Reason.OUTCOME_UNKNOWN


def _refuse_all(
    shard: models.Shard,
    reason: retry_models.Reason,
) -> tuple[models.Refuse, ...]:
    """Refuse every attempt whose call does not run on this sidecar."""
    waiters = [
        models.Waiter(call.request_id, call.attempt) for call in shard.calls
    ]
    for record_id, group in shard.waiters_by_id.items():
        if record_id not in shard.running_by_id:
            waiters.extend(group)
    tombstone_reason = reason
    if reason is not retry_models.Reason.MOVED:
        tombstone_reason = retry_models.Reason.OUTCOME_UNKNOWN
    tombstone_waiters = tuple(
        models.Waiter(tombstone.request_id, tombstone.attempt)
        for tombstone in shard.tombstones
    )
    distinct = tuple(dict.fromkeys(waiters))
    return (
        *_refuse(distinct, reason),
        *_refuse(tombstone_waiters, tombstone_reason),
    )


def _refuse(
    waiters: tuple[models.Waiter, ...],
    reason: retry_models.Reason,
) -> tuple[models.Refuse, ...]:
    """Return a refusal for each waiter."""
    return tuple(models.Refuse(waiter, reason) for waiter in waiters)


def _running_waiters(shard: models.Shard) -> models.WaitersByRecordId:
    """Return the waiters of the calls that run on this sidecar."""
    waiters_by_id = shard.waiters_by_id
    for record_id in shard.waiters_by_id:
        if record_id not in shard.running_by_id:
            waiters_by_id = waiters_by_id.remove(record_id)
    return waiters_by_id
