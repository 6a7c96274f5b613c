"""Sending of messages in parts."""

import anyio.abc

from nutmegtrail.adapters.http1 import const


async def send(
    stream: anyio.abc.ByteStream, head: bytes, payload: bytes
) -> None:
    """Send a head and a payload, the first parts of them together."""
    await stream.send(head + payload[: const.SEND_BYTES])
    for start in range(const.SEND_BYTES, len(payload), const.SEND_BYTES):
        await stream.send(payload[start : start + const.SEND_BYTES])
