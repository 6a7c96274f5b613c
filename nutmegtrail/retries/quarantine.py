"""Quarantine of requests that repeatedly crash upstreams.

Every request in flight at a crash is marked. A request that succeeds is
cleared. A marked request is kept apart from other marked requests, so that a
repeated crash can be attributed to it. A crash is attributed to those of its
requests that were in flight at the most crashes; the others happened to run
beside them. A request to which the limit of crashes is attributed is refused
until its marks expire.
"""

import typing

import pyrsistent
import pyrsistent.typing
import xxhash

from nutmegtrail.retries import const

MarksByCrashId: typing.TypeAlias = pyrsistent.typing.PMap[str, float]
MarksByFingerprint: typing.TypeAlias = pyrsistent.typing.PMap[
    str, MarksByCrashId
]
FingerprintsByCrashId: typing.TypeAlias = pyrsistent.typing.PMap[
    str, pyrsistent.typing.PSet[str]
]


class Quarantine(typing.NamedTuple):
    """Times of crashes by request fingerprint and crash identifier."""

    marks_by_fingerprint: MarksByFingerprint = pyrsistent.pmap()
    fingerprints_by_crash_id: FingerprintsByCrashId = pyrsistent.pmap()


def fingerprint(client_account: str, target: str, body: bytes) -> str:
    """Return a hash that identifies a request across its repetitions."""
    scope = f'{client_account}\0{target}\0'.encode()
    return xxhash.xxh3_128_hexdigest(scope + body)


def mark(
    quarantine: Quarantine,
    request_fingerprint: str,
    crash_id: str,
    now_seconds: float,
) -> Quarantine:
    """Return the quarantine after a crash.

    Repeated reports of the same crash count once.
    """
    marks = quarantine.marks_by_fingerprint.get(
        request_fingerprint, pyrsistent.pmap()
    )
    for expired_id in _expired_ids(marks, now_seconds):
        quarantine = unmark(quarantine, request_fingerprint, expired_id)
        marks = marks.remove(expired_id)
    fingerprints = quarantine.fingerprints_by_crash_id.get(
        crash_id, pyrsistent.pset()
    )
    marked = Quarantine(
        quarantine.marks_by_fingerprint.set(
            request_fingerprint, marks.set(crash_id, now_seconds)
        ),
        quarantine.fingerprints_by_crash_id.set(
            crash_id, fingerprints.add(request_fingerprint)
        ),
    )
    return _evict(marked, request_fingerprint)


def unmark(
    quarantine: Quarantine, request_fingerprint: str, crash_id: str
) -> Quarantine:
    """Return the quarantine without one mark."""
    marks = quarantine.marks_by_fingerprint.get(request_fingerprint)
    if marks is None or crash_id not in marks:
        return quarantine
    marks_by_fingerprint = quarantine.marks_by_fingerprint.set(
        request_fingerprint, marks.remove(crash_id)
    )
    if len(marks) == 1:
        marks_by_fingerprint = marks_by_fingerprint.remove(request_fingerprint)
    fingerprints = quarantine.fingerprints_by_crash_id[crash_id]
    fingerprints_by_crash_id = quarantine.fingerprints_by_crash_id.set(
        crash_id, fingerprints.remove(request_fingerprint)
    )
    if len(fingerprints) == 1:
        fingerprints_by_crash_id = fingerprints_by_crash_id.remove(crash_id)
    return Quarantine(marks_by_fingerprint, fingerprints_by_crash_id)


def all_marks(quarantine: Quarantine) -> typing.Iterator[tuple[str, str]]:
    """Return the fingerprint and the crash of each mark."""
    for request_fingerprint, marks in quarantine.marks_by_fingerprint.items():
        for crash_id in marks:
            yield request_fingerprint, crash_id


def clear(quarantine: Quarantine, request_fingerprint: str) -> Quarantine:
    """Return the quarantine after a request succeeded."""
    marks = quarantine.marks_by_fingerprint.get(request_fingerprint, ())
    for crash_id in marks:
        quarantine = unmark(quarantine, request_fingerprint, crash_id)
    return quarantine


def withdraw(quarantine: Quarantine, crash_id: str) -> Quarantine:
    """Return the quarantine after a crash proved not to have happened."""
    fingerprints = quarantine.fingerprints_by_crash_id.get(crash_id, ())
    for request_fingerprint in fingerprints:
        quarantine = unmark(quarantine, request_fingerprint, crash_id)
    return quarantine


def is_marked(
    quarantine: Quarantine, request_fingerprint: str, now_seconds: float
) -> bool:
    """Return whether a crash is attributed to a request.

    Such a request should not run beside other marked requests.
    """
    return bool(attributed_times(quarantine, request_fingerprint, now_seconds))


def is_quarantined(
    quarantine: Quarantine, request_fingerprint: str, now_seconds: float
) -> bool:
    """Return whether a request has reached the crash limit."""
    times = attributed_times(quarantine, request_fingerprint, now_seconds)
    return len(times) >= const.CRASH_LIMIT


def attributed_times(
    quarantine: Quarantine, request_fingerprint: str, now_seconds: float
) -> tuple[float, ...]:
    """Return the ascending times of the crashes attributed to a request."""
    crashes = attributed_crashes(quarantine, request_fingerprint, now_seconds)
    return tuple(sorted(crashes.values()))


def attributed_crashes(
    quarantine: Quarantine,
    request_fingerprint: str,
    now_seconds: float,
    cleared: typing.Container[str] = (),
) -> dict[str, float]:
    """Return the times of the crashes attributed to a request, by crash.

    A crash is attributed to those with the most crashes of all that it
    marked. Those that are cleared do not count there.
    """
    marks = quarantine.marks_by_fingerprint.get(request_fingerprint)
    if marks is None:
        return {}
    expired_ids = _expired_ids(marks, now_seconds)
    count = len(marks) - len(expired_ids)
    return {
        crash_id: time_seconds
        for crash_id, time_seconds in marks.items()
        if crash_id not in expired_ids
        and _highest_count(quarantine, crash_id, now_seconds, cleared) <= count
    }


def remove_expired(quarantine: Quarantine, now_seconds: float) -> Quarantine:
    """Return the quarantine without expired marks."""
    for request_fingerprint, marks in quarantine.marks_by_fingerprint.items():
        for crash_id in _expired_ids(marks, now_seconds):
            quarantine = unmark(quarantine, request_fingerprint, crash_id)
    return quarantine


def _highest_count(
    quarantine: Quarantine,
    crash_id: str,
    now_seconds: float,
    cleared: typing.Container[str],
) -> int:
    """Return the most crashes of any request that a crash interrupted."""
    marks_by_fingerprint = quarantine.marks_by_fingerprint
    return max(
        len(marks_by_fingerprint[request_fingerprint])
        - len(
            _expired_ids(marks_by_fingerprint[request_fingerprint], now_seconds)
        )
        for request_fingerprint in quarantine.fingerprints_by_crash_id[crash_id]
        if request_fingerprint not in cleared
    )


def _expired_ids(marks: MarksByCrashId, now_seconds: float) -> frozenset[str]:
    """Return the identifiers of the crashes whose marks have expired."""
    oldest = now_seconds - const.CRASH_MARK_TTL_SECONDS
    return frozenset(
        crash_id
        for crash_id, time_seconds in marks.items()
        if time_seconds < oldest
    )


def _evict(quarantine: Quarantine, kept_fingerprint: str) -> Quarantine:
    """Return the quarantine with no more requests than the limit.

    Those with the fewest and oldest marks are dropped, several at once so
    that a flood of marks does not sort the requests each time.
    """
    marks_by_fingerprint = quarantine.marks_by_fingerprint
    if len(marks_by_fingerprint) <= const.MARKED_REQUESTS_LIMIT:
        return quarantine
    ordered = sorted(
        marks_by_fingerprint,
        key=lambda request_fingerprint: (
            request_fingerprint == kept_fingerprint,
            len(marks_by_fingerprint[request_fingerprint]),
            max(marks_by_fingerprint[request_fingerprint].values()),
        ),
    )
    for request_fingerprint in ordered[: const.EVICTED_REQUESTS]:
        quarantine = clear(quarantine, request_fingerprint)
    return quarantine
