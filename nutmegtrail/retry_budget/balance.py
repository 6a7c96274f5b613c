"""Retries that an entry may send to a service now."""

import typing


class Grant(typing.NamedTuple):
    """Retries of claimed slots that are left, and until when they may be sent."""

    retries: int
    usable_until_seconds: float


class Balance(typing.NamedTuple):
    """Earned retries and the grants, the oldest first."""

    earned: float = 0
    grants: tuple[Grant, ...] = ()


def earn(balance: Balance, retries: float, limit: float) -> Balance:
    """Return the balance after a request earned a part of a retry."""
    return balance._replace(earned=min(balance.earned + retries, limit))


def add_grant(balance: Balance, grant: Grant) -> Balance:
    """Return the balance after slots were claimed."""
    return balance._replace(grants=(*balance.grants, grant))


def available(balance: Balance, now_seconds: float) -> int:
    """Return how many retries may be sent."""
    granted = sum(
        grant.retries for grant in _usable(balance.grants, now_seconds)
    )
    return granted + int(balance.earned)


def spend(balance: Balance, now_seconds: float) -> Balance | None:
    """Return the balance after a retry, None if there is none left.

    What is earned goes first: more of it comes with each request, and beyond
    the limit it is lost.
    """
    if balance.earned >= 1:
        return balance._replace(earned=balance.earned - 1)
    grants = _usable(balance.grants, now_seconds)
    if not grants:
        return None
    first = grants[0]._replace(retries=grants[0].retries - 1)
    return balance._replace(grants=(first, *grants[1:]))


def _usable(grants: tuple[Grant, ...], now_seconds: float) -> tuple[Grant, ...]:
    """Return the grants that can still be spent."""
    return tuple(
        grant
        for grant in grants
        if grant.retries > 0 and now_seconds < grant.usable_until_seconds
    )
