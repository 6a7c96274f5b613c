"""Constants of planned stops."""

import typing

# Load balancers in front remove a host after two failed readiness probes,
# which they send once per second.
NOTICE_SECONDS: typing.Final = 3.5
# Time at the end of the grace period for the final responses. A short grace
# period leaves a part of it at most.
MARGIN_SECONDS: typing.Final = 0.4
MAX_MARGIN_RATIO: typing.Final = 0.15

# Requests that ended within this time tell how long others may take.
MEMORY_SECONDS: typing.Final = 60.0
REMEMBERED_DURATIONS: typing.Final = 4_096
REMEMBERED_SILENCES: typing.Final = 256
# Load balancers have noticed the stop, most of them: requests come on kept
# connections, whose callers can send them to another entry.
LATE_SECONDS: typing.Final = 2.0
# A single request that was held up says little about the others.
DURATION_QUANTILE: typing.Final = 0.99
# Requests may take longer than those before them.
DURATION_RATIO: typing.Final = 1.1
DURATION_RESERVE_SECONDS: typing.Final = 0.1
REFRESH_SECONDS: typing.Final = 0.1
# A request that runs for longer than any before it is taken to be half done.
OVERDUE_RATIO: typing.Final = 2.0

# An upstream may be silent for this long at least, however little of the grace
# period is left.
MIN_SILENCE_SECONDS: typing.Final = 0.3
# Connecting to the other upstream, and the wait for a retry.
REPLACEMENT_SECONDS: typing.Final = 0.2
# The other one may fall silent, too, and often no third one may be asked.
UNREPLACED_SILENCE_SECONDS: typing.Final = 2.5
# Early in a stop, requests that take longer than most are not expected to meet
# silences as well.
TYPICAL_QUANTILE: typing.Final = 0.75
# Short requests hardly meet two silences.
UNREPLACED_SILENCE_RATIO: typing.Final = 2.0
# A short grace period leaves a part of it for silences at most.
MAX_SILENCE_RATIO: typing.Final = 0.4
