"""Intervals of the membership."""

import typing

POLL_INTERVAL_SECONDS: typing.Final = 1.0
SUSPECT_SECONDS: typing.Final = 3.0
