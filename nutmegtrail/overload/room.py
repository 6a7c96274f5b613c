"""Room of a group: how many requests it holds within their pause limits.

A pass of a group lasts a constant time and a time that grows with the requests
in flight. The latter depends on how evenly the map spreads the current demand:
after a shift of demand, a pass with the same requests lasts longer, until a
new map is in force. A stream that is running then breaks its limit if the
group was filled to the room of an even map. While such times recur, the room
is therefore that of the slow times.
"""

import functools
import itertools

from nutmegtrail.overload import const
from nutmegtrail.overload import models


def record(
    pace: models.Pace | None, sample: models.PauseSample, now_seconds: float
) -> models.Pace:
    """Return the pace of a group after a pause.

    The highest recent sample counts, because one long pause makes a whole
    stream late.
    """
    ratio = min(sample.ratio, const.MAX_PAUSE_RATIO_SAMPLE)
    sampled = max(ratio - sample.idle_ratio, 0) / max(sample.load, 1)
    per_request = sampled
    slow_periods: tuple[models.SlowPeriod, ...] = ()
    if pace is not None:
        age_seconds = now_seconds - pace.observed_at_seconds
        half_lives = age_seconds / const.PAUSE_RATIO_HALF_LIFE_SECONDS
        per_request = max(sampled, pace.per_request * 0.5**half_lives)
        slow_periods = pace.slow_periods
    if sample.is_remembered:
        slow_periods = _remember(slow_periods, sampled, now_seconds)
    return models.Pace(
        per_request, now_seconds, sample.idle_ratio, slow_periods
    )


def capacity(pace: models.Pace | None, now_seconds: float) -> float | None:
    """Return how many requests a group holds within its pause limits.

    Returns None without a recent sample.
    """
    if pace is None:
        return None
    age_seconds = now_seconds - pace.observed_at_seconds
    if age_seconds > const.PAUSE_RATIO_MAX_AGE_SECONDS:
        return None
    per_request = max(pace.per_request, recurring_slowness(pace, now_seconds))
    if not per_request:
        return float('inf')
    return (const.TARGET_PAUSE_RATIO - pace.idle_ratio) / per_request


def recurring_slowness(pace: models.Pace, now_seconds: float) -> float:
    """Return the pause ratio per request that slow periods reach repeatedly.

    It is 0 unless enough of the remembered periods have samples.
    """
    oldest = _period(now_seconds) - const.REMEMBERED_PERIODS
    recent = [period for period in pace.slow_periods if period.number > oldest]
    highest = sorted(
        (period.per_request for period in _without_lasting(recent)),
        reverse=True,
    )
    if len(highest) < const.RECURRING_PERIODS:
        return 0.0
    return highest[const.RECURRING_PERIODS - 1]


def _without_lasting(
    periods: list[models.SlowPeriod],
) -> list[models.SlowPeriod]:
    """Return the periods without slow times that lasted and have ended.

    Upstreams that are slow for longer than a shift of demand takes are not
    slow again at the next shift. What is usual is told by the quickest quarter
    of the periods.
    """
    ordered = sorted(period.per_request for period in periods)
    usual = ordered[len(ordered) // 4] if ordered else 0
    slow_from = const.SLOW_TIME_RATIO * usual
    is_slow_by_spell = itertools.groupby(
        periods, key=functools.partial(_is_slow, slow_from)
    )
    spells = [(is_slow, tuple(spell)) for is_slow, spell in is_slow_by_spell]
    return [
        period
        for is_slow, spell in spells
        for period in spell
        if not is_slow
        or len(spell) <= const.LASTING_PERIODS
        or spell is spells[-1][1]
    ]


def _is_slow(slow_from: float, period: models.SlowPeriod) -> bool:
    """Return whether the pauses of a period reach a limit."""
    return period.per_request >= slow_from


def _remember(
    slow_periods: tuple[models.SlowPeriod, ...],
    per_request: float,
    now_seconds: float,
) -> tuple[models.SlowPeriod, ...]:
    """Return the periods with a sample added to the current one."""
    number = _period(now_seconds)
    if not slow_periods or slow_periods[-1].number != number:
        added = models.SlowPeriod(number, per_request)
        return (*slow_periods, added)[-const.REMEMBERED_PERIODS :]
    latest = slow_periods[-1]
    if per_request <= latest.per_request:
        return slow_periods
    return (*slow_periods[:-1], latest._replace(per_request=per_request))


def _period(now_seconds: float) -> int:
    """Return the number of the period of a time."""
    return int(now_seconds // const.SLOW_PERIOD_SECONDS)
