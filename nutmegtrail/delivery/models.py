"""State, events and actions of the delivery of one request."""

import typing

from nutmegtrail.retries import models as retry_models


class Delivery(typing.NamedTuple):
    """An entry's state of a request.

    `next_offset` is the number of events forwarded to the caller.
    `is_under_way` is True while the reply to an attempt is awaited.
    `has_unknown_outcome` is True while an earlier attempt may have reached an
    upstream and its outcome is unknown.
    """

    idempotent: bool
    has_idempotency_key: bool
    attempt_count: int = 0
    upstream: str = ''
    is_under_way: bool = False
    has_unknown_outcome: bool = False
    is_response_started: bool = False
    next_offset: int = 0
    failed_upstreams: frozenset[str] = frozenset()


class NotSent(typing.NamedTuple):
    """The sidecar could not be reached, so it received nothing."""


class Lost(typing.NamedTuple):
    """The connection was lost after the attempt was sent.

    An `attempt` of 0 means the first of the current ones.
    """

    attempt: int = 0


class Refused(typing.NamedTuple):
    """The sidecar refused the attempt."""

    reason: retry_models.Reason
    owner: str = ''


class NoUpstream(typing.NamedTuple):
    """No upstream is available for the request."""


class Expired(typing.NamedTuple):
    """The request's deadline has passed."""


class Stopped(typing.NamedTuple):
    """The entry stops before the request could end."""


Event: typing.TypeAlias = (
    NotSent | Lost | Refused | NoUpstream | Expired | Stopped
)


class Ask(typing.NamedTuple):
    """Send the next attempt to the named upstream, or to any if empty.

    `uses_retry_budget` is True if the attempt needs the retry budget.
    """

    upstream: str = ''
    uses_retry_budget: bool = False


class Prove(typing.NamedTuple):
    """Request a tombstone, which proves that the request never runs."""


class GiveUp(typing.NamedTuple):
    """Refuse the request for a final reason."""

    reason: retry_models.Reason


Action: typing.TypeAlias = Ask | Prove | GiveUp


class Decision(typing.NamedTuple):
    """The next state and the action to perform."""

    delivery: Delivery
    action: Action
