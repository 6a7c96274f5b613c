"""Parameters of the distributed rate limits."""

import typing

LEASE_SECONDS: typing.Final = 1.0
CHARACTERS_PER_TOKEN: typing.Final = 4
DEFAULT_RESPONSE_TOKENS: typing.Final = 256
OWNER_TIMEOUT_SECONDS: typing.Final = 2.0
QUEUE_SHARE_OF_SLOTS: typing.Final = 0.5
