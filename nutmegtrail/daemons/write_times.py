"""Times at which parts of a response are sent."""

import time

from nutmegtrail.observability import metrics


class WriteTimes:
    """Observes the time to the first event and between events."""

    def __init__(
        self, metrics_registry: metrics.Metrics, started_at_seconds: float
    ) -> None:
        """Initialize without an event."""
        self.first_at_seconds: float | None = None
        self.count = 0
        self._metrics = metrics_registry
        self._last_at_seconds = started_at_seconds

    def record(self) -> None:
        """Record that events were sent."""
        now_seconds = time.monotonic()
        self.count += 1
        series = 'between_events'
        if self.first_at_seconds is None:
            series = 'first_event'
            self.first_at_seconds = now_seconds
        self._metrics.observe_seconds(
            series, now_seconds - self._last_at_seconds
        )
        self._last_at_seconds = now_seconds
