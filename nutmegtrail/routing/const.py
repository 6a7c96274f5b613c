"""Parameters of the selection of an upstream."""

import typing

CANDIDATE_COUNT: typing.Final = 4
PREFIX_BYTES: typing.Final = 512
LOAD_BOUND_RATIO: typing.Final = 1.4
LOAD_SLACK_REQUESTS: typing.Final = 2.0
REPORT_MAX_AGE_SECONDS: typing.Final = 2.0
