"""Decision after a failed attempt: another upstream or the final answer."""

import enum
import functools
import typing

from nutmegtrail.gateway import const
from nutmegtrail.gateway import models


class Delivery(typing.NamedTuple):
    """A request under way.

    `may_have_run` is set once an attempt failed without proof that the
    request did not run; `reached` counts upstreams that were sent it.
    """

    route: models.Route
    reached: int = 0
    unreachable: int = 0
    may_have_run: bool = False
    begun: bool = False
    excluded_ids: frozenset[str] = frozenset()


class NotConnected(typing.NamedTuple):
    """No connection to the upstream could be opened."""

    upstream_id: str


class NotRun(typing.NamedTuple):
    """The upstream said that it has not run the request."""

    upstream_id: str


class Broken(typing.NamedTuple):
    """The answer was cut, garbled or did not come."""

    upstream_id: str


class Failed(typing.NamedTuple):
    """The upstream ran the request and answered with a failure."""

    upstream_id: str


Event: typing.TypeAlias = NotConnected | NotRun | Broken | Failed


class Outcome(enum.Enum):
    """How a request ends without a success."""

    PASS_ON = 'pass-on'
    NOT_RUN = 'not-run'
    UNKNOWN = 'unknown'


class Repeat(typing.NamedTuple):
    """Send the request to another upstream."""

    from_budget: bool


class GiveUp(typing.NamedTuple):
    """End the request."""

    outcome: Outcome


class Decision(typing.NamedTuple):
    """The next state of a delivery and what to do."""

    delivery: Delivery
    action: Repeat | GiveUp


@functools.singledispatch
def decide(event: Event, delivery: Delivery) -> Decision:
    """Return what to do after a failed attempt."""
    raise TypeError(f'unknown event {event!r}')


@decide.register
def _not_connected(event: NotConnected, delivery: Delivery) -> Decision:
    """Try elsewhere: nothing was sent."""
    failed = _exclude(delivery, event.upstream_id)
    failed = failed._replace(unreachable=delivery.unreachable + 1)
    if failed.unreachable >= const.CONNECT_ATTEMPTS_LIMIT:
        return _give_up(failed)
    return Decision(failed, Repeat(from_budget=False))


@decide.register
def _not_run(event: NotRun, delivery: Delivery) -> Decision:
    """Try elsewhere where the route allows another upstream."""
    return _repeat(_reach(delivery, event.upstream_id))


@decide.register
def _broken(event: Broken, delivery: Delivery) -> Decision:
    """Repeat only what may run twice."""
    failed = _reach(delivery, event.upstream_id)._replace(may_have_run=True)
    if not delivery.route.is_retryable:
        return _give_up(failed)
    return _repeat(failed)


@decide.register
def _failed(event: Failed, delivery: Delivery) -> Decision:
    """Repeat what may run twice; otherwise the failure is the answer."""
    failed = _reach(delivery, event.upstream_id)._replace(may_have_run=True)
    decided = _repeat(failed)
    repeats = isinstance(decided.action, Repeat)
    if repeats and delivery.route.is_retryable:
        return decided
    return Decision(failed, GiveUp(Outcome.PASS_ON))


def give_up(delivery: Delivery) -> GiveUp:
    """Return the end of a request that no upstream can take."""
    unknown = delivery.may_have_run or delivery.begun
    return GiveUp(Outcome.UNKNOWN if unknown else Outcome.NOT_RUN)


def _give_up(delivery: Delivery) -> Decision:
    """Return the decision to end a request."""
    return Decision(delivery, give_up(delivery))


def _repeat(delivery: Delivery) -> Decision:
    """Return the decision to repeat while the route allows it."""
    if delivery.reached >= delivery.route.max_upstreams:
        return _give_up(delivery)
    return Decision(delivery, Repeat(from_budget=True))


def _reach(delivery: Delivery, upstream_id: str) -> Delivery:
    """Return the delivery after an upstream was sent the request."""
    return _exclude(delivery, upstream_id)._replace(
        reached=delivery.reached + 1,
    )


def _exclude(delivery: Delivery, upstream_id: str) -> Delivery:
    """Return the delivery that avoids an upstream."""
    excluded_ids = delivery.excluded_ids | {upstream_id}
    return delivery._replace(excluded_ids=excluded_ids)
