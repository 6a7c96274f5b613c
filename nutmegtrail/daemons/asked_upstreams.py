"""Upstreams that are asked for a request at the same time."""

from nutmegtrail.daemons import upstream_selector


class AskedUpstreams:
    """Counts the load of the upstreams by the attempts sent to them."""

    def __init__(self, selector: upstream_selector.UpstreamSelector) -> None:
        """Initialize without attempts."""
        self._selector = selector
        self._upstreams_by_attempt: dict[int, str] = {}

    @property
    def upstreams(self) -> tuple[str, ...]:
        """Return the upstreams that are asked."""
        return tuple(self._upstreams_by_attempt.values())

    def record(self, attempt: int, upstream: str) -> None:
        """Record that an attempt was sent."""
        self._upstreams_by_attempt[attempt] = upstream
        self._selector.record_start(upstream)

    def upstream(self, attempt: int, default: str) -> str:
        """Return the upstream of an attempt."""
        return self._upstreams_by_attempt.get(attempt, default)

    def clear(self) -> None:
        """Record the end of all attempts."""
        for upstream in self.upstreams:
            self._selector.record_end(upstream)
        self._upstreams_by_attempt = {}
