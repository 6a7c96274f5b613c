"""Parameters of the choice of an upstream."""

import typing

CANDIDATES: typing.Final = 4
PREFIX_BYTES: typing.Final = 512
LOAD_BOUND: typing.Final = 1.4
LOAD_SLACK: typing.Final = 2.0
REPORT_LAG_SECONDS: typing.Final = 2.0
