"""Ranges of the histograms, bounds of the log lines and their reading."""

import typing

LOWEST_MICROSECONDS: typing.Final = 1
HIGHEST_MICROSECONDS: typing.Final = 3_600_000_000
SIGNIFICANT_DIGITS: typing.Final = 2
PERCENTILES: typing.Final = (50.0, 95.0, 99.0)
MICROSECONDS_PER_SECOND: typing.Final = 1_000_000
PERCENT: typing.Final = 100

# Lines of a busy entry's requests, several times over.
LOG_LINES_PER_SECOND: typing.Final = 500
# A pipe that is ready takes 4,096 bytes without blocking.
LOG_LINE_CHARACTERS: typing.Final = 4_000

# What the process learned shortly before a request may have decided it.
CONTEXT_SECONDS: typing.Final = 1.0
FIRST_FAILURE_STATUS: typing.Final = 400
