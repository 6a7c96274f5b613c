"""Sizes and limits of message frames and connection buffers."""

import typing

FRAME_HEADER_BYTES: typing.Final = 4
MAX_FRAME_BYTES: typing.Final = 4_194_304
READ_SIZE_BYTES: typing.Final = 65_536
WRITE_SIZE_BYTES: typing.Final = 262_144
# A started frame must be complete by then.
FRAME_TIMEOUT_SECONDS: typing.Final = 10.0
# Of the messages that wait for all peers, and of the incomplete frames.
QUEUED_LIMIT_BYTES: typing.Final = 16_777_216
RECEIVED_LIMIT_BYTES: typing.Final = 8_388_608
