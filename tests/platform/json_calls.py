"""JSON calls to a peer whose answers a test writes byte by byte."""

import anyio

from nutmegtrail.adapters.http1 import json_client
from tests import loopback
from tests import simulated_time

_CALL_SECONDS = 2
_WAIT_SECONDS = 30


def send_all(serve, count):
    """Return the responses to calls that are sent one after the other.

    `serve` gets each connection, and the responses so far.
    """
    responses = []

    async def _serve(stream):
        async with stream:
            await serve(stream, responses)

    async def _main():
        address = loopback.free_address()
        listener = await anyio.create_tcp_listener(
            local_host=address.ip, local_port=address.port
        )
        client = json_client.JsonClient()
        with anyio.fail_after(_WAIT_SECONDS):
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(listener.serve, _serve)
                while len(responses) < count:
                    responses.append(
                        await client.send(
                            address, b'POST', b'/', (), b'{}', _CALL_SECONDS
                        )
                    )
                await client.close()
                tasks.cancel_scope.cancel()

    simulated_time.run_processes(_main)
    return responses
