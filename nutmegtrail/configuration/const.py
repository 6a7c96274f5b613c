"""Names and intervals of the configuration documents."""

import typing

from nutmegtrail import const

DOCUMENT_PREFIX: typing.Final = f'{const.KEY_VALUE_PREFIX}configuration/'
DEPLOYMENT_NAME: typing.Final = 'deployment'
CONTRACT_NAME_PREFIX: typing.Final = 'contracts/'
BUCKET_DIGITS: typing.Final = 4
HISTORY_LIMIT: typing.Final = 20
DIGEST_INTERVAL_SECONDS: typing.Final = 1.0
READERS_PER_FAILURE_DOMAIN: typing.Final = 2
PUSH_FANOUT: typing.Final = 3
BOOTSTRAP_PEER_COUNT: typing.Final = 3
WATCH_RETRY_SECONDS: typing.Final = 0.5
FULL_READ_INTERVAL_SECONDS: typing.Final = 300.0
