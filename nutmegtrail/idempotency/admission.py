"""Admission, storage, start and tombstones of calls on an owned shard."""

import typing

from nutmegtrail.idempotency import const
from nutmegtrail.idempotency import models
from nutmegtrail.idempotency import serialization
from nutmegtrail.retries import models as retry_models


def admit(
    shard: models.Shard,
    call: models.KeyedCall,
    context: models.Context,
) -> models.Decision:
    """Respond from the log, join a pending claim, or queue a new claim."""
    waiter = models.Waiter(call.request_id, call.attempt)
    if call.request_id in shard.log.tombstones_by_request_id:
        return _refuse(shard, waiter, retry_models.Reason.NOT_RUN)
    if _has_pending_tombstone(shard, call.request_id):
        return _refuse(shard, waiter, retry_models.Reason.OUTCOME_UNKNOWN)
    record = _latest_record(shard, call.record_id)
    pending = _pending_claim(shard, call.record_id)
    digest_in_use = _digest_in_use(record, pending)
    if digest_in_use not in {'', call.body_digest}:
        return _refuse(shard, waiter, retry_models.Reason.KEY_REUSED)
    if pending is not None or call.record_id in shard.running_by_id:
        return models.Decision(_add_waiter(shard, call.record_id, waiter))
    if record is not None and record.status is not models.Status.ABANDONED:
        return _respond_from_record(shard, record, waiter)
    claimed = _add_waiter(shard, call.record_id, waiter)
    return models.Decision(claimed._replace(claims=(*shard.claims, call)))


def _drop_claim(
    shard: models.Shard,
    tombstone: models.TombstoneCall,
) -> models.Decision:
    """Drop a queued claim that has a tombstone and refuse its attempts."""
    waiters = shard.waiters_by_id.get(tombstone.record_id, ())
    dropped = shard._replace(
        claims=tuple(
            claim
            for claim in shard.claims
            if claim.request_id != tombstone.request_id
        ),
        waiters_by_id=shard.waiters_by_id.discard(tombstone.record_id),
    )
    refusals = tuple(
        models.Refuse(waiter, retry_models.Reason.OUTCOME_UNKNOWN)
        for waiter in waiters
    )
    return models.Decision(dropped, refusals)


def respond_from_memory(
    shard: models.Shard,
    call: models.KeyedCall,
    reason: retry_models.Reason,
) -> models.Decision:
    """Respond from the last known log while the stored log is unreachable."""
    waiter = models.Waiter(call.request_id, call.attempt)
    record = _latest_record(shard, call.record_id)
    if record is None or record.status is models.Status.ABANDONED:
        return _refuse(shard, waiter, reason)
    if record.body_digest != call.body_digest:
        return _refuse(shard, waiter, retry_models.Reason.KEY_REUSED)
    if call.record_id in shard.running_by_id:
        return models.Decision(_add_waiter(shard, call.record_id, waiter))
    return _respond_from_record(shard, record, waiter)


def queue_tombstone(
    shard: models.Shard,
    tombstone: models.TombstoneCall,
) -> models.Decision:
    """Respond from the log, or queue a tombstone for a request."""
    waiter = models.Waiter(tombstone.request_id, tombstone.attempt)
    record = _latest_record(shard, tombstone.record_id)
    in_flight = () if shard.in_flight is None else shard.in_flight.claims
    if any(claim.record_id == tombstone.record_id for claim in in_flight):
        return _refuse(shard, waiter, retry_models.Reason.OUTCOME_UNKNOWN)
    if record is not None and record.status is not models.Status.ABANDONED:
        return _respond_from_record(shard, record, waiter)
    has_queued_claim = any(
        claim.request_id == tombstone.request_id for claim in shard.claims
    )
    waiters = shard.waiters_by_id.get(tombstone.record_id, ())
    if has_queued_claim and any(
        other.request_id != tombstone.request_id for other in waiters
    ):
        return _refuse(shard, waiter, retry_models.Reason.OUTCOME_UNKNOWN)
    tombstones = (*shard.tombstones, tombstone)
    queued = shard._replace(tombstones=tombstones)
    return (
        _drop_claim(queued, tombstone)
        if has_queued_claim
        else models.Decision(queued)
    )


def resolve_tombstones(
    shard: models.Shard,
    tombstones: tuple[models.TombstoneCall, ...],
) -> tuple[models.Action, ...]:
    """Return the replies to stored tombstones.

    If another request has claimed the key in the meantime, the reply is
    that of its claim, because "not run" would be wrong for the key.
    """
    actions: list[models.Action] = []
    for tombstone in tombstones:
        waiter = models.Waiter(tombstone.request_id, tombstone.attempt)
        record = _latest_record(shard, tombstone.record_id)
        if record is None or record.status is models.Status.ABANDONED:
            refusal = models.Refuse(waiter, retry_models.Reason.NOT_RUN)
            actions.append(refusal)
        else:
            actions.extend(_respond_from_record(shard, record, waiter).actions)
    return tuple(actions)


def has_pending_writes(shard: models.Shard) -> bool:
    """Return whether any changes wait for an append."""
    return bool(shard.claims or shard.tombstones or shard.updates)


def next_log(shard: models.Shard) -> models.Log:
    """Return the current log with the next batch identifier."""
    batch_id = f'{shard.local_owner.incarnation}#{shard.batch_count}'
    return shard.log._replace(batch_id=batch_id)


def start_batch(
    shard: models.Shard,
    context: models.Context,
) -> models.Decision:
    """Start an append of all queued changes.

    New claims are refused if the log would exceed its size limit.
    """
    log = _remove_expired(_with_updates(next_log(shard), shard), context)
    log = _with_tombstones(log, shard.tombstones, context)
    claimed = _with_claims(log, shard, context)
    content = serialization.encode_log(claimed)
    claims = shard.claims
    actions: tuple[models.Action, ...] = ()
    if len(content) > const.LOG_LIMIT_BYTES:
        content = serialization.encode_log(log)
        claimed = log
        claims = ()
        actions = _refuse_claims(shard)
    started = shard._replace(
        claims=(),
        tombstones=(),
        updates=(),
        batch_count=shard.batch_count + 1,
        in_flight=models.Batch(
            claimed,
            claims,
            shard.tombstones,
            shard.updates,
        ),
        waiters_by_id=_drop_refused_waiters(shard, actions),
    )
    append = models.Append(shard.revision, content)
    return models.Decision(started, (*actions, append))


def start_claims(
    shard: models.Shard,
    claims: tuple[models.KeyedCall, ...],
    context: models.Context,
) -> models.Decision:
    """Run stored claims that an attempt still waits for.

    Claims without waiters or past their deadline are abandoned.
    """
    actions: list[models.Action] = []
    for claim in claims:
        record = shard.log.records_by_id.get(claim.record_id)
        if record is None:
            continue
        waiters = shard.waiters_by_id.get(claim.record_id, ())
        if waiters and claim.deadline_seconds > context.now_seconds:
            running = shard.running_by_id.set(claim.record_id, record)
            shard = shard._replace(running_by_id=running)
            actions.append(models.Run(claim.record_id, claim.request_id))
            continue
        abandoned = record._replace(status=models.Status.ABANDONED)
        shard = shard._replace(
            updates=(*shard.updates, abandoned),
            waiters_by_id=shard.waiters_by_id.discard(claim.record_id),
        )
        actions.extend(
            models.Refuse(waiter, retry_models.Reason.NOT_RUN)
            for waiter in waiters
        )
    return models.Decision(shard, tuple(actions))


def merge_completions(shard: models.Shard) -> models.Decision:
    """Store completions of local claims in the log of another owner."""
    updates = tuple(
        update for update in shard.updates if _may_update(shard.log, update)
    )
    emptied = shard._replace(updates=())
    if not updates or shard.in_flight is not None:
        return models.Decision(emptied)
    log = _with_updates(shard.log, emptied._replace(updates=updates))
    merging = emptied._replace(in_flight=models.Batch(log, updates=updates))
    content = serialization.encode_log(log)
    return models.Decision(merging, (models.Append(shard.revision, content),))


def is_batch_stored(
    batch: models.Batch,
    log: models.Log,
    local_owner: models.Owner,
) -> bool:
    """Return whether a log that was read back contains a batch.

    A batch in another owner's log has no batch identifier of its own and
    is stored if none of its updates can still be applied.
    """
    if batch.log.owner in {local_owner, models.Owner()}:
        return log.batch_id == batch.log.batch_id
    return not any(_may_update(log, update) for update in batch.updates)


def abandon_stored_claims(shard: models.Shard) -> tuple[models.Record, ...]:
    """Return abandoned records for local claims that were stored but not run.

    Such claims remain if another owner has appended to the log since the
    batch was stored.
    """
    batch = shard.in_flight
    claims = () if batch is None else batch.claims
    stored = (shard.log.records_by_id.get(claim.record_id) for claim in claims)
    return tuple(
        record._replace(status=models.Status.ABANDONED)
        for record in stored
        if record is not None
        and record.incarnation == shard.local_owner.incarnation
        and record.status is models.Status.CLAIMED
        and record.record_id not in shard.running_by_id
    )


def drop_oversized_body(
    response: models.StoredResponse,
) -> models.StoredResponse:
    """Return the response without its body if that exceeds the limit."""
    if len(response.body) <= const.RESPONSE_BODY_LIMIT_BYTES:
        return response
    return response._replace(body=b'', is_body_stored=False)


def _latest_record(
    shard: models.Shard,
    record_id: str,
) -> models.Record | None:
    """Return the latest record of a key, including queued updates."""
    in_flight = () if shard.in_flight is None else shard.in_flight.updates
    for update in (*shard.updates, *in_flight):
        if update.record_id == record_id:
            return update
    return shard.log.records_by_id.get(record_id)


def _has_pending_tombstone(shard: models.Shard, request_id: str) -> bool:
    """Return whether a tombstone for a request is queued or in flight."""
    in_flight = () if shard.in_flight is None else shard.in_flight.tombstones
    return any(
        tombstone.request_id == request_id
        for tombstone in (*in_flight, *shard.tombstones)
    )


def _digest_in_use(
    record: models.Record | None,
    pending: models.KeyedCall | None,
) -> str:
    """Return the body digest that a key is used with, empty if unused."""
    if pending is not None:
        return pending.body_digest
    return '' if record is None else record.body_digest


def _pending_claim(
    shard: models.Shard,
    record_id: str,
) -> models.KeyedCall | None:
    """Return the claim of a key that is queued or in flight."""
    in_flight = () if shard.in_flight is None else shard.in_flight.claims
    for claim in (*in_flight, *shard.claims):
        if claim.record_id == record_id:
            return claim
    return None


def _respond_from_record(
    shard: models.Shard,
    record: models.Record,
    waiter: models.Waiter,
) -> models.Decision:
    """Respond from a stored claim.

    The outcome of a claim without a completion is unknown.
    """
    if record.response is None:
        return _refuse(shard, waiter, retry_models.Reason.OUTCOME_UNKNOWN)
    if not record.response.is_body_stored:
        return _refuse(shard, waiter, retry_models.Reason.ALREADY_RUN)
    return models.Decision(shard, (models.Respond(waiter, record.response),))


def _refuse(
    shard: models.Shard,
    waiter: models.Waiter,
    reason: retry_models.Reason,
) -> models.Decision:
    """Refuse an attempt without changing the shard."""
    return models.Decision(shard, (models.Refuse(waiter, reason),))


def _add_waiter(
    shard: models.Shard,
    record_id: str,
    waiter: models.Waiter,
) -> models.Shard:
    """Return the shard with an attempt added to the waiters of a claim."""
    waiters = shard.waiters_by_id.get(record_id, ())
    if waiter in waiters:
        return shard
    waiters_by_id = shard.waiters_by_id.set(record_id, (*waiters, waiter))
    return shard._replace(waiters_by_id=waiters_by_id)


def _may_update(log: models.Log, update: models.Record) -> bool:
    """Return whether a log still holds the claim that an update completes."""
    record = log.records_by_id.get(update.record_id)
    return (
        record is not None
        and record.request_id == update.request_id
        and record.incarnation == update.incarnation
        and record.status is models.Status.CLAIMED
    )


def _with_updates(log: models.Log, shard: models.Shard) -> models.Log:
    """Return a log with the queued completions applied."""
    records_by_id = log.records_by_id
    for update in shard.updates:
        if _may_update(log, update):
            records_by_id = records_by_id.set(update.record_id, update)
    return log._replace(records_by_id=records_by_id)


def _with_claims(
    log: models.Log,
    shard: models.Shard,
    context: models.Context,
) -> models.Log:
    """Return a log with the queued claims added."""
    records_by_id = log.records_by_id
    for claim in shard.claims:
        record = models.Record(
            claim.record_id,
            claim.request_id,
            claim.body_digest,
            shard.local_owner.incarnation,
            models.Status.CLAIMED,
            context.now_seconds,
        )
        records_by_id = records_by_id.set(claim.record_id, record)
    return log._replace(records_by_id=records_by_id)


def _with_tombstones(
    log: models.Log,
    tombstones: typing.Iterable[models.TombstoneCall],
    context: models.Context,
) -> models.Log:
    """Return a log with tombstones added."""
    times_by_id = log.tombstones_by_request_id
    for tombstone in tombstones:
        request_id = tombstone.request_id
        times_by_id = times_by_id.set(request_id, context.now_seconds)
    return log._replace(tombstones_by_request_id=times_by_id)


def _remove_expired(log: models.Log, context: models.Context) -> models.Log:
    """Return a log without entries older than the retention period."""
    oldest = context.now_seconds - const.RETENTION_SECONDS
    records_by_id = log.records_by_id
    for record in log.records_by_id.values():
        if record.claimed_at_seconds < oldest:
            records_by_id = records_by_id.remove(record.record_id)
    times_by_id = log.tombstones_by_request_id
    for request_id, time_seconds in log.tombstones_by_request_id.items():
        if time_seconds < oldest:
            times_by_id = times_by_id.remove(request_id)
    return log._replace(
        records_by_id=records_by_id,
        tombstones_by_request_id=times_by_id,
    )


def _refuse_claims(shard: models.Shard) -> tuple[models.Refuse, ...]:
    """Refuse all attempts whose claims do not fit into the log."""
    return tuple(
        models.Refuse(waiter, retry_models.Reason.NOT_RUN)
        for claim in shard.claims
        for waiter in shard.waiters_by_id.get(claim.record_id, ())
    )


def _drop_refused_waiters(
    shard: models.Shard,
    refusals: tuple[models.Action, ...],
) -> models.WaitersByRecordId:
    """Return the waiters without those whose claims were refused."""
    waiters_by_id = shard.waiters_by_id
    if refusals:
        for claim in shard.claims:
            waiters_by_id = waiters_by_id.discard(claim.record_id)
    return waiters_by_id
