"""Checks of values that other processes send."""

import math


def non_negative(number: float) -> float:
    """Return a number; raise ValueError if it is negative or not finite."""
    checked = float(number)
    if not math.isfinite(checked) or checked < 0:
        raise ValueError(f'{number!r} must be a number of at least 0')
    return checked
