"""When a planned stop closes the listener and ends the last requests."""

import typing

from nutmegtrail.draining import const


class Schedule(typing.NamedTuple):
    """Times of a planned stop.

    The balancer sends no new connections after `noticed_at_seconds`, unless
    other entries stop, too: they are accepted for as long as requests run that
    were taken by then. Requests that still
    run at `cut_at_seconds` are given up, and their final responses are sent by
    `ended_at_seconds`.
    """

    noticed_at_seconds: float
    cut_at_seconds: float
    ended_at_seconds: float

    @property
    def withdrawn_at_seconds(self) -> float:
        """Return until when queued calls are withdrawn.

        The final responses need the rest of the time.
        """
        return (self.cut_at_seconds + self.ended_at_seconds) / 2


def plan(signalled_at_seconds: float, grace_seconds: float) -> Schedule:
    """Return the times of a stop with a grace period."""
    margin_seconds = min(
        const.MARGIN_SECONDS, grace_seconds * const.MAX_MARGIN_RATIO
    )
    cut_at = signalled_at_seconds + grace_seconds - margin_seconds
    noticed_at = min(signalled_at_seconds + const.NOTICE_SECONDS, cut_at)
    return Schedule(noticed_at, cut_at, cut_at + margin_seconds / 2)
