"""HTTP client for JSON APIs, which tells why a response is missing.

A peer may send a response twice, the second time where the response to a later
request on the connection is expected. A response is therefore taken as that of
its request if it names the request, or if it is the first one on its
connection. Other responses are taken by calls that do not need their own.
"""

import itertools
import secrets
import typing

import anyio

from nutmegtrail import models
from nutmegtrail.adapters.http1 import client
from nutmegtrail.adapters.http1 import const
from nutmegtrail.adapters.http1 import errors
from nutmegtrail.adapters.http1 import messages
from nutmegtrail.byte_budget import budget

JSON_HEADERS: typing.Final[messages.Headers] = (
    (b'content-type', b'application/json'),
)
JsonObject: typing.TypeAlias = dict[str, typing.Any]


class Response(typing.NamedTuple):
    """Status, body and headers of a received response.

    `is_own` is set if it cannot be that of an earlier request, and `fits` if
    it is what the call demands.
    """

    status: int
    body: bytes
    headers: messages.Headers = ()
    is_own: bool = True
    fits: bool = True


class NoResponse(typing.NamedTuple):
    """Reason for a missing response; the request may have been executed.

    `is_refused` is set if no process listens at the address, and
    `has_timed_out` if the peer was silent.
    """

    detail: str
    is_refused: bool = False
    has_timed_out: bool = False


def _fits_any(_: Response) -> bool:
    """Return that every response fits."""
    return True


class Demands(typing.NamedTuple):
    """What a call demands of its connection and its response.

    With `needs_own_response`, a response that may be that of an earlier
    request counts as none. After one that does not fit the request, nothing
    more is sent on its connection.
    """

    needs_new_connection: bool = False
    needs_own_response: bool = False
    fits: typing.Callable[[Response], bool] = _fits_any


_NO_DEMANDS: typing.Final = Demands()
_DROPPED: typing.Final = 'dropped: too many bytes of responses are kept'


class JsonClient:
    """Client that reuses its connections."""

    def __init__(
        self,
        response_limit_bytes: int = const.JSON_RESPONSE_LIMIT_BYTES,
        id_header: bytes = b'',
        responses_limit_bytes: int = const.JSON_RESPONSES_LIMIT_BYTES,
    ) -> None:
        """Initialize the client without opening connections.

        All responses that are being received share `responses_limit_bytes`;
        above it, the largest one counts as none.

        Requests are named in the header `id_header`, in which peers may repeat
        the name. They have no name if it is empty, or if they need a new
        connection, on which no other response can come.
        """
        self._http_client = client.Client(
            budget.ByteBudget(responses_limit_bytes)
        )
        self._response_limit_bytes = response_limit_bytes
        self._id_header = id_header
        self._id_prefix = secrets.token_hex(const.REQUEST_ID_PREFIX_BYTES)
        self._request_numbers = itertools.count(1)

    @property
    def connections_opened(self) -> int:
        """Return how many connections were opened."""
        return self._http_client.connections_opened

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
        demands: Demands = _NO_DEMANDS,
    ) -> Response | NoResponse:
        """Send a request and return the response, or why there is none."""
        request_id = ''
        names: messages.Headers = ((b'host', str(address).encode()),)
        if self._id_header and not demands.needs_new_connection:
            request_id = f'{self._id_prefix}{next(self._request_numbers):08x}'
            names = (*names, (self._id_header, request_id.encode()))
        call = client.Call(
            address,
            method,
            target,
            (*names, *headers),
            body,
            demands.needs_new_connection,
            request_id=request_id,
            needs_own_response=demands.needs_own_response,
        )
        try:
            with anyio.fail_after(timeout_seconds):
                return await self._exchange(call, demands.fits)
        except errors.ResponseDropped:
            return NoResponse(_DROPPED)
        except (errors.NotConnected, errors.ExchangeBroken) as error:
            return NoResponse(
                str(error),
                is_refused=isinstance(error, errors.ConnectionRefused),
                # The kernel ends a connection whose peer no longer responds.
                has_timed_out=errors.has_cause(error, TimeoutError),
            )
        except TimeoutError:
            return NoResponse(
                f'no response within {timeout_seconds} s', has_timed_out=True
            )

    async def _exchange(
        self, call: client.Call, fits: typing.Callable[[Response], bool]
    ) -> Response:
        """Return the response to a call; raise ExchangeBroken if not its own."""
        async with self._http_client.open(call) as opened:
            is_own = self._is_own(call, opened)
            if call.needs_own_response and not is_own:
                raise errors.ExchangeBroken('response that names no request')
            received = await opened.read(self._response_limit_bytes)
            head = opened.head
            response = Response(head.status, received, head.headers, is_own)
            response = response._replace(fits=fits(response))
            opened.is_foreign = not response.fits
            return response

    def _is_own(self, call: client.Call, opened: client.Response) -> bool:
        """Return whether a response cannot be that of another request.

        Raises ExchangeBroken if it names another one.
        """
        if not call.request_id:
            return opened.is_first
        named_id = opened.head.header(self._id_header)
        opened.names_request = named_id == call.request_id.encode()
        if named_id and not opened.names_request:
            raise errors.ExchangeBroken('response to another request')
        return opened.names_request or opened.is_first
