"""Times by key that are moved or forgotten together."""

import typing

import pyrsistent
import pyrsistent.typing

_Key = typing.TypeVar('_Key')


def later_by(
    at_by_key: pyrsistent.typing.PMap[_Key, float], seconds: float
) -> pyrsistent.typing.PMap[_Key, float]:
    """Return all times, later by some seconds."""
    return pyrsistent.pmap(
        {key: at_seconds + seconds for key, at_seconds in at_by_key.items()}
    )


def later_than(
    at_by_key: pyrsistent.typing.PMap[_Key, float], oldest: float
) -> pyrsistent.typing.PMap[_Key, float]:
    """Return the times after the oldest one."""
    for key, at_seconds in at_by_key.items():
        if at_seconds <= oldest:
            at_by_key = at_by_key.remove(key)
    return at_by_key
