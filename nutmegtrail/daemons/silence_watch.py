"""Upstreams that fall silent while an entry stops."""

import collections.abc
import time

import anyio

from nutmegtrail.daemons import const
from nutmegtrail.daemons import planned_stop


class SilenceWatch:
    """Asks another upstream for a request while those asked are silent."""

    def __init__(
        self,
        stop: planned_stop.PlannedStop,
        request_id: str,
        ask: collections.abc.Callable[[], collections.abc.Awaitable[None]],
    ) -> None:
        """Initialize the watch; an upstream has just been asked."""
        self._stop = stop
        self._request_id = request_id
        self._ask = ask
        self._heard_at_seconds = time.monotonic()

    @property
    def is_silent(self) -> bool:
        """Return whether another upstream may be asked."""
        return self._remaining_seconds() <= 0

    def record_reply(self) -> None:
        """Record that an upstream has answered."""
        self._heard_at_seconds = time.monotonic()

    async def run(self) -> None:
        """Watch until cancelled; nothing is asked without a stop."""
        await self._stop.wait_until_begun()
        while True:
            while not self.is_silent:
                await anyio.sleep(
                    min(self._remaining_seconds(), const.ROOM_POLL_SECONDS)
                )
            await self._ask()
            self._heard_at_seconds = time.monotonic()

    def _remaining_seconds(self) -> float:
        """Return how much longer the upstreams may be silent."""
        limit_seconds = self._stop.silence_limit_seconds(self._request_id)
        return self._heard_at_seconds + limit_seconds - time.monotonic()
