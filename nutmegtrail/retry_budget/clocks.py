"""Clocks of the retry budget."""

import time
import typing

_Clock: typing.TypeAlias = typing.Callable[[], float]


class Clocks(typing.NamedTuple):
    """Clocks in seconds.

    `boot` goes on while the host is suspended, as leases do. `utc` is the time
    of day, which other hosts can read; it may jump.
    """

    boot: _Clock
    utc: _Clock


def of_host() -> Clocks:
    """Return the clocks of this host."""
    return Clocks(_boot_seconds, time.time)


def _boot_seconds() -> float:
    """Return the seconds since the host was booted."""
    return time.clock_gettime(time.CLOCK_BOOTTIME)
