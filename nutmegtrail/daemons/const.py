"""Intervals, time-outs and attempt limits of the daemons."""

import typing

UPSTREAM_PROBE_SECONDS: typing.Final = 1.0
DRAIN_POLL_SECONDS: typing.Final = 0.1
ROOM_POLL_SECONDS: typing.Final = 0.1
# Silence of an upstream after which an entry that stops asks another one.
SILENCE_SECONDS: typing.Final = 1.0
# Time in which a sidecar that stops stores what became of its last calls.
HANDOVER_SECONDS: typing.Final = 1.0
MAX_HANDOVER_RATIO: typing.Final = 0.25
GRANT_TIMEOUT_SECONDS: typing.Final = 0.25
LEASE_ATTEMPTS: typing.Final = 6
TOMBSTONE_TIMEOUT_SECONDS: typing.Final = 2.0
TOMBSTONE_ATTEMPTS: typing.Final = 3
CRASH_MARK_WRITE_SECONDS: typing.Final = 0.2
NO_UPSTREAM_WAIT_SECONDS: typing.Final = 0.2
# A claimed answer is stored and sent as a whole.
CLAIMED_BODY_LIMIT_BYTES: typing.Final = 4_128_768
# Of the replies that wait for all callers of an entry.
REPLIES_LIMIT_BYTES: typing.Final = 67_108_864
