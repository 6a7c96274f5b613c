"""Sizes of the answers kept for pick-up."""

import typing

ANSWER_BYTES_LIMIT: typing.Final = 33_554_432
SWEEP_INTERVAL_SECONDS: typing.Final = 5.0
RETENTION_SECONDS: typing.Final = 150.0
ATTEMPT_LIMIT: typing.Final = 6
RESUME_TIMEOUT_SECONDS: typing.Final = 5.0
