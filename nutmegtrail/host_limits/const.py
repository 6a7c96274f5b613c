"""Constants of the host's limits."""

import typing

CHECK_INTERVAL_SECONDS: typing.Final = 0.1

# Parts of a limit from which on requests are refused, and below which they are
# accepted again. Requests that run still grow, and the platform keeps some
# descriptors for files.
REFUSAL_RATIO: typing.Final = 0.8
RELIEF_RATIO: typing.Final = 0.7

# A processor that runs timers late by this time delays each event of a stream
# by more than callers allow between two of them.
LAG_LIMIT_SECONDS: typing.Final = 0.2
# A pause of the whole host is one long delay, and passes.
MAX_LAG_SAMPLE_SECONDS: typing.Final = 0.5
LAG_SMOOTHING_FACTOR: typing.Final = 0.2

BYTES_PER_MEGABYTE: typing.Final = 1_048_576

# M_MMAP_THRESHOLD of the GNU C library. Buffers of single reads are smaller.
MMAP_THRESHOLD_OPTION: typing.Final = -3
LARGE_BLOCK_BYTES: typing.Final = 262_144
