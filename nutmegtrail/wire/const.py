"""Limits of the message framing."""

import typing

FRAME_HEADER_BYTES: typing.Final = 4
FRAME_LIMIT_BYTES: typing.Final = 4_194_304
READ_SIZE_BYTES: typing.Final = 65_536
OUTBOX_LIMIT_BYTES: typing.Final = 1_048_576
