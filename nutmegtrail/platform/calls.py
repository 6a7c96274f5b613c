"""Calls with JSON bodies to the store and to engines."""

import typing

import anyio

from nutmegtrail import models
from nutmegtrail.adapters.http1 import client
from nutmegtrail.adapters.http1 import errors
from nutmegtrail.adapters.http1 import messages
from nutmegtrail.platform import const

JSON_BODY: typing.Final[messages.Headers] = (
    (b'content-type', b'application/json'),
)
Document: typing.TypeAlias = dict[str, typing.Any]


class Answer(typing.NamedTuple):
    """Status and body of a call that was answered."""

    status: int
    body: bytes


class NoAnswer(typing.NamedTuple):
    """Why there is no answer; the call may have been carried out."""

    detail: str


class Calls:
    """Sends calls over kept connections."""

    def __init__(self) -> None:
        """Start without connections."""
        self._client = client.Client()

    async def close(self) -> None:
        """Close the connections."""
        await self._client.close()

    async def send(
        self,
        address: models.Address,
        method: bytes,
        target: bytes,
        headers: messages.Headers,
        body: bytes,
        timeout_seconds: float,
    ) -> Answer | NoAnswer:
        """Return the answer of a call, or why there is none."""
        host = (b'host', str(address).encode())
        call = client.Call(address, method, target, (host, *headers), body)
        try:
            with anyio.fail_after(timeout_seconds):
                head, received = await self._client.fetch(
                    call,
                    const.ANSWER_BYTES_LIMIT,
                )
        except (errors.NotConnected, errors.ExchangeBroken) as error:
            return NoAnswer(str(error))
        except TimeoutError:
            return NoAnswer(f'no answer within {timeout_seconds} s')
        return Answer(head.status, received)
