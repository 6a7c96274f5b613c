"""Reads responses within a size, a time and the budget of their client."""

import collections.abc
import contextlib
import functools
import math
import typing

import anyio
import httpx

from nutmegtrail.adapters.bounded_http import const
from nutmegtrail.adapters.bounded_http import errors
from nutmegtrail.adapters.bounded_http import models
from nutmegtrail.byte_budget import budget as byte_budgets
from nutmegtrail.byte_budget import errors as budget_errors
from nutmegtrail.byte_budget import models as budget_models

HEADERS: typing.Final = (('accept-encoding', const.IDENTITY),)
_LINE_END: typing.Final = b'\n'
_Read = typing.TypeVar('_Read')


class Reading:
    """Time and bytes of one call; `close` frees the bytes."""

    def __init__(
        self, limits: models.Limits, budget: byte_budgets.ByteBudget
    ) -> None:
        """Initialize the reading without bytes."""
        self._limits = limits
        self._deadline_seconds = math.inf
        self._scope = anyio.CancelScope()
        self._holding = budget.open(budget_models.Kind.RESPONSE, self._cancel)

    def start_clock(self) -> None:
        """Let the time-out begin now."""
        self._deadline_seconds = (
            anyio.current_time() + self._limits.timeout_seconds
        )

    async def run(
        self,
        step: collections.abc.Callable[[], collections.abc.Awaitable[_Read]],
    ) -> _Read:
        """Return what a step reads; raise httpx.HTTPError if it is cut."""
        if self._holding.has_given_way:
            raise self._gave_way()
        self._scope = anyio.CancelScope(deadline=self._deadline_seconds)
        with self._scope:
            return await step()
        if self._holding.has_given_way:
            raise self._gave_way()
        raise httpx.ReadTimeout(
            f'nothing complete within {self._limits.timeout_seconds} s'
        )

    async def iterate(
        self, response: httpx.Response
    ) -> collections.abc.AsyncIterator[bytes]:
        """Yield the parts of a body, which are kept until they are freed."""
        parts = response.aiter_raw()
        while True:
            part = await self.run(functools.partial(anext, parts, None))
            if part is None:
                return
            self.keep(len(part))
            yield part

    def keep(self, size_bytes: int) -> None:
        """Count bytes that were received; raise TooLarge above a limit."""
        try:
            self._holding.grow(size_bytes)
        except budget_errors.GaveWay as error:
            raise self._gave_way() from error
        if self._holding.kept_bytes > self._limits.size_bytes:
            raise errors.TooLarge(f'exceeds {self._limits.size_bytes} bytes')

    def free(self, size_bytes: int) -> None:
        """Stop counting bytes that were passed on."""
        self.keep(-size_bytes)

    def close(self) -> None:
        """Free all bytes."""
        self._holding.close()

    def _cancel(self) -> None:
        """Cancel the current step."""
        self._scope.cancel()

    def _gave_way(self) -> errors.TooLarge:
        """Return the error of a response that is dropped for others."""
        return errors.TooLarge('dropped: the process keeps too many bytes')


class LineReader:
    """Yields the lines of a response, each within the limits."""

    def __init__(self, response: httpx.Response, reading: Reading) -> None:
        """Initialize the reader at the start of the body."""
        check_encoding(response)
        self._reading = reading
        self._parts = response.aiter_raw()
        self._received = bytearray()
        self._has_ended = False

    async def lines(self) -> collections.abc.AsyncIterator[bytes]:
        """Yield each line without its end; raise httpx.HTTPError."""
        while not self._has_ended:
            self._reading.start_clock()
            for line in await self._reading.run(self._read):
                yield line

    async def _read(self) -> list[bytes]:
        """Return the next complete lines, the rest at the end."""
        async for part in self._parts:
            self._reading.keep(len(part))
            self._received += part
            if _LINE_END in part:
                return self._split()
        self._has_ended = True
        return [bytes(self._received)] if self._received else []

    def _split(self) -> list[bytes]:
        """Remove and return the complete lines."""
        *lines, rest = bytes(self._received).split(_LINE_END)
        self._reading.free(len(self._received) - len(rest))
        self._received = bytearray(rest)
        return lines


@contextlib.asynccontextmanager
async def stream(
    client: httpx.AsyncClient,
    request: httpx.Request,
    limits: models.Limits,
    budget: byte_budgets.ByteBudget,
) -> collections.abc.AsyncIterator[tuple[httpx.Response, Reading]]:
    """Send a request; yield the response once its head has been read.

    Leaving the context frees the bytes and closes the response.
    """
    with contextlib.closing(Reading(limits, budget)) as reading:
        reading.start_clock()
        response = await reading.run(
            functools.partial(client.send, request, stream=True)
        )
        async with contextlib.aclosing(response):
            yield response, reading


async def fetch(
    client: httpx.AsyncClient,
    request: httpx.Request,
    limits: models.Limits,
    budget: byte_budgets.ByteBudget,
) -> httpx.Response:
    """Send a request and return the whole response.

    Raises httpx.HTTPError, also if the response exceeds the limits.
    """
    async with stream(client, request, limits, budget) as (response, reading):
        received = await reading.run(
            functools.partial(read_body, response, reading)
        )
        return httpx.Response(
            response.status_code,
            headers=response.headers,
            content=received,
            request=request,
        )


async def read_body(response: httpx.Response, reading: Reading) -> bytes:
    """Return the body of a response; raise httpx.HTTPError."""
    check_encoding(response)
    received = bytearray()
    async for part in response.aiter_raw():
        reading.keep(len(part))
        received += part
    return bytes(received)


def check_encoding(response: httpx.Response) -> None:
    """Raise Encoded unless a body is sent as it is.

    The end of an encoded body without a length cannot be checked.
    """
    encoding = response.headers.get('content-encoding', const.IDENTITY)
    if encoding.lower() != const.IDENTITY:
        raise errors.Encoded(f'the body is encoded: {encoding}')
