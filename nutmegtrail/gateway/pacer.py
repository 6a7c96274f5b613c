"""Spaces large messages so that they leave room on the entry's link."""

import anyio


class Pacer:
    """Gives turns at a steady rate of bytes."""

    def __init__(self, bytes_per_second: float) -> None:
        """Start without a queue."""
        self._bytes_per_second = bytes_per_second
        self._next_at_seconds = float('-inf')

    async def wait(self, size_bytes: int) -> None:
        """Wait for the turn of a message; turns are in order of arrival."""
        turn = max(self._next_at_seconds, anyio.current_time())
        self._next_at_seconds = turn + size_bytes / self._bytes_per_second
        await anyio.sleep_until(turn)
