"""Ranges of the histograms."""

import typing

LOWEST_MICROSECONDS: typing.Final = 1
HIGHEST_MICROSECONDS: typing.Final = 3_600_000_000
SIGNIFICANT_DIGITS: typing.Final = 2
PERCENTILES: typing.Final = (50.0, 95.0, 99.0)
MICROSECONDS_PER_SECOND: typing.Final = 1_000_000
PERCENT: typing.Final = 100
