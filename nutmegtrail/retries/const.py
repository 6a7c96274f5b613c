"""Retry budgets, retry delays and crash limits."""

import typing

# Retries of all entries to a target in any window: a part of the requests that
# succeeded there and a fixed number.
RETRY_WINDOW_SECONDS: typing.Final = 10.0
RETRY_RATIO: typing.Final = 0.08
RETRY_BURST: typing.Final = 5.0
ATTEMPT_LIMIT: typing.Final = 4
CRASH_LIMIT: typing.Final = 2
CRASH_MARK_TTL_SECONDS: typing.Final = 600.0
# Marks of this long share a lease, so that they expire this much earlier at
# most.
CRASH_LEASE_REUSE_SECONDS: typing.Final = 60.0
# Bounds the memory for marks.
MARKED_REQUESTS_LIMIT: typing.Final = 4_096
EVICTED_REQUESTS: typing.Final = 512
RETRY_AFTER_BASE_SECONDS: typing.Final = 1.0
RETRY_AFTER_JITTER_SECONDS: typing.Final = 4.0
# Crashes attributed to a prompt part from which on it may be quarantined.
PART_CRASH_LIMIT: typing.Final = 3
# Crashes from which on other parts that were marked alike excuse none.
CERTAIN_CRASH_COUNT: typing.Final = 6
# Successes of a service after which an entry knows its usual parts.
EXPERIENCED_SUCCESS_COUNT: typing.Final = 20
# Refusal by an entry that has seen fewer; it doubles with each further crash.
PROVISIONAL_HOLD_SECONDS: typing.Final = 8.0
# Successes without a part, and none with it, that show that the part and not
# the service is at fault.
CONTRAST_SUCCESS_COUNT: typing.Final = 12
# Bounds the memory for parts that have succeeded.
KNOWN_PARTS_LIMIT: typing.Final = 8_192
