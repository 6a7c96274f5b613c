"""Rate limiting of large messages, to keep the link free for other traffic."""

import anyio


class Pacer:
    """Paces messages to a byte rate, after a burst on an idle link."""

    def __init__(self, bytes_per_second: float, burst_bytes: float = 0) -> None:
        """Initialize the pacer with an idle link.

        `burst_bytes` may be sent at once after a pause, in addition to the
        first message.
        """
        self._bytes_per_second = bytes_per_second
        self._burst_seconds = self.duration(burst_bytes)
        self._next_send_at_seconds = float('-inf')

    def duration(self, size_bytes: float) -> float:
        """Return how long the rate allows nothing else after a message."""
        return size_bytes / self._bytes_per_second

    async def wait(self, size_bytes: int) -> None:
        """Wait until a message may be sent, in order of arrival."""
        now = anyio.current_time()
        send_at_seconds = max(
            self._next_send_at_seconds, now - self._burst_seconds
        )
        self._next_send_at_seconds = send_at_seconds + self.duration(size_bytes)
        await anyio.sleep_until(send_at_seconds)
