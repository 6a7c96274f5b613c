"""Limits of the message framing."""

import typing

FRAME_HEADER_BYTES: typing.Final = 4
MAX_FRAME_BYTES: typing.Final = 4_194_304
READ_SIZE_BYTES: typing.Final = 65_536
WRITE_BUFFER_LIMIT_BYTES: typing.Final = 1_048_576
