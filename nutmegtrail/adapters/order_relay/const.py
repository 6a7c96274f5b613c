"""Path, limits and timeouts of the order relay."""

import typing

RELAY_PATH: typing.Final = b'/relay-orders'
# Names a batch, and in the response the batch that the outcomes belong to.
ID_HEADER: typing.Final = b'x-request-id'

HEADER_LIMIT_BYTES: typing.Final = 16_384
COMPRESSED_LIMIT_BYTES: typing.Final = 1_048_576
DOCUMENT_LIMIT_BYTES: typing.Final = 16_777_216
RESPONSE_LIMIT_BYTES: typing.Final = 1_048_576

# Fast compression: a map shrinks to a third at any level.
COMPRESSION_LEVEL: typing.Final = 1

# An instance that does not answer within this time is not waited for: the
# leader sends the orders itself. A batch of a dozen maps takes 0.1 s.
RELAY_TIMEOUT_SECONDS: typing.Final = 0.4
# Connections stay open between the switches of changing popularity.
IDLE_TIMEOUT_SECONDS: typing.Final = 15.0
HEADER_TIMEOUT_SECONDS: typing.Final = 1.0
KEEP_ALIVE_SECONDS: typing.Final = 12
