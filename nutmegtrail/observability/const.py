"""Histogram ranges, log limits and parameters of request diagnosis."""

import typing

HISTOGRAM_MIN_MICROSECONDS: typing.Final = 1
HISTOGRAM_MAX_MICROSECONDS: typing.Final = 3_600_000_000
HISTOGRAM_SIGNIFICANT_DIGITS: typing.Final = 2
PERCENTILES: typing.Final = (50.0, 95.0, 99.0)
MICROSECONDS_PER_SECOND: typing.Final = 1_000_000
PERCENT: typing.Final = 100

# Bounds the memory and the size of the text: further label values of a counter
# share one row.
LABEL_SETS_LIMIT: typing.Final = 2_000
OTHER_LABEL: typing.Final = 'other'

# Several times the rate of lines that a busy entry logs for its requests.
LOG_LINES_PER_SECOND: typing.Final = 500
# A writable pipe accepts 4,096 bytes without blocking.
LOG_LINE_LIMIT_CHARACTERS: typing.Final = 4_000

# Process events this long before a request may explain its outcome.
CONTEXT_SECONDS: typing.Final = 1.0
FIRST_ERROR_STATUS: typing.Final = 400
