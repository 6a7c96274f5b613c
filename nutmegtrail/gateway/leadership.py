"""Leadership for one matter by a leased key; its revision is the fence.

What the watch shows of the key is the truth: a write whose answer was
lost is recognised there by the name that it carries.
"""

import enum
import functools
import typing


class Leadership(typing.NamedTuple):
    """What an entry knows of a leadership.

    `fence` is set while the entry leads. `fenced_off` is a fence that a
    higher one has replaced at an engine.
    """

    name: str
    holder: str = ''
    fence: int | None = None
    lease_id: int = 0
    fenced_off: int = 0
    is_known: bool = False


class KeyShown(typing.NamedTuple):
    """The key was written by a holder at a revision."""

    holder: str
    revision: int


class KeyGone(typing.NamedTuple):
    """The key does not exist."""


class LeaseLapsed(typing.NamedTuple):
    """The lease of the entry has ended."""


class FencedOff(typing.NamedTuple):
    """An engine has seen a higher fence."""


class Wish(enum.Enum):
    """What an entry should do about a leadership."""

    ACQUIRE = 'acquire'
    RENEW = 'renew'
    WAIT = 'wait'


Event: typing.TypeAlias = KeyShown | KeyGone | LeaseLapsed | FencedOff


@functools.singledispatch
def decide(event: Event, leadership: Leadership) -> Leadership:
    """Return the leadership after an event."""
    raise TypeError(f'unknown event {event!r}')


@decide.register
def _key_shown(event: KeyShown, leadership: Leadership) -> Leadership:
    """Lead where the key carries the own name and was not fenced off."""
    own = event.holder == leadership.name
    own = own and event.revision > leadership.fenced_off
    return leadership._replace(
        holder=event.holder,
        fence=event.revision if own else None,
        is_known=True,
    )


@decide.register
def _key_gone(event: KeyGone, leadership: Leadership) -> Leadership:
    """Lead no more."""
    return leadership._replace(holder='', fence=None, is_known=True)


@decide.register
def _lease_lapsed(event: LeaseLapsed, leadership: Leadership) -> Leadership:
    """Lead no more; the key goes with its lease."""
    return leadership._replace(fence=None, lease_id=0)


@decide.register
def _fenced_off(event: FencedOff, leadership: Leadership) -> Leadership:
    """Order nothing more under a replaced fence."""
    return leadership._replace(
        fence=None,
        fenced_off=leadership.fence or leadership.fenced_off,
    )


def wish(leadership: Leadership) -> Wish:
    """Return what to do."""
    if leadership.fence is not None:
        return Wish.RENEW
    if leadership.is_known and not leadership.holder:
        return Wish.ACQUIRE
    return Wish.WAIT
