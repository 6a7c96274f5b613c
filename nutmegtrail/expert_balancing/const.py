"""Constants of expert balancing."""

import typing

# If the leader dies, a rank group that it holds waits until the lease expires.
LEADER_TTL_SECONDS: typing.Final = 1
LEADER_RENEWAL_INTERVAL_SECONDS: typing.Final = 0.3
# Random delay before an entry tries to become the leader; a few times the
# duration of a call to the store.
LEADER_JITTER_SECONDS: typing.Final = 0.05

# A host leaves a vacant lease to each larger one for this time, in which that
# one writes it, and to all of them for the second time.
LARGER_HOST_SECONDS: typing.Final = 0.03
LARGER_HOSTS_LIMIT_SECONDS: typing.Final = 0.15
# A leader hands over after larger hosts have been there for this long.
HANDOVER_SECONDS: typing.Final = 2.0
# Hosts of less than this many times the size count as equal.
LARGER_HOST_RATIO: typing.Final = 1.5

LEADERSHIP_CHECK_INTERVAL_SECONDS: typing.Final = 0.1
MAP_INTERVAL_SECONDS: typing.Final = 0.5
# Share of the network link that orders may take from the callers' streams.
ORDER_BANDWIDTH_RATIO: typing.Final = 0.25
# Orders may fill the idle link for this long, a quarter of the pause at which a
# stream counts as late.
ORDER_BURST_SECONDS: typing.Final = 0.03
# Orders that this instance could send within this time are not relayed.
MIN_RELAYED_SECONDS: typing.Final = 0.05
# A relayed map is compressed to less than this part of its size.
MAP_COMPRESSION_RATIO: typing.Final = 2
# One rank in this many is sampled, because all groups get similar requests.
# At least two are sampled, so that the leader still gets data while one of
# them restarts.
RANKS_PER_SAMPLED_RANK: typing.Final = 16
MIN_SAMPLED_RANKS: typing.Final = 2
# With more sampled ranks than the minimum, one of them is read this often to
# notice shifts, and all of them less often.
WATCH_INTERVAL_SECONDS: typing.Final = 0.2
SAMPLE_INTERVAL_SECONDS: typing.Final = 3.0
# After a shift, all sampled ranks are read again for this long.
SHIFT_SAMPLING_SECONDS: typing.Final = 0.75
MIN_SAMPLE_INTERVAL_SECONDS: typing.Final = 0.25
# Similarity of the latest choices to the earlier ones, relative to its usual
# value, below which a popularity shift is assumed.
SHIFT_SIMILARITY_RATIO: typing.Final = 0.7
SIMILARITY_SMOOTHING_FACTOR: typing.Final = 0.2
# With less similar choices than this, all sampled ranks are read as often as
# in small fleets.
MIN_USUAL_SIMILARITY: typing.Final = 0.85
POPULARITY_HALF_LIFE_SECONDS: typing.Final = 0.6
# A watched rank shows shifts by itself, so that older choices need not fade as
# fast.
WATCHED_HALF_LIFE_SECONDS: typing.Final = 0.9
# Slowness of the current map under the latest expert choices, relative to
# that under the decayed ones, from which a popularity shift is assumed.
# Without a shift the two differ by a tenth.
POPULARITY_SHIFT_RATIO: typing.Final = 1.2

# Relative reduction of a step's expert time that outweighs the copying of a
# map switch.
MIN_MAP_GAIN_RATIO: typing.Final = 0.1
# The same for groups of large fleets, in which a map is orders to many ranks.
LARGE_FLEET_MIN_MAP_GAIN_RATIO: typing.Final = 0.15
# Reduction of a layer's time, relative to its mean, for each expert that
# every rank copies. Ranks copy in parallel, so that a smaller reduction
# justifies a copy if there are more ranks.
MIN_MAP_GAIN_RATIO_PER_COPY: typing.Final = 0.64
# A map is in force after its copies and a few steps. What needs more copies
# follows in further maps, so that the first one helps early.
MAX_COPY_SECONDS: typing.Final = 0.1
MIN_COPIES_LIMIT: typing.Final = 3

REPORT_LAG_SECONDS: typing.Final = 0.4
# Between two reads of the report of a rank that still copies experts.
REPORT_INTERVAL_SECONDS: typing.Final = 0.1
# How often it is checked which reports are due.
REPORT_CHECK_SECONDS: typing.Final = 0.02
ORDER_RETRY_SECONDS: typing.Final = 0.01
ORDER_RETRY_LIMIT_SECONDS: typing.Final = 0.08
# An order is sent this often again with the usual timeout, which then doubles up
# to the limit.
QUICK_ORDER_TRIES: typing.Final = 1
PATIENCE_LIMIT: typing.Final = 16
# Added to the newest reported map version at a leadership change, so that the
# previous leader cannot have ordered the result: a leader orders a few
# versions per second, and reports are less than a second old.
UNUSED_VERSION_GAP: typing.Final = 1_000
# Lost orders are sent again until this timeout.
FENCE_TIMEOUT_SECONDS: typing.Final = 1.0
RESUME_ATTEMPTS_LIMIT: typing.Final = 5
# Between the release of a group and a look for a late hold, and between two
# looks; longer than reports lag behind.
HOLD_CHECK_INTERVAL_SECONDS: typing.Final = 0.5
# How often the registrations are compared with the groups recovered so far.
RECOVERY_CHECK_INTERVAL_SECONDS: typing.Final = 0.25
# Between two tries, so that reports have caught up with a new epoch.
RECOVERY_RETRY_SECONDS: typing.Final = 0.5
# A map that is refused because of the previous switch is sent again for this
# long: a held step begins within a few passes of up to 0.1 s each.
PREPARE_RETRY_WINDOW_SECONDS: typing.Final = 0.6
# Ranks that copy for longer than expected are armed again for this long, while
# the group may be held.
ARM_RETRY_WINDOW_SECONDS: typing.Final = 0.5
SWITCH_TIMEOUT_SECONDS: typing.Final = 10.0
# After this time another entry takes over, which may reach the rank that does
# not respond.
HOLD_TIMEOUT_SECONDS: typing.Final = 1.5
