"""Constants of cold upstreams."""

import typing

# An upstream that bears fewer requests per second and entry is left to fewer
# entries. Their requests then exceed its rate in no second by more than half.
MIN_REQUESTS_PER_SECOND_PER_ENTRY: typing.Final = 2.0

# Entries whose parts of cold upstreams are kept.
REMEMBERED_SHARES: typing.Final = 8_192
