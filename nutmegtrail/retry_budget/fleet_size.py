"""Number of entries that divide the budget."""

import typing


class FleetSize(typing.NamedTuple):
    """Largest number of entries, and when it was last seen."""

    entries: int = 1
    seen_at_seconds: float = float('-inf')


def record(
    known: FleetSize, entries: int, window_seconds: float, now_seconds: float
) -> FleetSize:
    """Return the size after entries were counted.

    Those that have lost touch may go on spending for a window.
    """
    is_old = now_seconds - known.seen_at_seconds > window_seconds
    if is_old or entries >= known.entries:
        return FleetSize(entries, now_seconds)
    return known


class FleetCounter:
    """Counts the entries that divide the budget."""

    def __init__(
        self,
        count_entries: typing.Callable[[], int],
        window_seconds: float,
        clock: typing.Callable[[], float],
    ) -> None:
        """Initialize without a known size."""
        self._count_entries = count_entries
        self._window_seconds = window_seconds
        self._clock = clock
        self._known = FleetSize()

    def entries(self) -> int:
        """Return the number of entries that may send retries."""
        self._known = record(
            self._known,
            self._count_entries(),
            self._window_seconds,
            self._clock(),
        )
        return self._known.entries
