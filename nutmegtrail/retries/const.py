"""Retry budgets, retry delays and crash limits."""

import typing

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
