"""Limits of delivery attempts and of buffered responses."""

import typing

# Of all recordings together.
STORED_RESPONSES_LIMIT_BYTES: typing.Final = 25_165_824
RECORDING_LIMIT_BYTES: typing.Final = 8_388_608
# An event is kept as an object, and sent again as a message.
EVENT_OVERHEAD_BYTES: typing.Final = 128
# Of the bodies of all calls that run or wait.
CALLS_LIMIT_BYTES: typing.Final = 8_388_608
SWEEP_INTERVAL_SECONDS: typing.Final = 5.0
RETENTION_SECONDS: typing.Final = 150.0
ATTEMPT_LIMIT: typing.Final = 6
RESUME_TIMEOUT_SECONDS: typing.Final = 5.0
