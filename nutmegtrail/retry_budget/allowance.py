"""Retries that the platform allows for a service, and their division.

In every window, the entries earn at most a part of the share of the requests
in it, plus what they had earned before, which the reserve bounds. The grants
of a window are at most as many as there are slots.
"""

import math
import typing

from nutmegtrail.retry_budget import const


class Allowance(typing.NamedTuple):
    """Retries allowed per window: a share of the requests plus a base."""

    window_seconds: float
    share: float
    base: float

    @property
    def earned_per_request(self) -> float:
        """Return the retries that an entry earns with a request."""
        return self.share * const.EARNED_SHARE_RATIO

    @property
    def usable_seconds(self) -> float:
        """Return for how long granted retries can be spent."""
        return self.window_seconds * const.GRANT_WINDOW_RATIO

    @property
    def lease_seconds(self) -> int:
        """Return for how long a claimed slot stays taken.

        No window contains retries of two claims of a slot.
        """
        return math.ceil(self.settled_seconds + self.usable_seconds)

    @property
    def standing_seconds(self) -> int:
        """Return for how long a standing slot stays taken after a renewal."""
        return math.ceil(
            self.window_seconds * const.STANDING_WINDOWS + const.ARRIVAL_SECONDS
        )

    @property
    def settled_seconds(self) -> float:
        """Return how long after a retry no window contains it any more."""
        return self.window_seconds + const.ARRIVAL_SECONDS

    @property
    def slot_retries(self) -> int:
        """Return the retries that a slot grants, the same for all entries."""
        granted_base = self.base * (1 - const.EARNED_BASE_RATIO)
        return max(int(granted_base / const.BASE_SLOTS), 1)

    def earned_limit(self, entries: int) -> float:
        """Return the retries that an entry keeps for later, at most.

        Entries that are cut off count all others, and are not counted by these
        any more. So both parts of the fleet together keep twice what either
        has. Less than one retry is of no use.
        """
        kept = self._reserve(entries) / entries
        return max(kept / const.FLEET_PARTS, min(kept, 1))

    def slot_count(self, entries: int, requests: float) -> int:
        """Return the number of slots for the requests of a window."""
        granted_share = self.share * (1 - const.EARNED_SHARE_RATIO)
        granted = self.base - self._reserve(entries) + granted_share * requests
        return int(granted / self.slot_retries)

    def _reserve(self, entries: int) -> float:
        """Return the part of the base for what was earned before.

        It is one retry for each entry at least.
        """
        return max(self.base * const.EARNED_BASE_RATIO, min(self.base, entries))
