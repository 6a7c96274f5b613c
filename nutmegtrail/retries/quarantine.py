"""Quarantine of requests that repeatedly crash upstreams.

Every request in flight at a crash is marked. A request that succeeds is
cleared. A marked request no longer runs beside other marked requests, so
that a repeated crash can be attributed to it. A request that reaches the
crash limit is refused until its marks expire.
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


class Quarantine(typing.NamedTuple):
    """Times of crashes by request fingerprint and crash identifier."""

    marks_by_fingerprint: MarksByFingerprint = pyrsistent.pmap()


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
    marks = _unexpired(marks, now_seconds).set(crash_id, now_seconds)
    return Quarantine(
        quarantine.marks_by_fingerprint.set(request_fingerprint, marks)
    )


def clear(quarantine: Quarantine, request_fingerprint: str) -> Quarantine:
    """Return the quarantine after a request succeeded."""
    return Quarantine(
        quarantine.marks_by_fingerprint.discard(request_fingerprint)
    )


def is_marked(
    quarantine: Quarantine, request_fingerprint: str, now_seconds: float
) -> bool:
    """Return whether a request was in flight at a crash.

    Such a request should not run beside other marked requests.
    """
    return _count(quarantine, request_fingerprint, now_seconds) > 0


def is_quarantined(
    quarantine: Quarantine, request_fingerprint: str, now_seconds: float
) -> bool:
    """Return whether a request has reached the crash limit."""
    return (
        _count(quarantine, request_fingerprint, now_seconds)
        >= const.CRASH_LIMIT
    )


def remove_expired(quarantine: Quarantine, now_seconds: float) -> Quarantine:
    """Return the quarantine without expired marks."""
    marks_by_fingerprint = quarantine.marks_by_fingerprint
    for request_fingerprint, marks in quarantine.marks_by_fingerprint.items():
        unexpired = _unexpired(marks, now_seconds)
        if unexpired:
            marks_by_fingerprint = marks_by_fingerprint.set(
                request_fingerprint, unexpired
            )
        else:
            marks_by_fingerprint = marks_by_fingerprint.remove(
                request_fingerprint
            )
    return Quarantine(marks_by_fingerprint)


def _count(
    quarantine: Quarantine, request_fingerprint: str, now_seconds: float
) -> int:
    """Return the number of crashes whose marks have not expired."""
    marks = quarantine.marks_by_fingerprint.get(request_fingerprint)
    return 0 if marks is None else len(_unexpired(marks, now_seconds))


def _unexpired(marks: MarksByCrashId, now_seconds: float) -> MarksByCrashId:
    """Return the marks that have not expired."""
    oldest = now_seconds - const.CRASH_MARK_TTL_SECONDS
    for crash_id, time_seconds in marks.items():
        if time_seconds < oldest:
            marks = marks.remove(crash_id)
    return marks
