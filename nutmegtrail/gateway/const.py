"""Parameters of direct delivery."""

import typing

RESPONSE_BYTES_LIMIT: typing.Final = 8_388_608

# Entries that lapsed in an outage of the store are back two seconds after
# its return, by the platform's contract.
REREGISTRATION_WINDOW_SECONDS: typing.Final = 2.2

# An upstream without a stated number of slots.
DEFAULT_SLOTS: typing.Final = 6

# A caller abandons a stream two seconds after its start without an event;
# the rest is the time to the first event.
MAX_STREAM_QUEUE_SECONDS: typing.Final = 1.4

# The rest of a call's deadline after the wait in the queue.
MAX_QUEUE_TIME_RATIO: typing.Final = 0.6

# Queue length at which the expected wait is over what callers stand.
MAX_QUEUED_PER_SLOT: typing.Final = 1.0

# Weight of a new sample of an upstream's pace.
LATENCY_SMOOTHING_FACTOR: typing.Final = 0.2
LATENCY_HALF_LIFE_SECONDS: typing.Final = 3.0

# Times that an upstream is left out after failures in a row.
EJECTION_SECONDS: typing.Final = 1.0
MAX_EJECTION_SECONDS: typing.Final = 4.0
FAILURES_TO_EJECT: typing.Final = 2

# Connection attempts to other upstreams after a failed one.
CONNECT_ATTEMPTS_LIMIT: typing.Final = 4

# A stream without an event for so long is resumed elsewhere: callers
# abandon it after two seconds.
STREAM_IDLE_TIMEOUT_SECONDS: typing.Final = 1.0

# A call without an answer is repeated while the second answer can still be
# on time, but not before it has taken several times as long as usual.
RESPONSE_TIMEOUT_OBJECTIVE_RATIO: typing.Final = 0.6
RESPONSE_TIMEOUT_LATENCY_RATIO: typing.Final = 3.0
# Over the time after which a connection attempt is known to have failed.
MIN_RESPONSE_TIMEOUT_SECONDS: typing.Final = 0.35

# A refused caller comes back after a part of its time, so that it can
# still be served and a crowd has had time to thin out.
RETRY_AFTER_RATIO: typing.Final = 0.125
MIN_RETRY_AFTER_SECONDS: typing.Final = 0.1
MAX_RETRY_AFTER_SECONDS: typing.Final = 2.0

# Share of the platform's retry allowance that an entry uses.
RETRY_ALLOWANCE_RATIO: typing.Final = 0.5

GOSSIP_INTERVAL_SECONDS: typing.Final = 0.05
GOSSIP_TIMEOUT_SECONDS: typing.Final = 1.0
# Upstreams in a datagram; 1,400 bytes pass every link in one piece.
MAX_UPSTREAMS_PER_DATAGRAM: typing.Final = 48

TASK_RETRY_SECONDS: typing.Final = 1.0

REGISTRATION_TTL_SECONDS: typing.Final = 10
REGISTRATION_INTERVAL_SECONDS: typing.Final = 3.0

WATCH_WAIT_SECONDS: typing.Final = 5.0
# Changes that come together are read by one call.
WATCH_BATCH_DELAY_SECONDS: typing.Final = 0.15
STORE_RETRY_SECONDS: typing.Final = 0.5
STORE_RETRY_LIMIT_SECONDS: typing.Final = 1.0

# The balancer takes a host out after two failed probes, one a second.
DRAIN_SECONDS: typing.Final = 3.5

# Left of the grace time when the last requests are cut.
STOP_MARGIN_SECONDS: typing.Final = 0.4

# A leader that dies leaves a held group waiting for so long.
LEADER_TTL_SECONDS: typing.Final = 1
LEADER_RENEWAL_INTERVAL_SECONDS: typing.Final = 0.3
# Spread of the entries' attempts, a few times a call to the store.
LEADER_JITTER_SECONDS: typing.Final = 0.05

LEADERSHIP_CHECK_INTERVAL_SECONDS: typing.Final = 0.1
MAP_INTERVAL_SECONDS: typing.Final = 0.5
# Share of the link that orders may take from the callers' streams.
ORDER_BANDWIDTH_RATIO: typing.Final = 0.25
# A number of up to three digits and a comma in an order's map.
BYTES_PER_PLACED_EXPERT: typing.Final = 4
# One rank in so many is read, since all groups get like requests; two at
# least, so that one restart does not blind the leader.
RANKS_PER_SAMPLED_RANK: typing.Final = 16
MIN_SAMPLED_RANKS: typing.Final = 2
POPULARITY_HALF_LIFE_SECONDS: typing.Final = 0.6
# The present map is slower by so much under the latest choices than under
# the faded ones once a shift has begun; without one they differ by a tenth.
POPULARITY_SHIFT_RATIO: typing.Final = 1.2

# Fall of a step's expert time that pays for the copies of a switch.
MIN_MAP_GAIN_RATIO: typing.Final = 0.1
# Fall of a layer's time, against its mean, for each expert copied by every
# rank; ranks copy side by side, so more ranks may copy for a smaller fall.
MIN_MAP_GAIN_RATIO_PER_COPY: typing.Final = 0.64

REPORT_LAG_SECONDS: typing.Final = 0.4
REPORT_INTERVAL_SECONDS: typing.Final = 0.1
ORDER_RETRY_SECONDS: typing.Final = 0.01
ORDER_RETRY_LIMIT_SECONDS: typing.Final = 0.08
# A leader orders some versions a second and reports are younger than one.
UNUSED_VERSION_GAP: typing.Final = 1_000
# Lost orders are sent again meanwhile.
FENCE_TIMEOUT_SECONDS: typing.Final = 1.0
RESUME_ATTEMPTS_LIMIT: typing.Final = 5
# A held step begins within some passes of up to 0.1 s.
PREPARE_RETRY_WINDOW_SECONDS: typing.Final = 0.6
SWITCH_TIMEOUT_SECONDS: typing.Final = 10.0
# After so long another entry may reach the rank that does not answer.
HOLD_TIMEOUT_SECONDS: typing.Final = 1.5

# Strain is the pause between events over the longest allowed one; a fifth
# of a step's time does not depend on the requests in flight.
TARGET_PAUSE_RATIO: typing.Final = 0.9
IDLE_PAUSE_RATIO: typing.Final = 0.25
# A pass that was slow is remembered for about as long as a shift of the
# experts' popularity takes to be answered by a new map.
PAUSE_RATIO_HALF_LIFE_SECONDS: typing.Final = 0.5
# A single long stall says little of the load.
MAX_PAUSE_RATIO_SAMPLE: typing.Final = 2.0
PAUSE_RATIO_MAX_AGE_SECONDS: typing.Final = 1.0
# Share of a group's slots that is used before its strain is known.
INITIAL_CAPACITY_RATIO: typing.Final = 0.7
# Share of a group's room for requests that have missed their objective;
# the rest is kept for those that can still meet it.
LATE_REQUEST_CAPACITY_RATIO: typing.Final = 0.8
# A group always gets a request for each rank.
MIN_CAPACITY_PER_RANK: typing.Final = 1
