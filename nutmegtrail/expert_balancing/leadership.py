"""Leader election with a leased key whose revision is the fencing token.

The watched key is authoritative: if the response to a write is lost, the
write is recognised there by the instance name in its value.
"""

import enum
import functools
import typing


class Leadership(typing.NamedTuple):
    """Leadership as seen by one gateway instance.

    `fence` is the fencing token while the instance leads, None otherwise.
    `own_revision` is the revision of the key if it holds the own name, 0
    otherwise.
    `fenced_off` is the last own fence that an engine rejected because it had
    seen a higher one. `is_known` is set once the key was read.
    """

    name: str
    holder: str = ''
    fence: int | None = None
    own_revision: int = 0
    lease_id: int = 0
    fenced_off: int = 0
    is_known: bool = False


class KeyShown(typing.NamedTuple):
    """The key exists, written by the holder at the revision."""

    holder: str
    revision: int


class KeyGone(typing.NamedTuple):
    """The key does not exist or was deleted."""


class LeaseLapsed(typing.NamedTuple):
    """The lease of this instance has expired or was revoked."""


class FencedOff(typing.NamedTuple):
    """An engine rejected an order because it has seen a higher fence."""


class NextAction(enum.Enum):
    """Next action of an instance in the leader election."""

    ACQUIRE = 'acquire'
    RENEW = 'renew'
    WAIT = 'wait'


Event: typing.TypeAlias = KeyShown | KeyGone | LeaseLapsed | FencedOff


@functools.singledispatch
def decide(event: Event, leadership: Leadership) -> Leadership:
    """Return the leadership state after an event."""
    raise TypeError(f'unknown event {event!r}')


@decide.register
def _key_shown(event: KeyShown, leadership: Leadership) -> Leadership:
    """Become leader if the key holds the own name at a valid revision."""
    is_holder = event.holder == leadership.name
    is_leader = is_holder and event.revision > leadership.fenced_off
    return leadership._replace(
        holder=event.holder,
        fence=event.revision if is_leader else None,
        own_revision=event.revision if is_holder else 0,
        is_known=True,
    )


@decide.register
def _key_gone(event: KeyGone, leadership: Leadership) -> Leadership:
    """Give up the leadership; the key is free."""
    return leadership._replace(
        holder='', fence=None, own_revision=0, is_known=True
    )


@decide.register
def _lease_lapsed(event: LeaseLapsed, leadership: Leadership) -> Leadership:
    """Give up the leadership; the store deletes the key with the lease."""
    return leadership._replace(fence=None, lease_id=0)


@decide.register
def _fenced_off(event: FencedOff, leadership: Leadership) -> Leadership:
    """Give up the leadership; the rejected fence is not used again."""
    return leadership._replace(
        fence=None,
        fenced_off=leadership.fence or leadership.fenced_off,
    )


def next_action(leadership: Leadership) -> NextAction:
    """Return the next action for the current state."""
    if leadership.fence is not None:
        return NextAction.RENEW
    # The own name without a lease: a late write, or an earlier copy of the
    # store. Nobody would renew it, and nobody may write over it.
    is_own = bool(leadership.own_revision) and not leadership.lease_id
    if leadership.is_known and (is_own or not leadership.holder):
        return NextAction.ACQUIRE
    return NextAction.WAIT
