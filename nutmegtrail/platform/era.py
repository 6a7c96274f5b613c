"""Numbers of the store that stay unique when it returns from a copy.

The store gives out revisions and leases again that it gave out after the
copy was made. Together with the era they are unique and rise.
"""

from nutmegtrail.adapters.http1 import messages
from nutmegtrail.platform import const


def read(headers: messages.Headers) -> int:
    """Return the era in the headers of a response, 0 if there is none."""
    text = messages.find_header(headers, const.STORE_ERA_HEADER)
    return int(text) if text.isdigit() else 0


def qualify(era: int, number: int) -> int:
    """Return a revision or lease that is unique over all eras.

    0 stays 0: it stands for an absent key or for no lease.
    """
    return number and (era << const.ERA_SHIFT_BITS) + number


def era_of(qualified: int) -> int:
    """Return the era of a qualified number."""
    return qualified >> const.ERA_SHIFT_BITS


def number_of(qualified: int) -> int:
    """Return the number by which the store knows a qualified one."""
    return qualified - (era_of(qualified) << const.ERA_SHIFT_BITS)
