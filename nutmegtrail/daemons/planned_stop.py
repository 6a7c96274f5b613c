"""The planned stop of a daemon, which ends within its grace period."""

import collections.abc
import time
import typing

import anyio
import anyio.abc

from nutmegtrail.daemons import const
from nutmegtrail.draining import drain
from nutmegtrail.draining import models
from nutmegtrail.draining import schedule

Outcome = typing.TypeVar('Outcome')


class PlannedStop:
    """Knows which requests a daemon may still take, and when it ends them.

    `reserve_seconds` of the grace period are kept for work after the last
    request.
    """

    def __init__(
        self, grace_seconds: float, reserve_seconds: float = 0
    ) -> None:
        """Initialize without a stop."""
        self.drain = drain.Drain()
        self._lasting_seconds = grace_seconds - reserve_seconds
        self._begun = anyio.Event()

    @property
    def is_active(self) -> bool:
        """Return whether the daemon stops."""
        return self.drain.is_active

    @property
    def schedule(self) -> schedule.Schedule:
        """Return the times of a stop that has begun."""
        return self.drain.schedule

    def notice(self, now_seconds: float) -> None:
        """Take only what ends in time, unless the stop was noticed before.

        A signal handler may call it.
        """
        planned = schedule.plan(now_seconds, self._lasting_seconds)
        self.drain.notice(now_seconds, planned)

    def begin(self) -> None:
        """Begin the stop, unless it has begun."""
        self.notice(time.monotonic())
        self.drain.announce()
        self._begun.set()

    async def wait_until_begun(self) -> None:
        """Wait until the daemon stops."""
        await self._begun.wait()

    def has_room_for(self, request: models.Request) -> bool:
        """Return whether a request that is sent now ends in time."""
        return self.drain.has_room_for(request, time.monotonic())

    def silence_limit_seconds(self, key: collections.abc.Hashable) -> float:
        """Return for how long an upstream of a request may be silent."""
        return self.drain.silence_limit(
            key, const.SILENCE_SECONDS, time.monotonic()
        )

    async def run_while_room(
        self,
        request: models.Request,
        action: collections.abc.Callable[
            [], collections.abc.Awaitable[Outcome]
        ],
    ) -> Outcome | None:
        """Return the outcome of an action, None without room for a request."""
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(self._cancel_without_room, request, tasks)
            outcome = await action()
            tasks.cancel_scope.cancel()
            return outcome
        return None

    async def run_until_cut(
        self,
        action: collections.abc.Callable[[], collections.abc.Awaitable[None]],
    ) -> bool:
        """Run an action; return whether it was cancelled by the stop."""
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(self._cancel_at_cut, tasks)
            await action()
            tasks.cancel_scope.cancel()
            return False
        return True

    async def _cancel_without_room(
        self, request: models.Request, tasks: anyio.abc.TaskGroup
    ) -> None:
        """Cancel tasks once a request has no room any more."""
        await self._begun.wait()
        while self.has_room_for(request):
            await anyio.sleep(const.ROOM_POLL_SECONDS)
        tasks.cancel_scope.cancel()

    async def _cancel_at_cut(self, tasks: anyio.abc.TaskGroup) -> None:
        """Cancel tasks when the last requests are given up."""
        await self._begun.wait()
        await sleep_until(self.schedule.cut_at_seconds)
        tasks.cancel_scope.cancel()


async def sleep_until(time_seconds: float) -> None:
    """Wait until a time of the monotonic clock."""
    await anyio.sleep(max(time_seconds - time.monotonic(), 0))
