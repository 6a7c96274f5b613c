"""HTTP client for JSON APIs, which tells why a response is missing."""

import typing

import anyio

from nutmegtrail import models
from nutmegtrail.adapters.http1 import client
from nutmegtrail.adapters.http1 import const
from nutmegtrail.adapters.http1 import errors
from nutmegtrail.adapters.http1 import messages

JSON_HEADERS: typing.Final[messages.Headers] = (
    (b'content-type', b'application/json'),
)
JsonObject: typing.TypeAlias = dict[str, typing.Any]


class Response(typing.NamedTuple):
    """Status, body and headers of a received response."""

    status: int
    body: bytes
    headers: messages.Headers = ()


class NoResponse(typing.NamedTuple):
    """Reason for a missing response; the request may have been executed.

    `is_refused` is set if no process listens at the address.
    """

    detail: str
    is_refused: bool = False


class JsonClient:
    """Client that reuses its connections."""

    def __init__(
        self, response_limit_bytes: int = const.JSON_RESPONSE_LIMIT_BYTES
    ) -> None:
        """Initialize the client without opening connections."""
        self._http_client = client.Client()
        self._response_limit_bytes = response_limit_bytes

    async def close(self) -> None:
        """Close all connections."""
        await self._http_client.close()

    async def send(
        self,
        address: models.Address,
        method: bytes,
        target: bytes,
        headers: messages.Headers,
        body: bytes,
        timeout_seconds: float,
        *,
        needs_new_connection: bool = False,
    ) -> Response | NoResponse:
        """Send a request and return the response, or why there is none."""
        host = (b'host', str(address).encode())
        request = client.Call(
            address,
            method,
            target,
            (host, *headers),
            body,
            needs_new_connection,
        )
        try:
            with anyio.fail_after(timeout_seconds):
                head, received = await self._http_client.fetch(
                    request,
                    self._response_limit_bytes,
                )
        except errors.ConnectionRefused as error:
            return NoResponse(str(error), is_refused=True)
        except (errors.NotConnected, errors.ExchangeBroken) as error:
            return NoResponse(str(error))
        except TimeoutError:
            return NoResponse(f'no response within {timeout_seconds} s')
        return Response(head.status, received, head.headers)
