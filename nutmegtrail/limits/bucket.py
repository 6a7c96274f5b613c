"""Token bucket with an explicit initial level that never becomes negative."""

import typing


class Bucket(typing.NamedTuple):
    """Level of a bucket at a point in time; `rate` is in units per second."""

    rate: float
    capacity: float
    level: float
    updated_at_seconds: float


def refill(bucket: Bucket, now_seconds: float) -> Bucket:
    """Return the bucket refilled up to the given time."""
    elapsed = max(now_seconds - bucket.updated_at_seconds, 0)
    level = min(bucket.level + elapsed * bucket.rate, bucket.capacity)
    return bucket._replace(level=level, updated_at_seconds=now_seconds)


def take(bucket: Bucket, units: float) -> Bucket | None:
    """Return the bucket after taking units, None if it holds too few."""
    if units > bucket.level:
        return None
    return bucket._replace(level=bucket.level - units)


def take_up_to(bucket: Bucket, units: float) -> tuple[Bucket, float]:
    """Return the bucket and the units taken, limited by its level."""
    granted = min(units, bucket.level)
    return bucket._replace(level=bucket.level - granted), granted


def seconds_until(bucket: Bucket, units: float) -> float:
    """Return the number of seconds until the bucket holds the units."""
    missing = max(units - bucket.level, 0)
    return missing / bucket.rate
