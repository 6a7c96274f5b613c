"""Retry decisions after failed attempts."""

import enum
import functools
import typing

from nutmegtrail.gateway import const
from nutmegtrail.gateway import models


class Delivery(typing.NamedTuple):
    """Retry state of a request.

    `reached` counts the upstreams that the request was sent to, and
    `unreachable` those that could not be connected to. `may_have_run` is set
    once an attempt fails without proof that the request did not run.
    `has_sent_events` is set once events were sent to the caller.
    `counted_ids` has upstreams that were counted before their attempts ended,
    without those that proved not to have run the request.
    """

    route: models.Route
    reached: int = 0
    unreachable: int = 0
    may_have_run: bool = False
    has_sent_events: bool = False
    excluded_ids: frozenset[str] = frozenset()
    counted_ids: frozenset[str] = frozenset()


class NotConnected(typing.NamedTuple):
    """The connection to the upstream could not be opened."""

    upstream_id: str


class Withdrawn(typing.NamedTuple):
    """The upstream stopped taking requests before the request was sent."""

    upstream_id: str


class NotRun(typing.NamedTuple):
    """The upstream responded that it did not run the request."""

    upstream_id: str


class Broken(typing.NamedTuple):
    """The response was truncated, invalid or missing.

    `detail` says how, for logs. `is_closed` is set if the connection was
    closed or reset by the upstream.
    """

    upstream_id: str
    detail: str = ''
    is_closed: bool = False


class Dropped(typing.NamedTuple):
    """The process had no room for the response; the upstream did not fail."""

    upstream_id: str
    detail: str = ''


class Silent(typing.NamedTuple):
    """The upstream sends nothing for a while and may go on at any time."""

    upstream_id: str


class Failed(typing.NamedTuple):
    """The upstream ran the request and responded with an error."""

    upstream_id: str


Event: typing.TypeAlias = (
    NotConnected | Withdrawn | NotRun | Broken | Dropped | Failed
)
Observation: typing.TypeAlias = Event | Silent


class Outcome(enum.Enum):
    """Final outcome of a request that did not succeed."""

    PASS_ON = 'pass-on'
    NOT_RUN = 'not-run'
    QUARANTINED = 'quarantined'
    UNKNOWN = 'unknown'


class Repeat(typing.NamedTuple):
    """Retry the request on another upstream."""

    uses_retry_budget: bool


class GiveUp(typing.NamedTuple):
    """Stop retrying the request."""

    outcome: Outcome


class Decision(typing.NamedTuple):
    """Next retry state and the action to take."""

    delivery: Delivery
    action: Repeat | GiveUp


@functools.singledispatch
def decide(event: Observation, delivery: Delivery) -> Decision:
    """Return the action to take after an attempt failed or fell silent."""
    raise TypeError(f'unknown attempt event {event!r}')


@decide.register
def _not_connected(event: NotConnected, delivery: Delivery) -> Decision:
    """Try another upstream, because nothing was sent."""
    failed = _exclude(delivery, event.upstream_id)
    failed = failed._replace(unreachable=delivery.unreachable + 1)
    if failed.unreachable >= const.CONNECT_ATTEMPTS_LIMIT:
        return _give_up(failed)
    return Decision(failed, Repeat(uses_retry_budget=False))


@decide.register
def _withdrawn(event: Withdrawn, delivery: Delivery) -> Decision:
    """Wait for an upstream again, because nothing was sent."""
    return Decision(delivery, Repeat(uses_retry_budget=False))


@decide.register
def _not_run(event: NotRun, delivery: Delivery) -> Decision:
    """Retry if the route allows another upstream."""
    rejected = _record_sent(delivery, event.upstream_id)
    return _retry(
        rejected._replace(
            counted_ids=delivery.counted_ids - {event.upstream_id}
        )
    )


@decide.register
def _broken(event: Broken | Dropped, delivery: Delivery) -> Decision:
    """Retry only if the request may run twice."""
    failed = _record_sent(delivery, event.upstream_id)._replace(
        may_have_run=True
    )
    if not delivery.route.is_retryable:
        return _give_up(failed)
    return _retry(failed)


@decide.register
def _silent(event: Silent, delivery: Delivery) -> Decision:
    """Send the request to another upstream too, if it may run twice."""
    counted = count_running(delivery, event.upstream_id)
    if not delivery.route.is_retryable:
        return _give_up(counted)
    return _retry(counted)


@decide.register
def _failed(event: Failed, delivery: Delivery) -> Decision:
    """Retry if the request may run twice, otherwise return the error."""
    failed = _record_sent(delivery, event.upstream_id)._replace(
        may_have_run=True
    )
    decision = _retry(failed)
    can_retry = isinstance(decision.action, Repeat)
    if can_retry and delivery.route.is_retryable:
        return decision
    return Decision(failed, GiveUp(Outcome.PASS_ON))


def give_up(delivery: Delivery, reason: Outcome = Outcome.NOT_RUN) -> GiveUp:
    """Return the outcome of a request that no upstream can take.

    The reason applies only if the request has certainly not run.
    """
    is_unknown = (
        delivery.may_have_run
        or delivery.has_sent_events
        or bool(delivery.counted_ids)
    )
    return GiveUp(Outcome.UNKNOWN if is_unknown else reason)


def _give_up(delivery: Delivery) -> Decision:
    """Return the decision to stop retrying."""
    return Decision(delivery, give_up(delivery))


def _retry(delivery: Delivery) -> Decision:
    """Return the decision to retry, if the route allows it."""
    if delivery.reached >= delivery.route.max_upstreams:
        return _give_up(delivery)
    return Decision(delivery, Repeat(uses_retry_budget=True))


def count_running(delivery: Delivery, upstream_id: str) -> Delivery:
    """Return the state in which a running attempt is counted as sent.

    It is not counted again when it ends.
    """
    counted = _record_sent(delivery, upstream_id)
    return counted._replace(
        counted_ids=delivery.counted_ids | {upstream_id},
    )


def _record_sent(delivery: Delivery, upstream_id: str) -> Delivery:
    """Return the state after the request was sent to an upstream."""
    if upstream_id in delivery.counted_ids:
        return delivery
    return _exclude(delivery, upstream_id)._replace(
        reached=delivery.reached + 1,
    )


def _exclude(delivery: Delivery, upstream_id: str) -> Delivery:
    """Return the state with an upstream excluded from retries."""
    excluded_ids = delivery.excluded_ids | {upstream_id}
    return delivery._replace(excluded_ids=excluded_ids)
