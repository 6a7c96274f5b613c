"""Constants of the shares."""

import typing

# Arrivals are counted over about this time, in which an entry of a few
# requests per second gets some.
DEMAND_HALF_LIFE_SECONDS: typing.Final = 1.0

# Part of an equal share that an entry keeps without any demand, for the
# requests that arrive before the others have read its next reports.
FLOOR_RATIO: typing.Final = 0.5

# Loans are repeated in all reports of this time.
OFFER_SECONDS: typing.Final = 0.15

# A loan ends this long after the last report that named it was read; some
# reports may be lost meanwhile.
LOAN_SECONDS: typing.Final = 0.25
# The lender uses a part that it no longer names after this time, which
# includes that of a report on its way.
RECLAIM_SECONDS: typing.Final = 0.4

# Changes of the share that are logged.
LOGGED_CHANGE_RATIO: typing.Final = 0.5

# Loans are multiples of one part in this many.
LOAN_UNITS: typing.Final = 100_000
