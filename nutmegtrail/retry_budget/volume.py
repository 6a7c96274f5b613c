"""Requests of all entries by service within the window of the budget."""

import collections
import typing

from nutmegtrail.retry_budget import const


class _Told(typing.NamedTuple):
    """Requests of a window, and when it ended."""

    requests: float
    told_at_seconds: float


class RequestVolume:
    """Counts requests of this entry and keeps the counts of the others.

    The requests of an entry that tells nothing leave the window as time passes.
    """

    def __init__(
        self, window_seconds: float, clock: typing.Callable[[], float]
    ) -> None:
        """Initialize without any request."""
        self._clock = clock
        self._window_seconds = window_seconds
        self._part_seconds = window_seconds / const.VOLUME_PARTS
        self._count_by_part_by_service: dict[
            str, collections.OrderedDict[int, int]
        ] = {}
        self._told_by_entry_by_service: dict[str, dict[str, _Told]] = {}
        self._started_at_seconds = clock()
        self._earlier_by_service: dict[str, _Told] = {}
        # Totals at the beginning of the last parts of the window.
        self._totals_by_part_by_service: dict[
            str, collections.OrderedDict[int, float]
        ] = {}

    def record_request(self, service: str) -> None:
        """Count a request that arrived at this entry."""
        counts = self._count_by_part_by_service.setdefault(
            service, collections.OrderedDict()
        )
        part = int(self._clock() / self._part_seconds)
        counts[part] = counts.get(part, 0) + 1
        self._drop_old(counts)
        self._sample(service)

    def record_told(
        self,
        entry: str,
        requests_by_service: typing.Mapping[str, float],
    ) -> None:
        """Replace the counts of another entry for some services."""
        now_seconds = self._clock()
        for service, requests in requests_by_service.items():
            told_by_entry = self._told_by_entry_by_service.setdefault(
                service, {}
            )
            told_by_entry[entry] = _Told(requests, now_seconds)
            for other, told in tuple(told_by_entry.items()):
                if not self._left_ratio(told.told_at_seconds):
                    told_by_entry.pop(other)
            self._sample(service)

    def record_earlier(
        self, service: str, requests: float, age_seconds: float
    ) -> None:
        """Record what the store tells of the requests of a window.

        `age_seconds` is the time since its end. Only the requests before the
        start of this process count, which it does not know otherwise.
        """
        told_at_seconds = min(
            self._clock() - max(age_seconds, 0), self._started_at_seconds
        )
        told = _Told(requests, told_at_seconds)
        if self._left(told) > self._earlier(service):
            self._earlier_by_service[service] = told
            self._totals_by_part_by_service.pop(service, None)

    def own_by_service(self) -> dict[str, float]:
        """Return the requests at this entry, without unused services."""
        counts_by_service = {
            service: self._own(service)
            for service in self._count_by_part_by_service
        }
        return {
            service: count
            for service, count in counts_by_service.items()
            if count
        }

    def total(self, service: str) -> float:
        """Return the requests at all entries within the window."""
        return self._own(service) + max(
            self._others(service), self._earlier(service)
        )

    def sustained(self, service: str) -> float:
        """Return the least total of the last half of a window.

        Requests may end at once after they have become many. Each window with
        retries of now, or the one half a window or a window before it, has at
        least so many requests all the same.
        """
        totals: typing.Mapping[int, float] = (
            self._totals_by_part_by_service.get(service, {})
        )
        return min((self.total(service), *totals.values()))

    def told(self, service: str) -> float:
        """Return the requests that this entry and others have counted.

        Those of earlier processes do not pass from one to the next.
        """
        return self._own(service) + self._others(service)

    def _sample(self, service: str) -> None:
        """Keep the total at the beginning of each part of the window.

        A process that has just started does not know those of the others.
        """
        now = self._clock()
        if now < self._started_at_seconds + const.INFORMED_SECONDS:
            return
        totals = self._totals_by_part_by_service.setdefault(
            service, collections.OrderedDict()
        )
        part = int(now / self._part_seconds)
        if part not in totals:
            totals[part] = self.total(service)
        oldest = part - const.VOLUME_PARTS // 2
        while next(iter(totals)) < oldest:
            totals.popitem(last=False)

    def _others(self, service: str) -> float:
        """Return the requests of the other entries."""
        told_by_entry = self._told_by_entry_by_service.get(service, {})
        return sum(map(self._left, told_by_entry.values()))

    def _earlier(self, service: str) -> float:
        """Return the requests before the start of this process."""
        told = self._earlier_by_service.get(service)
        return 0 if told is None else self._left(told)

    def _left(self, told: _Told) -> float:
        """Return the requests of a count that are still in the window."""
        return told.requests * self._left_ratio(told.told_at_seconds)

    def _left_ratio(self, since_seconds: float) -> float:
        """Return the part of a window's requests that is still in it."""
        age_seconds = max(self._clock() - since_seconds, 0)
        return max(1 - age_seconds / self._window_seconds, 0)

    def _own(self, service: str) -> float:
        """Return the requests of a service at this entry."""
        counts = self._count_by_part_by_service.get(service)
        if counts is None:
            return 0
        self._drop_old(counts)
        return sum(counts.values())

    def _drop_old(self, counts: collections.OrderedDict[int, int]) -> None:
        """Drop the counts that have left the window."""
        oldest = int(self._clock() / self._part_seconds) - const.VOLUME_PARTS
        while counts and next(iter(counts)) <= oldest:
            counts.popitem(last=False)
