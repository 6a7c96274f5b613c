"""Limits of one call."""

import typing


class Limits(typing.NamedTuple):
    """Limits of a response, or of each of its lines.

    The time-out includes connecting, interim responses and the head.
    """

    size_bytes: int
    timeout_seconds: float
