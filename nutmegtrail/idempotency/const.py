"""Limits and intervals of the claim logs."""

import typing

from nutmegtrail import const

SHARD_PREFIX: typing.Final = f'{const.KEY_VALUE_PREFIX}shards/'
OWNER_PREFIX: typing.Final = f'{const.KEY_VALUE_PREFIX}owners/'
SHARDS_PER_SERVICE: typing.Final = 64
LEASE_TTL_SECONDS: typing.Final = 10
LEASE_RENEWAL_SECONDS: typing.Final = 3.0
LEASE_MARGIN_SECONDS: typing.Final = 2.0
RETENTION_SECONDS: typing.Final = 172_800.0
LOG_LIMIT_BYTES: typing.Final = 900_000
RESPONSE_BODY_LIMIT_BYTES: typing.Final = 4_096
APPEND_BACKOFF_SECONDS: typing.Final = 0.5
WRITES_PER_SECOND: typing.Final = 50.0
WRITE_BURST: typing.Final = 10.0
