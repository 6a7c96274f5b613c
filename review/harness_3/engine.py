"""Stand-in of an engine: runs requests and tells what it ran."""

import asyncio
import collections
import contextlib
import json
import time
import typing

from review.harness_3 import wire


class Engine:
    """Engine of one service; a subclass or attributes change its answers."""

    def __init__(
        self,
        identifier: str,
        service: str,
        record: typing.Callable[..., None],
        *,
        work_seconds: float = 0.02,
        body: bytes = b'whole answer',
        slots: int = 6,
    ) -> None:
        """Initialize an engine that does not listen."""
        self.identifier = identifier
        self.service = service
        self.address = ''
        self.record = record
        self.work_seconds = work_seconds
        self.body = body
        self.slots = slots
        self.born = int(time.time() * 1000)
        self.runs: collections.Counter[str] = collections.Counter()
        self.state = 'ready'
        self.server: asyncio.Server | None = None
        self.writers: set[asyncio.StreamWriter] = set()

    async def start(self) -> None:
        """Listen on a free port."""
        self.server = await asyncio.start_server(
            self._serve, '127.0.0.1', 0, limit=1 << 24
        )
        port = self.server.sockets[0].getsockname()[1]
        self.address = f'127.0.0.1:{port}'

    async def close(self) -> None:
        """Stop listening and cut all connections."""
        if self.server is not None:
            self.server.close()
        for writer in tuple(self.writers):
            writer.transport.abort()

    def registration(self, zone: str = 'zone-a') -> bytes:
        """Return the entry of this engine in the store."""
        return json.dumps(
            {
                'service': self.service,
                'address': self.address,
                'zone': zone,
                'version': 'v1',
                'slots': self.slots,
                'state': self.state,
                'cold_left_ms': 0,
                'seq_no': 0,
                'born': self.born,
            }
        ).encode()

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Serve the requests of one connection, one at a time."""
        self.writers.add(writer)
        try:
            while (received := await wire.read_request(reader)) is not None:
                if not await self.answer(received, writer):
                    break
                await writer.drain()
        except (
            ConnectionError,
            asyncio.IncompleteReadError,
            asyncio.CancelledError,
        ):
            return
        finally:
            self.writers.discard(writer)
            with contextlib.suppress(ConnectionError):
                await wire.close(writer)

    async def answer(
        self, received: wire.Request, writer: asyncio.StreamWriter
    ) -> bool:
        """Answer a request; return whether the connection stays open."""
        if received.path in {'/health', '/api/report'}:
            writer.write(
                wire.json_response(200, {'queued': 0, 'born': self.born})
            )
            return True
        expected = received.headers.get('x-nutmegtrail-expect-instance')
        request_id = received.headers.get('x-nutmegtrail-request-id', '')
        if expected not in {None, self.identifier}:
            writer.write(
                wire.response(
                    421, b'', {'X-Nutmegtrail-Request-Id': request_id}
                )
            )
            return True
        self.runs[request_id] += 1
        self.record('run', engine=self.identifier, request=request_id)
        return await self.run(received, request_id, writer)

    async def run(
        self,
        received: wire.Request,
        request_id: str,
        writer: asyncio.StreamWriter,
    ) -> bool:
        """Run a request; return whether the connection stays open."""
        await asyncio.sleep(self.work_seconds)
        writer.write(wire.response(200, self.body, self.headers(request_id)))
        return True

    def headers(self, request_id: str) -> dict[str, str]:
        """Return the headers of a response that the engine made."""
        return {
            'X-Nutmegtrail-Request-Id': request_id,
            'X-Nutmegtrail-Response-Seal': f'seal.{self.identifier}',
            'Keep-Alive': 'timeout=15',
        }
