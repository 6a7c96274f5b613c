"""Intervals of membership updates."""

import typing

POLL_INTERVAL_SECONDS: typing.Final = 1.0
SUSPECT_TIMEOUT_SECONDS: typing.Final = 3.0
