"""Demand at an entry: the rate at which requests arrive."""

import math
import typing

from nutmegtrail.sharing import const


class Demand(typing.NamedTuple):
    """Number of arrivals, each of which counts less as time passes."""

    arrivals: float = 0
    updated_at_seconds: float = 0


def record_arrival(demand: Demand, now_seconds: float) -> Demand:
    """Return the demand after the arrival of a request."""
    return Demand(_decayed(demand, now_seconds) + 1, now_seconds)


def per_second(demand: Demand, now_seconds: float) -> float:
    """Return the recent arrivals per second."""
    lifetime_seconds = const.DEMAND_HALF_LIFE_SECONDS / math.log(2)
    return _decayed(demand, now_seconds) / lifetime_seconds


def _decayed(demand: Demand, now_seconds: float) -> float:
    """Return the arrivals with their weight at a time."""
    elapsed_seconds = max(now_seconds - demand.updated_at_seconds, 0)
    half_lives = elapsed_seconds / const.DEMAND_HALF_LIFE_SECONDS
    weight: float = 0.5**half_lives
    return demand.arrivals * weight
