"""Constants of the retry budget."""

import typing

# Part of the share that entries earn with their own requests. The rest of it is
# granted from the store, to any entry that needs it.
EARNED_SHARE_RATIO: typing.Final = 0.5
# Part of the fixed number of retries that covers what entries have earned
# before a window begins.
EARNED_BASE_RATIO: typing.Final = 0.25
# Entries in touch with each other, and those that are cut off.
FLEET_PARTS: typing.Final = 2
# The remainder of the fixed number is divided into so many slots.
BASE_SLOTS: typing.Final = 24

# A granted retry must be spent within this part of the window.
GRANT_WINDOW_RATIO: typing.Final = 0.3
# Time between the decision on a retry and its arrival at the upstream.
ARRIVAL_SECONDS: typing.Final = 1.0
# A lease is used for further claims during this part of the time in which
# its grants can be spent.
LEASE_REUSE_RATIO: typing.Final = 0.25
# The lease of standing slots lasts for so many windows and is renewed in parts
# of one. Without the store, they can be used for all but the last window.
STANDING_WINDOWS: typing.Final = 3
RENEWAL_WINDOW_RATIO: typing.Final = 0.5
# The other slots are left for those who need them.
STANDING_SLOT_RATIO: typing.Final = 0.5
# The platform accepts 32 entries per transaction, two for each slot.
SLOTS_PER_CLAIM: typing.Final = 15
# Another entry may claim the same slots at the same time.
CLAIM_ATTEMPTS: typing.Final = 4
# After a claim without success.
CLAIM_RETRY_SECONDS: typing.Final = 0.5
# A retry does not wait longer for a grant.
GRANT_WAIT_SECONDS: typing.Final = 0.5

# Retries of this time tell how many will be needed.
DEMAND_SECONDS: typing.Final = 1.0
# From this number of them on, grants are claimed before the last one is spent.
PREFETCH_RETRIES: typing.Final = 3
PREFETCH_RATIO: typing.Final = 0.25
# Part of them that a claim provides for, besides those that wait.
CLAIM_RATIO: typing.Final = 0.5

# Requests are counted in parts of the window.
VOLUME_PARTS: typing.Final = 20
# How often entries tell each other their requests by service.
VOLUME_INTERVAL_SECONDS: typing.Final = 1.0
# Until then, a process has heard of the requests of all others.
INFORMED_SECONDS: typing.Final = 1.5
SERVICES_PER_DATAGRAM: typing.Final = 24
# Of slots and of the requests that they tell.
MAX_COUNT_DIGITS: typing.Final = 12
