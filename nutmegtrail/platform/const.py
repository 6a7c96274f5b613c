"""Names on the platform's wire."""

import typing

SETTINGS_VARIABLE: typing.Final = 'NUTMEGTRAIL_BOOT'

# The store's keys.
CONFIGURATION_PREFIX: typing.Final = 'op/'
CONFIGURATION_KEY: typing.Final = 'op/config'
UPSTREAM_PREFIX: typing.Final = 'servers/'

# The store's calls.
READ_RANGE: typing.Final = '/api/kv-range'
WATCH: typing.Final = '/api/kv-watch'
TRANSACTION: typing.Final = '/api/kv-txn'
GRANT_LEASE: typing.Final = '/api/kv-lease'
RENEW_LEASE: typing.Final = '/api/kv-keep'
END_LEASE: typing.Final = '/api/kv-lease-end'

# Calls of engines.
READ_REPORT: typing.Final = b'/api/report'
READ_COUNTS: typing.Final = b'/api/picked'
READ_LISTS: typing.Final = b'/api/picked?lists=1'
SEND_ORDER: typing.Final = b'/api/order'

# Headers, in lower case.
REQUEST_ID: typing.Final = b'x-nutmegtrail-request-id'
DEADLINE: typing.Final = b'x-nutmegtrail-deadline-ms'
API_KEY: typing.Final = b'api-key'
ACCOUNT: typing.Final = b'x-nutmegtrail-tenant'
EXPECTED_UPSTREAM: typing.Final = b'x-nutmegtrail-expect-instance'
NOT_EXECUTED: typing.Final = b'x-nutmegtrail-not-executed'
# Proves that an upstream made the answer.
SEAL: typing.Final = b'x-nutmegtrail-response-seal'
FAULTY_UPSTREAM: typing.Final = b'at-server'
LAST_EVENT: typing.Final = b'last-event-id'

LEAVING_STATE: typing.Final = 'draining'
OPEN_STATE: typing.Final = 'open'
READY_STATE: typing.Final = 'ready'

CALL_TIMEOUT_SECONDS: typing.Final = 1.5
# Added to the wait of a watch before it counts as lost.
WATCH_SLACK_SECONDS: typing.Final = 1.5
ANSWER_BYTES_LIMIT: typing.Final = 16_777_216
ENGINE_READ_TIMEOUT_SECONDS: typing.Final = 0.3
# Engines answer an order within milliseconds, and a held group waits for it;
# one with a map takes 20 ms on the engines' slowest links.
ENGINE_ORDER_TIMEOUT_SECONDS: typing.Final = 0.03
ENGINE_MAP_TIMEOUT_SECONDS: typing.Final = 0.08
