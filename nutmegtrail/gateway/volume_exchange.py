"""Exchange of the requests by service between entries."""

import typing

import anyio
import orjson

from nutmegtrail.retry_budget import const
from nutmegtrail.retry_budget import messages
from nutmegtrail.retry_budget import volume as request_volume


async def tell(
    volume: request_volume.RequestVolume,
    entry: str,
    send: typing.Callable[[list[bytes]], typing.Awaitable[None]],
) -> None:
    """Tell the other entries the requests of this one until cancelled."""
    while True:
        await anyio.sleep(const.VOLUME_INTERVAL_SECONDS)
        message = messages.VolumeMessage(entry, volume.own_by_service())
        await send(
            [
                orjson.dumps(messages.to_document(part))
                for part in messages.split(message)
            ]
        )
