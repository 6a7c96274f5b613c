"""Upper estimates of how long requests take."""

import collections.abc
import math
import typing

from nutmegtrail.draining import const
from nutmegtrail.draining import models


class Profile(typing.NamedTuple):
    """Longest usual times of a kind of request, infinite if not known.

    `first_seconds` is the time up to the first event. `sized_first_seconds`
    and `token_seconds` are those of requests whose allowed tokens are known: up
    to the first event, and for each such token. `event_seconds` is the time for
    each event after the first.
    """

    seconds: float = math.inf
    first_seconds: float = math.inf
    sized_first_seconds: float = math.inf
    token_seconds: float = math.inf
    event_seconds: float = math.inf


def profile(
    durations: collections.abc.Sequence[models.Duration], quantile: float
) -> Profile:
    """Return the profile of a part of the requests that have ended."""
    sized = [duration for duration in durations if duration.tokens]
    return Profile(
        _quantile([duration.seconds for duration in durations], quantile),
        _quantile([duration.first_seconds for duration in durations], quantile),
        _quantile([duration.first_seconds for duration in sized], quantile),
        _quantile(
            [
                (duration.seconds - duration.first_seconds) / duration.tokens
                for duration in sized
            ],
            quantile,
        ),
        _quantile(
            [
                (duration.seconds - duration.first_seconds)
                / (duration.events - 1)
                for duration in durations
                if duration.events > 1
            ],
            quantile,
        ),
    )


def overdue_ratio(
    running: collections.abc.Iterable[models.Running],
    known: Profile,
    now_seconds: float,
    ignored: int,
) -> float:
    """Return how many times longer than expected requests run already.

    So many of those that are furthest behind do not count.
    """
    ratios = sorted(
        (now_seconds - other.started_at_seconds)
        / usual_seconds(other.request, known)
        for other in running
    )
    return ratios[-1 - ignored] if len(ratios) > ignored else 0


def needed_seconds(
    request: models.Request, known: Profile, overdue: float = 0
) -> float:
    """Return how long a request may take, infinity if nothing tells.

    Requests of its kind that are overdue show that it may take longer than
    those that have ended.
    """
    return _delayed(usual_seconds(request, known), overdue)


def limited_seconds(
    request: models.Request, known: Profile, overdue: float = 0
) -> float:
    """Return how long a request takes with all the tokens that it allows.

    An event holds one token or more. Infinity if no tokens are allowed or the
    time for an event is not known.
    """
    if not request.tokens:
        return math.inf
    seconds = known.first_seconds + known.event_seconds * request.tokens
    return _delayed(_with_reserve(seconds), overdue)


def usual_seconds(request: models.Request, known: Profile) -> float:
    """Return how long a request usually takes at most."""
    seconds = known.seconds
    if request.tokens and not math.isinf(known.token_seconds):
        seconds = (
            known.sized_first_seconds + known.token_seconds * request.tokens
        )
    return _with_reserve(seconds)


def replacement_seconds(known: Profile) -> float:
    """Return how long another upstream takes up to its first event."""
    # A whole response has no event before its end.
    seconds = known.first_seconds or known.seconds
    return _with_reserve(seconds) + const.REPLACEMENT_SECONDS


def silence_reserve_seconds(
    request: models.Request, known: Profile, longest_silence_seconds: float
) -> float:
    """Return what upstreams that fall silent may add to a request.

    If the request may be repeated, one of them is replaced, and the other one
    may fall silent, too.
    """
    if request.is_sent:
        return 0
    reserve = min(
        max(const.UNREPLACED_SILENCE_SECONDS, longest_silence_seconds),
        usual_seconds(request, known) * const.UNREPLACED_SILENCE_RATIO,
    )
    if not request.runs_once and not math.isinf(known.first_seconds):
        reserve += const.MIN_SILENCE_SECONDS + replacement_seconds(known)
    return reserve


def _delayed(seconds: float, overdue: float) -> float:
    """Return a duration as requests that are overdue let it expect."""
    return seconds * overdue * const.OVERDUE_RATIO if overdue > 1 else seconds


def _with_reserve(seconds: float) -> float:
    """Return a duration that somewhat longer ones do not exceed."""
    return seconds * const.DURATION_RATIO + const.DURATION_RESERVE_SECONDS


def _quantile(samples: list[float], quantile: float) -> float:
    """Return the smallest sample that is not below a part of all samples.

    It is infinity without samples.
    """
    if not samples:
        return math.inf
    rank = max(math.ceil(len(samples) * quantile), 1)
    return sorted(samples)[rank - 1]
