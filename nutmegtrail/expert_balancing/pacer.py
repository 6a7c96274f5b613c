"""Rate limiting of large messages, to keep the link free for other traffic."""

import anyio


class Pacer:
    """Paces messages to a byte rate."""

    def __init__(self, bytes_per_second: float) -> None:
        """Initialize the pacer with an idle link."""
        self._bytes_per_second = bytes_per_second
        self._next_send_at_seconds = float('-inf')

    async def wait(self, size_bytes: int) -> None:
        """Wait until a message may be sent, in order of arrival."""
        send_at_seconds = max(self._next_send_at_seconds, anyio.current_time())
        self._next_send_at_seconds = (
            send_at_seconds + size_bytes / self._bytes_per_second
        )
        await anyio.sleep_until(send_at_seconds)
