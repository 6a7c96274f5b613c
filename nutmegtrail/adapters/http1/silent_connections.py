"""Connections on which no byte of a first request has arrived."""

import contextlib
import typing

import anyio


class SilentConnections:
    """Limits how many connections wait for their first request.

    Above the limit, the oldest ones end their wait, so that callers which send
    nothing take no descriptors from others. A sound caller sends its request
    soon after it has connected, and younger connections are left alone.
    """

    def __init__(self) -> None:
        """Initialize without connections."""
        self._since_seconds_by_scope: dict[anyio.CancelScope, float] = {}

    @contextlib.contextmanager
    def waiting(self, limit: int, min_seconds: float) -> typing.Iterator[None]:
        """Count a connection; cancel the body if there are too many.

        No wait is cancelled before it has lasted for `min_seconds`.
        """
        with anyio.CancelScope() as scope:
            self._since_seconds_by_scope[scope] = anyio.current_time()
            self._end_oldest(limit, min_seconds)
            try:
                yield
            finally:
                self._since_seconds_by_scope.pop(scope, None)

    def _end_oldest(self, limit: int, min_seconds: float) -> None:
        """End the waits above the limit that have lasted long enough."""
        excess = len(self._since_seconds_by_scope) - limit
        ended_since = anyio.current_time() - min_seconds
        for _ in range(excess):
            scope, since_seconds = next(
                iter(self._since_seconds_by_scope.items())
            )
            if since_seconds > ended_since:
                return
            self._since_seconds_by_scope.pop(scope)
            scope.cancel()
