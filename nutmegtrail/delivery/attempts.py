"""Retry decisions for a request after a failed attempt."""

import functools
import typing

from nutmegtrail.delivery import const
from nutmegtrail.delivery import models
from nutmegtrail.retries import models as retry_models

_Reason: typing.TypeAlias = retry_models.Reason
_FINAL_REASONS: typing.Final = frozenset(
    (
        _Reason.OUTCOME_UNKNOWN,
        _Reason.KEY_REUSED,
        _Reason.ALREADY_RUN,
        _Reason.QUARANTINED,
    ),
)
_OTHER_UPSTREAM_REASONS: typing.Final = frozenset(
    (_Reason.DRAINING, _Reason.UNREACHABLE),
)
_NOT_RUN_REASONS: typing.Final = _OTHER_UPSTREAM_REASONS.union(
    (_Reason.NOT_RUN, _Reason.OVERLOADED),
)
_FAILURE_REASONS: typing.Final = frozenset(
    (_Reason.CRASHED, _Reason.INTERRUPTED)
)


@functools.singledispatch
def decide(
    event: models.Event,
    delivery: models.Delivery,
) -> models.Decision:
    """Return the next state of a delivery and the action to perform."""
    raise TypeError(f'unknown event {event!r}')


def record_attempt(delivery: models.Delivery, upstream: str) -> models.Delivery:
    """Return the delivery after an attempt was handed to a connection."""
    return delivery._replace(
        attempt_count=delivery.attempt_count + 1,
        upstream=upstream,
    )


@decide.register
def _not_sent(
    event: models.NotSent,
    delivery: models.Delivery,
) -> models.Decision:
    """Retry on another upstream, as the call cannot have run."""
    failed = exclude(delivery)
    return _retry(failed, models.Ask(uses_retry_budget=True))


@decide.register
def _lost(
    event: models.Lost,
    delivery: models.Delivery,
) -> models.Decision:
    """Retry at the same sidecar, which buffers the response for resumption."""
    lost = delivery._replace(has_unknown_outcome=True)
    return _retry(lost, models.Ask(delivery.upstream))


@decide.register
def _refused(
    event: models.Refused,
    delivery: models.Delivery,
) -> models.Decision:
    """Give up or retry, depending on the reason for the refusal."""
    if event.reason in _FINAL_REASONS:
        return models.Decision(delivery, models.GiveUp(event.reason))
    if event.reason in _FAILURE_REASONS:
        return _after_failure(delivery)
    if event.reason is _Reason.MOVED:
        return _retry(delivery, models.Ask(event.owner))
    if event.reason in _OTHER_UPSTREAM_REASONS:
        return _retry(exclude(delivery), models.Ask())
    if event.reason is _Reason.OVERLOADED:
        failed = exclude(delivery)
        return _retry(failed, models.Ask(uses_retry_budget=True), event.reason)
    if event.reason is _Reason.NOT_RUN and not delivery.has_unknown_outcome:
        return models.Decision(delivery, models.GiveUp(event.reason))
    return _give_up(delivery, _Reason.NOT_RUN)


@decide.register
def _no_upstream(
    event: models.NoUpstream,
    delivery: models.Delivery,
) -> models.Decision:
    """Give up because no upstream is available."""
    return _give_up(delivery, _Reason.NOT_RUN)


@decide.register
def _expired(
    event: models.Expired,
    delivery: models.Delivery,
) -> models.Decision:
    """Give up at the deadline, although an attempt may still be running."""
    return _give_up(
        delivery._replace(has_unknown_outcome=True), _Reason.NOT_RUN
    )


@decide.register
def _stopped(
    event: models.Stopped,
    delivery: models.Delivery,
) -> models.Decision:
    """Give up at once: there is no time to ask for proof."""
    reason = stop_reason(has_idempotency_key=delivery.has_idempotency_key)
    if delivery.is_response_started:
        reason = _Reason.INTERRUPTED
    elif delivery.has_unknown_outcome or delivery.is_under_way:
        reason = _Reason.OUTCOME_UNKNOWN
    return models.Decision(delivery, models.GiveUp(reason))


def exclude(delivery: models.Delivery) -> models.Delivery:
    """Return the delivery with the last upstream excluded."""
    failed = delivery.failed_upstreams | {delivery.upstream}
    return delivery._replace(failed_upstreams=failed)


def end_one(event: models.Event, delivery: models.Delivery) -> models.Delivery:
    """Return the delivery after one of several attempts has failed."""
    unknown = delivery.has_unknown_outcome or not proves_not_run(event)
    return exclude(delivery)._replace(has_unknown_outcome=unknown)


def proves_not_run(event: models.Event) -> bool:
    """Return whether the upstream cannot have received the failed attempt."""
    if isinstance(event, models.Refused):
        return event.reason in _NOT_RUN_REASONS
    return isinstance(event, models.NotSent)


def may_be_queued(delivery: models.Delivery) -> bool:
    """Return whether the request may wait at sidecars and nowhere have run."""
    return delivery.is_under_way and not (
        delivery.is_response_started or delivery.has_unknown_outcome
    )


def starts_run(ask: models.Ask, delivery: models.Delivery) -> bool:
    """Return whether an attempt starts a run rather than resumes one."""
    if delivery.is_response_started:
        return False
    return ask.uses_retry_budget or not delivery.has_unknown_outcome


def stop_reason(*, has_idempotency_key: bool) -> _Reason:
    """Return why an entry that stops refuses a request that it has not sent.

    A call with an idempotency key may have run for an earlier request.
    """
    return _Reason.NOT_READY if has_idempotency_key else _Reason.NOT_RUN


def _after_failure(delivery: models.Delivery) -> models.Decision:
    """Retry an interrupted call only if it is idempotent."""
    if not delivery.idempotent:
        give_up = models.GiveUp(_Reason.OUTCOME_UNKNOWN)
        return models.Decision(delivery, give_up)
    failed = exclude(delivery)._replace(has_unknown_outcome=True)
    return _retry(failed, models.Ask(uses_retry_budget=True))


def _retry(
    delivery: models.Delivery,
    ask: models.Ask,
    reason: retry_models.Reason = retry_models.Reason.NOT_RUN,
) -> models.Decision:
    """Retry unless the attempt limit is reached or the call could run twice."""
    is_other_upstream = ask.upstream != delivery.upstream
    may_run_twice = delivery.has_unknown_outcome and not _is_repeatable(
        delivery
    )
    if delivery.attempt_count >= const.ATTEMPT_LIMIT or (
        may_run_twice and is_other_upstream
    ):
        return _give_up(delivery, reason)
    return models.Decision(delivery, ask)


def _give_up(
    delivery: models.Delivery,
    reason: retry_models.Reason,
) -> models.Decision:
    """Give up with a reason that is certain, or ask for proof first.

    A call with an idempotency key may have run for an earlier request, so
    it is not enough that this request was never sent. Only a tombstone
    proves that the key did not run.
    """
    if delivery.is_response_started:
        return models.Decision(delivery, models.GiveUp(_Reason.INTERRUPTED))
    if delivery.has_idempotency_key:
        return models.Decision(delivery, models.Prove())
    if not delivery.has_unknown_outcome:
        return models.Decision(delivery, models.GiveUp(reason))
    return models.Decision(delivery, models.GiveUp(_Reason.OUTCOME_UNKNOWN))


def _is_repeatable(delivery: models.Delivery) -> bool:
    """Return whether another attempt cannot execute the call twice."""
    return delivery.idempotent or delivery.has_idempotency_key
