"""Hedged operations: a second one runs beside the first if that is slow."""

import collections.abc
import typing

import anyio
import anyio.lowlevel

from nutmegtrail.gateway import attempts
from nutmegtrail.gateway import errors

_Primary = typing.TypeVar('_Primary')


@typing.runtime_checkable
class Closeable(typing.Protocol):
    """Result that must be closed if it is not used."""

    async def close(self) -> None:
        """Release what the result holds."""


_Hedge = typing.TypeVar('_Hedge', bound=Closeable)


# Waits before a hedge.
Delay: typing.TypeAlias = collections.abc.Callable[
    [], collections.abc.Awaitable[None]
]


class Race(typing.Generic[_Primary, _Hedge]):
    """Runs an operation and, after a delay, a hedge beside it.

    The first result is returned and the other operation cancelled. Neither the
    delay nor a hedge without a result ends the first operation; the hedge then
    runs again after the interval, if there is one. If the first operation fails
    while the hedge runs, the hedge decides.
    """

    def __init__(
        self,
        hedge: typing.Callable[[], typing.Awaitable[_Hedge | None]],
        delay: Delay = anyio.lowlevel.checkpoint,
        interval: Delay | None = None,
    ) -> None:
        """Initialize a race whose operations have not started."""
        self._hedge = hedge
        self._delay = delay
        self._interval = interval
        self._is_hedged = False
        self._hedge_scope = anyio.CancelScope()
        self._primary_scope = anyio.CancelScope()
        self._primary_error: errors.AttemptFailed | errors.GivenUp | None = None
        self._primary_result: _Primary | None = None
        self._hedge_result: _Hedge | None = None

    @property
    def failure(self) -> attempts.Event | None:
        """Return how the first operation failed, None if it did not."""
        if isinstance(self._primary_error, errors.AttemptFailed):
            return self._primary_error.event
        return None

    @property
    def _needs_hedge(self) -> bool:
        """Return whether neither operation has ended the race."""
        return self._hedge_result is None and self._primary_error is None

    async def run(
        self, primary: typing.Callable[[], typing.Awaitable[_Primary]]
    ) -> _Primary | _Hedge:
        """Return the first result.

        Without one, the error of the first operation is raised.
        """
        try:
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(self._run_hedge)
                with self._primary_scope:
                    await self._run_primary(primary)
        except BaseException:
            await _discard(self._primary_result)
            await _discard(self._hedge_result)
            raise
        if self._primary_result is not None:
            await _discard(self._hedge_result)
            return self._primary_result
        if self._hedge_result is not None:
            return self._hedge_result
        raise typing.cast('Exception', self._primary_error)

    async def _run_primary(
        self, primary: typing.Callable[[], typing.Awaitable[_Primary]]
    ) -> None:
        """Run the first operation; its result ends the hedge."""
        try:
            self._primary_result = await primary()
        except errors.GivenUp as given_up:
            self._primary_error = given_up
        except errors.AttemptFailed as failed:
            self._primary_error = failed
            if self._is_hedged:
                return
        self._hedge_scope.cancel()

    async def _run_hedge(self) -> None:
        """Run the hedge after the delay; its result ends the first one."""
        with self._hedge_scope:
            await self._delay()
            await self._try_hedge()
            while self._needs_hedge and self._interval is not None:
                await self._interval()
                await self._try_hedge()
        if self._hedge_result is not None:
            self._primary_scope.cancel()

    async def _try_hedge(self) -> None:
        """Run the hedge once."""
        self._is_hedged = True
        self._hedge_result = await self._hedge()
        self._is_hedged = False


async def _discard(result: object) -> None:
    """Close a result that is not used."""
    if isinstance(result, Closeable):
        with anyio.CancelScope(shield=True):
            await result.close()
