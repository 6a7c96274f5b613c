"""Revisions that stay unique when the store returns from a copy.

The store gives out revisions again that it gave out after the copy was made.
Together with the era they are unique and rise. A store without eras has era 0,
which leaves its revisions as they are.
"""

from nutmegtrail.adapters.http1 import messages
from nutmegtrail.platform import const


def read(headers: messages.Headers) -> int:
    """Return the era in the headers of a response, 0 if there is none."""
    text = messages.find_header(headers, const.STORE_ERA_HEADER)
    return int(text) if text.isdigit() else 0


def qualify(era: int, revision: int) -> int:
    """Return a revision that is unique over all eras.

    0 stays 0: it stands for an absent key.
    """
    return revision and (era << const.ERA_SHIFT_BITS) + revision


def era_of(qualified: int) -> int:
    """Return the era of a qualified revision."""
    return qualified >> const.ERA_SHIFT_BITS


def revision_of(qualified: int) -> int:
    """Return the revision by which the store knows a qualified one."""
    return qualified - (era_of(qualified) << const.ERA_SHIFT_BITS)
