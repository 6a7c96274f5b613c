"""Constants shared by all subsystems."""

import typing

BYTES_PER_MEBIBYTE: typing.Final = 1_048_576
BYTES_PER_MEGABIT: typing.Final = 125_000
BITS_PER_BYTE: typing.Final = 8
MILLISECONDS_PER_SECOND: typing.Final = 1_000

BODY_LIMIT_BYTES: typing.Final = BYTES_PER_MEBIBYTE
BODY_READ_TIMEOUT_SECONDS: typing.Final = 10.0
CLIENT_WRITE_TIMEOUT_SECONDS: typing.Final = 10.0
REQUEST_TIMEOUT_SECONDS: typing.Final = 120.0
HEARTBEAT_INTERVAL_SECONDS: typing.Final = 0.5
HEARTBEAT_TIMEOUT_SECONDS: typing.Final = 2.0
CREDENTIAL_LENGTH_LIMIT: typing.Final = 512
IDEMPOTENCY_KEY_LENGTH_LIMIT: typing.Final = 255

KEY_VALUE_PREFIX: typing.Final = 'nutmegtrail/'
