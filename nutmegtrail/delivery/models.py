"""State, events and actions of the delivery of one request."""

import typing

from nutmegtrail.retries import models as retry_models


class Delivery(typing.NamedTuple):
    """An entry's knowledge of a request; offset counts forwarded events.

    `unresolved` is True while an attempt may have reached an upstream and
    nothing is known of its outcome.
    """

    idempotent: bool
    has_idempotency_key: bool
    attempt_count: int = 0
    upstream: str = ''
    has_unknown_outcome: bool = False
    is_response_started: bool = False
    next_offset: int = 0
    failed_upstreams: frozenset[str] = frozenset()


class NotSent(typing.NamedTuple):
    """The sidecar could not be reached; nothing of the attempt arrived."""


class Lost(typing.NamedTuple):
    """The connection was lost after the attempt was sent."""


class Refused(typing.NamedTuple):
    """The sidecar refused the attempt."""

    reason: retry_models.Reason
    owner: str = ''


class NoUpstream(typing.NamedTuple):
    """No upstream is left that could take the request."""


class Expired(typing.NamedTuple):
    """The request's deadline has passed."""


Event: typing.TypeAlias = NotSent | Lost | Refused | NoUpstream | Expired


class Ask(typing.NamedTuple):
    """Send the next attempt to the named upstream, or to any if empty."""

    upstream: str = ''
    uses_retry_budget: bool = False


class Prove(typing.NamedTuple):
    """Ask for a tombstone before saying that the request did not run."""


class GiveUp(typing.NamedTuple):
    """Give the caller its final answer."""

    reason: retry_models.Reason


Action: typing.TypeAlias = Ask | Prove | GiveUp


class Decision(typing.NamedTuple):
    """The next state and the action to take."""

    delivery: Delivery
    action: Action
