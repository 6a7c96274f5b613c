"""Settings of the C library's memory allocator."""

import ctypes

from nutmegtrail.host_limits import const
from nutmegtrail.observability import logs


def return_large_blocks() -> None:
    """Let the allocator return large blocks to the host once they are free.

    Otherwise it keeps them after the first ones, and bodies that grow leave
    gaps that take more memory than the bodies.
    """
    try:
        mallopt = ctypes.CDLL(None).mallopt
    except AttributeError:
        # Only the GNU C library has it.
        logs.decision('host:allocator-unknown')
        return
    mallopt(const.MMAP_THRESHOLD_OPTION, const.LARGE_BLOCK_BYTES)
