"""Quarantine of crashing requests, shared by all gateway instances."""

import typing

import anyio

from nutmegtrail.gateway import const
from nutmegtrail.gateway import mark_replica
from nutmegtrail.observability import logs
from nutmegtrail.observability import metrics
from nutmegtrail.ports import key_value
from nutmegtrail.retries import const as retry_const
from nutmegtrail.retries import mark_store
from nutmegtrail.retries import quarantine


class CrashQuarantine:
    """Marks requests that were in flight when upstreams crashed.

    The marks of all instances are read from the store. Own marks count at
    once.
    """

    def __init__(
        self,
        store: key_value.BatchStore,
        metrics_registry: metrics.Metrics,
    ) -> None:
        """Initialize the quarantine without marks."""
        self.replica = mark_replica.MarkReplica(
            store, mark_store.MARK_PREFIX, self
        )
        self._metrics = metrics_registry
        self._quarantine = quarantine.Quarantine()
        self._listeners: list[typing.Callable[[str], None]] = []

    def add_listener(self, listener: typing.Callable[[str], None]) -> None:
        """Call a function with each fingerprint that becomes quarantined."""
        self._listeners.append(listener)

    def crash_count(self, request_fingerprint: str) -> int:
        """Return the crashes that are attributed to a request."""
        return len(self._times(request_fingerprint))

    def remaining_seconds(self, request_fingerprint: str) -> float:
        """Return the seconds until the quarantine of a request ends.

        0 means that it is not quarantined.
        """
        times = self._times(request_fingerprint)
        if len(times) < const.CRASH_LIMIT:
            return 0
        expires_at = (
            times[-const.CRASH_LIMIT] + retry_const.CRASH_MARK_TTL_SECONDS
        )
        return max(expires_at - anyio.current_time(), 0)

    def is_suspect(self, request_fingerprint: str) -> bool:
        """Return whether a request should be kept apart from other suspects."""
        return quarantine.is_marked(
            self._quarantine, request_fingerprint, anyio.current_time()
        )

    def mark(
        self, request_fingerprint: str, crash_id: str, upstream_id: str
    ) -> None:
        """Record that a request was in flight when an upstream crashed."""
        self.add_mark(request_fingerprint, crash_id)
        self.replica.write(request_fingerprint, crash_id, upstream_id.encode())
        self._metrics.increment('crash_marks')

    def record_success(self, request_fingerprint: str) -> None:
        """Remove the marks of a request that has not crashed its upstream."""
        marks = self._quarantine.marks_by_fingerprint.get(request_fingerprint)
        if marks is None:
            return
        logs.decision(
            'request:cleared',
            fingerprint=request_fingerprint,
            crashes=len(marks),
        )
        for crash_id in marks:
            self._remove(request_fingerprint, crash_id)

    def withdraw(self, crash_id: str) -> None:
        """Remove all marks of a crash that proved not to have happened."""
        fingerprints = self._quarantine.fingerprints_by_crash_id.get(
            crash_id, ()
        )
        for request_fingerprint in fingerprints:
            self._remove(request_fingerprint, crash_id)

    def add_mark(self, name: str, crash_id: str) -> None:
        """Mark a request; tell the listeners when it is quarantined."""
        if self.has_mark(name, crash_id):
            return
        was_quarantined = self.remaining_seconds(name) > 0
        self._quarantine = quarantine.mark(
            self._quarantine, name, crash_id, anyio.current_time()
        )
        if was_quarantined or not self.remaining_seconds(name):
            return
        logs.decision(
            'request:quarantined',
            fingerprint=name,
            crashes=self.crash_count(name),
        )
        self._metrics.increment('requests_quarantined')
        for listener in self._listeners:
            listener(name)

    def drop_mark(self, name: str, crash_id: str) -> None:
        """Remove a mark here only."""
        self._quarantine = quarantine.unmark(self._quarantine, name, crash_id)

    def remove_expired(self) -> None:
        """Drop expired marks."""
        self._quarantine = quarantine.remove_expired(
            self._quarantine, anyio.current_time()
        )

    def has_mark(self, name: str, crash_id: str) -> bool:
        """Return whether a mark is in force."""
        return crash_id in self._quarantine.marks_by_fingerprint.get(name, ())

    def marks(self) -> typing.Iterable[tuple[str, str]]:
        """Return the fingerprint and the crash of each mark."""
        return quarantine.all_marks(self._quarantine)

    def _remove(self, request_fingerprint: str, crash_id: str) -> None:
        """Remove a mark here and in the store."""
        self.drop_mark(request_fingerprint, crash_id)
        self.replica.delete(request_fingerprint, crash_id)

    def _times(self, request_fingerprint: str) -> tuple[float, ...]:
        """Return the times of the crashes attributed to a request."""
        return quarantine.attributed_times(
            self._quarantine, request_fingerprint, anyio.current_time()
        )
