"""Stand-in of a client: sends a request and reads the whole answer."""

import asyncio
import secrets
import typing

from review.harness_3 import deployment
from review.harness_3 import wire


class Answer(typing.NamedTuple):
    """What a client got; the status is 0 without a complete answer."""

    status: int
    headers: dict[str, str]
    body: bytes
    is_complete: bool = True
    detail: str = ''


def headers(
    request_id: str, deadline_ms: int = 8000, **more: str
) -> dict[str, str]:
    """Return the headers of a request."""
    sized = {}
    if 'token_count' in more:
        sized = {
            'X-Nutmegtrail-Model': 'm',
            'X-Nutmegtrail-Token-Count': more['token_count'],
        }
    return {
        **sized,
        'Host': deployment.HOST,
        'X-Nutmegtrail-Request-Id': request_id,
        'X-Nutmegtrail-Deadline-Ms': str(deadline_ms),
        'Api-Key': more.get('api_key', deployment.KEY),
    }


class Connection:
    """Connection of a client to an entry."""

    def __init__(
        self,
        address: str,
        record: typing.Callable[..., None] | None = None,
    ) -> None:
        """Initialize without connecting; `record` gets what is sent."""
        self._record = record
        self._ip, _, port = address.partition(':')
        self._port = int(port)
        self.reader: asyncio.StreamReader
        self.writer: asyncio.StreamWriter

    async def open(self) -> 'Connection':
        """Connect."""
        self.reader, self.writer = await asyncio.open_connection(
            self._ip, self._port, limit=1 << 24
        )
        return self

    async def exchange(
        self,
        method: str,
        target: str,
        body: bytes = b'',
        deadline_ms: int = 8000,
        **more: str,
    ) -> tuple[str, Answer]:
        """Send a request; return its ID and the answer."""
        request_id = secrets.token_hex(8)
        if self._record is not None:
            self._record('sent', request=request_id, target=target)
        self.writer.write(
            wire.request(
                method, target, headers(request_id, deadline_ms, **more), body
            )
        )
        try:
            async with asyncio.timeout(deadline_ms / 1000 + 1):
                await self.writer.drain()
                return request_id, await self.read()
        except TimeoutError:
            return request_id, Answer(0, {}, b'', False, 'timeout')
        except (OSError, asyncio.IncompleteReadError) as error:
            return request_id, Answer(0, {}, b'', False, repr(error))

    async def read(self) -> Answer:
        """Read an answer."""
        head = await wire.read_head(self.reader)
        if head is None:
            return Answer(0, {}, b'', False, 'closed')
        start, received = head
        status = int(start.split(' ')[1])
        try:
            body = await wire.read_body(self.reader, received)
        except (OSError, asyncio.IncompleteReadError) as error:
            return Answer(status, received, b'', False, repr(error))
        return Answer(status, received, body)

    async def close(self) -> None:
        """Close the connection."""
        await wire.close(self.writer)


async def send(
    address: str,
    method: str,
    target: str,
    body: bytes = b'',
    **more: typing.Any,
) -> tuple[str, Answer]:
    """Send a request on a new connection."""
    try:
        connection = await Connection(address).open()
    except OSError as error:
        return '', Answer(0, {}, b'', False, repr(error))
    try:
        return await connection.exchange(method, target, body, **more)
    finally:
        await connection.close()
