"""Constants of the decisions under too little room."""

import typing

# The pause ratio is the pause between a stream's events divided by the longest
# allowed one. The idle pause ratio is the part without any load: a fifth of a
# step's time does not depend on the requests in flight.
TARGET_PAUSE_RATIO: typing.Final = 0.9
IDLE_PAUSE_RATIO: typing.Final = 0.25
# Where passes take as long without any load, the room does not depend on it.
MAX_IDLE_PAUSE_RATIO: typing.Final = 0.6
# A slow pass counts for about as long as it takes to switch to a new expert
# map after a popularity shift.
PAUSE_RATIO_HALF_LIFE_SECONDS: typing.Final = 0.5
# A single long stall says little about the load.
MAX_PAUSE_RATIO_SAMPLE: typing.Final = 2.0
PAUSE_RATIO_MAX_AGE_SECONDS: typing.Final = 1.0

# Slow times are remembered by the highest pause of each period. They recur if
# as many periods within the memory were slow; a stall is in two at most.
SLOW_PERIOD_SECONDS: typing.Final = 0.25
REMEMBERED_PERIODS: typing.Final = 40
RECURRING_PERIODS: typing.Final = 4
# A slow time of more periods than this is not one of a shift of demand. Its
# pauses are at least this many times the usual ones.
LASTING_PERIODS: typing.Final = 10
SLOW_TIME_RATIO: typing.Final = 1.5

# Part of the room that is left to each more urgent priority which asked within
# the time, for this many of them at most.
HEADROOM_RATIO: typing.Final = 0.05
HEADROOM_LEVELS: typing.Final = 2
HEADROOM_MEMORY_SECONDS: typing.Final = 1.0
# Part of the room for requests that have missed their objective. The remainder
# is for those that can still meet it.
LATE_REQUEST_CAPACITY_RATIO: typing.Final = 0.8
# A late request keeps its priority for this long before its latest start.
LAST_CHANCE_SECONDS: typing.Final = 0.4
# After as many starts that passed over a less urgent request, one of these has
# its turn, so that none starves.
PASSED_OVER_LIMIT: typing.Final = 7

# Starts are counted for this long to tell at what rate room becomes free.
START_RATE_SECONDS: typing.Final = 1.0
REMEMBERED_STARTS: typing.Final = 512
# A request is hopeless if it starts too late also at this multiple of the rate.
START_RATE_MARGIN: typing.Final = 2.0

# Bounds of the work of a request, relative to the usual one.
MIN_WORK: typing.Final = 0.1
MAX_WORK: typing.Final = 10.0
