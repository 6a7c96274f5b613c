"""Quarantine of prompt parts that crash upstreams, shared by all instances.

Each instance judges the marks of all by the successes that it has seen
itself. Its verdicts are shared too, for instances that have seen too few, and so
is that a marked part has succeeded before, for instances that start later. Both
are kept like marks, under names that no crash has.
"""

import typing

import anyio

from nutmegtrail import const as shared_const
from nutmegtrail.gateway import mark_replica
from nutmegtrail.observability import logs
from nutmegtrail.observability import metrics
from nutmegtrail.ports import key_value
from nutmegtrail.retries import const as retry_const
from nutmegtrail.retries import part_evidence
from nutmegtrail.retries import quarantine

_MARK_PREFIX: typing.Final = f'{shared_const.KEY_VALUE_PREFIX}part-crashes/'
_VERDICT_ID: typing.Final = 'quarantined'
# Sorts before all crashes, so that it is read before the marks of its part.
_SUCCESS_ID: typing.Final = '0-succeeded'


class PartQuarantine:
    """Marks the prompt parts of requests in flight at crashes."""

    def __init__(
        self,
        store: key_value.BatchStore,
        metrics_registry: metrics.Metrics,
    ) -> None:
        """Initialize the quarantine without marks."""
        self.replica = mark_replica.MarkReplica(store, _MARK_PREFIX, self)
        self._metrics = metrics_registry
        self._evidence = part_evidence.Evidence()
        self._quarantined_at_by_part: dict[str, float] = {}
        # Parts whose earlier success is in the store, and since when.
        self._told_at_by_part: dict[str, float] = {}
        self._listeners: list[typing.Callable[[str], None]] = []

    def add_listener(self, listener: typing.Callable[[str], None]) -> None:
        """Call a function with each part that becomes quarantined."""
        self._listeners.append(listener)

    def remaining_seconds(self, parts: tuple[str, ...]) -> float:
        """Return for how long a request with these parts is refused.

        0 means that it is not.
        """
        return max(
            (self._remaining_seconds(part, parts) for part in parts), default=0
        )

    def crash_count(self, parts: tuple[str, ...]) -> int:
        """Return the most crashes that are attributed to any of the parts."""
        now = anyio.current_time()
        return max(
            (
                part_evidence.crash_count(self._evidence, part, now)
                for part in parts
            ),
            default=0,
        )

    def mark(
        self,
        parts: tuple[str, ...],
        crash_id: str,
        upstream_id: str,
        interrupted_at_seconds: float,
    ) -> None:
        """Record that requests on these parts were in flight at a crash."""
        for part in parts:
            if self.has_mark(part, crash_id):
                continue
            self._add_mark(part, crash_id, interrupted_at_seconds)
            if self.has_mark(part, crash_id):
                self._tell_success(part)
                self.replica.write(part, crash_id, upstream_id.encode())
                self._metrics.increment('part_crash_marks')

    def record_success(
        self, parts: tuple[str, ...], begun_at_seconds: float
    ) -> None:
        """Record that a response on these parts was begun without a crash."""
        self._evidence = part_evidence.record_success(
            self._evidence, parts, begun_at_seconds
        )
        for part in parts:
            for crash_id in part_evidence.refuted_marks(self._evidence, part):
                self._remove(part, crash_id)
            quarantined_at = self._quarantined_at_by_part.get(part)
            if quarantined_at is not None and quarantined_at < begun_at_seconds:
                logs.decision('part:cleared', part=part)
                self._remove(part, _VERDICT_ID)

    def withdraw(self, crash_id: str) -> None:
        """Remove all marks of a crash that proved not to have happened."""
        marked = self._evidence.marks.fingerprints_by_crash_id
        for part in marked.get(crash_id, ()):
            self._remove(part, crash_id)

    def add_mark(self, name: str, crash_id: str) -> None:
        """Apply a mark or the verdict of any instance."""
        now = anyio.current_time()
        if crash_id == _VERDICT_ID:
            self._quarantine(name, now, is_own=False)
        elif crash_id == _SUCCESS_ID:
            self._told_at_by_part[name] = now
            self._evidence = part_evidence.record_earlier_success(
                self._evidence, name
            )
        elif not self.has_mark(name, crash_id):
            self._add_mark(name, crash_id, now)

    def drop_mark(self, name: str, crash_id: str) -> None:
        """Remove a mark or a verdict here only."""
        if crash_id == _VERDICT_ID:
            self._quarantined_at_by_part.pop(name, None)
        elif crash_id == _SUCCESS_ID:
            self._told_at_by_part.pop(name, None)
        else:
            self._evidence = part_evidence.unmark(
                self._evidence, name, crash_id
            )

    def remove_expired(self) -> None:
        """Drop expired marks and verdicts."""
        now = anyio.current_time()
        self._evidence = part_evidence.remove_expired(self._evidence, now)
        oldest = now - retry_const.CRASH_MARK_TTL_SECONDS
        for at_by_part in (
            self._quarantined_at_by_part,
            self._told_at_by_part,
        ):
            for part, at_seconds in tuple(at_by_part.items()):
                if at_seconds < oldest:
                    at_by_part.pop(part)

    def has_mark(self, name: str, crash_id: str) -> bool:
        """Return whether a mark, a verdict or a success is known."""
        if crash_id == _VERDICT_ID:
            return name in self._quarantined_at_by_part
        if crash_id == _SUCCESS_ID:
            return name in self._told_at_by_part
        marks = self._evidence.marks.marks_by_fingerprint
        return crash_id in marks.get(name, ())

    def marks(self) -> typing.Iterable[tuple[str, str]]:
        """Return the part and the crash of each mark, verdicts, successes."""
        yield from quarantine.all_marks(self._evidence.marks)
        for part in self._quarantined_at_by_part:
            yield part, _VERDICT_ID
        for told_part in self._told_at_by_part:
            yield told_part, _SUCCESS_ID

    def _remaining_seconds(self, part: str, parts: tuple[str, ...]) -> float:
        """Return for how long a request is refused because of one part."""
        now = anyio.current_time()
        quarantined_at = self._quarantined_at_by_part.get(part)
        if quarantined_at is not None:
            expires_at = quarantined_at + retry_const.CRASH_MARK_TTL_SECONDS
            return max(expires_at - now, 0)
        verdict = part_evidence.judge(self._evidence, part, parts, now)
        if verdict is None:
            return 0
        if verdict.is_proven:
            self._quarantine(part, now, is_own=True)
        return max(verdict.expires_at_seconds - now, 0)

    def _tell_success(self, part: str) -> None:
        """Write that a part has succeeded, before its marks."""
        if part in self._told_at_by_part:
            return
        if part_evidence.has_succeeded(self._evidence, part):
            self._told_at_by_part[part] = anyio.current_time()
            self.replica.write(part, _SUCCESS_ID, b'')

    def _add_mark(self, part: str, crash_id: str, at_seconds: float) -> None:
        """Mark a part, and quarantine it if that proves it."""
        self._evidence = part_evidence.mark(
            self._evidence, part, crash_id, at_seconds
        )
        self._remaining_seconds(part, (part,))

    def _quarantine(self, part: str, now: float, *, is_own: bool) -> None:
        """Quarantine a part, unless it is; tell the listeners."""
        if part in self._quarantined_at_by_part:
            return
        self._quarantined_at_by_part[part] = now
        logs.decision(
            'part:quarantined',
            part=part,
            crashes=self.crash_count((part,)),
            is_own=is_own,
        )
        self._metrics.increment('parts_quarantined')
        if is_own:
            self.replica.write(part, _VERDICT_ID, b'')
        for listener in self._listeners:
            listener(part)

    def _remove(self, part: str, crash_id: str) -> None:
        """Remove a mark or a verdict here and in the store."""
        self.drop_mark(part, crash_id)
        self.replica.delete(part, crash_id)
