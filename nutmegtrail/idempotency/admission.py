"""Steps on a shard that this sidecar owns: admit, store, start, bury."""

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
    """Answer a call from the log, join a claim, or queue a new claim."""
    waiter = models.Waiter(call.request_id, call.attempt)
    if call.request_id in shard.log.tombstones_by_request_id:
        return _refused(shard, waiter, retry_models.Reason.NOT_RUN)
    if _is_being_buried(shard, call.request_id):
        return _refused(shard, waiter, retry_models.Reason.OUTCOME_UNKNOWN)
    record = _latest_record(shard, call.record_id)
    pending = _pending_claim(shard, call.record_id)
    known_digest = _known_digest(record, pending)
    if known_digest not in {'', call.body_digest}:
        return _refused(shard, waiter, retry_models.Reason.KEY_REUSED)
    if pending is not None or call.record_id in shard.running_by_id:
        return models.Decision(_add_waiter(shard, call.record_id, waiter))
    if record is not None and record.status is not models.Status.ABANDONED:
        return _answer_from(shard, record, waiter)
    claimed = _add_waiter(shard, call.record_id, waiter)
    return models.Decision(claimed._replace(claims=(*shard.claims, call)))


def _drop_claim(
    shard: models.Shard,
    tombstone: models.TombstoneCall,
) -> models.Decision:
    """Refuse a request's attempts whose claim waits and is now buried."""
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


def recall(
    shard: models.Shard,
    call: models.KeyedCall,
    reason: retry_models.Reason,
) -> models.Decision:
    """Answer a call from memory while the log can not be reached."""
    waiter = models.Waiter(call.request_id, call.attempt)
    record = _latest_record(shard, call.record_id)
    if record is None or record.status is models.Status.ABANDONED:
        return _refused(shard, waiter, reason)
    if record.body_digest != call.body_digest:
        return _refused(shard, waiter, retry_models.Reason.KEY_REUSED)
    if call.record_id in shard.running_by_id:
        return models.Decision(_add_waiter(shard, call.record_id, waiter))
    return _answer_from(shard, record, waiter)


def bury(
    shard: models.Shard,
    tombstone: models.TombstoneCall,
) -> models.Decision:
    """Answer from the log, or queue proof that a request never runs."""
    waiter = models.Waiter(tombstone.request_id, tombstone.attempt)
    record = _latest_record(shard, tombstone.record_id)
    in_flight = () if shard.in_flight is None else shard.in_flight.claims
    if any(claim.record_id == tombstone.record_id for claim in in_flight):
        return _refused(shard, waiter, retry_models.Reason.OUTCOME_UNKNOWN)
    if record is not None and record.status is not models.Status.ABANDONED:
        return _answer_from(shard, record, waiter)
    own = any(
        claim.request_id == tombstone.request_id for claim in shard.claims
    )
    waiters = shard.waiters_by_id.get(tombstone.record_id, ())
    if own and any(
        other.request_id != tombstone.request_id for other in waiters
    ):
        return _refused(shard, waiter, retry_models.Reason.OUTCOME_UNKNOWN)
    tombstones = (*shard.tombstones, tombstone)
    buried = shard._replace(tombstones=tombstones)
    return _drop_claim(buried, tombstone) if own else models.Decision(buried)


def answer_tombstones(
    shard: models.Shard,
    tombstones: tuple[models.TombstoneCall, ...],
) -> tuple[models.Action, ...]:
    """Return the answers to stored tombstones.

    A key that another request has claimed meanwhile is not "not run".
    """
    actions: list[models.Action] = []
    for tombstone in tombstones:
        waiter = models.Waiter(tombstone.request_id, tombstone.attempt)
        record = _latest_record(shard, tombstone.record_id)
        if record is None or record.status is models.Status.ABANDONED:
            refusal = models.Refuse(waiter, retry_models.Reason.NOT_RUN)
            actions.append(refusal)
        else:
            actions.extend(_answer_from(shard, record, waiter).actions)
    return tuple(actions)


def has_work(shard: models.Shard) -> bool:
    """Return whether anything waits for an append."""
    return bool(shard.claims or shard.tombstones or shard.updates)


def next_log(shard: models.Shard) -> models.Log:
    """Return the present log under the next batch identifier."""
    batch_id = f'{shard.me.incarnation}#{shard.batches}'
    return shard.log._replace(batch_id=batch_id)


def start_batch(
    shard: models.Shard,
    context: models.Context,
) -> models.Decision:
    """Store all that waits; refuse the claims where the log is full."""
    log = _purge(_with_updates(next_log(shard), shard), context)
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
        batches=shard.batches + 1,
        in_flight=models.Batch(
            claimed,
            claims,
            shard.tombstones,
            shard.updates,
        ),
        waiters_by_id=_without_refused(shard, actions),
    )
    append = models.Append(shard.revision, content)
    return models.Decision(started, (*actions, append))


def start_claims(
    shard: models.Shard,
    claims: tuple[models.KeyedCall, ...],
    context: models.Context,
) -> models.Decision:
    """Run the calls whose claims are stored and that are still waited for."""
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
    """Store the last word on our former claims in another owner's log."""
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


def took_effect(
    batch: models.Batch,
    log: models.Log,
    me: models.Owner,
) -> bool:
    """Return whether a log that was read back holds an append."""
    if batch.log.owner in {me, models.Owner()}:
        return log.batch_id == batch.log.batch_id
    return not any(_may_update(log, update) for update in batch.updates)


def stored_but_not_run(shard: models.Shard) -> tuple[models.Record, ...]:
    """Return abandonments of our claims that a new owner found stored."""
    batch = shard.in_flight
    claims = () if batch is None else batch.claims
    stored = (shard.log.records_by_id.get(claim.record_id) for claim in claims)
    return tuple(
        record._replace(status=models.Status.ABANDONED)
        for record in stored
        if record is not None
        and record.incarnation == shard.me.incarnation
        and record.status is models.Status.CLAIMED
        and record.record_id not in shard.running_by_id
    )


def trim(response: models.StoredResponse) -> models.StoredResponse:
    """Return an answer in the size that the log keeps."""
    if len(response.body) <= const.ANSWER_LIMIT_BYTES:
        return response
    return response._replace(body=b'', kept=False)


def _latest_record(
    shard: models.Shard,
    record_id: str,
) -> models.Record | None:
    """Return what is known of a key, stored or still to be stored."""
    in_flight = () if shard.in_flight is None else shard.in_flight.updates
    for update in (*shard.updates, *in_flight):
        if update.record_id == record_id:
            return update
    return shard.log.records_by_id.get(record_id)


def _is_being_buried(shard: models.Shard, request_id: str) -> bool:
    """Return whether a tombstone for a request waits or is being stored."""
    in_flight = () if shard.in_flight is None else shard.in_flight.tombstones
    return any(
        tombstone.request_id == request_id
        for tombstone in (*in_flight, *shard.tombstones)
    )


def _known_digest(
    record: models.Record | None,
    pending: models.KeyedCall | None,
) -> str:
    """Return the body's digest under which a key is in use."""
    if pending is not None:
        return pending.body_digest
    return '' if record is None else record.body_digest


def _pending_claim(
    shard: models.Shard,
    record_id: str,
) -> models.KeyedCall | None:
    """Return the claim that waits for an append or is being appended."""
    in_flight = () if shard.in_flight is None else shard.in_flight.claims
    for claim in (*in_flight, *shard.claims):
        if claim.record_id == record_id:
            return claim
    return None


def _answer_from(
    shard: models.Shard,
    record: models.Record,
    waiter: models.Waiter,
) -> models.Decision:
    """Answer from a stored claim; one without completion is unknown."""
    if record.response is None:
        return _refused(shard, waiter, retry_models.Reason.OUTCOME_UNKNOWN)
    if not record.response.kept:
        return _refused(shard, waiter, retry_models.Reason.ALREADY_RUN)
    return models.Decision(shard, (models.Respond(waiter, record.response),))


def _refused(
    shard: models.Shard,
    waiter: models.Waiter,
    reason: retry_models.Reason,
) -> models.Decision:
    """Return a refusal without a change of state."""
    return models.Decision(shard, (models.Refuse(waiter, reason),))


def _add_waiter(
    shard: models.Shard,
    record_id: str,
    waiter: models.Waiter,
) -> models.Shard:
    """Return the shard with an attempt that waits for a claim."""
    waiters = shard.waiters_by_id.get(record_id, ())
    if waiter in waiters:
        return shard
    waiters_by_id = shard.waiters_by_id.set(record_id, (*waiters, waiter))
    return shard._replace(waiters_by_id=waiters_by_id)


def _may_update(log: models.Log, update: models.Record) -> bool:
    """Return whether a log still holds the claim that an update ends."""
    record = log.records_by_id.get(update.record_id)
    return (
        record is not None
        and record.request_id == update.request_id
        and record.incarnation == update.incarnation
        and record.status is models.Status.CLAIMED
    )


def _with_updates(log: models.Log, shard: models.Shard) -> models.Log:
    """Return a log with the last words on claims."""
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
    """Return a log with the claims that wait."""
    records_by_id = log.records_by_id
    for claim in shard.claims:
        record = models.Record(
            claim.record_id,
            claim.request_id,
            claim.body_digest,
            shard.me.incarnation,
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
    """Return a log with the tombstones that wait."""
    times_by_id = log.tombstones_by_request_id
    for tombstone in tombstones:
        request_id = tombstone.request_id
        times_by_id = times_by_id.set(request_id, context.now_seconds)
    return log._replace(tombstones_by_request_id=times_by_id)


def _purge(log: models.Log, context: models.Context) -> models.Log:
    """Return a log without what is older than the retention period."""
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


def _without_refused(
    shard: models.Shard,
    refusals: tuple[models.Action, ...],
) -> models.WaitersByRecordId:
    """Return the waiters that are left after refusing the claims."""
    waiters_by_id = shard.waiters_by_id
    if refusals:
        for claim in shard.claims:
            waiters_by_id = waiters_by_id.discard(claim.record_id)
    return waiters_by_id
