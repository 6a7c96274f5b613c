"""Constants of the byte budget."""

import typing

from nutmegtrail import const as shared_const

# Part of the host's memory. The process itself, copies that are made for a
# moment and the gaps of the allocator need the rest.
HOST_MEMORY_RATIO: typing.Final = 0.25
# Smallest host of an entry, assumed if its memory is not known.
DEFAULT_HOST_MEMORY_BYTES: typing.Final = 300 * shared_const.BYTES_PER_MEBIBYTE

# Requests that run cannot be dropped, so that no more begin above this part.
RUNNING_RATIO: typing.Final = 0.5

# Large holdings of similar size that are compared to choose one.
COMPARED_HOLDINGS: typing.Final = 64
