"""Constants of the gateway."""

import typing

RESPONSE_BYTES_LIMIT: typing.Final = 8_388_608
# An event is held back until it is complete.
EVENT_LIMIT_BYTES: typing.Final = 262_144

# The platform guarantees that registrations which expired during a store
# outage are written again within two seconds of its recovery.
REREGISTRATION_WINDOW_SECONDS: typing.Final = 2.2

# Longer than the age of a copy from which the store may come back.
REMOVAL_MEMORY_SECONDS: typing.Final = 120.0
# After a store came back from a copy, registrations in it of upstreams that do
# not live expire within this time.
COPY_EXPIRY_SECONDS: typing.Final = 6.0

# Upstreams of a failure domain that is back in service are preferred like the
# others after this time.
DOMAIN_RAMP_SECONDS: typing.Final = 5.0

# For upstreams that do not register their number of slots.
DEFAULT_SLOTS: typing.Final = 6

# A caller abandons a stream that has no event after two seconds; the
# remaining 0.6 s are for the time to the first event.
MAX_STREAM_QUEUE_SECONDS: typing.Final = 1.4

# Longest queueing time as a share of a request's time budget; the remainder
# is for running it.
MAX_QUEUE_TIME_RATIO: typing.Final = 0.6

# With more queued requests per slot, the expected wait exceeds what callers
# accept.
MAX_QUEUED_PER_SLOT: typing.Final = 1.0

# Weight of a new sample in the moving average of an upstream's latency.
LATENCY_SMOOTHING_FACTOR: typing.Final = 0.2
LATENCY_HALF_LIFE_SECONDS: typing.Final = 3.0

# Upstreams whose position in an entry's own order is kept.
REMEMBERED_POSITIONS: typing.Final = 8_192

# Ejection time after consecutive failures. It doubles with each further
# failure, up to the maximum.
EJECTION_SECONDS: typing.Final = 1.0
MAX_EJECTION_SECONDS: typing.Final = 4.0
FAILURES_TO_EJECT: typing.Final = 2

# Hold-offs that are remembered; those that end first are forgotten first.
HOLD_OFFS_LIMIT: typing.Final = 4_096

# An entry leaves a token of a limit to another one for this time, in which that
# one dispatches its queue and tells that it took the token. One round of all
# entries takes no longer than the second value.
LIMIT_TURN_SECONDS: typing.Final = 0.06
LIMIT_ROUND_SECONDS: typing.Final = 0.25
# Tokens of this time are kept, so that a queue that is dispatched with each
# report uses the whole limit.
LIMIT_BURST_SECONDS: typing.Final = 0.06
# Requests over the limit are made up for, if they are not more than those of
# this time.
LIMIT_DEBT_SECONDS: typing.Final = 2.0
# Entries that sent a request to a limited upstream within this time are
# expected to want more of its limit.
LIMIT_ACTIVITY_SECONDS: typing.Final = 4.0
# After a limit has ended, the rate doubles in each of these intervals, until
# it no longer binds.
LIMIT_DOUBLING_SECONDS: typing.Final = 0.5
LIMIT_EASING_SECONDS: typing.Final = 4.0
MIN_EASED_REQUESTS_PER_SECOND: typing.Final = 1.0
# An upstream with a lower limit than this takes no requests.
MIN_LIMIT_REQUESTS_PER_SECOND: typing.Final = 0.01
LIMIT_TRIAL_SECONDS: typing.Final = 10.0
# Upstreams with lower limits than this are asked by their control API whether
# the limit has ended, because requests would tell too late.
MIN_TELLING_REQUESTS_PER_SECOND: typing.Final = 0.5
LIMIT_PROBE_SECONDS: typing.Final = 2.0
# How often entries repeat all that upstreams said, in case a datagram is lost.
SIGNAL_INTERVAL_SECONDS: typing.Final = 1.0
# Signals of upstreams that are not registered are repeated for this long.
SIGNAL_REPEAT_SECONDS: typing.Final = 60.0
MAX_SIGNALS_PER_DATAGRAM: typing.Final = 16
# They name their service.
MAX_COLD_PER_DATAGRAM: typing.Final = 8
# A new entry does not wait longer than this to hear from the others.
SIGNAL_WAIT_SECONDS: typing.Final = 1.0

# Failed connection attempts, each to another upstream, before a request is
# given up.
CONNECT_ATTEMPTS_LIMIT: typing.Final = 4

# Callers abandon a stream after the longest of this pause, a multiple of the
# latency objective and a multiple of the allowed pause.
STREAM_ABANDONMENT_SECONDS: typing.Final = 2.0
STREAM_ABANDONMENT_OBJECTIVES: typing.Final = 4.0
STREAM_ABANDONMENT_PAUSES: typing.Final = 8.0

# A stream that is silent for this long is hedged, early enough for another
# upstream to resume it before its caller abandons it.
STREAM_IDLE_TIMEOUT_SECONDS: typing.Final = 1.0

# A request without a response is hedged early enough for the second response
# to meet the objective, but only after several times the usual latency.
RESPONSE_TIMEOUT_OBJECTIVE_RATIO: typing.Final = 0.6
RESPONSE_TIMEOUT_LATENCY_RATIO: typing.Final = 3.0
# Longer than the connect timeout, so that a failed connection attempt is
# reported first.
MIN_RESPONSE_TIMEOUT_SECONDS: typing.Final = 0.35

# Crashes attributed to a request from which on it is refused.
CRASH_LIMIT: typing.Final = 3
# A stream whose events arrive over this long has not crashed its upstream by
# being begun.
SETTLED_STREAM_SECONDS: typing.Final = 0.5
# Responses that are broken by the same crash arrive within this time.
CRASH_MARK_BATCH_SECONDS: typing.Final = 0.05
# The platform accepts 32 entries per transaction.
CRASH_MARKS_PER_WRITE: typing.Final = 32
CRASH_MARK_SWEEP_SECONDS: typing.Final = 30.0
# After a restart of the upstream, requests that were interrupted this long
# before are no longer attributed to its crash.
INTERRUPTION_MAX_AGE_SECONDS: typing.Final = 15.0
INTERRUPTIONS_LIMIT: typing.Final = 4_096
INTERRUPTION_CHECK_SECONDS: typing.Final = 0.25
# Responses that arrived before a crash are read within this time after it.
RESPONSE_READ_SECONDS: typing.Final = 0.5
# The platform removes a registration after this number of silent heartbeats.
SILENT_HEARTBEATS: typing.Final = 3
# Time for the removal of a registration to be read.
REMOVAL_READ_SECONDS: typing.Final = 1.5

# A refused caller is asked to retry after a share of its remaining time, so
# that it can still be served and a burst of requests has time to drain.
RETRY_AFTER_RATIO: typing.Final = 0.125
# Part of the delay that differs between callers.
RETRY_AFTER_SPREAD_RATIO: typing.Final = 0.4
# Part of the wait for room by which the delay differs at least.
RETRY_AFTER_WAIT_SPREAD_RATIO: typing.Final = 0.5
MIN_RETRY_AFTER_SECONDS: typing.Final = 0.1
MAX_RETRY_AFTER_SECONDS: typing.Final = 2.0

GOSSIP_INTERVAL_SECONDS: typing.Final = 0.05
GOSSIP_TIMEOUT_SECONDS: typing.Final = 1.0
# Keeps datagrams below 1,400 bytes, which no link fragments.
MAX_UPSTREAMS_PER_DATAGRAM: typing.Final = 48

TASK_RETRY_SECONDS: typing.Final = 1.0

REGISTRATION_TTL_SECONDS: typing.Final = 10
REGISTRATION_INTERVAL_SECONDS: typing.Final = 3.0

WATCH_WAIT_SECONDS: typing.Final = 5.0
MIN_WATCH_WAIT_SECONDS: typing.Final = 0.02
# Changes that are written within this delay are read by one call.
WATCH_BATCH_DELAY_SECONDS: typing.Final = 0.15
STORE_RETRY_SECONDS: typing.Final = 0.5
STORE_RETRY_LIMIT_SECONDS: typing.Final = 1.0
# While the store is available it responds more often, at least to the renewals
# of this process's registration, also if one response is lost.
STORE_SILENCE_SECONDS: typing.Final = 2 * REGISTRATION_INTERVAL_SECONDS + 2.5

# Share of a group's slots that is used before a pause ratio is known.
INITIAL_CAPACITY_RATIO: typing.Final = 0.7
# A group always gets at least this many requests per rank.
MIN_CAPACITY_PER_RANK: typing.Final = 1
# How often the room of groups is logged, and the most that is told of it.
ROOM_LOG_INTERVAL_SECONDS: typing.Final = 1.0
LOGGED_ROOM_LIMIT: typing.Final = 9_999.0
# A request that waits longer for room counts as delayed.
DELAYED_SECONDS: typing.Final = 0.05

# Part of the host's descriptors. An entry has three servers, and requests are
# refused before all descriptors are used.
SILENT_CONNECTIONS_RATIO: typing.Final = 0.125
