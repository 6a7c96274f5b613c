"""Limits and formats of the contracts."""

import typing

PRIORITY_HIGHEST: typing.Final = 0
PRIORITY_LOWEST: typing.Final = 9
ACCOUNT_BUCKET_COUNT: typing.Final = 1_024
DIGEST_PREFIX: typing.Final = 'sha256:'
DIGEST_PATTERN: typing.Final = '^sha256:[0-9a-f]{64}$'
NAME_PATTERN: typing.Final = '^[a-z0-9][a-z0-9.-]{0,62}$'
