"""Callers that upload long bodies at the same time, over one link."""

import asyncio
import os
import time

from review.harness_3 import caller
from review.harness_3 import wire

PIECE_BYTES = 65_536


class Link:
    """Spaces what all callers send, so that the link is never full."""

    def __init__(self, bytes_per_second: float) -> None:
        """Initialize an idle link."""
        self._bytes_per_second = bytes_per_second
        self._free_at = time.monotonic()

    async def take(self, size: int) -> None:
        """Wait until some bytes may be sent."""
        now = time.monotonic()
        self._free_at = max(self._free_at, now) + size / self._bytes_per_second
        await asyncio.sleep(self._free_at - now)


async def upload(address: str, link: Link, target: str, body_bytes: int) -> int:
    """Upload on a connection of its own; return the status, 0 for none."""
    try:
        connection = await caller.Connection(address).open()
    except OSError:
        return 0
    answering = asyncio.create_task(connection.read())
    payload = wire.request(
        'POST',
        target,
        caller.headers(os.urandom(8).hex()),
        b'x' * body_bytes,
    )
    try:
        for start in range(0, len(payload), PIECE_BYTES):
            if answering.done():
                break
            piece = payload[start : start + PIECE_BYTES]
            await link.take(len(piece))
            connection.writer.write(piece)
            await connection.writer.drain()
        return (await asyncio.wait_for(answering, 8)).status
    except (OSError, TimeoutError):
        return 0
    finally:
        answering.cancel()
        connection.writer.transport.abort()
