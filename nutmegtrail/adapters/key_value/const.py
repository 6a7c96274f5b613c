"""Limits and timeouts of the key-value client."""

import typing

CALL_TIMEOUT_SECONDS: typing.Final = 1.5
CONNECT_TIMEOUT_SECONDS: typing.Final = 0.5
WATCH_IDLE_TIMEOUT_SECONDS: typing.Final = 15.0
HTTP_OK: typing.Final = 200
# Of one answer, and of one line of a watch.
ANSWER_LIMIT_BYTES: typing.Final = 4_194_304
# Of all answers and lines that are being received.
ANSWERS_LIMIT_BYTES: typing.Final = 8_388_608
