"""Limits and timeouts of the calls to an upstream."""

import typing

from nutmegtrail.wire import const as wire_const

CONNECT_TIMEOUT_SECONDS: typing.Final = 1.0
PROBE_TIMEOUT_SECONDS: typing.Final = 2.0
PROBE_LIMIT_BYTES: typing.Final = 65_536
# A body is sent to the entry in one frame, with its other fields.
_FRAME_FIELDS_BYTES: typing.Final = 65_536
BODY_LIMIT_BYTES: typing.Final = (
    wire_const.MAX_FRAME_BYTES - _FRAME_FIELDS_BYTES
)
# Of all bodies and events that are being received.
BODIES_LIMIT_BYTES: typing.Final = 8_388_608
