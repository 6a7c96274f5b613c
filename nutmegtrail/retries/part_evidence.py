"""Evidence for and against prompt parts that may crash upstreams.

A part that crashes upstreams crashes each one that begins to write a response
on it. All parts of the requests that were about to begin at a crash are
marked. A part succeeds when a response on it is begun and goes on; that clears
the marks of the crashes before.

Counting marks is not enough: parts that most requests share are marked at
every crash, and many upstreams may crash at once for another reason. So a part
that has succeeded before needs a contrast as well: requests without it succeed
while none with it does. Of parts that were always marked together, only
requests with all of them are refused, unless it goes on for long. An entry
that has seen few successes yet refuses for a short time only, and needs to hear
of earlier successes: after the end of a whole failure domain all entries know
the marks of a part that all requests share, and it could not succeed any more.
"""

import typing

import pyrsistent
import pyrsistent.typing
import xxhash

from nutmegtrail.retries import const
from nutmegtrail.retries import quarantine

_SERVICE_KEY_LENGTH: typing.Final = 16

_EARLIER: typing.Final = float('-inf')

CountsByService: typing.TypeAlias = pyrsistent.typing.PMap[str, int]
TimesByPart: typing.TypeAlias = pyrsistent.typing.PMap[str, float]
CountsByPart: typing.TypeAlias = pyrsistent.typing.PMap[str, int]


class Evidence(typing.NamedTuple):
    """Marks of parts and the successful requests that this entry has seen.

    `success_count_by_service` counts successful requests.
    `succeeded_at_by_part` has the time at which the last successful response
    on a part was begun, `_EARLIER` if only other entries have seen one. `count_at_mark_by_part` has the count of the service
    at the first mark, and the successes of the part since.
    """

    marks: quarantine.Quarantine = quarantine.Quarantine()
    success_count_by_service: CountsByService = pyrsistent.pmap()
    succeeded_at_by_part: TimesByPart = pyrsistent.pmap()
    count_at_mark_by_part: CountsByPart = pyrsistent.pmap()


class Verdict(typing.NamedTuple):
    """Refusal of requests with a part.

    It is proven if the part alone is at fault, whatever else a request holds.
    """

    expires_at_seconds: float
    is_proven: bool


def part_key(service: str, part: str) -> str:
    """Return a key that identifies a part and, by its start, the service."""
    service_key = xxhash.xxh3_64_hexdigest(service.encode())
    return service_key + xxhash.xxh3_64_hexdigest(part.encode())


def mark(
    evidence: Evidence, part: str, crash_id: str, at_seconds: float
) -> Evidence:
    """Return the evidence after a crash beside which a part was to begin.

    It does not count if a response on the part has been begun since.
    """
    if evidence.succeeded_at_by_part.get(part, _EARLIER) > at_seconds:
        return evidence
    counts = evidence.count_at_mark_by_part
    if part not in evidence.marks.marks_by_fingerprint:
        counts = counts.set(part, _success_count(evidence, part))
    marks = quarantine.mark(evidence.marks, part, crash_id, at_seconds)
    if len(counts) > 2 * const.MARKED_REQUESTS_LIMIT:
        counts = _only_marked(counts, marks)
    return evidence._replace(marks=marks, count_at_mark_by_part=counts)


def unmark(evidence: Evidence, part: str, crash_id: str) -> Evidence:
    """Return the evidence without one mark."""
    marks = quarantine.unmark(evidence.marks, part, crash_id)
    counts = evidence.count_at_mark_by_part
    if part not in marks.marks_by_fingerprint:
        counts = counts.discard(part)
    return evidence._replace(marks=marks, count_at_mark_by_part=counts)


def record_success(
    evidence: Evidence, parts: tuple[str, ...], begun_at_seconds: float
) -> Evidence:
    """Return the evidence after a response was begun without a crash."""
    if not parts:
        return evidence
    service = _service_of(parts[0])
    count = evidence.success_count_by_service.get(service, 0) + 1
    succeeded_at = evidence.succeeded_at_by_part.update(
        dict.fromkeys(parts, begun_at_seconds)
    )
    # A success of a part is no contrast to it, also if it was begun before
    # the crash and refutes nothing.
    counts = evidence.count_at_mark_by_part
    own_counts = {part: counts[part] + 1 for part in parts if part in counts}
    return evidence._replace(
        count_at_mark_by_part=counts.update(own_counts),
        success_count_by_service=evidence.success_count_by_service.set(
            service, count
        ),
        succeeded_at_by_part=_bounded(succeeded_at),
    )


def has_succeeded(evidence: Evidence, part: str) -> bool:
    """Return whether a response on a part has ever succeeded."""
    return part in evidence.succeeded_at_by_part


def record_earlier_success(evidence: Evidence, part: str) -> Evidence:
    """Return the evidence after another entry told of a success of a part.

    It refutes no mark, since it was begun before some crash.
    """
    if has_succeeded(evidence, part):
        return evidence
    succeeded_at = evidence.succeeded_at_by_part.set(part, _EARLIER)
    return evidence._replace(succeeded_at_by_part=_bounded(succeeded_at))


def refuted_marks(evidence: Evidence, part: str) -> tuple[str, ...]:
    """Return the crashes of a part since which a response was begun."""
    succeeded_at = evidence.succeeded_at_by_part.get(part, _EARLIER)
    marks = evidence.marks.marks_by_fingerprint.get(part)
    if marks is None:
        return ()
    return tuple(
        crash_id
        for crash_id, time_seconds in marks.items()
        if time_seconds < succeeded_at
    )


def crash_count(evidence: Evidence, part: str, now_seconds: float) -> int:
    """Return the crashes that are attributed to a part."""
    return len(_attributed_crashes(evidence, part, now_seconds))


def judge(
    evidence: Evidence,
    part: str,
    parts: typing.Collection[str],
    now_seconds: float,
) -> Verdict | None:
    """Return why a request with these parts is refused because of one.

    None means that it is not.
    """
    crashes = _attributed_crashes(evidence, part, now_seconds)
    if len(crashes) < const.PART_CRASH_LIMIT:
        return None
    last_crash_at = max(crashes.values())
    expires_at = last_crash_at + const.CRASH_MARK_TTL_SECONDS
    if has_succeeded(evidence, part):
        return _judge_known_part(evidence, part, expires_at)
    suspects = _common_suspects(evidence, crashes)
    may_be_another = not suspects.issubset(parts)
    if _success_count(evidence, part) >= const.EXPERIENCED_SUCCESS_COUNT:
        is_certain = len(crashes) >= const.CERTAIN_CRASH_COUNT
        if may_be_another and not is_certain:
            return None
        return Verdict(expires_at, is_proven=is_certain or len(suspects) == 1)
    if may_be_another:
        return None
    excess_crashes = len(crashes) - const.PART_CRASH_LIMIT
    hold_seconds = const.PROVISIONAL_HOLD_SECONDS * 2.0**excess_crashes
    return Verdict(
        min(last_crash_at + hold_seconds, expires_at), is_proven=False
    )


def _judge_known_part(
    evidence: Evidence, part: str, expires_at_seconds: float
) -> Verdict | None:
    """Return the verdict on a part that has succeeded before its crashes."""
    success_count = _success_count(evidence, part)
    count_at_mark = evidence.count_at_mark_by_part.get(part, success_count)
    if success_count - count_at_mark < const.CONTRAST_SUCCESS_COUNT:
        return None
    return Verdict(expires_at_seconds, is_proven=True)


def remove_expired(evidence: Evidence, now_seconds: float) -> Evidence:
    """Return the evidence without expired marks."""
    marks = quarantine.remove_expired(evidence.marks, now_seconds)
    return evidence._replace(
        marks=marks,
        count_at_mark_by_part=_only_marked(
            evidence.count_at_mark_by_part, marks
        ),
    )


def _attributed_crashes(
    evidence: Evidence, part: str, now_seconds: float
) -> dict[str, float]:
    """Return the times of the crashes attributed to a part, by crash.

    Parts that have succeeded before excuse none that has not.
    """
    cleared: typing.Container[str] = ()
    if not has_succeeded(evidence, part):
        cleared = evidence.succeeded_at_by_part
    return quarantine.attributed_crashes(
        evidence.marks, part, now_seconds, cleared
    )


def _common_suspects(
    evidence: Evidence, crashes: typing.Iterable[str]
) -> frozenset[str]:
    """Return the parts that all crashes marked and that may be at fault.

    Which one of them it is cannot be told until one succeeds.
    """
    marked = evidence.marks.fingerprints_by_crash_id
    common = frozenset.intersection(
        *(frozenset(marked[crash_id]) for crash_id in crashes)
    )
    return common.difference(evidence.succeeded_at_by_part)


def _success_count(evidence: Evidence, part: str) -> int:
    """Return the number of successful requests of a part's service."""
    return evidence.success_count_by_service.get(_service_of(part), 0)


def _service_of(part: str) -> str:
    """Return the part of a key that identifies the service."""
    return part[:_SERVICE_KEY_LENGTH]


def _only_marked(
    counts: CountsByPart, marks: quarantine.Quarantine
) -> CountsByPart:
    """Return the counts of the parts that are marked."""
    return pyrsistent.pmap(
        {
            part: count
            for part, count in counts.items()
            if part in marks.marks_by_fingerprint
        }
    )


def _bounded(succeeded_at: TimesByPart) -> TimesByPart:
    """Return the times; above the limit, without the oldest, several at once."""
    if len(succeeded_at) <= const.KNOWN_PARTS_LIMIT:
        return succeeded_at
    ordered = sorted(succeeded_at, key=succeeded_at.__getitem__, reverse=True)
    kept = ordered[: const.KNOWN_PARTS_LIMIT - const.EVICTED_REQUESTS]
    return pyrsistent.pmap({part: succeeded_at[part] for part in kept})
