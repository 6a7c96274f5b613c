"""Contention for the room of a service, as one entry sees it."""

from nutmegtrail.overload import models
from nutmegtrail.overload import start_rate
from nutmegtrail.overload import urgency


class Contention:
    """Remembers which priorities asked for room, and when requests started."""

    def __init__(self) -> None:
        """Initialize without any request."""
        self._last_asked_by_priority: dict[int, float] = {}
        self._starts = start_rate.Starts()

    def record_arrival(self, priority: int, now_seconds: float) -> None:
        """Record that a request asks for room."""
        self._last_asked_by_priority[priority] = now_seconds

    def record_round(
        self, started: int, waiting: int, now_seconds: float
    ) -> None:
        """Record how many requests started and how many wait on."""
        self._starts = start_rate.record(
            self._starts, started, waiting, now_seconds
        )

    def starts_per_second(self, now_seconds: float) -> float:
        """Return the rate of starts, infinite unless requests wait for room."""
        return start_rate.per_second(self._starts, now_seconds)

    def capacity_ratio(
        self,
        request: models.WaitingRequest,
        response_at_seconds: float,
        now_seconds: float,
    ) -> float:
        """Return the part of the room that a request may use."""
        return urgency.capacity_ratio(
            request,
            response_at_seconds,
            self._last_asked_by_priority,
            now_seconds,
        )
