"""Decisions on the next attempt of a request after a failed one."""

import functools
import typing

from nutmegtrail.delivery import const
from nutmegtrail.delivery import models
from nutmegtrail.retries import models as retry_models

_Reason: typing.TypeAlias = retry_models.Reason
_FINAL: typing.Final = frozenset(
    (
        _Reason.OUTCOME_UNKNOWN,
        _Reason.KEY_REUSED,
        _Reason.ALREADY_RUN,
        _Reason.QUARANTINED,
    ),
)
_ELSEWHERE: typing.Final = frozenset(
    (_Reason.DRAINING, _Reason.UNREACHABLE),
)
_FAILING: typing.Final = frozenset((_Reason.CRASHED, _Reason.INTERRUPTED))


@functools.singledispatch
def decide(
    event: models.Event,
    delivery: models.Delivery,
) -> models.Decision:
    """Return the next state of a delivery and the action to take."""
    raise TypeError(f'unknown event {event!r}')


def record_attempt(delivery: models.Delivery, upstream: str) -> models.Delivery:
    """Return the delivery after an attempt has been handed to a connection."""
    return delivery._replace(
        attempt_count=delivery.attempt_count + 1,
        upstream=upstream,
    )


@decide.register
def _not_sent(
    event: models.NotSent,
    delivery: models.Delivery,
) -> models.Decision:
    """Try elsewhere what can not have run."""
    failed = _exclude(delivery)
    return _ask_again(failed, models.Ask(uses_retry_budget=True))


@decide.register
def _lost(
    event: models.Lost,
    delivery: models.Delivery,
) -> models.Decision:
    """Ask the same sidecar, which keeps its answers for pick-up."""
    unresolved = delivery._replace(has_unknown_outcome=True)
    return _ask_again(unresolved, models.Ask(delivery.upstream))


@decide.register
def _refused(
    event: models.Refused,
    delivery: models.Delivery,
) -> models.Decision:
    """Follow the reason of a refusal."""
    if event.reason in _FINAL:
        return models.Decision(delivery, models.GiveUp(event.reason))
    if event.reason in _FAILING:
        return _after_failure(delivery)
    if event.reason is _Reason.MOVED:
        return _ask_again(delivery, models.Ask(event.owner))
    if event.reason in _ELSEWHERE:
        return _ask_again(_exclude(delivery), models.Ask())
    if event.reason is _Reason.OVERLOADED:
        failed = _exclude(delivery)
        return _ask_again(
            failed, models.Ask(uses_retry_budget=True), event.reason
        )
    if event.reason is _Reason.NOT_RUN and not delivery.has_unknown_outcome:
        return models.Decision(delivery, models.GiveUp(event.reason))
    return _give_up(delivery, _Reason.NOT_RUN)


@decide.register
def _no_upstream(
    event: models.NoUpstream,
    delivery: models.Delivery,
) -> models.Decision:
    """Give up when nobody is left to ask."""
    return _give_up(delivery, _Reason.NOT_RUN)


@decide.register
def _expired(
    event: models.Expired,
    delivery: models.Delivery,
) -> models.Decision:
    """Give up at the deadline; an attempt may still run."""
    return _give_up(
        delivery._replace(has_unknown_outcome=True), _Reason.NOT_RUN
    )


def _after_failure(delivery: models.Delivery) -> models.Decision:
    """Repeat an interrupted call only where that is harmless."""
    if not delivery.idempotent:
        unknown = models.GiveUp(_Reason.OUTCOME_UNKNOWN)
        return models.Decision(delivery, unknown)
    failed = _exclude(delivery)._replace(has_unknown_outcome=True)
    return _ask_again(failed, models.Ask(uses_retry_budget=True))


def _ask_again(
    delivery: models.Delivery,
    ask: models.Ask,
    reason: retry_models.Reason = retry_models.Reason.NOT_RUN,
) -> models.Decision:
    """Ask again where another attempt is left and can not run it twice."""
    elsewhere = ask.upstream != delivery.upstream
    doubtful = delivery.has_unknown_outcome and not _repeatable(delivery)
    if delivery.attempt_count >= const.ATTEMPT_LIMIT or (
        doubtful and elsewhere
    ):
        return _give_up(delivery, reason)
    return models.Decision(delivery, ask)


def _give_up(
    delivery: models.Delivery,
    reason: retry_models.Reason,
) -> models.Decision:
    """Say only what is certain; a keyed call can be proved not run.

    A key may have run for an earlier request, so for a keyed call it is
    not enough that this request was never sent.
    """
    if delivery.is_response_started:
        return models.Decision(delivery, models.GiveUp(_Reason.INTERRUPTED))
    if delivery.has_idempotency_key:
        return models.Decision(delivery, models.Prove())
    if not delivery.has_unknown_outcome:
        return models.Decision(delivery, models.GiveUp(reason))
    return models.Decision(delivery, models.GiveUp(_Reason.OUTCOME_UNKNOWN))


def _repeatable(delivery: models.Delivery) -> bool:
    """Return whether a second attempt can not run the call twice."""
    return delivery.idempotent or delivery.has_idempotency_key


def _exclude(delivery: models.Delivery) -> models.Delivery:
    """Return the delivery without the upstream that failed."""
    failed = delivery.failed_upstreams | {delivery.upstream}
    return delivery._replace(failed_upstreams=failed)
