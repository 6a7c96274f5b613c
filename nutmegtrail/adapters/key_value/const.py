"""Timeouts of the key-value client."""

import typing

CALL_TIMEOUT_SECONDS: typing.Final = 1.5
CONNECT_TIMEOUT_SECONDS: typing.Final = 0.5
WATCH_IDLE_TIMEOUT_SECONDS: typing.Final = 15.0
HTTP_OK: typing.Final = 200
